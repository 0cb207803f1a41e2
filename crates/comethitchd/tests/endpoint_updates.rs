//! Updates of the endpoint list through watches and polls.
//!
//! Once discovery is reachable, the router must apply a change within six seconds, whatever happens to
//! individual watches and polls. Most tests here run the daemon with a discovery agent that misbehaves in one
//! way, and guard against changes that are applied late or never.

mod support;

use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use support::{
    AgentBehavior, ClientReply, Daemon, Discovery, DiscoveryAgent, HostEvent, PostgresClient, Router,
    ScriptedHost, TEST_TIMEOUT, answer, configuration, configuration_with_discovery, read_http_request,
    ready_primary, send_chunk, write_request,
};

/// Maximum time from a change of the endpoint list until the router has applied it.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// Returns a configuration with an initial endpoint list that follows the agent.
fn agent_configuration(agent: &DiscoveryAgent, initial_hosts: &[Value]) -> Value {
    let mut config = configuration(initial_hosts);
    config["discovery"] = agent.address.to_string().into();
    config
}

/// Starts the daemon with the agent, changes the list 200 ms after the router's first request, and returns
/// the time until the router has applied the change.
fn time_to_update(name: &str, agent: &DiscoveryAgent, initial_hosts: &[Value]) -> (Duration, Daemon) {
    let config = agent_configuration(agent, initial_hosts);
    let mut daemon = Daemon::start_with_options(name, &config, &["--log", "debug"]);
    let started = Instant::now();
    while !agent.has_request("/api/targets") && started.elapsed() < TEST_TIMEOUT {
        sleep(Duration::from_millis(5));
    }
    // Allows the watch to be established, or to fail if the agent makes it fail.
    sleep(Duration::from_millis(200));
    agent.drain_host();
    let changed = Instant::now();
    let kill_timer = daemon.kill_after(TEST_TIMEOUT);
    daemon.wait_for_log("host=p address=127.0.0.1:1 lifecycle=Draining");
    kill_timer.cancel();
    (changed.elapsed(), daemon)
}

/// Asserts that the router applies a change of the list in time although the agent behaves in this way.
fn assert_updated_in_time(
    name: &str, behavior: impl Fn(usize, bool, Option<Duration>) -> AgentBehavior + Send + Sync + 'static,
) {
    let agent = DiscoveryAgent::start(behavior);
    let initial_hosts = [DiscoveryAgent::host()];
    let (took, daemon) = time_to_update(name, &agent, &initial_hosts);
    assert!(
        took < UPDATE_DEADLINE,
        "{name}: the change must be applied within {UPDATE_DEADLINE:?}: {took:?}"
    );
    daemon.shut_down();
}

#[test]
fn silent_watches_do_not_delay_updates() {
    assert_updated_in_time("silent", |_, watch, _| {
        if watch { AgentBehavior::StopsSending } else { AgentBehavior::Correct }
    });
}

#[test]
fn unresponsive_restarted_watches_do_not_delay_updates() {
    assert_updated_in_time("unresponsive", |nth, watch, _| match (watch, nth) {
        (true, 0) => AgentBehavior::StopsSending,
        (true, _) => AgentBehavior::Unresponsive,
        _ => AgentBehavior::Correct,
    });
}

#[test]
fn endless_fragments_on_watches_do_not_delay_updates() {
    assert_updated_in_time("fragments", |_, watch, _| {
        if watch { AgentBehavior::Fragments } else { AgentBehavior::Correct }
    });
}

#[test]
fn watch_with_an_endless_response_head_is_restarted() {
    assert_updated_in_time(
        "head",
        |nth, _, _| if nth < 3 { AgentBehavior::EndlessHead } else { AgentBehavior::Correct },
    );
}

#[test]
fn failing_or_closed_watches_do_not_delay_updates() {
    assert_updated_in_time("refused", |nth, watch, _| match watch {
        true if nth % 2 == 0 => AgentBehavior::RespondsWithError,
        true => AgentBehavior::Closes,
        false => AgentBehavior::Correct,
    });
}

#[test]
fn failing_polls_do_not_delay_updates() {
    assert_updated_in_time("calls", |nth, watch, _| {
        if watch || nth == 0 { AgentBehavior::Correct } else { AgentBehavior::Unresponsive }
    });
}

#[test]
fn indented_lists_and_updates_are_applied_in_time() {
    assert_updated_in_time("indented", |_, _, _| AgentBehavior::Indented);
}

#[test]
fn update_is_applied_in_time_after_a_four_second_discovery_outage() {
    assert_updated_in_time("returns", |nth, _, since| match since {
        _ if nth == 0 => AgentBehavior::StopsSending,
        Some(since) if since > Duration::from_secs(4) => AgentBehavior::Correct,
        _ => AgentBehavior::Unresponsive,
    });
}

/// Guards against a reset that is taken for the end of a response: the list without hosts that arrived before
/// it would remove all hosts. The first two responses are cut in this way.
#[test]
fn complete_list_cut_by_a_reset_is_not_applied() {
    for (name, behavior) in
        [("chunked", AgentBehavior::CutChunked), ("without-length", AgentBehavior::CutWithoutLength)]
    {
        let agent =
            DiscoveryAgent::start(move |nth, _, _| if nth < 2 { behavior } else { AgentBehavior::Correct });
        // Without an initial list, the router polls the complete one first.
        let (took, mut daemon) = time_to_update(name, &agent, &[]);
        assert!(
            took < UPDATE_DEADLINE,
            "{name}: the change must be applied within {UPDATE_DEADLINE:?}: {took:?}"
        );
        daemon.signal("TERM");
        let log: Vec<String> = daemon.log.by_ref().collect();
        assert!(
            !log.iter().any(|line| line.contains("version=99")),
            "{name}: the incomplete list must not be applied: {log:?}"
        );
        let requests = agent.requests();
        assert!(
            !requests.iter().any(|line| line.contains("since=99")),
            "{name}: the version of the incomplete list must not be used: {requests:?}"
        );
        daemon.wait_for_exit();
    }
}

/// Guards against changes from a discovery service that a reload has replaced. A line of the old watch and
/// the reload are pending at the same time; the router must ignore the line and request the complete list
/// from the new service, whatever version the old service had.
#[test]
fn update_from_a_replaced_watch_is_ignored() {
    let (old, new) = (
        DiscoveryAgent::start(|_, _, _| AgentBehavior::Correct),
        DiscoveryAgent::start(|_, _, _| AgentBehavior::Correct),
    );
    let mut config = agent_configuration(&old, &[DiscoveryAgent::host()]);
    let mut daemon = Daemon::start_with_options("moved", &config, &["--log", "debug"]);
    while !old.has_request("follow") {
        sleep(Duration::from_millis(5));
    }
    // Both a line of the old watch and the signal are pending when the router continues.
    daemon.signal("STOP");
    old.set_version(40);
    sleep(Duration::from_millis(100));
    config["discovery"] = new.address.to_string().into();
    daemon.write_configuration(&config.to_string());
    daemon.signal("HUP");
    daemon.signal("CONT");
    daemon.wait_for_log("endpoint received version=7 host=p");
    let requests = new.requests();
    assert!(
        requests[0].starts_with("GET /api/targets "),
        "the complete list must be requested: {requests:?}"
    );
    daemon.shut_down();
}

/// Guards against routers that wait for discovery before they serve. Twenty routers start at once: a third
/// with discovery down, a third with discovery unresponsive, and a third with discovery unresponsive and no
/// initial list.
#[test]
fn nine_in_ten_restarted_routers_are_ready_within_ten_seconds() {
    let unresponsive = DiscoveryAgent::start(|_, _, _| AgentBehavior::Unresponsive);
    let initial_hosts = [DiscoveryAgent::host()];
    let started = Instant::now();
    let mut daemons: Vec<Daemon> = (0..20)
        .map(|nth| {
            let mut config = configuration(if nth % 3 == 2 { &[] } else { &initial_hosts });
            if nth % 3 > 0 {
                config["discovery"] = unresponsive.address.to_string().into();
            }
            Daemon::start(&format!("ready-{nth}"), &config)
        })
        .collect();
    let ready_after: Vec<Duration> = daemons
        .iter_mut()
        .map(|daemon| {
            let mut client = PostgresClient::connect(daemon.address);
            assert_eq!(client.execute(""), ClientReply::Empty);
            started.elapsed()
        })
        .collect();
    let late = ready_after.iter().filter(|took| **took > Duration::from_secs(10)).count();
    assert!(late <= 2, "at most 2 of 20 routers may need more than 10 s: {ready_after:?}");
}

/// Guards against a router that waits for the next change although discovery already has a newer list than
/// the configuration.
#[test]
fn list_newer_than_the_configured_one_is_applied_at_once() {
    let agent = DiscoveryAgent::start(|_, _, _| AgentBehavior::Correct);
    agent.drain_host();
    let config = agent_configuration(&agent, &[DiscoveryAgent::host()]);
    let started = Instant::now();
    let mut daemon = Daemon::start("newer", &config);
    let kill_timer = daemon.kill_after(TEST_TIMEOUT);
    daemon.wait_for_log("version=8 host=p address=127.0.0.1:1 lifecycle=Draining");
    kill_timer.cancel();
    assert!(
        started.elapsed() < UPDATE_DEADLINE,
        "the newer list must be applied within {UPDATE_DEADLINE:?}: {:?}",
        started.elapsed()
    );
    daemon.shut_down();
}

/// Starts a discovery service that responds correctly but after a delay, and returns its address.
fn slow_discovery(delay: Duration, list: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let body = list.to_string();
            spawn(move || {
                let is_watch = read_http_request(&stream).contains("follow=1");
                sleep(delay);
                if is_watch {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    while write!(stream, "1\r\n\n\r\n").is_ok() {
                        sleep(Duration::from_secs(2));
                    }
                }
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            });
        }
    });
    address
}

/// Guards against requests to discovery that time out too early: responses that take 1.2 s must still be
/// used.
#[test]
fn responses_of_a_slow_discovery_service_are_used() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let list = json!({"seq": 1, "whole": true, "hosts": [ready_primary("p", primary.address)]});
    let mut config = configuration(&[]);
    config["discovery"] = slow_discovery(Duration::from_millis(1_200), list).to_string().into();
    let router = Router::start(config);
    let mut client = PostgresClient::connect(router.address);
    let since = Instant::now();
    let mut ids = 1..;
    let served = loop {
        let got = client.execute(&write_request(ids.next().expect("the text is a number"), 300));
        if got == ClientReply::value("value") {
            break true;
        }
        if since.elapsed() > Duration::from_secs(6) {
            break false;
        }
    };
    assert!(served, "the list must be applied within six seconds");
    drop(client);
    router.shut_down();
}

/// Guards against a malformed line that changes the list or ends the updates, and against a host that stays
/// in use at its old address.
#[test]
fn endpoint_list_is_followed_and_malformed_lines_are_ignored() {
    let (first, second) =
        (ScriptedHost::primary(|_, _| answer("first")), ScriptedHost::primary(|_, _| answer("second")));
    let discovery = Discovery::start();
    let initial_host = ready_primary("p", first.address);
    let router = Router::start(configuration_with_discovery(&[initial_host], &discovery));
    let (request, mut watch) = discovery.next_request();
    assert_eq!(request, "GET /api/targets?follow=1&since=7 HTTP/1.1");
    send_chunk(&mut watch, "\n");
    send_chunk(&mut watch, "{\"seq\":8,\"whole\":false,\"hosts\":[]}\n");
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute(""), ClientReply::Empty);
    assert_eq!(client.execute(&write_request(1, 2_000)), ClientReply::value("first"));
    send_chunk(&mut watch, "{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":\"p\"}]}\n");
    let (request, mut watch) = discovery.next_request();
    assert_eq!(
        request, "GET /api/targets?follow=1&since=8 HTTP/1.1",
        "the watch must restart from the last valid version"
    );
    assert_eq!(client.execute(&write_request(2, 2_000)), ClientReply::value("first"));
    // The same host moves to another address, in a line split over chunks.
    let moved = ready_primary("p", second.address).to_string();
    let line = format!("{{\"seq\":9,\"whole\":false,\"hosts\":[{moved}]}}\n");
    let (before, after) = line.split_at(40);
    send_chunk(&mut watch, before);
    send_chunk(&mut watch, after);
    let closed = std::iter::from_fn(|| first.events.recv_timeout(TEST_TIMEOUT).ok())
        .find(|event| *event == HostEvent::ConnectionClosed);
    assert_eq!(
        closed,
        Some(HostEvent::ConnectionClosed),
        "idle connections to the old address must be closed"
    );
    assert_eq!(client.execute(&write_request(3, 2_000)), ClientReply::value("second"));
    router.shut_down();
}

/// Guards against a router without an initial list that rejects its first clients or never becomes ready.
#[test]
fn router_without_a_list_is_ready_once_discovery_sends_one() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let discovery = Discovery::start();
    let router = Router::start(configuration_with_discovery(&[], &discovery));
    let (request, mut watch) = discovery.next_request();
    assert_eq!(request, "GET /api/targets HTTP/1.1");
    let mut client = PostgresClient::connect(router.address);
    client.send("");
    let host = ready_primary("p", primary.address);
    send_chunk(&mut watch, &format!("{{\"seq\":3,\"whole\":true,\"hosts\":[{host}]}}\n"));
    watch.write_all(b"0\r\n\r\n").expect("the bytes are sent");
    assert_eq!(client.receive(), ClientReply::Empty);
    assert_eq!(discovery.next_request().0, "GET /api/targets?follow=1&since=3 HTTP/1.1");
    assert_eq!(client.execute(&write_request(1, 2_000)), ClientReply::value("value"));
    router.shut_down();
}
