//! Clients that say nothing fill the descriptors and the queue of connections that wait to be accepted. Usual clients
//! open connections behind them and send a request at once, whose time counts from then.

use crate::client::{self, Answer, Client};
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Handler, HostConnection, HostState, Next};
use crate::router::{Options, Router, SAPPORO};
use crate::{Setting, Verdict, wire};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

const DESCRIPTORS: u64 = 256;
/// Clients that connect at once and say nothing.
const SILENT_CLIENTS: usize = 1_150;
/// How long they stay.
const STAY: Duration = Duration::from_secs(4);
/// Usual clients that connect behind them.
const USUAL_CLIENTS: usize = 6;
/// How long the usual clients wait: 40% of the client timeout of `own-table`, 500 ms.
const D_MS: u64 = 200;
/// A request counts as lost half a second after its time, and the limits on sockets are longer by 50 ms.
const LOST_AFTER_MS: f64 = 550.0;
const ROUNDS: usize = 3;

pub fn run(setting: &Setting<'_>) -> io::Result<Verdict> {
    let record = &setting.record;
    let mut entries = Vec::new();
    for (number, rank) in ["source", "copy", "copy"].into_iter().enumerate() {
        let name = format!("db-{}", number + 1);
        let state = HostState::new(&name, record, rank == "source", 0);
        let dial = host::start(state, handler())?;
        entries.push(Entry { host: name, dial, site: "kita-hall", rank, health: "ready", born_ms: 0 });
    }
    let discovery = Discovery::new(entries);
    let options = Options { sockets: DESCRIPTORS, settings: SAPPORO, ..Options::default() };
    let router = Router::start(setting.root, &discovery, &options)?;
    if !client::wait_until_ready(router.address, record) {
        return Err(io::Error::other("the router did not get ready"));
    }
    let mut resident = Client::connect(router.address, Duration::from_secs(2))?;
    for _ in 0..5 {
        let id = client::new_id();
        let answer = resident.ask(&client::read_text(&id, "own-table", 500, "k"), Duration::from_secs(2));
        record.line(format!("read id={id}: {}", answer.text()));
    }
    let mut lost = 0;
    for round in 0..ROUNDS {
        let mut silent = Vec::new();
        if setting.trouble {
            for _ in 0..SILENT_CLIENTS {
                silent.push(TcpStream::connect_timeout(&router.address, Duration::from_secs(2))?);
            }
            record.line(format!("round {round}: {SILENT_CLIENTS} clients have connected and say nothing"));
        }
        let mut threads = Vec::new();
        for number in 0..USUAL_CLIENTS {
            let (record, address) = (record.clone(), router.address);
            threads.push(std::thread::spawn(move || usual_client(&record, address, number)));
        }
        std::thread::sleep(STAY);
        drop(silent);
        for thread in threads {
            lost += u32::from(thread.join().unwrap_or(false));
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let sent = USUAL_CLIENTS * ROUNDS;
    record.say(format!(
        "{lost} of {sent} requests of usual clients had no final answer half a second after their time"
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Connects and sends a request right behind the startup message. Returns whether the request was lost. One whose
/// connection is shut before it is read is not: the client would send it again.
fn usual_client(record: &crate::record::Record, router: std::net::SocketAddr, number: usize) -> bool {
    let id = client::new_id();
    let Ok(mut stream) = TcpStream::connect_timeout(&router, Duration::from_secs(2)) else { return false };
    let _ = stream.set_nodelay(true);
    let mut out = wire::startup();
    out.extend(wire::query(&client::read_text(&id, "own-table", D_MS, "k")));
    if stream.write_all(&out).is_err() {
        return false;
    }
    let sent = record.now();
    record.line(format!("client {number}: id={id} d={D_MS} is sent"));
    let mut client = Client { stream, key_data: Vec::new() };
    // The startup ends with ReadyForQuery, too.
    let _ = client.answer(Duration::from_secs(3));
    let answer = client.answer(Duration::from_secs(3));
    let after = record.now() - sent;
    record.line(format!("client {number}: id={id}: {} after {after:.0} ms", answer.text()));
    answer != Answer::Closed && after > D_MS as f64 + LOST_AFTER_MS
}

/// Answers every statement, and notes the time that it is told.
fn handler() -> Arc<Handler> {
    Arc::new(|state: &HostState, connection: &mut HostConnection, text: &str| {
        let id = wire::field(text, "id").unwrap_or_default().to_string();
        let d = wire::field(text, "d").unwrap_or_default();
        state.record.line(format!("{} runs id={id}, told d={d}", state.name));
        std::thread::sleep(Duration::from_millis(5));
        connection.stream.write_all(&state.value(id.as_bytes(), "SELECT 1", Some(state.position())))?;
        Ok(Next::Continue)
    })
}
