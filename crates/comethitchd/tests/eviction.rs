//! Eviction of silent and idle clients near the descriptor limit.
//!
//! These tests depend on how fast clients connect, so their test binary contains no other tests.

mod support;

use std::io::Write;
use std::thread::sleep;
use std::time::Duration;
use support::{
    ClientReply, Daemon, PostgresClient, Router, ScriptedHost, answer, configuration_with_sockets, query,
    ready_primary, write_request,
};

/// Descriptor limit that a test can reach.
const DESCRIPTOR_LIMIT: usize = 64;

fn router_with_few_descriptors(primary: &ScriptedHost) -> Router {
    Router::start(configuration_with_sockets(&[ready_primary("p", primary.address)], DESCRIPTOR_LIMIT))
}

/// Guards against 300 connections without a request that use up a limit of 64 descriptors.
#[test]
fn silent_clients_do_not_exclude_active_or_new_clients() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = router_with_few_descriptors(&primary);
    let mut active = PostgresClient::connect(router.address);
    assert_eq!(active.execute(&write_request(0, 5_000)), ClientReply::value("value"));
    let silent: Vec<PostgresClient> =
        (0..300).map(|_| PostgresClient::connect_without_startup(router.address)).collect();
    for id in 1..40 {
        assert_eq!(
            active.execute(&write_request(id, 5_000)),
            ClientReply::value("value"),
            "the active client must stay connected"
        );
        let got = PostgresClient::connect(router.address).execute(&write_request(100 + id, 5_000));
        assert_eq!(got, ClientReply::value("value"), "new clients must be admitted");
    }
    drop(silent);
    router.shut_down();
}

/// Guards against idle clients that keep new ones out: 120 clients connect with a limit of 64 descriptors.
#[test]
fn idle_clients_are_evicted_at_the_descriptor_limit() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = router_with_few_descriptors(&primary);
    // Each new client must be served, although the clients that stay open are about three times as many as
    // fit.
    let clients: Vec<PostgresClient> = (0..120)
        .map(|id| {
            let mut client = PostgresClient::connect(router.address);
            assert_eq!(client.execute(&write_request(id, 5_000)), ClientReply::value("value"), "client {id}");
            client
        })
        .collect();
    drop(clients);
    router.shut_down();
}

/// Guards against evicting a client that needs some time for its first request although descriptors are still
/// free.
#[test]
fn new_client_is_not_evicted_when_no_other_waits() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = router_with_few_descriptors(&primary);
    // The clients use five eighths of the 44 descriptors that are not reserved.
    let idle: Vec<PostgresClient> = (0..26)
        .map(|id| {
            let mut client = PostgresClient::connect(router.address);
            // Sent before the next client connects: on a slow machine, a client that is silent for 62.5 ms
            // may be evicted.
            assert_eq!(client.execute(&write_request(id, 5_000)), ClientReply::value("value"), "client {id}");
            client
        })
        .collect();
    let mut newest = PostgresClient::connect(router.address);
    sleep(Duration::from_millis(100));
    assert_eq!(
        newest.execute(&write_request(100, 5_000)),
        ClientReply::value("value"),
        "the newest client must stay connected, since no other client waits for a descriptor"
    );
    drop(idle);
    router.shut_down();
}

/// Guards against requests that are left in the socket of an evicted connection: they arrive in the very moment
/// in which the router evicts it, and one read of the router ends exactly between two of them. The router is
/// stopped while the requests are sent and another client connects.
#[test]
fn requests_that_arrive_at_an_eviction_are_answered() {
    const REQUEST_BYTES: usize = 128;
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let config = configuration_with_sockets(&[ready_primary("p", primary.address)], DESCRIPTOR_LIMIT);
    let daemon = Daemon::start("evicts", &config);
    // With this number, accepting one more connection evicts one that has been idle for two seconds.
    let mut clients: Vec<PostgresClient> = (0..25)
        .map(|id| {
            let mut client = PostgresClient::connect(daemon.address);
            assert_eq!(client.execute(&write_request(id, 5_000)), ClientReply::value("value"), "client {id}");
            client
        })
        .collect();
    let oldest = &mut clients[0];
    let padded_write = |id: u32| {
        let text = write_request(id, 5_000);
        let padding = REQUEST_BYTES - query(&text).len();
        query(&text.replacen("id=", &format!("id={}", "0".repeat(padding)), 1))
    };
    let requests: Vec<u8> = (100..132).flat_map(padded_write).collect();
    daemon.signal("STOP");
    oldest.stream.write_all(&requests).expect("the bytes are sent");
    sleep(Duration::from_millis(2_100));
    let _newest = PostgresClient::connect_without_startup(daemon.address);
    daemon.signal("CONT");
    for id in 100..132 {
        assert_eq!(oldest.receive(), ClientReply::value("value"), "request {id}");
    }
    assert_eq!(oldest.receive(), ClientReply::Closed, "the connection must be evicted");
    daemon.shut_down();
}
