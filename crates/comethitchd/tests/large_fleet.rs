//! A router that has a small part of a core, in front of thousands of hosts of which six in ten are replaced within
//! seconds. What it does for each event must not grow with the hosts that the event has nothing to do with: else it falls
//! behind, and requests get their final answers too late.

mod support;

use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant, SystemTime};
use support::*;

/// The router has this part of a core: a twentieth, or as much more as a build without optimisation needs.
const CORE_PARTS: u32 = if cfg!(debug_assertions) { 3 } else { 20 };
/// Hosts in all. A group of them has one primary, and replicas besides.
const HOSTS: usize = 3_200;
/// How long a host takes for a request.
const WORK: Duration = Duration::from_millis(30);
/// Clients, each with one request at a time, and how long each waits between two.
const CLIENTS: u32 = 24;
const PAUSE: Duration = Duration::from_millis(500);
/// How long a client waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// An answer that comes later than this after the client's timeout counts as lost.
const LATENESS_ALLOWED: Duration = Duration::from_millis(500);
/// Hosts are replaced over this time, and clients go on for as long after it.
const REPLACEMENT: Duration = Duration::from_secs(7);
const STEPS: usize = 35;
const AFTERWARDS: Duration = Duration::from_secs(3);
/// The first version of the endpoint list: the one that the router is started with.
const FIRST_VERSION: u64 = 7;

/// The endpoint list as discovery has it: all hosts, and what each version has changed.
struct Endpoints {
    hosts: Vec<Value>,
    changes: Vec<Vec<Value>>,
}

/// Hosts of many groups. All primaries are played by one listener, and all replicas by another.
struct Fleet {
    primaries: SocketAddr,
    replicas: SocketAddr,
    shard_size: usize,
    endpoints: Mutex<Endpoints>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a clock").as_millis() as u64
}

impl Fleet {
    fn start(shard_size: usize) -> Arc<Fleet> {
        let serve = |_: usize, _: &str| {
            sleep(WORK);
            HostAction::Answer(row(b"value"))
        };
        let fleet = Fleet {
            primaries: host(true, serve).address,
            replicas: host(false, serve).address,
            shard_size,
            endpoints: Mutex::new(Endpoints { hosts: Vec::new(), changes: Vec::new() }),
        };
        let hosts = (0..HOSTS).map(|index| fleet.entry(index, 0, "ready")).collect();
        fleet.endpoints.lock().expect("the list").hosts = hosts;
        Arc::new(fleet)
    }

    /// The host at a place in the fleet, as it was first or as its `generation`th replacement.
    fn entry(&self, index: usize, generation: u32, health: &str) -> Value {
        let is_primary = index.is_multiple_of(self.shard_size);
        let address = if is_primary { self.primaries } else { self.replicas };
        let mut entry = entry(&format!("db-{index}-{generation}"), address, is_primary, health);
        entry["block"] = (index / self.shard_size).into();
        entry["born_ms"] = if generation == 0 { 0 } else { unix_ms() }.into();
        entry
    }

    /// Replaces six in ten of the replicas, a few of all groups at each step.
    fn replace_hosts(&self) {
        let is_replaced = |index: &usize| !index.is_multiple_of(self.shard_size) && index % 5 < 3;
        let replaced: Vec<usize> = (0..HOSTS).filter(is_replaced).collect();
        for step in 0..STEPS {
            let indices = replaced.iter().skip(step).step_by(STEPS);
            let changed =
                indices.flat_map(|index| [self.entry(*index, 0, "gone"), self.entry(*index, 1, "ready")]);
            self.endpoints.lock().expect("the list").changes.push(changed.collect());
            sleep(REPLACEMENT / STEPS as u32);
        }
    }

    /// The complete list at its latest version.
    fn complete_list(&self) -> String {
        let endpoints = self.endpoints.lock().expect("the list");
        let mut hosts = endpoints.hosts.clone();
        for change in endpoints.changes.iter().flatten() {
            hosts.retain(|known| known["host"] != change["host"]);
            hosts.extend((change["health"] != "gone").then(|| change.clone()));
        }
        let version = FIRST_VERSION + endpoints.changes.len() as u64;
        json!({"seq": version, "whole": true, "hosts": hosts}).to_string() + "\n"
    }

    /// What changed after this many changes, if anything did.
    fn changes_after(&self, sent: usize) -> Option<String> {
        let endpoints = self.endpoints.lock().expect("the list");
        let hosts = endpoints.changes.get(sent)?;
        Some(
            json!({"seq": FIRST_VERSION + sent as u64 + 1, "whole": false, "hosts": hosts}).to_string()
                + "\n",
        )
    }

    /// Answers requests for the list for ever.
    fn serve_discovery(self: &Arc<Fleet>, discovery: Discovery) {
        let fleet = self.clone();
        spawn(move || {
            for (request, stream) in discovery.asked {
                let fleet = fleet.clone();
                spawn(move || fleet.answer_discovery(&request, stream));
            }
        });
    }

    fn answer_discovery(&self, request: &str, mut stream: TcpStream) -> Option<()> {
        let Some((_, since)) = request.split_once("since=") else {
            let list = self.complete_list();
            return write!(stream, "{:x}\r\n{list}\r\n0\r\n\r\n", list.len()).ok();
        };
        let digits: String = since.chars().take_while(char::is_ascii_digit).collect();
        let mut sent = (digits.parse::<u64>().ok()? - FIRST_VERSION) as usize;
        let mut quiet = Instant::now();
        loop {
            let line = self.changes_after(sent);
            if line.is_some() || quiet.elapsed() > Duration::from_secs(2) {
                sent += usize::from(line.is_some());
                let line = line.unwrap_or("\n".into());
                write!(stream, "{:x}\r\n{line}\r\n", line.len()).ok()?;
                quiet = Instant::now();
            }
            sleep(Duration::from_millis(10));
        }
    }
}

/// What became of a client's requests.
#[derive(Debug, Default)]
struct Outcomes {
    answered: u32,
    rejected: u32,
    /// Answers that came too late, by how long after the request was sent.
    lost: Vec<Duration>,
}

/// Sends one request after the other, each to a group drawn evenly.
fn run_client(address: SocketAddr, groups: usize, ids: &AtomicU32, done: &AtomicBool) -> Outcomes {
    let mut client = Client::connect(address);
    let mut outcomes = Outcomes::default();
    while !done.load(SeqCst) {
        let id = ids.fetch_add(1, SeqCst);
        // Knuth's multiplicative hash: neighbouring ids go to groups far apart.
        let group = id.wrapping_mul(2_654_435_761) as usize % groups;
        let text = read(id, TIMEOUT.as_millis() as u32).replace("cluster=0", &format!("cluster={group}"));
        let sent = Instant::now();
        let reply = client.ask(&text);
        let took = sent.elapsed();
        match reply {
            _ if took > TIMEOUT + LATENESS_ALLOWED => outcomes.lost.push(took),
            ClientReply::Value(_) => outcomes.answered += 1,
            ClientReply::Error(_) => outcomes.rejected += 1,
            other => panic!("command {id} got {other:?}"),
        }
        sleep(PAUSE);
    }
    outcomes
}

/// Plays the replacement of hosts before clients that go on all the time, and adds up what they got.
fn play(router: SocketAddr, fleet: &Fleet) -> Outcomes {
    let done = AtomicBool::new(false);
    let ids = AtomicU32::new(1);
    scope(|threads| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                sleep(PAUSE / CLIENTS);
                threads.spawn(|| run_client(router, HOSTS / fleet.shard_size, &ids, &done))
            })
            .collect();
        fleet.replace_hosts();
        sleep(AFTERWARDS);
        done.store(true, SeqCst);
        let mut all = Outcomes::default();
        for client in clients {
            let outcomes = client.join().expect("a client");
            all.answered += outcomes.answered;
            all.rejected += outcomes.rejected;
            all.lost.extend(outcomes.lost);
        }
        all
    })
}

/// A configuration that knows the fleet, and follows its discovery.
fn fleet_configuration(fleet: &Arc<Fleet>) -> Value {
    let discovery = discovery();
    let hosts = fleet.endpoints.lock().expect("the list").hosts.clone();
    let mut all = configuration(&hosts, Some(&discovery), 1024);
    all["known"]["seq"] = FIRST_VERSION.into();
    all["settings"]["siblings"] = 300.into();
    fleet.serve_discovery(discovery);
    all
}

/// Plays a fleet of groups of this size, of which no request may be lost and most must be answered.
fn play_fleet(name: &str, shard_size: usize) {
    let fleet = Fleet::start(shard_size);
    let all = fleet_configuration(&fleet);
    let mut program = Program::start_with_faults(name, &all, &format!("share={CORE_PARTS},from_ms=2000"));
    let broken_rules = program.collect_log("rule broken");
    sleep(Duration::from_secs(2));
    let outcomes = play(program.address, &fleet);
    assert_eq!(*broken_rules.lock().expect("the lines"), Vec::<String>::new());
    assert!(outcomes.lost.is_empty(), "{outcomes:?}");
    assert!(outcomes.answered > outcomes.rejected, "{outcomes:?}");
}

#[test]
fn replacing_six_in_ten_hosts_of_many_shards_loses_no_request() {
    play_fleet("many-groups", 8);
}

#[test]
fn replacing_six_in_ten_hosts_of_large_shards_loses_no_request() {
    play_fleet("large-groups", 400);
}
