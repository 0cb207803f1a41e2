//! One answer of one database host never ends: well-formed messages keep on coming. The usual clients of the
//! router, whose requests go to hosts that answer, are owed their final answers all the same.

use crate::client::{self, Answer, Client};
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Handler, HostConnection, HostState, Next};
use crate::router::{Options, Router};
use crate::{Setting, Verdict, wire};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How long an endless answer goes on if nobody ends its connection.
const ENDLESS_FOR: Duration = Duration::from_secs(4);
/// Endless answers, one after the other, and the time from one to the next.
const ENDLESS_ANSWERS: usize = 5;
const PERIOD: Duration = Duration::from_secs(6);
/// How long the clients send.
const CLIENTS_FOR: Duration = Duration::from_secs(35);
const CLIENTS: usize = 6;
/// A request counts as lost half a second after its time, and the limits on sockets are longer by 50 ms.
const LOST_AFTER_MS: f64 = 550.0;

pub fn run(setting: &Setting<'_>) -> io::Result<Verdict> {
    let record = &setting.record;
    let armed = Arc::new(AtomicBool::new(false));
    let handler = handler(&armed);
    let mut entries = Vec::new();
    for (number, rank) in ["source", "copy", "copy"].into_iter().enumerate() {
        let name = format!("db-{}", number + 1);
        let state = HostState::new(&name, record, rank == "source", 0);
        let dial = host::start(state, handler.clone())?;
        entries.push(Entry { host: name, dial, site: "sala-norte", rank, health: "ready", born_ms: 0 });
    }
    let discovery = Discovery::new(entries);
    let router = Router::start(setting.root, &discovery, &Options::default())?;
    if !client::wait_until_ready(router.address, record) {
        return Err(io::Error::other("the router did not get ready"));
    }
    let lost = Arc::new(AtomicU32::new(0));
    let answered = Arc::new(AtomicU32::new(0));
    let started = Instant::now();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let (record, lost, answered) = (record.clone(), lost.clone(), answered.clone());
        let address = router.address;
        threads.push(std::thread::spawn(move || {
            let mut connection = None;
            while started.elapsed() < CLIENTS_FOR {
                std::thread::sleep(Duration::from_millis(60));
                // A connection that can't be had tells nothing of a request.
                if connection.is_none() {
                    connection = Client::connect(address, Duration::from_secs(2)).ok();
                }
                let Some(client) = &mut connection else { continue };
                let id = client::new_id();
                let (d_ms, text) = match number % 3 {
                    0 => (750, client::read_text(&id, "ver-saldo", 750, &format!("k{number}"))),
                    _ => (600, client::read_text(&id, "leer-pagina", 600, &format!("k{number}"))),
                };
                let sent = record.now();
                let patience = Duration::from_secs_f64((f64::from(d_ms) + LOST_AFTER_MS) / 1e3);
                let answer = client.ask(&text, patience);
                record
                    .line(format!("client {number}: id={id} d={d_ms} sent at {sent:.1}: {}", answer.text()));
                if answer.is_final() {
                    answered.fetch_add(1, Ordering::SeqCst);
                } else {
                    connection = None;
                }
                if answer == Answer::None {
                    lost.fetch_add(1, Ordering::SeqCst);
                }
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(3));
    for _ in 0..ENDLESS_ANSWERS {
        armed.store(setting.trouble, Ordering::SeqCst);
        std::thread::sleep(PERIOD);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let lost = lost.load(Ordering::SeqCst);
    record.say(format!(
        "requests of usual clients: {} with a final answer, {lost} with none half a second after their time",
        answered.load(Ordering::SeqCst)
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Answers every statement at once. Once armed, the next read of bounded staleness gets an answer that never
/// ends.
fn handler(armed: &Arc<AtomicBool>) -> Arc<Handler> {
    let armed = armed.clone();
    Arc::new(move |state: &HostState, connection: &mut HostConnection, text: &str| {
        let id = wire::field(text, "id").unwrap_or_default().to_string();
        state.record.line(format!("{} runs id={id}", state.name));
        if wire::field(text, "c") == Some("leer-pagina") && armed.swap(false, Ordering::SeqCst) {
            return endless(state, connection, &id);
        }
        std::thread::sleep(Duration::from_millis(2));
        connection.stream.write_all(&state.value(id.as_bytes(), "SELECT 1", None))?;
        Ok(Next::Continue)
    })
}

fn endless(state: &HostState, connection: &mut HostConnection, id: &str) -> io::Result<Next> {
    state.record.line(format!("{}: the answer to id={id} is spoilt, it never ends", state.name));
    let mut block = Vec::new();
    while block.len() < 256 * 1024 {
        wire::put_parameter(&mut block, "a", "1");
    }
    let until = Instant::now() + ENDLESS_FOR;
    let mut sent = 0;
    while Instant::now() < until {
        if let Err(error) = connection.stream.write_all(&block) {
            state.record.line(format!("{}: the router ended it after {sent} bytes: {error}", state.name));
            return Ok(Next::Close);
        }
        sent += block.len();
    }
    state.record.line(format!("{}: nobody ended it, {sent} bytes were sent", state.name));
    Ok(Next::Close)
}
