//! The daemon while system calls fail in documented ways: interrupted reads and writes, a lack of sockets, a
//! log that cannot be written, and a wrong wall clock.

mod support;

use std::io::Write;
use std::thread::sleep;
use std::time::{Duration, SystemTime};
use support::{
    ClientReply, Daemon, PostgresClient, ScriptedHost, TEST_TIMEOUT, answer, configuration, query,
    read_request, ready_primary, ready_replica, single_primary_configuration, write_request,
};

const HOUR_MS: i64 = 3_600_000;
/// Maximum number of reads until the router uses the replica.
const MAX_READS: u32 = 60;
/// Interval between these reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the fault of a wall clock that is ahead by this time, or behind if it is negative.
fn wall_clock_offset(ms: i64) -> String {
    format!("wall_ms={ms}")
}

/// Guards against treating `EINTR` as a failure of the connection: every other read and write of a socket is
/// interrupted.
#[test]
fn interrupted_reads_and_writes_lose_no_request() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let config = single_primary_configuration(primary.address);
    // Every other read and write of a socket is interrupted.
    let daemon = Daemon::start_with_faults("interrupted", &config, "seed=1,interrupt=2");
    let mut client = PostgresClient::connect(daemon.address);
    for id in 1..=20 {
        assert_eq!(client.execute(&write_request(id, 2_000)), ClientReply::value("value"), "request {id}");
    }
    // Pipelined requests must be answered too.
    let pipelined: Vec<u8> = (21..=40).flat_map(|id| query(&write_request(id, 2_000))).collect();
    client.stream.write_all(&pipelined).expect("the bytes are sent");
    for id in 21..=40 {
        assert_eq!(client.receive(), ClientReply::value("value"), "request {id}");
    }
    daemon.shut_down();
}

/// Guards against comparing the position of a replica, here 10 s old, with a wall clock that is an hour
/// behind: the replica would seem fresh.
#[test]
fn wall_clock_an_hour_behind_allows_no_stale_read() {
    let primary = ScriptedHost::primary(|_, _| answer("new"));
    let position = SystemTime::now() - Duration::from_secs(10);
    let replica = ScriptedHost::stale_replica(position, Duration::ZERO, |_, _| answer("stale"));
    let hosts = [ready_primary("p", primary.address), ready_replica("r", replica.address)];
    let config = configuration(&hosts);
    let daemon = Daemon::start_with_faults("behind", &config, &wall_clock_offset(-HOUR_MS));
    let mut client = PostgresClient::connect(daemon.address);
    let replies: Vec<ClientReply> = (1..=20).map(|id| client.execute(&read_request(id, 600))).collect();
    assert!(!replies.contains(&ClientReply::value("stale")), "no read may be stale: {replies:?}");
    assert!(replies.contains(&ClientReply::value("new")), "the primary must serve reads: {replies:?}");
    daemon.shut_down();
}

/// Guards against comparing positions with a wall clock that is an hour ahead: all replicas would seem stale.
#[test]
fn wall_clock_an_hour_ahead_keeps_replicas_in_use() {
    let primary = ScriptedHost::primary(|_, _| answer("primary"));
    let replica = ScriptedHost::replica(|_, _| answer("replica"));
    let hosts = [ready_primary("p", primary.address), ready_replica("r", replica.address)];
    let config = configuration(&hosts);
    let daemon = Daemon::start_with_faults("ahead", &config, &wall_clock_offset(HOUR_MS));
    let mut client = PostgresClient::connect(daemon.address);
    let served_by_replica = (1..=MAX_READS).any(|id| {
        sleep(READ_INTERVAL);
        client.execute(&read_request(id, 600)) == ClientReply::value("replica")
    });
    assert!(served_by_replica, "a read must reach the replica");
    daemon.shut_down();
}

/// Guards against an exit or a permanent failure when the first three sockets cannot be created.
#[test]
fn socket_shortage_at_startup_only_delays_readiness() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let config = single_primary_configuration(primary.address);
    let daemon = Daemon::start_with_faults("no-socket", &config, "seed=1,socket_first=3");
    let mut client = PostgresClient::connect(daemon.address);
    assert_eq!(client.execute(&write_request(1, 2_000)), ClientReply::value("value"));
    daemon.shut_down();
}

/// Guards against a daemon that panics or blocks when standard error cannot be written: all writes to it fail
/// from 500 ms on.
#[test]
fn unwritable_log_loses_no_request() {
    const WRITES_FAIL_FROM: Duration = Duration::from_millis(500);
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let config = single_primary_configuration(primary.address);
    let settings = format!("seed=1,stderr=1,from_ms={}", WRITES_FAIL_FROM.as_millis());
    let daemon = Daemon::start_with_faults("full-log", &config, &settings);
    sleep(WRITES_FAIL_FROM);
    let mut client = PostgresClient::connect(daemon.address);
    for id in 1..=10 {
        // The shard does not exist, so the request is throttled, and the daemon tries to log this.
        let other_shard = write_request(id, 300).replace("cluster=0", "cluster=1");
        assert_eq!(client.execute(&other_shard), ClientReply::error("53300"), "request {id}");
        assert_eq!(client.execute(&write_request(100 + id, 2_000)), ClientReply::value("value"));
    }
    daemon.shut_down();
}

/// Guards against unreported violations: a stall between the check of the deadline and the send breaks the
/// rule, which must be logged.
#[test]
fn rule_broken_by_a_stall_after_the_send_check_is_logged() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let config = single_primary_configuration(primary.address);
    // Each socket write is delayed by 300 ms. A request with a timeout of 250 ms is therefore sent after its
    // deadline.
    let mut daemon = Daemon::start_with_faults("delayed", &config, "seed=1,hold=1,hold_ms=300,from_ms=1000");
    let kill_timer = daemon.kill_after(TEST_TIMEOUT);
    let mut client = PostgresClient::connect(daemon.address);
    // The second request verifies the connection, so that the third one is its next write.
    for id in [1, 2] {
        assert_eq!(client.execute(&write_request(id, 2_000)), ClientReply::value("value"));
    }
    sleep(Duration::from_secs(1));
    let _ = client.execute(&write_request(3, 250));
    daemon.wait_for_log("rule broken rule=sent_after_deadline subject=3");
    kill_timer.cancel();
    daemon.shut_down();
}

/// Guards against losing a signal, or ending the router, when system calls are interrupted while the signal
/// is received. Ten reloads are requested one after another.
#[test]
fn interrupted_signals_are_not_lost_and_do_not_stop_the_router() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let config = single_primary_configuration(primary.address);
    let mut daemon = Daemon::start_with_faults("signals", &config, "seed=1,interrupt=2");
    let kill_timer = daemon.kill_after(TEST_TIMEOUT);
    for id in 1..=10 {
        daemon.signal("HUP");
        daemon.wait_for_log("configuration reloaded");
        let mut client = PostgresClient::connect(daemon.address);
        assert_eq!(client.execute(&write_request(id, 2_000)), ClientReply::value("value"), "request {id}");
    }
    kill_timer.cancel();
    daemon.shut_down();
}
