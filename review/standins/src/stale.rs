//! Case: a read that must see all earlier writes is sent to a host that has already told the router that it is
//! no longer primary, because its connection came up late.
//!
//! The primary `a` hangs and `b` takes over. When `a` goes on, as a replica and behind, some reads of the quiet
//! router n1 reuse connections to `a`, and others need new connections, which come up late.

use crate::common::{
    Answer, Client, HostBehaviour, HostQuery, Record, Router, endpoint_list, error_answer, read_text, row_answer,
    start_discovery, start_host, unix_us, write_text,
};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("lector.json");
const ROUNDS: usize = 3;
/// Reads that n1 gets at the same time once `a` goes on.
const READS: usize = 5;
const WORK: Duration = Duration::from_millis(30);
/// A third of the connections come up late while the trouble lasts; the connect timeout is 250 ms.
const LATE_GREETING: Duration = Duration::from_millis(225);
/// Time from the hang to the takeover: given up after up to 2.9 s, taken over up to 3.3 s later.
const TAKEOVER: Duration = Duration::from_millis(6_000);
/// Length of the hang, 8.2 to 23 s.
const HANG: Duration = Duration::from_millis(8_300);
/// Seconds of the log that a replica applies in a second while it catches up: its one thread is busy 34 to 57%
/// of the time otherwise.
const APPLY_SPEED: f64 = 2.0;
/// What an answer tells counts as known this long after it was written, with the slack of 50 ms on sockets.
const TOLD_AFTER_MS: f64 = 150.0;
/// The key that is read and written.
const KEY: &str = "7f3a9c21e0b4d655";

/// A committed write: when, and its version of the value.
#[derive(Clone, Copy)]
struct Commit {
    at_us: u64,
    version: u32,
}

/// The group of `a` and `b`.
#[derive(Default)]
struct Group {
    commits: Vec<Commit>,
    /// Whether the trouble has begun, and until when `a` hangs.
    hang: Option<(Instant, Instant)>,
    hang_began_us: u64,
    hang_ended_us: u64,
    taken_over_us: u64,
    /// Number of connections of n1 to `a` since the trouble began.
    connections_to_a: usize,
    /// When `a` first wrote an answer to n1 that names it a replica, in ms of the record.
    told_at: Option<f64>,
    /// Each read of n1 at `a`: when its last byte arrived, and the version that it was answered with.
    reads_at_a: BTreeMap<String, (f64, u32)>,
}

impl Group {
    /// Returns whether a host is primary, or `None` while nobody is.
    fn is_primary(&self, name: &str) -> bool {
        match self.hang {
            None => name == "a",
            Some((began, _)) => name == "b" && began.elapsed() >= TAKEOVER,
        }
    }

    fn hangs(&self, name: &str) -> bool {
        name == "a" && self.hang.is_some_and(|(_, until)| Instant::now() < until)
    }

    /// Returns the time up to which a host has applied all commits.
    fn position_us(&self, name: &str) -> u64 {
        let now = unix_us();
        if self.is_primary(name) {
            return now;
        }
        match self.hang {
            // A replica gets the log some milliseconds late.
            None => now - 10_000,
            // Positions stand still while the group has no primary.
            Some((began, _)) if began.elapsed() < TAKEOVER => self.hang_began_us,
            // `a` applies what has been committed since the takeover.
            Some(_) => {
                let applied = (now.saturating_sub(self.hang_ended_us)) as f64 * APPLY_SPEED;
                (self.taken_over_us + applied as u64).min(now - 10_000)
            }
        }
    }

    fn version_at(&self, name: &str) -> u32 {
        let position = self.position_us(name);
        let applied = self.commits.iter().filter(|commit| commit.at_us <= position);
        applied.map(|commit| commit.version).max().unwrap_or(0)
    }
}

/// A host as one router reaches it: each router has an address of its own for it.
struct Host {
    name: &'static str,
    router: &'static str,
    group: Arc<Mutex<Group>>,
    record: Record,
}

impl Host {
    fn wait_while_hung(&self) {
        while self.group.lock().unwrap().hangs(self.name) {
            sleep(Duration::from_millis(1));
        }
    }
}

impl HostBehaviour for Host {
    fn greeting_delay(&self) -> Duration {
        self.wait_while_hung();
        let mut group = self.group.lock().unwrap();
        if self.name == "a" && self.router == "n1" && group.hang.is_some() {
            group.connections_to_a += 1;
            if group.connections_to_a % 3 == 1 {
                self.record.line("a connection of n1 to a comes up late");
                return LATE_GREETING;
            }
        }
        Duration::from_millis(5)
    }

    fn query(&self, stream: &mut TcpStream, query: &HostQuery) -> io::Result<()> {
        let arrived = self.record.ms();
        let hung = self.group.lock().unwrap().hangs(self.name);
        self.wait_while_hung();
        if query.is_probe() {
            let group = self.group.lock().unwrap();
            let (position, is_primary) = (group.position_us(self.name) / 1_000, group.is_primary(self.name));
            drop(group);
            let (seconds, ms) = (position / 1_000, position % 1_000);
            let report = format!("x0={seconds}.{ms:03},x1={},queue=0", u8::from(is_primary));
            return stream.write_all(&row_answer(&report, "SHOW", is_primary, None));
        }
        self.record.line(&format!("host {}: id={} arrived at {arrived:.1}", self.name, query.id));
        if query.is_write {
            return self.write(stream, query, hung);
        }
        sleep(WORK);
        let mut group = self.group.lock().unwrap();
        let (version, is_primary) = (group.version_at(self.name), group.is_primary(self.name));
        if self.name == "a" && self.router == "n1" {
            group.reads_at_a.insert(query.id.clone(), (arrived, version));
        }
        drop(group);
        stream.write_all(&row_answer(&version.to_string(), "SELECT 1", is_primary, None))?;
        let role = if is_primary { "source" } else { "copy" };
        self.record.line(&format!("host {}: id={} answered with version {version}, rank={role}", self.name, query.id));
        if !is_primary && self.name == "a" && self.router == "n1" {
            self.group.lock().unwrap().told_at.get_or_insert(self.record.ms());
        }
        Ok(())
    }
}

impl Host {
    fn write(&self, stream: &mut TcpStream, query: &HostQuery, hung: bool) -> io::Result<()> {
        if !self.group.lock().unwrap().is_primary(self.name) {
            // A write that the old primary still held ends in an error; other writes are turned away.
            let code = if hung { "XX000" } else { "25006" };
            return stream.write_all(&error_answer(code, false));
        }
        sleep(WORK);
        let mut group = self.group.lock().unwrap();
        if !group.is_primary(self.name) {
            drop(group);
            return stream.write_all(&error_answer("XX000", false));
        }
        let commit = Commit { at_us: unix_us(), version: group.commits.len() as u32 + 1 };
        group.commits.push(commit);
        drop(group);
        self.record.line(&format!("host {}: id={} committed version {}", self.name, query.id, commit.version));
        stream.write_all(&row_answer(&commit.version.to_string(), "INSERT 0 1", true, Some(commit.at_us / 1_000 + 1)))
    }
}

/// Returns whether the rule was kept.
pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let (mut kept, mut tested) = (true, 0);
    for round in 0..ROUNDS {
        let verdict = play(record, trouble, round)?;
        kept &= verdict != Some(false);
        tested += usize::from(verdict.is_some());
    }
    if tested == 0 {
        return Err(io::Error::other("no round came to the point"));
    }
    Ok(kept)
}

/// Plays one round. Returns whether the rule was kept, or `None` if the round did not come to the point: the
/// reads did not overlap as needed.
fn play(record: &Record, trouble: bool, round: usize) -> io::Result<Option<bool>> {
    record.line(&format!("round {round}"));
    let group = Arc::new(Mutex::new(Group::default()));
    let host =
        |name, router| start_host(Arc::new(Host { name, router, group: group.clone(), record: record.clone() }));
    let list = |router| endpoint_list(&[("a", host("a", router), "north", true), ("b", host("b", router), "south", false)]);
    // The list names a new primary 2.6 to 4.8 s after the takeover; the round ends before that.
    let settings = SETTINGS.replace(r#""siblings":1"#, r#""siblings":2"#);
    let start = |router| {
        let list = list(router);
        Router::start(router, start_discovery(list.clone()), &list, &settings)
    };
    let quiet = start("n1")?;
    let busy = start("n2")?;

    let mut first = Client::connect(quiet.address)?;
    for count in 0..20 {
        let id = format!("n1r{round}warm{count}");
        record.line(&format!("{id}: {:?}", first.request(&read_text(&id, "fresh", 750, KEY))));
    }
    // The writes of the other router's client go on through the whole round.
    let done = Arc::new(Mutex::new(false));
    let acknowledged = Arc::new(Mutex::new(0u32));
    let writer = start_writer(busy.address, record, round, &done, &acknowledged);
    sleep(Duration::from_millis(600));

    if trouble {
        let mut group = group.lock().unwrap();
        let now = Instant::now();
        let now_us = unix_us();
        group.hang = Some((now, now + HANG));
        group.hang_began_us = now_us;
        group.hang_ended_us = now_us + HANG.as_micros() as u64;
        group.taken_over_us = now_us + TAKEOVER.as_micros() as u64;
        record.line("host a hangs");
    }
    sleep(HANG - Duration::from_millis(270));
    // The router closes connections that rest for ten seconds.
    let mut clients = Vec::new();
    for _ in 0..READS {
        clients.push(Client::connect(quiet.address)?);
    }
    sleep(Duration::from_millis(300));
    let needed = *acknowledged.lock().unwrap();
    record.line(&format!("version {needed} has been acknowledged; {READS} reads are sent to n1"));
    let ids: Vec<String> = (0..READS).map(|read| format!("n1r{round}read{read}")).collect();
    for (id, client) in ids.iter().zip(&mut clients) {
        client.send(&read_text(id, "fresh", 750, KEY))?;
    }
    let answers: Vec<Answer> = clients.iter_mut().map(Client::receive).collect();
    for (id, answer) in ids.iter().zip(&answers) {
        record.line(&format!("{id}: {answer:?}"));
    }
    *done.lock().unwrap() = true;
    let _ = writer.join();
    let group = group.lock().unwrap();
    Ok(judge(record, &group, needed, &ids, &answers, trouble))
}

fn judge(
    record: &Record, group: &Group, needed: u32, ids: &[String], answers: &[Answer], trouble: bool,
) -> Option<bool> {
    let mut kept = true;
    for (id, answer) in ids.iter().zip(answers) {
        let Answer::Served(version) = answer else { continue };
        let version: u32 = version.parse().unwrap_or(0);
        if version >= needed {
            continue;
        }
        let sent_at = group.reads_at_a.get(id).map_or(0.0, |(arrived, _)| *arrived);
        let excused = group.told_at.is_none_or(|told| sent_at <= told + TOLD_AFTER_MS);
        let told = group.told_at.map_or("never".into(), |told| format!("at {told:.1}"));
        record.say(&format!(
            "{id}: served with version {version}, older than {needed}; sent at {sent_at:.1}, n1 was told {told}: {}",
            if excused { "excused" } else { "BROKEN" }
        ));
        kept &= excused;
    }
    // Without a write after the takeover, nothing could be too old.
    let came_to_the_point = !trouble || group.commits.last().is_some_and(|last| last.at_us > group.taken_over_us);
    came_to_the_point.then_some(kept)
}

fn start_writer(
    router: SocketAddr, record: &Record, round: usize, done: &Arc<Mutex<bool>>, acknowledged: &Arc<Mutex<u32>>,
) -> std::thread::JoinHandle<()> {
    let (record, done, acknowledged) = (record.clone(), done.clone(), acknowledged.clone());
    spawn(move || {
        let Ok(mut client) = Client::connect(router) else { return };
        for count in 0.. {
            if *done.lock().unwrap() {
                return;
            }
            let id = format!("n2r{round}w{count}");
            let answer = client.request(&write_text(&id, "write", 1500, KEY));
            record.line(&format!("{id}: {answer:?}"));
            match answer {
                Answer::Served(version) => *acknowledged.lock().unwrap() = version.parse().unwrap_or(0),
                Answer::Nothing => match Client::connect(router) {
                    Ok(again) => client = again,
                    Err(_) => return,
                },
                Answer::Error(_) => {}
            }
            sleep(Duration::from_millis(100));
        }
    })
}
