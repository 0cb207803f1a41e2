//! Limits on descriptors, memory and invalid input: which clients are rejected, and which must not be
//! affected.

mod support;

use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use support::{
    ClientReply, DISCONNECT_GRACE, Daemon, HostEvent, PostgresClient, Router, ScriptedHost, TEST_TIMEOUT,
    answer, configuration_with_sockets, gate, pipelined_writes, query, read_http_request, read_request,
    ready_primary, single_primary_configuration, startup_message, write_request,
};

/// Descriptor limit that a test can reach.
const DESCRIPTOR_LIMIT: usize = 64;

/// Guards against connections that hold resources without a valid request: silent ones, an incomplete query,
/// 600 invalid requests, and a message of 60 MB.
#[test]
fn clients_without_a_valid_request_get_an_error_in_time() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = Router::with_single_primary(&primary);
    let started = Instant::now();
    let mut idle = PostgresClient::connect(router.address);
    let silent: Vec<PostgresClient> =
        (0..100).map(|_| PostgresClient::connect_without_startup(router.address)).collect();
    let mut incomplete_query = PostgresClient::connect(router.address);
    incomplete_query.stream.write_all(&query(&write_request(1, 2_000))[..40]).expect("the bytes are sent");
    let mut invalid_requests = PostgresClient::connect(router.address);
    invalid_requests
        .stream
        .write_all(&query(&read_request(1, 9).replace("c=read", "c=unheard")).repeat(600))
        .expect("the bytes are sent");
    assert_eq!(invalid_requests.receive(), ClientReply::error("22023"));
    assert!(
        (0..10).any(|_| invalid_requests.receive() == ClientReply::error("08P01")),
        "too many invalid requests must close the connection"
    );
    // The client must be able to read the error although it is still sending 60 MB.
    let mut large_message = PostgresClient::connect(router.address);
    large_message
        .stream
        .write_all(&[&[b'Q'][..], &60_000_000_u32.to_be_bytes()].concat())
        .expect("the bytes are sent");
    let sent = (0..60).take_while(|_| large_message.stream.write_all(&[b'x'; 1_000_000]).is_ok()).count();
    assert_eq!((sent, large_message.receive()), (60, ClientReply::error("08P01")));
    assert_eq!(incomplete_query.receive(), ClientReply::error("08P01"));
    for mut client in silent {
        assert_eq!(client.stream.read(&mut [0]).unwrap_or(0), 0, "the silent connection must be closed");
    }
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "all errors must arrive within three seconds: {:?}",
        started.elapsed()
    );
    assert!(primary.pending_queries().is_empty(), "nothing may reach the host");
    assert_eq!(
        idle.execute(&write_request(2, 2_000)),
        ClientReply::Closed,
        "a client that has sent no request must be closed too"
    );
    assert_eq!(
        PostgresClient::connect(router.address).execute(&write_request(2, 2_000)),
        ClientReply::value("value")
    );
    router.shut_down();
}

/// Guards against requests that wait for a descriptor until their timeout. With 64 descriptors, 22 requests
/// that wait for a shard without hosts reach the limit of requests in progress.
#[test]
fn requests_past_the_descriptor_limit_are_throttled_at_once() {
    let other_shard = |id: u32| query(&write_request(id, 60_000).replace("cluster=0", "cluster=1"));
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let hosts = [ready_primary("p", primary.address)];
    let mut config = configuration_with_sockets(&hosts, DESCRIPTOR_LIMIT);
    // With a long latency objective, a request for a shard without hosts waits long.
    config["settings"]["classes"][2]["target_us"] = 60_000_000.into();
    config["settings"]["permissions"]["connect_timeout_us"] = 10_000_000.into();
    let router = Router::start(config);
    // These ids differ from those of the requests below, since the id of a request in flight is rejected. Each
    // request is sent right after its connection is established: when few descriptors are free, the router
    // may close a connection that has not sent a complete request within 62 ms.
    let waiting_ids = 1_000_000..1_000_022;
    let waiting: Vec<PostgresClient> = waiting_ids
        .map(|id| {
            let mut client = PostgresClient::connect(router.address);
            client.stream.write_all(&other_shard(id)).expect("the bytes are sent");
            client
        })
        .collect();
    let mut throttled = |id| {
        PostgresClient::connect(router.address).execute(&write_request(id, 5_000))
            == ClientReply::error("53300")
    };
    assert!(
        (0..10_000).any(&mut throttled),
        "the limit must be reached once all waiting clients are admitted"
    );
    primary.events.try_iter().for_each(drop);
    assert!((0..10).all(&mut throttled), "the limit must stay reached");
    assert!(primary.pending_queries().is_empty(), "nothing may be sent to the host");
    drop(waiting);
    let served = |_| {
        PostgresClient::connect(router.address).execute(&write_request(9, 5_000))
            == ClientReply::value("value")
    };
    assert!(
        (0..10_000).any(served),
        "requests must be served again once the waiting clients have disconnected"
    );
    router.shut_down();
}

/// Guards against idle clients that leave no descriptor for active clients, hosts or discovery. 200 clients
/// connect while discovery is down; the endpoint list must be current within six seconds of the return of
/// discovery.
#[test]
fn idle_clients_at_descriptor_limit_block_neither_clients_nor_discovery() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let reserved = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let mut config = configuration_with_sockets(&[ready_primary("p", primary.address)], DESCRIPTOR_LIMIT);
    let address = reserved.local_addr().expect("a bound listener has an address");
    config["discovery"] = address.to_string().into();
    drop(reserved);
    let mut daemon = Daemon::start("filled", &config);
    let idle: Vec<PostgresClient> = (0..200)
        .map(|nth| {
            let mut client = PostgresClient::connect_without_startup(daemon.address);
            if nth % 2 == 0 {
                let _ = client
                    .stream
                    .write_all(&[startup_message(), query(&write_request(1_000 + nth, 9_000))].concat());
            }
            client
        })
        .collect();
    for id in 0..20 {
        let mut client = PostgresClient::connect(daemon.address);
        assert_eq!(client.execute(&write_request(id, 5_000)), ClientReply::value("value"));
    }
    let listener = TcpListener::bind(address).expect("the reserved address is still free");
    let returned_at = Instant::now();
    let hosts = [ready_primary("p", primary.address)];
    let list = json!({"seq": 9, "whole": true, "hosts": hosts}).to_string();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let line = read_http_request(&stream);
            if line.contains("follow") {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                spawn(move || (0..20).for_each(|_| sleep(Duration::from_secs(1))));
            } else {
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            }
        }
    });
    let kill_timer = daemon.kill_after(TEST_TIMEOUT);
    daemon.wait_for_log("endpoint received version=9 ");
    kill_timer.cancel();
    assert!(
        returned_at.elapsed() < Duration::from_secs(6),
        "the list must be current within six seconds: {:?}",
        returned_at.elapsed()
    );
    drop(idle);
    daemon.shut_down();
}

/// Guards against a request in flight that fails because other clients have used up the memory budget of
/// 32 MB.
#[test]
fn request_in_flight_survives_an_exhausted_memory_budget() {
    let (opener, gate) = gate();
    let primary = ScriptedHost::primary(move |_, _| {
        gate.wait();
        answer("value")
    });
    let mut config = single_primary_configuration(primary.address);
    config["limits"]["memory_mb"] = 32.into();
    let router = Router::start(config);
    let mut client = PostgresClient::connect(router.address);
    client.send(&write_request(1, 5_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    // Incomplete messages of decreasing size fill the memory budget until it has no room for the smallest
    // read.
    let mut others: Vec<PostgresClient> = Vec::new();
    for (number, bytes) in [(100, 120_000), (6, 30_000), (8, 7_000), (10, 1_500), (10, 600)] {
        let incomplete = [startup_message(), query(&"x".repeat(130_000))[..bytes].to_vec()].concat();
        for _ in 0..number {
            let mut other = PostgresClient::connect_without_startup(router.address);
            let _ = other.stream.write_all(&incomplete);
            others.push(other);
        }
    }
    let last = others.last_mut().expect("there are clients");
    let rejected = [last.receive(), last.receive()].contains(&ClientReply::error("53300"));
    assert!(rejected, "the memory budget must be exhausted");
    client.stream.write_all(&pipelined_writes(2)[..6_000]).expect("the bytes are sent");
    sleep(DISCONNECT_GRACE);
    opener.send(()).expect("the host waits for the test");
    assert_eq!(client.receive(), ClientReply::value("value"));
    drop((client, others, opener));
    router.shut_down();
}
