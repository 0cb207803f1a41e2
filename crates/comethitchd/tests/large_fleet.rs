//! A router with a fraction of a core in front of thousands of hosts, of which six in ten are replaced within
//! seconds.
//!
//! Guards against work per event that grows with the number of hosts which the event does not concern. It
//! would make the router fall behind, and requests would get their final answers too late.

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

/// The router gets one core divided by this number. A build without optimisation needs a larger fraction.
const CORE_DIVISOR: u32 = if cfg!(debug_assertions) { 3 } else { 20 };
/// Number of hosts in all shards, each of which has one primary.
const HOST_COUNT: usize = 3_200;
/// Service time of a request at a host.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Number of clients, each with one request at a time.
const CLIENT_COUNT: u32 = 24;
/// Pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(500);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after its timeout at which a request without a final answer counts as lost.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(500);
/// Period over which hosts are replaced.
const REPLACEMENT_PERIOD: Duration = Duration::from_secs(7);
/// Number of updates of the endpoint list in this period.
const UPDATE_COUNT: usize = 35;
/// Time for which clients continue after the last update.
const TIME_AFTER_REPLACEMENT: Duration = Duration::from_secs(3);
/// Version of the initial endpoint list of the router.
const INITIAL_VERSION: u64 = 7;

/// The endpoint list in discovery: the initial hosts, and the changes in each later version.
struct Endpoints {
    hosts: Vec<Value>,
    changes: Vec<Vec<Value>>,
}

/// The hosts of all shards. One listener serves all primaries, and another one all replicas.
struct Fleet {
    primaries: SocketAddr,
    replicas: SocketAddr,
    shard_size: usize,
    endpoints: Mutex<Endpoints>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("the time is after 1970").as_millis()
        as u64
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
        let hosts = (0..HOST_COUNT).map(|index| fleet.entry(index, 0, "ready")).collect();
        fleet.endpoints.lock().expect("no thread panics while it holds the lock").hosts = hosts;
        Arc::new(fleet)
    }

    /// Returns the endpoint list entry of the host at an index: the initial host for generation 0, and
    /// otherwise its `generation`th replacement.
    fn entry(&self, index: usize, generation: u32, health: &str) -> Value {
        let is_primary = index.is_multiple_of(self.shard_size);
        let address = if is_primary { self.primaries } else { self.replicas };
        let mut entry = endpoint(&format!("db-{index}-{generation}"), address, is_primary, health);
        entry["block"] = (index / self.shard_size).into();
        entry["born_ms"] = if generation == 0 { 0 } else { unix_ms() }.into();
        entry
    }

    /// Replaces six in ten of the replicas, a few in each update.
    fn replace_hosts(&self) {
        let is_replaced = |index: &usize| !index.is_multiple_of(self.shard_size) && index % 5 < 3;
        let replaced: Vec<usize> = (0..HOST_COUNT).filter(is_replaced).collect();
        for step in 0..UPDATE_COUNT {
            let indices = replaced.iter().skip(step).step_by(UPDATE_COUNT);
            let changed =
                indices.flat_map(|index| [self.entry(*index, 0, "gone"), self.entry(*index, 1, "ready")]);
            self.endpoints
                .lock()
                .expect("no thread panics while it holds the lock")
                .changes
                .push(changed.collect());
            sleep(REPLACEMENT_PERIOD / UPDATE_COUNT as u32);
        }
    }

    /// Returns the latest version of the complete list as a line of JSON.
    fn complete_list(&self) -> String {
        let endpoints = self.endpoints.lock().expect("no thread panics while it holds the lock");
        let mut hosts = endpoints.hosts.clone();
        for change in endpoints.changes.iter().flatten() {
            hosts.retain(|known| known["host"] != change["host"]);
            hosts.extend((change["health"] != "gone").then(|| change.clone()));
        }
        let version = INITIAL_VERSION + endpoints.changes.len() as u64;
        json!({"seq": version, "whole": true, "hosts": hosts}).to_string() + "\n"
    }

    /// Returns the update that follows the first `sent` updates as a line of JSON, or `None` if it does not
    /// exist yet.
    fn changes_after(&self, sent: usize) -> Option<String> {
        let endpoints = self.endpoints.lock().expect("no thread panics while it holds the lock");
        let hosts = endpoints.changes.get(sent)?;
        Some(
            json!({"seq": INITIAL_VERSION + sent as u64 + 1, "whole": false, "hosts": hosts}).to_string()
                + "\n",
        )
    }

    /// Starts a thread that answers requests for the list.
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
        let mut sent = (digits.parse::<u64>().ok()? - INITIAL_VERSION) as usize;
        let mut last_sent = Instant::now();
        loop {
            let line = self.changes_after(sent);
            if line.is_some() || last_sent.elapsed() > Duration::from_secs(2) {
                sent += usize::from(line.is_some());
                let line = line.unwrap_or("\n".into());
                write!(stream, "{:x}\r\n{line}\r\n", line.len()).ok()?;
                last_sent = Instant::now();
            }
            sleep(Duration::from_millis(10));
        }
    }
}

/// Outcomes of requests.
#[derive(Debug, Default)]
struct Outcomes {
    answered: u32,
    /// Requests that ended with an error in time.
    rejected: u32,
    /// Latencies of final answers that arrived too late.
    lost: Vec<Duration>,
}

/// Sends one request after another, spread evenly over the shards, until `done` is set.
fn run_client(address: SocketAddr, shards: usize, ids: &AtomicU32, done: &AtomicBool) -> Outcomes {
    let mut client = PostgresClient::connect(address);
    let mut outcomes = Outcomes::default();
    while !done.load(SeqCst) {
        let id = ids.fetch_add(1, SeqCst);
        // Knuth's multiplicative hash sends successive ids to distant shards.
        let shard = id.wrapping_mul(2_654_435_761) as usize % shards;
        let text = read_request(id, REQUEST_TIMEOUT.as_millis() as u32)
            .replace("cluster=0", &format!("cluster={shard}"));
        let sent = Instant::now();
        let reply = client.execute(&text);
        let took = sent.elapsed();
        match reply {
            _ if took > REQUEST_TIMEOUT + LATENESS_TOLERANCE => outcomes.lost.push(took),
            ClientReply::Value(_) => outcomes.answered += 1,
            ClientReply::Error(_) => outcomes.rejected += 1,
            other => panic!("request {id} must get a value or an error, but got {other:?}"),
        }
        sleep(CLIENT_PAUSE);
    }
    outcomes
}

/// Replaces hosts while clients send requests, and returns the outcomes of all clients.
fn replace_hosts_under_load(router: SocketAddr, fleet: &Fleet) -> Outcomes {
    let done = AtomicBool::new(false);
    let ids = AtomicU32::new(1);
    scope(|threads| {
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|_| {
                sleep(CLIENT_PAUSE / CLIENT_COUNT);
                threads.spawn(|| run_client(router, HOST_COUNT / fleet.shard_size, &ids, &done))
            })
            .collect();
        fleet.replace_hosts();
        sleep(TIME_AFTER_REPLACEMENT);
        done.store(true, SeqCst);
        let mut all = Outcomes::default();
        for client in clients {
            let outcomes = client.join().expect("the thread ends without a panic");
            all.answered += outcomes.answered;
            all.rejected += outcomes.rejected;
            all.lost.extend(outcomes.lost);
        }
        all
    })
}

/// Returns a configuration whose initial endpoint list is the fleet, and that follows its discovery service.
fn fleet_configuration(fleet: &Arc<Fleet>) -> Value {
    let discovery = Discovery::start();
    let hosts = fleet.endpoints.lock().expect("no thread panics while it holds the lock").hosts.clone();
    let mut config = configuration_with_discovery(&hosts, &discovery);
    config["known"]["seq"] = INITIAL_VERSION.into();
    config["settings"]["siblings"] = 300.into();
    fleet.serve_discovery(discovery);
    config
}

/// Replaces hosts of a fleet with shards of this size. Asserts that no request is lost, that more requests
/// are answered than rejected, and that the daemon reports no broken rule.
fn assert_no_request_lost(name: &str, shard_size: usize) {
    let fleet = Fleet::start(shard_size);
    let config = fleet_configuration(&fleet);
    let mut daemon = Daemon::start_with_faults(name, &config, &format!("share={CORE_DIVISOR},from_ms=2000"));
    let broken_rules = daemon.collect_log("rule broken");
    sleep(Duration::from_secs(2));
    let outcomes = replace_hosts_under_load(daemon.address, &fleet);
    assert_eq!(
        *broken_rules.lock().expect("no thread panics while it holds the lock"),
        Vec::<String>::new(),
        "the daemon must not report a broken rule"
    );
    assert!(outcomes.lost.is_empty(), "no request may be lost: {outcomes:?}");
    assert!(outcomes.answered > outcomes.rejected, "most requests must be answered: {outcomes:?}");
}

#[test]
fn replacing_six_in_ten_hosts_of_many_shards_loses_no_request() {
    assert_no_request_lost("many-shards", 8);
}

#[test]
fn replacing_six_in_ten_hosts_of_large_shards_loses_no_request() {
    assert_no_request_lost("large-shards", 400);
}
