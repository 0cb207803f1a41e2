//! A primary has handed over, and its whole, unspoilt answer tells the router so. Right after the answer, that
//! one connection falls silent. Reads that must be current are no longer excused at this host once the answer
//! is known, 100 ms after it was written.

use crate::client::{self, Answer, Client};
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Handler, HostConnection, HostState, Next};
use crate::router::{Options, Router};
use crate::{Setting, Verdict, wire};
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What an answer tells counts as known this long after it was written, with the slack of 50 ms.
const KNOWN_AFTER_MS: f64 = 100.0 + 50.0;
/// How long after the answer the current read is sent.
const READ_AFTER: Duration = Duration::from_millis(300);
const ROUNDS: usize = 3;

/// What the hosts and the case share.
#[derive(Default)]
struct World {
    /// Whether the next statement that a former primary turns away is the last one on its connection.
    silence_armed: AtomicBool,
    /// When a host first told this router that it is a replica, per host, in milliseconds of the record.
    told: Mutex<Vec<(String, f64)>>,
    /// When the host that served a read got it, with the id.
    reads: Mutex<Vec<(String, String, f64)>>,
    /// The last committed value.
    value: Mutex<String>,
}

pub fn run(setting: &Setting<'_>) -> io::Result<Verdict> {
    let mut broken = 0;
    for number in 0..ROUNDS {
        setting.record.line(format!("round {number}"));
        broken += u32::from(round(setting)?);
    }
    setting
        .record
        .say(format!("{broken} of {ROUNDS} rounds served a current read from a replica's old data"));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Returns whether the rule was broken.
fn round(setting: &Setting<'_>) -> io::Result<bool> {
    let record = &setting.record;
    let world = Arc::new(World { value: Mutex::new("old".into()), ..World::default() });
    let mut states = Vec::new();
    let mut entries = Vec::new();
    for (number, rank) in ["source", "copy", "copy"].into_iter().enumerate() {
        let name = format!("db-{}", number + 1);
        let state = HostState::new(&name, record, rank == "source", 0);
        let dial = host::start(state.clone(), handler(&world))?;
        entries.push(Entry { host: name, dial, site: "sala-norte", rank, health: "ready", born_ms: 0 });
        states.push(state);
    }
    let discovery = Discovery::new(entries);
    let router = Router::start(setting.root, &discovery, &Options::default())?;
    if !client::wait_until_ready(router.address, record) {
        return Err(io::Error::other("the router did not get ready"));
    }
    let patience = Duration::from_secs(4);
    let mut writer = Client::connect(router.address, patience)?;
    let mut reader = Client::connect(router.address, patience)?;
    // Ordinary traffic: the connection to the primary has been in use for a while.
    for _ in 0..10 {
        let id = client::new_id();
        let answer = writer.ask(&client::write_text(&id, "desbloquear", 3000, "w", "6f6c64"), patience);
        record.line(format!("write id={id}: {}", answer.text()));
        let id = client::new_id();
        let answer = reader.ask(&client::read_text(&id, "ver-saldo", 750, "k"), patience);
        record.line(format!("current read id={id}: {}", answer.text()));
        std::thread::sleep(Duration::from_millis(100));
    }
    // The primary hands over to db-2, and a client of another router commits there.
    let handed_over = states[0].time();
    states[0].frozen_at.store(handed_over, Ordering::SeqCst);
    states[0].is_primary.store(false, Ordering::SeqCst);
    states[1].is_primary.store(true, Ordering::SeqCst);
    states[1].lag_ms.store(0, Ordering::SeqCst);
    *world.value.lock().unwrap() = "new".into();
    record.line("db-1 has handed over to db-2, where \"new\" is committed for k");
    world.silence_armed.store(setting.trouble, Ordering::SeqCst);
    // A write reaches the former primary, which turns it away and says that it is a replica.
    let id = client::new_id();
    let text = client::write_text(&id, "desbloquear", 3000, "w", "6f6c64");
    let write_record = record.clone();
    let write = std::thread::spawn(move || {
        let sent = write_record.now();
        let answer = writer.ask(&text, patience);
        write_record.line(format!("write id={id} sent at {sent:.1}: {}", answer.text()));
    });
    std::thread::sleep(READ_AFTER);
    let id = client::new_id();
    let sent = record.now();
    let answer = reader.ask(&client::read_text(&id, "ver-saldo", 750, "k"), patience);
    record.line(format!("current read id={id} sent at {sent:.1}: {}", answer.text()));
    let _ = write.join();
    let told = world.told.lock().unwrap().iter().find(|(host, _)| host == "db-1").map(|(_, at)| *at);
    let Some(told) = told else {
        return Err(io::Error::other("the write did not reach the former primary"));
    };
    let reads = world.reads.lock().unwrap();
    let run_at = reads.iter().find(|(_, read, _)| *read == id);
    let stale = matches!(&answer, Answer::Value(value) if value == b"old");
    let excused = run_at.is_none_or(|(_, _, at)| *at <= told + KNOWN_AFTER_MS);
    if let Some((host, _, at)) = run_at {
        record.line(format!(
            "{host} got the read {:.1} ms after db-1 had told that it is a replica",
            at - told
        ));
    }
    Ok(stale && !excused)
}

/// A host of a deployment whose replicas answer reads from what they have and turn writes away.
fn handler(world: &Arc<World>) -> Arc<Handler> {
    let world = world.clone();
    Arc::new(move |state: &HostState, connection: &mut HostConnection, text: &str| {
        let id = wire::field(text, "id").unwrap_or_default().to_string();
        let is_write = wire::field(text, "c") == Some("desbloquear");
        let arrived = state.record.now();
        state.record.line(format!("{} ({}) got id={id}", state.name, state.rank()));
        let is_primary = state.is_primary.load(Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(2));
        let out = match (is_write, is_primary) {
            (true, true) => state.value(b"old", "INSERT 0 1", Some(state.time())),
            (true, false) => state.error("25006", "cannot execute INSERT in a read-only transaction"),
            (false, _) => {
                world.reads.lock().unwrap().push((state.name.clone(), id, arrived));
                let value = if is_primary { world.value.lock().unwrap().clone() } else { "old".into() };
                state.value(value.as_bytes(), "SELECT 1", None)
            }
        };
        connection.stream.write_all(&out)?;
        if !is_primary {
            world.told.lock().unwrap().push((state.name.clone(), state.record.now()));
        }
        if is_write && !is_primary && world.silence_armed.swap(false, Ordering::SeqCst) {
            state.record.line(format!("{}: its answer is written; this connection falls silent", state.name));
            return Ok(Next::Silent);
        }
        Ok(Next::Continue)
    })
}
