//! Measures the CPU time that the router uses per request on loopback, for each protocol, and compares it
//! with that of a plain byte forwarder. Prints the table of docs/measured/fronts.md:
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
/// Number of measurements of each case; the table shows their medians.
const ROUNDS: usize = 5;

/// Returns the CPU time that this thread has used, in microseconds.
fn thread_cpu_us() -> f64 {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    used.tv_sec as f64 * 1e6 + used.tv_nsec as f64 / 1e3
}

/// A router or forwarder between the clients and the host, on a separate thread.
struct Intermediary {
    address: SocketAddr,
    stop: async_channel::Sender<()>,
    /// Returns the CPU time that the thread has used, in microseconds.
    thread: JoinHandle<f64>,
}

fn start_router(protocol: Protocol, host: &Host) -> Intermediary {
    let listener = TcpListener::bind("127.0.0.1:0").expect("can't bind a loopback port");
    let address = listener.local_addr().expect("listener has no local address");
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let mut configuration: Value = serde_json::from_str(include_str!("../../../deploy/configuration.json"))
        .expect("deploy/configuration.json is not JSON");
    configuration["known"] = json!({"seq": 1, "whole": true, "hosts": [{
        "host": "p", "dial": host.address.to_string(), "site": "north", "block": 0, "health": "ready",
        "share": 1.0, "rank": "source", "born_ms": 0
    }]});
    configuration["discovery"] = "127.0.0.1:1".into();
    let rules = json!({
        "dialect": if protocol == Protocol::Tds { "tsql" } else { "postgres" },
        "disagreement": "refuse", "commentless": {"wait_ms": 3000}, "elsewhere": 0,
        "groups": [{"group": "read", "effects": ["read"]},
            {"group": "write", "effects": ["locking_read", "session", "write", "unknown"]}]
    });
    let thread = std::thread::spawn(move || {
        let config = Config::read(&configuration.to_string(), |_| None).expect("configuration is invalid");
        let config = config.with_statement_rules(&rules.to_string()).expect("statement rules are invalid");
        let listener = Async::new(listener).expect("listener can't be registered with the event loop");
        let protocol = match protocol {
            Protocol::Postgres => RouterProtocol::postgres(),
            Protocol::Tds => {
                let settings = TdsSettings::read(include_str!("../../../deploy/tds.json"))
                    .expect("deploy/tds.json is invalid");
                RouterProtocol::tds(settings, &config).expect("TDS does not accept the configuration")
            }
        };
        let state =
            startup::start(config, Clock::start(), protocol.backend).expect("router can't be started");
        async_io::block_on(server::serve(state, protocol.client, vec![listener], async {
            let _ = stopped.recv().await;
        }));
        thread_cpu_us()
    });
    Intermediary { address, stop, thread }
}

/// Starts a forwarder that opens a connection to the host for each client.
fn start_forwarder(host: SocketAddr) -> Intermediary {
    let listener = TcpListener::bind("127.0.0.1:0").expect("can't bind a loopback port");
    let address = listener.local_addr().expect("listener has no local address");
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let thread = std::thread::spawn(move || {
        let tasks = LocalExecutor::new();
        let listener = Async::new(listener).expect("listener can't be registered with the event loop");
        let accept = async {
            loop {
                let (client, _) = listener.accept().await.expect("accepting a client failed");
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
    let host = Async::<TcpStream>::connect(host).await.expect("can't connect to the host");
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

/// CPU time and throughput of one case in one round.
struct Measurement {
    /// CPU time that the intermediary used per request, in microseconds.
    cpu_us: f64,
    requests_per_second: f64,
}

/// Runs all clients concurrently through a new intermediary.
fn measure(case: &Case) -> Measurement {
    let host = Host::start("p", case.protocol, true, &Ledger::default());
    let intermediary =
        if case.is_forwarder { start_forwarder(host.address) } else { start_router(case.protocol, &host) };
    let started = Instant::now();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let address = intermediary.address;
            scope.spawn(move || run_client(client, case.protocol, address));
        }
    });
    let requests = (CLIENTS * REQUESTS_PER_CLIENT) as f64;
    let requests_per_second = requests / started.elapsed().as_secs_f64();
    intermediary.stop.close();
    let cpu_us = intermediary.thread.join().expect("intermediary thread panicked") / requests;
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
    // Each round measures all cases in turn, so that other load on the machine affects all of them alike.
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
