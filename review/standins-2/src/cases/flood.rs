//! One bad client sends what the router does not speak, messages of the extended query protocol, again and again
//! at full speed. The usual clients are owed their final answers all the same.

use crate::client::{self, Answer, Client};
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Handler, HostConnection, HostState, Next};
use crate::router::{Options, Router};
use crate::{Setting, Verdict, wire};
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How long the bad client goes on if nobody ends its connection.
const FLOOD_FOR: Duration = Duration::from_secs(8);
/// How long the usual clients send.
const CLIENTS_FOR: Duration = Duration::from_secs(18);
const CLIENTS: usize = 6;
/// A request counts as lost half a second after its time, and the limits on sockets are longer by 50 ms.
const LOST_AFTER_MS: f64 = 550.0;

pub fn run(setting: &Setting<'_>) -> io::Result<Verdict> {
    let record = &setting.record;
    let mut entries = Vec::new();
    for (number, rank) in ["source", "copy", "copy"].into_iter().enumerate() {
        let name = format!("db-{}", number + 1);
        let state = HostState::new(&name, record, rank == "source", 0);
        let dial = host::start(state, handler())?;
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
                if connection.is_none() {
                    connection = Client::connect(address, Duration::from_secs(2)).ok();
                }
                let Some(client) = &mut connection else { continue };
                let id = client::new_id();
                let text = client::read_text(&id, "leer-pagina", 600, &format!("k{number}"));
                let sent = record.now();
                let answer = client.ask(&text, Duration::from_secs_f64((600.0 + LOST_AFTER_MS) / 1e3));
                record.line(format!("client {number}: id={id} d=600 sent at {sent:.1}: {}", answer.text()));
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
    if setting.trouble {
        let mut bad = Client::connect(router.address, Duration::from_secs(2))?;
        let record = record.clone();
        // It reads whatever it is sent.
        let mut reader = bad.stream.try_clone()?;
        let read_record = record.clone();
        threads.push(std::thread::spawn(move || {
            let _ = reader.set_read_timeout(Some(FLOOD_FOR + Duration::from_secs(2)));
            let mut bytes = vec![0; 1 << 20];
            let mut received = 0;
            while let Ok(length @ 1..) = reader.read(&mut bytes) {
                received += length;
            }
            read_record.line(format!("bad client: got {received} bytes from the router"));
        }));
        threads.push(std::thread::spawn(move || {
            let mut block = Vec::new();
            while block.len() < 64 * 1024 {
                // Parse, without a name, a text and parameters, and Sync.
                wire::put(&mut block, b'P', &[0; 4]);
                wire::put(&mut block, b'S', b"");
            }
            record.line("bad client: sends Parse and Sync again and again");
            let until = Instant::now() + FLOOD_FOR;
            let mut sent = 0;
            while Instant::now() < until {
                if let Err(error) = bad.stream.write_all(&block) {
                    record.line(format!("bad client: the router ended it after {sent} bytes: {error}"));
                    return;
                }
                sent += block.len();
            }
            record.line(format!("bad client: nobody ended it, {sent} bytes were sent"));
        }));
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

fn handler() -> Arc<Handler> {
    Arc::new(move |state: &HostState, connection: &mut HostConnection, text: &str| {
        let id = wire::field(text, "id").unwrap_or_default().to_string();
        state.record.line(format!("{} runs id={id}", state.name));
        std::thread::sleep(Duration::from_millis(2));
        connection.stream.write_all(&state.value(id.as_bytes(), "SELECT 1", None))?;
        Ok(Next::Continue)
    })
}
