//! Case: a planned restart while the hosts hang and clients have sent several requests at once. The requests
//! behind the first one of each connection get no answer.

use crate::common::{
    Answer, Client, HostBehaviour, HostQuery, Record, Router, endpoint_list, read_text, row_answer, start_discovery,
    start_host, unix_us,
};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("kioscos.json");
/// Work of a report.
const WORK: Duration = Duration::from_millis(700);
const CLIENTS: usize = 3;
/// Requests that a client sends at once.
const REQUESTS: usize = 3;
const TIMEOUT_MS: u32 = 10_000;
/// SIGKILL comes this long after SIGTERM: the longest deadline, taken as 3 s, plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

struct Host {
    name: &'static str,
    is_primary: bool,
    hangs: Arc<AtomicBool>,
    record: Record,
}

impl HostBehaviour for Host {
    fn query(&self, stream: &mut TcpStream, query: &HostQuery) -> io::Result<()> {
        if !query.is_probe() {
            self.record.line(&format!("host {}: id={} arrived", self.name, query.id));
            sleep(WORK);
        }
        // A host that hangs takes work and answers nothing.
        while self.hangs.load(SeqCst) {
            sleep(Duration::from_millis(10));
        }
        if query.is_probe() {
            let now = unix_us();
            let report =
                format!("x0={}.{:03},x1={},queue=0", now / 1_000_000, now / 1_000 % 1_000, u8::from(self.is_primary));
            return stream.write_all(&row_answer(&report, "SHOW", self.is_primary, None));
        }
        stream.write_all(&row_answer(&query.id, "SELECT 1", self.is_primary, None))?;
        self.record.line(&format!("host {}: id={} answered", self.name, query.id));
        Ok(())
    }
}

/// Returns whether the rule was kept.
pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let hangs = Arc::new(AtomicBool::new(false));
    let host = |name, is_primary| {
        start_host(Arc::new(Host { name, is_primary, hangs: hangs.clone(), record: record.clone() }))
    };
    let list = endpoint_list(&[
        ("db-1", host("db-1", true), "centro", true),
        ("db-2", host("db-2", false), "centro", false),
        ("db-3", host("db-3", false), "centro", false),
    ]);
    let mut router = Router::start("n1", start_discovery(list.clone()), &list, SETTINGS)?;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(router.address)?;
        let id = format!("warm{number}");
        record.line(&format!("{id}: {:?}", client.request(&read_text(&id, "report", TIMEOUT_MS, &id))));
        clients.push(client);
    }
    hangs.store(trouble, SeqCst);
    if trouble {
        record.line("all hosts hang from now on");
    }
    let readers: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(number, client)| {
            let record = record.clone();
            spawn(move || send_and_read(number, client, &record))
        })
        .collect();
    sleep(Duration::from_millis(500));
    if trouble {
        router.terminate()?;
        record.line("SIGTERM");
        let begin = Instant::now();
        let mut exited = None;
        while begin.elapsed() < KILL_AFTER && exited.is_none() {
            exited = router.child.try_wait()?;
            sleep(Duration::from_millis(5));
        }
        record.line(&match exited {
            Some(status) => format!("the router ended by itself after {} ms: {status}", begin.elapsed().as_millis()),
            None => "SIGKILL".into(),
        });
        let _ = router.child.kill();
    }
    let mut lost = 0;
    for reader in readers {
        lost += reader.join().map_err(|_| io::Error::other("a client failed"))??;
    }
    record.say(&format!("{lost} of {} requests got no answer", CLIENTS * REQUESTS));
    Ok(lost == 0)
}

/// Sends all requests of a client at once and reads their answers. Returns how many got none.
fn send_and_read(number: usize, mut client: Client, record: &Record) -> io::Result<usize> {
    let ids: Vec<String> = (0..REQUESTS).map(|count| format!("c{number}n{count}")).collect();
    for id in &ids {
        client.send(&read_text(id, "report", TIMEOUT_MS, id))?;
        record.line(&format!("client {number} sent id={id}"));
    }
    let mut lost = 0;
    for id in &ids {
        let answer = client.receive();
        record.line(&format!("client {number}, id={id}: {answer:?}"));
        lost += usize::from(answer == Answer::Nothing);
    }
    Ok(lost)
}
