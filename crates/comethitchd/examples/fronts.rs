//! What a command costs the router's thread on each protocol, beside a plain forwarder of bytes, all on loopback
//! in one run. Prints the table of docs/measured/fronts.md:
//!
//!     cargo run --release -p comethitchd --example fronts

use async_io::Async;
use comethitch_testkit::{Client, Host, Ledger, Protocol, Received};
use comethitchd::protocols::tds::settings::TdsSettings;
use comethitchd::service::listen;
use comethitchd::service::startup;
use comethitchd::state::clock::Clock;
use comethitchd::state::config::Config;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Instant;

const CLIENTS: usize = 8;
const EACH: usize = 4_000;
const ROUNDS: usize = 5;

/// The CPU that this thread has taken, in microseconds.
fn cpu() -> f64 {
    let taken = clock_gettime(ClockId::ThreadCPUTime);
    taken.tv_sec as f64 * 1e6 + taken.tv_nsec as f64 / 1e3
}

struct Between {
    address: SocketAddr,
    stop: async_channel::Sender<()>,
    /// Gives the CPU that it took.
    thread: JoinHandle<f64>,
}

fn router(protocol: Protocol, host: &Host) -> Between {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let mut all: Value =
        serde_json::from_str(include_str!("../../../deploy/configuration.json")).expect("JSON");
    all["known"] = json!({"seq": 1, "whole": true, "hosts": [{"host": "p", "dial": host.address.to_string(),
        "site": "north", "block": 0, "health": "ready", "share": 1.0, "rank": "source", "born_ms": 0}]});
    all["discovery"] = "127.0.0.1:1".into();
    let rules = json!({
        "dialect": if protocol == Protocol::Tds { "tsql" } else { "postgres" },
        "disagreement": "refuse", "commentless": {"wait_ms": 3000}, "elsewhere": 0,
        "groups": [{"group": "read", "effects": ["read"]},
            {"group": "write", "effects": ["locking_read", "session", "write", "unknown"]}]
    });
    let thread = std::thread::spawn(move || {
        let site = Config::read(&all.to_string(), |_| None).expect("a configuration");
        let site = site.with_statement_rules(&rules.to_string()).expect("rules");
        let listener = Async::new(listener).expect("a listener");
        let protocol = match protocol {
            Protocol::Postgres => listen::Protocol::postgres(),
            Protocol::Tds => {
                let ways = TdsSettings::read(include_str!("../../../deploy/tds.json")).expect("ways");
                listen::Protocol::tds(ways, &site).expect("a protocol")
            }
        };
        let hub = startup::start(site, Clock::start(), protocol.back).expect("a router");
        async_io::block_on(listen::serve(hub, protocol.front, vec![listener], async {
            let _ = stopped.recv().await;
        }));
        cpu()
    });
    Between { address, stop, thread }
}

/// A connection of its own to the host for each client, and nothing read of what passes.
fn forwarder(host: SocketAddr) -> Between {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let thread = std::thread::spawn(move || {
        let tasks = async_executor::LocalExecutor::new();
        let listener = Async::new(listener).expect("a listener");
        let accept = async {
            loop {
                let (client, _) = listener.accept().await.expect("a client");
                let task = async move {
                    let host = Async::<TcpStream>::connect(host).await.expect("the host");
                    let _ = (client.get_ref().set_nodelay(true), host.get_ref().set_nodelay(true));
                    let copy = |mut from, mut to| async move {
                        let mut bytes = [0; 8 * 1024];
                        loop {
                            match AsyncReadExt::read(&mut from, &mut bytes).await {
                                Ok(length) if length > 0 => {
                                    if AsyncWriteExt::write_all(&mut to, &bytes[..length]).await.is_err() {
                                        break;
                                    }
                                }
                                _ => break,
                            }
                        }
                    };
                    futures_lite::future::or(copy(&client, &host), copy(&host, &client)).await;
                };
                tasks.spawn(task).detach();
            }
        };
        let stopped = async {
            let _ = stopped.recv().await;
        };
        async_io::block_on(tasks.run(futures_lite::future::or(accept, stopped)));
        cpu()
    });
    Between { address, stop, thread }
}

/// Has all clients ask at once; the router's CPU for a command, and commands a second.
fn measured(protocol: Protocol, forwards: bool) -> (f64, f64) {
    let host = Host::start("p", protocol, true, &Ledger::default());
    let between = if forwards { forwarder(host.address) } else { router(protocol, &host) };
    let began = Instant::now();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let address = between.address;
            scope.spawn(move || {
                let mut asker = Client::connect(protocol, address);
                for nth in 0..EACH {
                    let key = format!("k{client}-{nth}");
                    let text = format!("INSERT INTO monedas (lector, n) VALUES ('{key}', 1)");
                    assert_eq!(asker.ask(&text), Received::Answered(key));
                }
            });
        }
    });
    let rate = (CLIENTS * EACH) as f64 / began.elapsed().as_secs_f64();
    between.stop.close();
    (between.thread.join().expect("no panic") / (CLIENTS * EACH) as f64, rate)
}

fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    println!("| between clients and host | CPU for a command | commands a second |\n| --- | --- | --- |");
    let ways = [
        ("a plain forwarder, PostgreSQL", Protocol::Postgres, true),
        ("a plain forwarder, TDS", Protocol::Tds, true),
        ("the router, PostgreSQL", Protocol::Postgres, false),
        ("the router, TDS", Protocol::Tds, false),
    ];
    // In turns, so that what else the machine does meets all alike.
    let mut taken = vec![Vec::new(); ways.len()];
    for _ in 0..ROUNDS {
        for (nth, (_, protocol, forwards)) in ways.iter().enumerate() {
            taken[nth].push(measured(*protocol, *forwards));
        }
    }
    for ((name, ..), taken) in ways.iter().zip(&taken) {
        let cpu = middle(taken.iter().map(|(cpu, _)| *cpu).collect());
        let rate = middle(taken.iter().map(|(_, rate)| *rate).collect());
        println!("| {name} | {cpu:.1} µs | {rate:.0} |");
    }
}
