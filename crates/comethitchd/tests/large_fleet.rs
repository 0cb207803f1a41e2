//! A router with a fraction of a core in front of thousands of hosts, of which six in ten are replaced within seconds.
//!
//! The work for each event must not grow with the number of hosts that the event does not concern. Otherwise the router
//! falls behind, and requests get their final answers too late.

mod support;

use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant, SystemTime};
use support::{
    ClientReply, Daemon, Discovery, PostgresClient, ScriptedHost, answer, configuration_with_discovery,
    endpoint, read_request,
};

/// The router runs with one part in this many of a core; a build without optimisation needs more.
const CORE_PARTS: u32 = if cfg!(debug_assertions) { 3 } else { 20 };
/// Number of hosts in all shards, each of which has one primary.
const HOSTS: usize = 3_200;
/// Service time of a request at a host.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Number of clients, each with one request at a time.
const CLIENTS: u32 = 24;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(500);
/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after its timeout from which a request without an answer counts as lost.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(500);
/// Time over which hosts are replaced.
const REPLACEMENT_PERIOD: Duration = Duration::from_secs(7);
/// Number of updates of the endpoint list in this time.
const STEPS: usize = 35;
/// How long clients continue after the last update.
const AFTERWARDS: Duration = Duration::from_secs(3);
/// Version of the endpoint list that the router starts with.
const FIRST_VERSION: u64 = 7;

/// The endpoint list in discovery: the first hosts, and the changes in each later version.
struct Endpoints {
    hosts: Vec<Value>,
    changes: Vec<Vec<Value>>,
}

/// Hosts of many shards. One listener serves all primaries, and another all replicas.
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
            sleep(SERVICE_TIME);
            answer("value")
        };
        let fleet = Fleet {
            primaries: ScriptedHost::primary(serve).address,
            replicas: ScriptedHost::replica(serve).address,
            shard_size,
            endpoints: Mutex::new(Endpoints { hosts: Vec::new(), changes: Vec::new() }),
        };
        let hosts = (0..HOSTS).map(|index| fleet.entry(index, 0, "ready")).collect();
        fleet.endpoints.lock().expect("the list").hosts = hosts;
        Arc::new(fleet)
    }

    /// Returns the entry of the host at an index, either the first one or its `generation`th replacement.
    fn entry(&self, index: usize, generation: u32, health: &str) -> Value {
        let is_primary = index.is_multiple_of(self.shard_size);
        let address = if is_primary { self.primaries } else { self.replicas };
        let mut entry = endpoint(&format!("db-{index}-{generation}"), address, is_primary, health);
        entry["block"] = (index / self.shard_size).into();
        entry["born_ms"] = if generation == 0 { 0 } else { unix_ms() }.into();
        entry
    }

    /// Replaces six in ten of the replicas, a few in all shards at each step.
    fn replace_hosts(&self) {
        let is_replaced = |index: &usize| !index.is_multiple_of(self.shard_size) && index % 5 < 3;
        let replaced: Vec<usize> = (0..HOSTS).filter(is_replaced).collect();
        for step in 0..STEPS {
            let indices = replaced.iter().skip(step).step_by(STEPS);
            let changed =
                indices.flat_map(|index| [self.entry(*index, 0, "gone"), self.entry(*index, 1, "ready")]);
            self.endpoints.lock().expect("the list").changes.push(changed.collect());
            sleep(REPLACEMENT_PERIOD / STEPS as u32);
        }
    }

    /// Returns the complete list at its latest version.
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

    /// Returns the update after this many updates, if there is one.
    fn changes_after(&self, sent: usize) -> Option<String> {
        let endpoints = self.endpoints.lock().expect("the list");
        let hosts = endpoints.changes.get(sent)?;
        Some(
            json!({"seq": FIRST_VERSION + sent as u64 + 1, "whole": false, "hosts": hosts}).to_string()
                + "\n",
        )
    }

    /// Starts to answer requests for the list.
    fn serve_discovery(self: &Arc<Fleet>, discovery: Discovery) {
        let fleet = self.clone();
        spawn(move || {
            for (request, stream) in discovery.requests {
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

/// Outcomes of requests.
#[derive(Debug, Default)]
struct Outcomes {
    answered: u32,
    rejected: u32,
    /// Latencies of answers that arrived too late.
    lost: Vec<Duration>,
}

/// Sends one request after another, distributed evenly over the shards.
fn run_client(address: SocketAddr, shards: usize, ids: &AtomicU32, done: &AtomicBool) -> Outcomes {
    let mut client = PostgresClient::connect(address);
    let mut outcomes = Outcomes::default();
    while !done.load(SeqCst) {
        let id = ids.fetch_add(1, SeqCst);
        // Knuth's multiplicative hash: successive ids go to distant shards.
        let shard = id.wrapping_mul(2_654_435_761) as usize % shards;
        let text =
            read_request(id, TIMEOUT.as_millis() as u32).replace("cluster=0", &format!("cluster={shard}"));
        let sent = Instant::now();
        let reply = client.execute(&text);
        let took = sent.elapsed();
        match reply {
            _ if took > TIMEOUT + LATENESS_TOLERANCE => outcomes.lost.push(took),
            ClientReply::Value(_) => outcomes.answered += 1,
            ClientReply::Error(_) => outcomes.rejected += 1,
            other => panic!("request {id} got {other:?}"),
        }
        sleep(PAUSE);
    }
    outcomes
}

/// Replaces hosts while clients send requests, and sums up the outcomes.
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

/// Returns a configuration that starts with the fleet, and follows its discovery.
fn fleet_configuration(fleet: &Arc<Fleet>) -> Value {
    let discovery = Discovery::start();
    let hosts = fleet.endpoints.lock().expect("the list").hosts.clone();
    let mut config = configuration_with_discovery(&hosts, &discovery);
    config["known"]["seq"] = FIRST_VERSION.into();
    config["settings"]["siblings"] = 300.into();
    fleet.serve_discovery(discovery);
    config
}

/// Plays a fleet with shards of this size. No request may be lost, and most must be answered.
fn play_fleet(name: &str, shard_size: usize) {
    let fleet = Fleet::start(shard_size);
    let config = fleet_configuration(&fleet);
    let mut daemon = Daemon::start_with_faults(name, &config, &format!("share={CORE_PARTS},from_ms=2000"));
    let broken_rules = daemon.collect_log("rule broken");
    sleep(Duration::from_secs(2));
    let outcomes = play(daemon.address, &fleet);
    assert_eq!(*broken_rules.lock().expect("the lines"), Vec::<String>::new());
    assert!(outcomes.lost.is_empty(), "{outcomes:?}");
    assert!(outcomes.answered > outcomes.rejected, "{outcomes:?}");
}

#[test]
fn replacing_six_in_ten_hosts_of_many_shards_loses_no_request() {
    play_fleet("many-shards", 8);
}

#[test]
fn replacing_six_in_ten_hosts_of_large_shards_loses_no_request() {
    play_fleet("large-shards", 400);
}
