//! Updates of the endpoint list through watches and polls.
//!
//! A change counts as known six seconds after discovery can be reached, whatever became of watches and polls. Most tests
//! here run the daemon with a discovery agent that misbehaves in one way.

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

/// Maximum time from a change of the list until the router has applied it.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// Returns a configuration that follows the agent.
fn agent_configuration(agent: &DiscoveryAgent, known: &[Value]) -> Value {
    let mut config = configuration(known);
    config["discovery"] = agent.address.to_string().into();
    config
}

/// Starts the daemon with the agent, changes the list once the router follows it, and returns the time until the router
/// has applied the change.
fn time_to_update(name: &str, agent: &DiscoveryAgent, known: &[Value]) -> (Duration, Daemon) {
    let config = agent_configuration(agent, known);
    let mut daemon = Daemon::start_with_options(name, &config, &["--log", "debug"]);
    let started = Instant::now();
    while !agent.has_request("/api/targets") && started.elapsed() < TEST_TIMEOUT {
        sleep(Duration::from_millis(5));
    }
    // By then the watch is established, or has failed as the agent behaves.
    sleep(Duration::from_millis(200));
    agent.drain_host();
    let changed = Instant::now();
    let kill_timer = daemon.kill_after(TEST_TIMEOUT);
    daemon.wait_for_log("host=p address=127.0.0.1:1 lifecycle=Draining");
    kill_timer.cancel();
    (changed.elapsed(), daemon)
}

/// Asserts that a change of the list is applied in time.
fn assert_updated_in_time(
    name: &str, behavior: impl Fn(usize, bool, Option<Duration>) -> AgentBehavior + Send + Sync + 'static,
) {
    let agent = DiscoveryAgent::start(behavior);
    let known = [DiscoveryAgent::host()];
    let (took, daemon) = time_to_update(name, &agent, &known);
    assert!(took < UPDATE_DEADLINE, "{name}: applied after {took:?}");
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

#[test]
fn complete_list_cut_by_a_reset_is_not_applied() {
    for (name, behavior) in
        [("chunked", AgentBehavior::CutChunked), ("unmeasured", AgentBehavior::CutUnmeasured)]
    {
        let agent =
            DiscoveryAgent::start(move |nth, _, _| if nth < 2 { behavior } else { AgentBehavior::Correct });
        // Without an initial list, the router polls the complete one first.
        let (took, mut daemon) = time_to_update(name, &agent, &[]);
        assert!(took < UPDATE_DEADLINE, "{name}: applied after {took:?}");
        daemon.signal("TERM");
        let log: Vec<String> = daemon.log.by_ref().collect();
        assert!(!log.iter().any(|line| line.contains("version=99")), "{name}: {log:?}");
        let requests = agent.requests();
        assert!(!requests.iter().any(|line| line.contains("since=99")), "{name}: {requests:?}");
        daemon.wait_for_exit();
    }
}

/// A reload switches to another discovery service while the old watch still sends. The router applies none of that, and
/// requests the complete list from the new service, whatever version the old one had.
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
    // A line of the old watch and the signal are both pending when the router continues.
    daemon.signal("STOP");
    old.set_version(40);
    sleep(Duration::from_millis(100));
    config["discovery"] = new.address.to_string().into();
    daemon.write_configuration(&config.to_string());
    daemon.signal("HUP");
    daemon.signal("CONT");
    daemon.wait_for_log("endpoint received version=7 host=p");
    let requests = new.requests();
    assert!(requests[0].starts_with("GET /api/targets "), "{requests:?}");
    daemon.shut_down();
}

/// Restarts twenty routers at once, a third each with discovery down, unresponsive, and unresponsive without a list.
#[test]
fn nine_in_ten_restarted_routers_are_ready_within_ten_seconds() {
    let unresponsive = DiscoveryAgent::start(|_, _, _| AgentBehavior::Unresponsive);
    let known = [DiscoveryAgent::host()];
    let started = Instant::now();
    let mut daemons: Vec<Daemon> = (0..20)
        .map(|nth| {
            let mut config = configuration(if nth % 3 == 2 { &[] } else { &known });
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
    assert!(late <= 2, "{ready_after:?}");
}

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
    assert!(started.elapsed() < UPDATE_DEADLINE, "{:?}", started.elapsed());
    daemon.shut_down();
}

/// Starts a discovery service that responds correctly after a delay, and returns its address.
fn slow_discovery(delay: Duration, list: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
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
        let got = client.execute(&write_request(ids.next().expect("a number"), 300));
        if got == ClientReply::value("value") {
            break true;
        }
        if since.elapsed() > Duration::from_secs(6) {
            break false;
        }
    };
    assert!(served, "the list is applied within six seconds");
    drop(client);
    router.shut_down();
}

#[test]
fn endpoint_list_is_followed_and_malformed_lines_are_ignored() {
    let (first, second) =
        (ScriptedHost::primary(|_, _| answer("first")), ScriptedHost::primary(|_, _| answer("second")));
    let discovery = Discovery::start();
    let known = ready_primary("p", first.address);
    let router = Router::start(configuration_with_discovery(&[known], &discovery));
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
        "the watch restarts from the last valid version"
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
    assert_eq!(closed, Some(HostEvent::ConnectionClosed), "idle connections to the old address are closed");
    assert_eq!(client.execute(&write_request(3, 2_000)), ClientReply::value("second"));
    router.shut_down();
}

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
    watch.write_all(b"0\r\n\r\n").expect("sent");
    assert_eq!(client.receive(), ClientReply::Empty);
    assert_eq!(discovery.next_request().0, "GET /api/targets?follow=1&since=3 HTTP/1.1");
    assert_eq!(client.execute(&write_request(1, 2_000)), ClientReply::value("value"));
    router.shut_down();
}
