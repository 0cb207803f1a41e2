//! A router between stand-in hosts and clients, with one takeover in the middle: `make demo`.

use async_io::Async;
use comethitch_testkit::{Asked, Client, Host, HostBehavior, Ledger, Protocol, Received};
use comethitchd::service::listen;
use comethitchd::service::startup;
use comethitchd::state::clock::Clock;
use comethitchd::state::config::Config;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: usize = 4;
const BEFORE: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(500);
const AFTER: Duration = Duration::from_secs(3);

fn main() {
    let ledger = Ledger::default();
    let hosts: Vec<Host> = ["db-1", "db-2", "db-3"]
        .iter()
        .enumerate()
        .map(|(nth, name)| Host::start(name, Protocol::Postgres, nth == 0, &ledger))
        .collect();
    hosts.iter().for_each(|host| host.script(|_, _| HostBehavior::AnswerAfter(Duration::from_millis(3))));
    let listed = |(nth, host): (usize, &Host)| {
        json!({"host": format!("db-{}", nth + 1), "dial": host.address.to_string(), "site": "north", "block": 0,
            "health": "ready", "share": 1.0, "rank": if nth == 0 { "source" } else { "copy" }, "born_ms": 0})
    };
    let mut all: Value =
        serde_json::from_str(include_str!("../../../deploy/configuration.json")).expect("JSON");
    all["known"] =
        json!({"seq": 1, "whole": true, "hosts": hosts.iter().enumerate().map(listed).collect::<Vec<_>>()});
    all["discovery"] = "127.0.0.1:1".into();
    let rules = include_str!("../../../deploy/statements.json");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let router = std::thread::spawn(move || {
        let site = Config::read(&all.to_string(), |_| None).expect("a configuration");
        let site = site.with_statement_rules(rules).expect("rules");
        let protocol = listen::Protocol::postgres();
        let hub = startup::start(site, Clock::start(), protocol.back).expect("a router");
        let listener = Async::new(listener).expect("a listener");
        async_io::block_on(listen::serve(hub, protocol.front, vec![listener], async {
            let _ = stopped.recv().await;
        }));
    });
    println!("A router at {address} before three hosts; {CLIENTS} clients unlock chapters and read pages.");
    let over = AtomicBool::new(false);
    let (began, asked) = (Instant::now(), std::sync::Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (over, asked) = (&over, &asked);
            scope.spawn(move || {
                let mut own = Client::connect(Protocol::Postgres, address);
                for nth in 0.. {
                    if over.load(Ordering::SeqCst) {
                        break;
                    }
                    let key = format!("c{client}-{nth}");
                    let text = match nth % 4 {
                        0 => format!("INSERT INTO monedas (lector, n) VALUES ('{key}', 1)"),
                        _ => format!("SELECT data FROM facts WHERE code = '{key}'"),
                    };
                    let got = own.ask(&text);
                    asked.lock().expect("no panic").push((began.elapsed(), Asked { text, got: vec![got] }));
                }
            });
        }
        std::thread::sleep(BEFORE);
        println!("{:4} ms: db-1 dies", began.elapsed().as_millis());
        hosts[0].set_down(true);
        std::thread::sleep(PAUSE);
        println!("{:4} ms: db-2 takes over", began.elapsed().as_millis());
        hosts[1].set_primary(true);
        std::thread::sleep(AFTER);
        over.store(true, Ordering::SeqCst);
    });
    stop.close();
    router.join().expect("the router ends without a panic");
    let asked = asked.into_inner().expect("no panic");
    println!("\n| | answered | throttled | failed |\n| --- | --- | --- | --- |");
    let spans = [
        ("before", Duration::ZERO, BEFORE),
        ("without a primary", BEFORE, BEFORE + PAUSE),
        ("after the takeover", BEFORE + PAUSE, Duration::MAX),
    ];
    for (name, from, until) in spans {
        let of = |kind: fn(&Received) -> bool| {
            asked.iter().filter(|(at, one)| *at >= from && *at < until && kind(&one.got[0])).count()
        };
        let answered = of(|got| matches!(got, Received::Answered(_)));
        let failed = of(|got| matches!(got, Received::Failed(_)));
        println!("| {name} | {answered} | {} | {failed} |", of(|got| *got == Received::Throttled));
    }
    let asked: Vec<Asked> = asked.into_iter().map(|(_, one)| one).collect();
    let broken = ledger.broken(&asked);
    println!("\n{} commands, {} dispatches, {} rules broken", asked.len(), ledger.dispatches(), broken.len());
    broken.iter().take(10).for_each(|why| println!("  {why}"));
    assert!(broken.is_empty(), "a rule was broken");
}
