//! Runs a router between clients and scripted hosts during a failover of the primary: `make demo`.
//!
//! Prints how the clients' requests were answered before, during and after the failover, and any violations
//! of the router's rules.

use async_io::Async;
use comethitch_testkit::{Client, Exchange, Host, HostBehavior, Ledger, Protocol, Reply};
use comethitchd::service::protocol::Protocol as RouterProtocol;
use comethitchd::service::server;
use comethitchd::service::startup;
use comethitchd::state::clock::Clock;
use comethitchd::state::config::Config;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const HOST_NAMES: [&str; 3] = ["db-1", "db-2", "db-3"];
const HOST_LATENCY: Duration = Duration::from_millis(3);
const CLIENTS: usize = 4;
/// One in this many requests of a client is a write.
const REQUESTS_PER_WRITE: usize = 4;
const TIME_BEFORE_CRASH: Duration = Duration::from_secs(2);
const TIME_WITHOUT_PRIMARY: Duration = Duration::from_millis(500);
const TIME_AFTER_FAILOVER: Duration = Duration::from_secs(3);
/// The configured address of the discovery service. Nothing listens there.
const DISCOVERY_ADDRESS: &str = "127.0.0.1:1";
const MAX_PRINTED_VIOLATIONS: usize = 10;

fn main() {
    let ledger = Ledger::default();
    let hosts = start_hosts(&ledger);
    let router = DemoRouter::start(&hosts);
    println!(
        "Router at {}, {} hosts, and {CLIENTS} clients that send reads and writes",
        router.address,
        hosts.len()
    );
    let exchanges = run_clients(router.address, &hosts);
    router.stop();
    print_answers(&exchanges);
    check_rules(&ledger, exchanges);
}

/// Starts the hosts. The first one is the primary.
fn start_hosts(ledger: &Ledger) -> Vec<Host> {
    let start_host = |(index, name): (usize, &&str)| {
        let host = Host::start(name, Protocol::Postgres, index == 0, ledger);
        host.script(|_, _| HostBehavior::AnswerAfter(HOST_LATENCY));
        host
    };
    HOST_NAMES.iter().enumerate().map(start_host).collect()
}

/// Returns the configuration in `deploy`, with an initial endpoint list of these hosts.
fn configuration(hosts: &[Host]) -> Value {
    let entry = |(index, host): (usize, &Host)| {
        json!({"host": HOST_NAMES[index], "dial": host.address.to_string(), "site": "north", "block": 0,
            "health": "ready", "share": 1.0, "rank": if index == 0 { "source" } else { "copy" },
            "born_ms": 0})
    };
    let entries: Vec<Value> = hosts.iter().enumerate().map(entry).collect();
    let mut configuration: Value = serde_json::from_str(include_str!("../../../deploy/configuration.json"))
        .expect("deploy/configuration.json is not JSON");
    configuration["known"] = json!({"seq": 1, "whole": true, "hosts": entries});
    configuration["discovery"] = DISCOVERY_ADDRESS.into();
    configuration
}

/// A router on a separate thread.
struct DemoRouter {
    address: SocketAddr,
    stop: async_channel::Sender<()>,
    thread: JoinHandle<()>,
}

impl DemoRouter {
    fn start(hosts: &[Host]) -> DemoRouter {
        let configuration = configuration(hosts);
        let rules = include_str!("../../../deploy/statements.json");
        let listener = TcpListener::bind("127.0.0.1:0").expect("can't bind a loopback port");
        let address = listener.local_addr().expect("listener has no local address");
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::spawn(move || serve(&configuration, rules, listener, stopped));
        DemoRouter { address, stop, thread }
    }

    fn stop(self) {
        self.stop.close();
        self.thread.join().expect("router thread panicked");
    }
}

/// Runs the router until the channel is closed.
fn serve(configuration: &Value, rules: &str, listener: TcpListener, stopped: async_channel::Receiver<()>) {
    let config = Config::read(&configuration.to_string(), |_| None).expect("configuration is invalid");
    let config = config.with_statement_rules(rules).expect("deploy/statements.json is invalid");
    let protocol = RouterProtocol::postgres();
    let state = startup::start(config, Clock::start(), protocol.backend).expect("router can't be started");
    let listener = Async::new(listener).expect("listener can't be registered with the event loop");
    async_io::block_on(server::serve(state, protocol.client, vec![listener], async {
        let _ = stopped.recv().await;
    }));
}

/// A request, its answer and the time of the answer.
struct TimedExchange {
    /// Time from the start of the clients to the answer.
    answered_at: Duration,
    exchange: Exchange,
}

/// Runs all clients concurrently during a failover, and returns their requests and answers.
fn run_clients(router: SocketAddr, hosts: &[Host]) -> Vec<TimedExchange> {
    let stop = AtomicBool::new(false);
    let started = Instant::now();
    let exchanges = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (stop, exchanges) = (&stop, &exchanges);
            scope.spawn(move || run_client(client, router, started, stop, exchanges));
        }
        fail_over(hosts, started);
        stop.store(true, Ordering::SeqCst);
    });
    exchanges.into_inner().expect("client thread panicked")
}

fn run_client(
    client: usize, router: SocketAddr, started: Instant, stop: &AtomicBool,
    exchanges: &Mutex<Vec<TimedExchange>>,
) {
    let mut connection = Client::connect(Protocol::Postgres, router);
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let text = statement(client, number);
        let answer = connection.execute(&text);
        let exchange = Exchange { text, answers: vec![answer] };
        let exchange = TimedExchange { answered_at: started.elapsed(), exchange };
        exchanges.lock().expect("client thread panicked").push(exchange);
    }
}

fn statement(client: usize, number: usize) -> String {
    let key = format!("c{client}-{number}");
    if number.is_multiple_of(REQUESTS_PER_WRITE) {
        return format!("INSERT INTO monedas (lector, n) VALUES ('{key}', 1)");
    }
    format!("SELECT data FROM facts WHERE code = '{key}'")
}

/// Crashes the primary after `TIME_BEFORE_CRASH`, and promotes the second host `TIME_WITHOUT_PRIMARY` later.
fn fail_over(hosts: &[Host], started: Instant) {
    std::thread::sleep(TIME_BEFORE_CRASH);
    println!("{:4} ms: db-1, the primary, crashes", started.elapsed().as_millis());
    hosts[0].set_down(true);
    std::thread::sleep(TIME_WITHOUT_PRIMARY);
    println!("{:4} ms: failover: db-2 becomes the primary", started.elapsed().as_millis());
    hosts[1].set_primary(true);
    std::thread::sleep(TIME_AFTER_FAILOVER);
}

/// Prints a table with the number of answers of each kind in each phase.
fn print_answers(exchanges: &[TimedExchange]) {
    println!("\n| | answered | throttled | failed |\n| --- | --- | --- | --- |");
    let failover_at = TIME_BEFORE_CRASH + TIME_WITHOUT_PRIMARY;
    let phases = [
        ("before the crash", Duration::ZERO..TIME_BEFORE_CRASH),
        ("without a primary", TIME_BEFORE_CRASH..failover_at),
        ("after the failover", failover_at..Duration::MAX),
    ];
    for (name, phase) in phases {
        let count = |is_counted: fn(&Reply) -> bool| {
            let in_phase = exchanges.iter().filter(|timed| phase.contains(&timed.answered_at));
            in_phase.filter(|timed| is_counted(&timed.exchange.answers[0])).count()
        };
        let answered = count(|answer| matches!(answer, Reply::Answered(_)));
        let throttled = count(|answer| *answer == Reply::Throttled);
        let failed = count(|answer| matches!(answer, Reply::Failed(_)));
        println!("| {name} | {answered} | {throttled} | {failed} |");
    }
}

/// Checks the answers against what the hosts recorded.
///
/// # Panics
///
/// Panics if a rule was violated.
fn check_rules(ledger: &Ledger, exchanges: Vec<TimedExchange>) {
    let exchanges: Vec<Exchange> = exchanges.into_iter().map(|timed| timed.exchange).collect();
    let violations = ledger.violations(&exchanges);
    println!(
        "\n{} requests, {} attempts, {} violations",
        exchanges.len(),
        ledger.attempt_count(),
        violations.len()
    );
    violations.iter().take(MAX_PRINTED_VIOLATIONS).for_each(|violation| println!("  {violation}"));
    assert!(violations.is_empty(), "the router violated its rules");
}
