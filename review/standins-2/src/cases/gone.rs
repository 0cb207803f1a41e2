//! A client sends many commands at once and goes. The first of them meets a host that breaks the connection under it. No
//! attempt may begin more than 0.1 s after the client has closed its connection.

use crate::client::{self, Client};
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Handler, HostConnection, HostState, Next};
use crate::router::{Options, Router};
use crate::{Setting, Verdict, wire};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Commands that the client sends at once.
const COMMANDS: usize = 200;
/// Size of each value; 64 KiB are allowed.
const VALUE_BYTES: usize = 4 * 1024;
/// How long a host takes for a statement.
const WORK: Duration = Duration::from_millis(15);
/// How long the first command has run when its connection breaks.
const BREAKS_AFTER: Duration = Duration::from_millis(300);
const ROUNDS: usize = 5;
/// An attempt may begin this long after the close, with the slack of 50 ms.
const ALLOWED_MS: f64 = 100.0 + 50.0;

/// When the attempts of each request began.
type Begun = Arc<Mutex<BTreeMap<String, Vec<f64>>>>;

pub fn run(setting: &Setting<'_>) -> io::Result<Verdict> {
    let record = &setting.record;
    let begun = Begun::default();
    let mut entries = Vec::new();
    for (number, rank) in ["source", "copy", "copy"].into_iter().enumerate() {
        let name = format!("db-{}", number + 1);
        let state = HostState::new(&name, record, rank == "source", 0);
        let dial = host::start(state, handler(&begun))?;
        entries.push(Entry { host: name, dial, site: "sala-norte", rank, health: "ready", born_ms: 0 });
    }
    let discovery = Discovery::new(entries);
    let router = Router::start(setting.root, &discovery, &Options::default())?;
    if !client::wait_until_ready(router.address, record) {
        return Err(io::Error::other("the router did not get ready"));
    }
    let hex = "5a".repeat(VALUE_BYTES);
    let mut late = 0;
    for round in 0..ROUNDS {
        let mut client = Client::connect(router.address, Duration::from_secs(4))?;
        // An ordinary request before, as on any connection that has been in use.
        let id = client::new_id();
        let answer = client.ask(&client::read_text(&id, "leer-pagina", 600, "k"), Duration::from_secs(4));
        record.line(format!("round {round}: read id={id}: {}", answer.text()));
        let first = format!("{FIRST}{round:04x}");
        let mut ids = vec![first.clone()];
        let mut out = wire::query(&client::read_text(&first, "leer-pagina", 600, "k"));
        for number in 1..COMMANDS {
            let id = client::new_id();
            out.extend(wire::query(&client::write_text(
                &id,
                "desbloquear",
                3000,
                &format!("k{number}"),
                &hex,
            )));
            ids.push(id);
        }
        client.stream.write_all(&out)?;
        record.line(format!("a read and {} writes are sent at once, {} bytes", COMMANDS - 1, out.len()));
        if !setting.trouble {
            // The client stays until each is answered.
            for id in &ids {
                record.line(format!("id={id}: {}", client.answer(Duration::from_secs(10)).text()));
            }
        }
        drop(client);
        let closed_at = record.now();
        record.line("the client has closed its connection");
        std::thread::sleep(Duration::from_secs(3));
        let begun = begun.lock().unwrap();
        for (id, at) in ids.iter().flat_map(|id| begun.get(id).into_iter().flatten().map(move |at| (id, at)))
        {
            if *at > closed_at + ALLOWED_MS {
                late += 1;
                record.line(format!(
                    "an attempt of id={id} began {:.0} ms after its client had closed",
                    at - closed_at
                ));
            }
        }
    }
    record.say(format!(
        "{late} attempts in {ROUNDS} rounds began more than 0.1 s after their client had closed"
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// The ids of the first commands begin with this.
const FIRST: &str = "9b1faaaaaaaa";

/// Answers every statement, and notes when each one began.
fn handler(begun: &Begun) -> Arc<Handler> {
    let begun = begun.clone();
    Arc::new(move |state: &HostState, connection: &mut HostConnection, text: &str| {
        let id = wire::field(text, "id").unwrap_or_default().to_string();
        let mut begun = begun.lock().unwrap();
        let attempts = begun.entry(id.clone()).or_default();
        attempts.push(state.record.now());
        let is_first_attempt = attempts.len() == 1;
        drop(begun);
        state.record.line(format!("{} gets id={id}", state.name));
        if id.starts_with(FIRST) && is_first_attempt {
            std::thread::sleep(BREAKS_AFTER);
            state.record.line(format!("{} breaks the connection under id={id}", state.name));
            return Ok(Next::Close);
        }
        std::thread::sleep(WORK);
        connection.stream.write_all(&state.value(b"ok", "INSERT 0 1", Some(state.time())))?;
        Ok(Next::Continue)
    })
}
