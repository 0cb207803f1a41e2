//! Measures the processor time per request of the router for each protocol, compared with a plain forwarder of bytes,
//! on loopback. Prints the table of docs/measured/fronts.md:
//!
//!     cargo run --release -p comethitchd --example fronts

use async_executor::LocalExecutor;
use async_io::Async;
use comethitch_testkit::{Client, Host, Ledger, Protocol, Reply};
use comethitchd::protocols::tds::settings::TdsSettings;
use comethitchd::service::protocol::Protocol as RouterProtocol;
use comethitchd::service::server;
use comethitchd::service::startup;
use comethitchd::state::clock::Clock;
use comethitchd::state::config::Config;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Instant;

const CLIENTS: usize = 8;
const REQUESTS_PER_CLIENT: usize = 4_000;
const ROUNDS: usize = 5;

/// Returns the processor time of this thread, in microseconds.
fn thread_cpu_us() -> f64 {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    used.tv_sec as f64 * 1e6 + used.tv_nsec as f64 / 1e3
}

/// A router or forwarder between the clients and the host, on a separate thread.
struct Intermediary {
    address: SocketAddr,
    stop: async_channel::Sender<()>,
    /// Returns the processor time of the thread, in microseconds.
    thread: JoinHandle<f64>,
}

fn start_router(protocol: Protocol, host: &Host) -> Intermediary {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let mut configuration: Value =
        serde_json::from_str(include_str!("../../../deploy/configuration.json")).expect("JSON");
    configuration["known"] = json!({"seq": 1, "whole": true, "hosts": [{"host": "p", "dial": host.address.to_string(),
        "site": "north", "block": 0, "health": "ready", "share": 1.0, "rank": "source", "born_ms": 0}]});
    configuration["discovery"] = "127.0.0.1:1".into();
    let rules = json!({
        "dialect": if protocol == Protocol::Tds { "tsql" } else { "postgres" },
        "disagreement": "refuse", "commentless": {"wait_ms": 3000}, "elsewhere": 0,
        "groups": [{"group": "read", "effects": ["read"]},
            {"group": "write", "effects": ["locking_read", "session", "write", "unknown"]}]
    });
    let thread = std::thread::spawn(move || {
        let config = Config::read(&configuration.to_string(), |_| None).expect("a configuration");
        let config = config.with_statement_rules(&rules.to_string()).expect("rules");
        let listener = Async::new(listener).expect("a listener");
        let protocol = match protocol {
            Protocol::Postgres => RouterProtocol::postgres(),
            Protocol::Tds => {
                let settings = TdsSettings::read(include_str!("../../../deploy/tds.json")).expect("settings");
                RouterProtocol::tds(settings, &config).expect("a protocol")
            }
        };
        let state = startup::start(config, Clock::start(), protocol.backend).expect("a router");
        async_io::block_on(server::serve(state, protocol.client, vec![listener], async {
            let _ = stopped.recv().await;
        }));
        thread_cpu_us()
    });
    Intermediary { address, stop, thread }
}

/// Starts a forwarder with a connection to the host for each client.
fn start_forwarder(host: SocketAddr) -> Intermediary {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let thread = std::thread::spawn(move || {
        let tasks = LocalExecutor::new();
        let listener = Async::new(listener).expect("a listener");
        let accept = async {
            loop {
                let (client, _) = listener.accept().await.expect("a client");
                tasks.spawn(forward(client, host)).detach();
            }
        };
        let stopped = async {
            let _ = stopped.recv().await;
        };
        async_io::block_on(tasks.run(or(accept, stopped)));
        thread_cpu_us()
    });
    Intermediary { address, stop, thread }
}

/// Forwards the bytes of a client's connection in both directions.
async fn forward(client: Async<TcpStream>, host: SocketAddr) {
    let host = Async::<TcpStream>::connect(host).await.expect("the host");
    let _ = client.get_ref().set_nodelay(true);
    let _ = host.get_ref().set_nodelay(true);
    or(copy(&client, &host), copy(&host, &client)).await;
}

async fn copy(mut from: &Async<TcpStream>, mut to: &Async<TcpStream>) {
    let mut bytes = [0; 8 * 1024];
    while let Ok(length @ 1..) = from.read(&mut bytes).await {
        if to.write_all(&bytes[..length]).await.is_err() {
            break;
        }
    }
}

/// Processor time and throughput of one round.
struct Measurement {
    /// Processor time of the intermediary per request, in microseconds.
    cpu_us: f64,
    requests_per_second: f64,
}

/// Runs all clients concurrently through a new intermediary.
fn measure(case: &Case) -> Measurement {
    let host = Host::start("p", case.protocol, true, &Ledger::default());
    let intermediary =
        if case.is_forwarder { start_forwarder(host.address) } else { start_router(case.protocol, &host) };
    let began = Instant::now();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let address = intermediary.address;
            scope.spawn(move || run_client(client, case.protocol, address));
        }
    });
    let requests = (CLIENTS * REQUESTS_PER_CLIENT) as f64;
    let requests_per_second = requests / began.elapsed().as_secs_f64();
    intermediary.stop.close();
    let cpu_us = intermediary.thread.join().expect("no panic") / requests;
    Measurement { cpu_us, requests_per_second }
}

fn run_client(client: usize, protocol: Protocol, address: SocketAddr) {
    let mut connection = Client::connect(protocol, address);
    for number in 0..REQUESTS_PER_CLIENT {
        let key = format!("k{client}-{number}");
        let text = format!("INSERT INTO monedas (lector, n) VALUES ('{key}', 1)");
        assert_eq!(connection.execute(&text), Reply::Answered(key));
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// An intermediary to measure.
struct Case {
    name: &'static str,
    protocol: Protocol,
    is_forwarder: bool,
}

const CASES: [Case; 4] = [
    Case { name: "a plain forwarder, PostgreSQL", protocol: Protocol::Postgres, is_forwarder: true },
    Case { name: "a plain forwarder, TDS", protocol: Protocol::Tds, is_forwarder: true },
    Case { name: "the router, PostgreSQL", protocol: Protocol::Postgres, is_forwarder: false },
    Case { name: "the router, TDS", protocol: Protocol::Tds, is_forwarder: false },
];

fn main() {
    println!("| between clients and host | CPU per request | requests per second |\n| --- | --- | --- |");
    // Alternated, so that other load of the machine affects all cases alike.
    let mut rounds: Vec<Vec<Measurement>> = Vec::new();
    for _ in 0..ROUNDS {
        rounds.push(CASES.iter().map(measure).collect());
    }
    for (index, case) in CASES.iter().enumerate() {
        let cpu = median(rounds.iter().map(|round| round[index].cpu_us).collect());
        let rate = median(rounds.iter().map(|round| round[index].requests_per_second).collect());
        println!("| {} | {cpu:.1} µs | {rate:.0} |", case.name);
    }
}
