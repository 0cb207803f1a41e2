//! A router stands still for a second and then finds all that came meanwhile: requests, and some clients'
//! requests to cancel them. No attempt may begin more than 0.1 s after its client has cancelled.

use crate::client::{self, Client};
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Handler, HostConnection, HostState, Next};
use crate::router::{Options, Router, TALLINN};
use crate::{Setting, Verdict, wire};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the router stands still.
const STANDSTILL: Duration = Duration::from_millis(1_000);
/// When the requests are sent, and when they are cancelled, after the standstill began.
const SENT_AFTER: Duration = Duration::from_millis(100);
const CANCELLED_AFTER: Duration = Duration::from_millis(300);
/// An attempt may begin this long after the cancel, with the slack of 50 ms.
const ALLOWED_MS: f64 = 100.0 + 50.0;
/// From one standstill to the next.
const PERIOD: Duration = Duration::from_millis(3_000);
const ROUNDS: usize = 6;

type Begun = Arc<Mutex<BTreeMap<String, f64>>>;

pub fn run(setting: &Setting<'_>) -> io::Result<Verdict> {
    let record = &setting.record;
    let begun = Begun::default();
    let mut entries = Vec::new();
    for (number, rank) in ["source", "copy", "copy"].into_iter().enumerate() {
        let name = format!("db-{}", number + 1);
        let state = HostState::new(&name, record, rank == "source", 0);
        state.reports_inline.store(true, Ordering::SeqCst);
        let dial = host::start(state, handler(&begun))?;
        entries.push(Entry { host: name, dial, site: "ulemiste", rank, health: "ready", born_ms: 0 });
    }
    let discovery = Discovery::new(entries);
    let router =
        Router::start(setting.root, &discovery, &Options { settings: TALLINN, ..Options::default() })?;
    if !client::wait_until_ready(router.address, record) {
        return Err(io::Error::other("the router did not get ready"));
    }
    let patience = Duration::from_secs(4);
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push(Client::connect(router.address, patience)?);
    }
    let mut late = 0;
    let mut cancelled = 0;
    for round in 0..ROUNDS {
        let next_round = Instant::now() + PERIOD;
        // Ordinary traffic: all clients at once, so that there are connections in use for each.
        let mut ids = Vec::new();
        for client in &mut clients {
            let id = client::new_id();
            client.stream.write_all(&wire::query(&client::write_text(&id, "book", 3000, "w", "00")))?;
            ids.push(id);
        }
        for (client, id) in clients.iter_mut().zip(&ids) {
            record.line(format!("write id={id}: {}", client.answer(patience).text()));
        }
        std::thread::sleep(Duration::from_millis(300));
        record.line(format!("round {round}"));
        if setting.trouble {
            router.signal("STOP");
            record.line("the router stands still");
        }
        std::thread::sleep(SENT_AFTER);
        let mut ids = Vec::new();
        for client in &mut clients {
            let id = client::new_id();
            client.stream.write_all(&wire::query(&client::write_text(&id, "book", 3000, "w", "00")))?;
            record.line(format!("write id={id} is sent"));
            ids.push(id);
        }
        std::thread::sleep(CANCELLED_AFTER - SENT_AFTER);
        let mut cancels = Vec::new();
        let mut cancelled_at = Vec::new();
        for (client, id) in clients.iter().zip(&ids) {
            let mut cancel = TcpStream::connect_timeout(&router.address, Duration::from_secs(2))?;
            cancel.write_all(&wire::cancel_request(&client.key_data))?;
            record.line(format!("write id={id} is cancelled"));
            cancelled_at.push(record.now());
            cancels.push(cancel);
        }
        std::thread::sleep(STANDSTILL - CANCELLED_AFTER);
        if setting.trouble {
            router.signal("CONT");
            record.line("the router goes on");
        }
        for (client, id) in clients.iter_mut().zip(&ids) {
            record.line(format!("write id={id}: {}", client.answer(patience).text()));
        }
        let begun = begun.lock().unwrap();
        for (id, cancelled_at) in ids.iter().zip(cancelled_at) {
            cancelled += 1;
            if let Some(at) = begun.get(id).filter(|at| **at > cancelled_at + ALLOWED_MS) {
                late += 1;
                record.line(format!(
                    "id={id} began {:.1} ms after its client had cancelled",
                    at - cancelled_at
                ));
            }
        }
        drop(begun);
        std::thread::sleep(next_round.saturating_duration_since(Instant::now()));
    }
    record.say(format!("{late} of {cancelled} cancelled writes began more than 0.1 s after the cancel"));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Answers every statement, and notes when each one began.
fn handler(begun: &Begun) -> Arc<Handler> {
    let begun = begun.clone();
    Arc::new(move |state: &HostState, connection: &mut HostConnection, text: &str| {
        let id = wire::field(text, "id").unwrap_or_default().to_string();
        begun.lock().unwrap().insert(id.clone(), state.record.now());
        state.record.line(format!("{} runs id={id}", state.name));
        std::thread::sleep(Duration::from_millis(20));
        connection.stream.write_all(&state.value(b"00", "INSERT 0 1", Some(state.time())))?;
        Ok(Next::Continue)
    })
}
