//! The program while the system's calls fail as Linux documents that they may: interrupted reads and writes, sockets
//! that can't be made for a moment, and a wall clock that is wrong.

mod support;

use std::io::Write;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, SystemTime};
use support::*;

/// An hour, as the settings of faults take it.
const HOUR_MS: i64 = 3_600_000;
/// How often a client asks until the router has learned what it needs; each time it waits for the answer.
const MAX_ASKS: u32 = 60;
/// The wait between two of these.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

fn wall_clock_wrong_by(ms: i64) -> String {
    format!("wall_ms={ms}")
}

#[test]
fn interrupted_reads_and_writes_lose_no_command() {
    let primary = host(true, |_, _| answer("value"));
    let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    // Every other read and write of a socket is interrupted.
    let program = Program::start_with_faults("interrupted", &all, "seed=1,interrupt=2");
    let mut client = Client::connect(program.address);
    for id in 1..=20 {
        assert_eq!(client.ask(&write(id, 2_000)), ClientReply::Value(b"value".to_vec()), "command {id}");
    }
    // Also those that wait behind another.
    let pipelined: Vec<u8> = (21..=40).flat_map(|id| query(&write(id, 2_000))).collect();
    client.0.write_all(&pipelined).expect("sent");
    for id in 21..=40 {
        assert_eq!(client.receive(), ClientReply::Value(b"value".to_vec()), "command {id}");
    }
    program.signal("TERM");
    program.ends();
}

#[test]
fn a_wall_clock_an_hour_behind_allows_no_read_from_stale_data() {
    let primary = host(true, |_, _| answer("new"));
    let stands_still = SystemTime::now() - Duration::from_secs(10);
    let replica = host_since(false, |_, _| answer("stale"), Some((stands_still, Duration::ZERO)));
    let hosts = [entry("p", primary.address, true, "ready"), entry("r", replica.address, false, "ready")];
    let all = configuration(&hosts, None, 1024);
    let program = Program::start_with_faults("behind", &all, &wall_clock_wrong_by(-HOUR_MS));
    let mut client = Client::connect(program.address);
    let replies: Vec<ClientReply> = (1..=20).map(|id| client.ask(&read(id, 600))).collect();
    assert!(!replies.contains(&ClientReply::Value(b"stale".to_vec())), "{replies:?}");
    assert!(replies.contains(&ClientReply::Value(b"new".to_vec())), "the primary serves: {replies:?}");
    program.signal("TERM");
    program.ends();
}

#[test]
fn a_wall_clock_an_hour_ahead_keeps_replicas_in_use() {
    let primary = host(true, |_, _| answer("primary"));
    let replica = host(false, |_, _| answer("replica"));
    let hosts = [entry("p", primary.address, true, "ready"), entry("r", replica.address, false, "ready")];
    let all = configuration(&hosts, None, 1024);
    let program = Program::start_with_faults("ahead", &all, &wall_clock_wrong_by(HOUR_MS));
    let mut client = Client::connect(program.address);
    let served_by_replica = (1..=MAX_ASKS).any(|id| {
        std::thread::sleep(ASK_INTERVAL);
        client.ask(&read(id, 600)) == ClientReply::Value(b"replica".to_vec())
    });
    assert!(served_by_replica, "no read reached the replica");
    program.signal("TERM");
    program.ends();
}

#[test]
fn a_shortage_of_sockets_at_the_start_delays_it_only() {
    let primary = host(true, |_, _| answer("value"));
    let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    let program = Program::start_with_faults("no-socket", &all, "seed=1,socket_first=3");
    let mut client = Client::connect(program.address);
    assert_eq!(client.ask(&write(1, 2_000)), ClientReply::Value(b"value".to_vec()));
    program.signal("TERM");
    program.ends();
}

#[test]
fn a_log_that_cannot_be_written_loses_no_command() {
    const FULL_FROM: Duration = Duration::from_millis(500);
    let primary = host(true, |_, _| answer("value"));
    let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    let settings = format!("seed=1,stderr=1,from_ms={}", FULL_FROM.as_millis());
    let program = Program::start_with_faults("full-log", &all, &settings);
    std::thread::sleep(FULL_FROM);
    let mut client = Client::connect(program.address);
    for id in 1..=10 {
        // There is no such shard: it is throttled, which is logged.
        let elsewhere = write(id, 300).replace("cluster=0", "cluster=1");
        assert_eq!(client.ask(&elsewhere), ClientReply::Error("53300".into()), "command {id}");
        assert_eq!(client.ask(&write(100 + id, 2_000)), ClientReply::Value(b"value".to_vec()));
    }
    program.signal("TERM");
    program.ends();
}

#[test]
fn a_rule_broken_by_a_process_held_up_behind_the_check_is_counted() {
    let primary = host(true, |_, _| answer("value"));
    let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    // Each write is held up for longer than the request's client waits: it leaves after its deadline.
    let mut program = Program::start_with_faults("held-up", &all, "seed=1,hold=1,hold_ms=300,from_ms=1000");
    let done = program.ends_after(TEST_TIMEOUT);
    let mut client = Client::connect(program.address);
    assert_eq!(client.ask(&write(1, 2_000)), ClientReply::Value(b"value".to_vec()));
    std::thread::sleep(Duration::from_secs(1));
    let _ = client.ask(&write(2, 250));
    program.logs("rule broken rule=sent_after_deadline subject=2");
    done.store(true, SeqCst);
    program.signal("TERM");
    program.ends();
}

#[test]
fn interrupted_signals_neither_stop_a_router_nor_get_lost() {
    let primary = host(true, |_, _| answer("value"));
    let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    let mut program = Program::start_with_faults("signals", &all, "seed=1,interrupt=2");
    let done = program.ends_after(TEST_TIMEOUT);
    for id in 1..=10 {
        program.signal("HUP");
        program.logs("configuration reloaded");
        let mut client = Client::connect(program.address);
        assert_eq!(client.ask(&write(id, 2_000)), ClientReply::Value(b"value".to_vec()), "command {id}");
    }
    done.store(true, SeqCst);
    program.signal("TERM");
    program.ends();
}
