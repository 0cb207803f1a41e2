//! Requests that need a primary, and wait for a connection to a host that loses this role in the meantime.

mod support;

use comethitch_testkit::postgres::{answer_without_effect, read_message};
use comethitch_testkit::{Client, Protocol, Reply};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime};
use support::{
    ClientReply, Gate, PostgresClient, PrimaryAndReplica, Router, TEST_TIMEOUT, error, gate, message,
    one_row_answer, parameter_status, ready, single_primary_configuration, statement_rules, write_request,
};

/// Timeout of the requests, which no test reaches.
const TIMEOUT_MS: u32 = 5_000;
/// Connect timeout of the router, which no test reaches.
const CONNECT_TIMEOUT_US: u32 = 4_000_000;

/// Time within which a request arrives at the host if it is sent at once.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);
/// Maximum number of connections to the host.
const MAX_CONNECTIONS: usize = 20;

/// Time after which the contents of an answer count as known, including the slack of the rules.
const KNOWN_AFTER: Duration = Duration::from_millis(150);

/// The answer after which a connection of the demoted host falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastAnswer {
    Read,
    Write,
    HealthCheck,
}

/// State that the connections of the host share.
struct Shared {
    /// The first answer of this kind is the last one on its connection, if the host is not the primary.
    falls_silent_after: Mutex<Option<LastAnswer>>,
    /// Reports that a connection has fallen silent.
    silence: Sender<()>,
    /// Whether the host is the primary.
    is_primary: AtomicBool,
    /// Whether new connections wait for the login gate.
    holds_logins: AtomicBool,
    logins: Gate,
    answers: Gate,
    /// Reports each connection whose login is held.
    connecting: Sender<()>,
    /// Reports each query that is not a health check.
    queries: Sender<String>,
}

/// A host that can be demoted while the login of a connection is held.
struct DemotedHost {
    address: SocketAddr,
    shared: Arc<Shared>,
    open_logins: Sender<()>,
    open_answers: Sender<()>,
    connecting: Receiver<()>,
    queries: Receiver<String>,
    silence: Receiver<()>,
}

impl DemotedHost {
    fn start() -> DemotedHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (open_logins, logins) = gate();
        let (open_answers, answers) = gate();
        let (report_connecting, connecting) = channel();
        let (report_query, queries) = channel();
        let (report_silence, silence) = channel();
        let shared = Arc::new(Shared {
            falls_silent_after: Mutex::new(None),
            silence: report_silence,
            is_primary: AtomicBool::new(true),
            holds_logins: AtomicBool::new(false),
            logins,
            answers,
            connecting: report_connecting,
            queries: report_query,
        });
        let accepting = shared.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                spawn(move || serve(stream, &shared));
            }
        });
        DemotedHost { address, shared, open_logins, open_answers, connecting, queries, silence }
    }
}

/// Serves a connection. Returns `None` once the router has closed it.
fn serve(mut stream: TcpStream, shared: &Shared) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
    if shared.holds_logins.load(SeqCst) {
        shared.connecting.send(()).ok()?;
        shared.logins.wait();
    }
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
    loop {
        let body = read_message(&mut stream).ok()?.body;
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
        let (answer, kind) = match answer_without_effect(&text) {
            Some(answer) => (answer, None),
            None if text == "SHOW vitals" => {
                (one_row_answer(load_report(shared).as_bytes()), Some(LastAnswer::HealthCheck))
            }
            None => answer_query(text, shared)?,
        };
        let is_primary = shared.is_primary.load(SeqCst);
        let rank = if is_primary { "source" } else { "copy" };
        stream.write_all(&[answer, parameter_status("rank", rank), ready()].concat()).ok()?;
        let mut last = shared.falls_silent_after.lock().expect("no thread panics while it holds the lock");
        if !is_primary && kind.is_some() && *last == kind {
            *last = None;
            drop(last);
            shared.silence.send(()).ok()?;
            io::copy(&mut stream, &mut io::sink()).ok()?;
        }
    }
}

/// Answers a query once the gate is opened: a replica rejects writes.
fn answer_query(text: String, shared: &Shared) -> Option<(Vec<u8>, Option<LastAnswer>)> {
    let is_write = text.contains("INSERT");
    shared.queries.send(text).ok()?;
    shared.answers.wait();
    match is_write {
        true if !shared.is_primary.load(SeqCst) => Some((error("25006"), Some(LastAnswer::Write))),
        true => Some((one_row_answer(b"old"), Some(LastAnswer::Write))),
        false => Some((one_row_answer(b"old"), Some(LastAnswer::Read))),
    }
}

fn load_report(shared: &Shared) -> String {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis();
    format!("x0={}.{:03},x1={}", now / 1000, now % 1000, u8::from(shared.is_primary.load(SeqCst)))
}

fn strong_read(id: u32) -> String {
    format!("/* id={id},c=fresh,d={TIMEOUT_MS},cluster=0 */ SELECT data FROM facts WHERE code = 'k{id}'")
}

/// Sends strong reads until every idle connection of the router carries one, and the last read waits for a new
/// connection. Returns their clients, the last one last.
fn occupy_connections(host: &DemotedHost, router: &Router) -> Vec<PostgresClient> {
    let send_read = |id| {
        let mut reader = PostgresClient::connect(router.address);
        reader.send(&strong_read(id));
        reader
    };
    let mut readers = vec![send_read(10)];
    host.queries.recv_timeout(TEST_TIMEOUT).expect("the first read arrives at the host");
    host.shared.holds_logins.store(true, SeqCst);
    for id in 11..20 {
        readers.push(send_read(id));
        if host.queries.recv_timeout(ARRIVAL_TIME).is_err() {
            return readers;
        }
    }
    panic!("the router must open a connection for one of ten concurrent reads");
}

/// Lets a request wait for a new connection to the host, while others are in progress there. The host is
/// demoted, answers these as a replica, and only then completes the login of the connection. Returns the reply
/// to the request, and the queries that arrived at the host after it had answered.
fn request_across_demotion(text: impl Fn(u32) -> String) -> (ClientReply, Vec<String>) {
    let host = DemotedHost::start();
    let mut config = single_primary_configuration(host.address);
    config["settings"]["permissions"]["connect_timeout_us"] = CONNECT_TIMEOUT_US.into();
    let router = Router::start(config);
    let mut readers = occupy_connections(&host, &router);
    let mut waiting = PostgresClient::connect(router.address);
    waiting.send(&text(30));
    // A connection that a health check has used may have become idle since.
    for id in 31.. {
        if host.queries.recv_timeout(ARRIVAL_TIME).is_err() {
            break;
        }
        readers.push(waiting);
        waiting = PostgresClient::connect(router.address);
        waiting.send(&text(id));
    }
    assert!(host.connecting.try_recv().is_ok(), "the router must open a connection");
    host.shared.is_primary.store(false, SeqCst);
    host.open_answers.send(()).expect("the host waits for the test");
    assert_eq!(readers[0].receive(), ClientReply::value("old"), "the read was sent before the demotion");
    for _ in 0..MAX_CONNECTIONS {
        host.open_logins.send(()).expect("the host waits for the test");
    }
    let late: Vec<String> = host.queries.recv_timeout(ARRIVAL_TIME).into_iter().collect();
    for _ in 0..MAX_CONNECTIONS {
        host.open_answers.send(()).expect("the host waits for the test");
    }
    let reply = waiting.receive();
    drop((readers, waiting));
    router.shut_down();
    (reply, late)
}

/// Guards against a stale read: a read that must see all commits is sent to a host that has answered as a
/// replica while the connection for the read was established.
#[test]
fn strong_read_is_not_sent_to_a_host_that_has_answered_as_replica() {
    let (reply, late) = request_across_demotion(strong_read);
    assert_eq!(late, Vec::<String>::new(), "nothing may arrive at the former primary");
    assert_eq!(reply, ClientReply::error("53300"), "the read never ran, so the client may repeat it");
}

/// Guards against a write that is sent to the former primary once the shard is in Failover.
#[test]
fn write_is_not_sent_to_a_host_that_has_answered_as_replica() {
    let (reply, late) = request_across_demotion(|id| write_request(id, TIMEOUT_MS));
    assert_eq!(late, Vec::<String>::new(), "nothing may arrive at the former primary");
    assert_eq!(reply, ClientReply::error("53300"), "the write never ran, so the client may repeat it");
}

/// Demotes a host whose connections have been used, and lets the connection fall silent on which it first tells
/// that. Returns the reply to a strong read that is sent once the answer counts as known, and the queries that
/// arrive at the host from then on.
fn strong_read_after_silence(last_answer: LastAnswer) -> (ClientReply, Vec<String>) {
    let host = DemotedHost::start();
    let router = Router::start(single_primary_configuration(host.address));
    let mut client = PostgresClient::connect(router.address);
    for id in 1..5 {
        host.open_answers.send(()).expect("the host waits for the test");
        assert_eq!(client.execute(&strong_read(id)), ClientReply::value("old"));
    }
    *host.shared.falls_silent_after.lock().expect("no thread panics while it holds the lock") =
        Some(last_answer);
    host.shared.is_primary.store(false, SeqCst);
    let text = if last_answer == LastAnswer::Write { write_request(5, TIMEOUT_MS) } else { strong_read(5) };
    client.send(&text);
    let open_gate = || (0..MAX_CONNECTIONS).for_each(|_| host.open_answers.send(()).expect("the host waits"));
    // A request without an answer makes the router check the health of its host.
    if last_answer != LastAnswer::HealthCheck {
        open_gate();
    }
    host.silence.recv_timeout(TEST_TIMEOUT).expect("a connection falls silent");
    sleep(KNOWN_AFTER);
    open_gate();
    let before = host.queries.try_iter().count();
    let mut reader = PostgresClient::connect(router.address);
    let reply = reader.execute(&strong_read(6));
    let late = host.queries.try_iter().collect();
    assert!(before >= 4, "the first reads must arrive at the host");
    drop((client, reader));
    router.shut_down();
    (reply, late)
}

/// Guards against a stale read (review case 8): the answer that tells of the lost role is complete, but the
/// answer to the barrier behind it never comes.
#[test]
fn strong_read_is_not_sent_after_an_unconfirmed_answer_as_replica() {
    for last_answer in [LastAnswer::Read, LastAnswer::Write, LastAnswer::HealthCheck] {
        let (reply, late) = strong_read_after_silence(last_answer);
        assert_eq!(late, Vec::<String>::new(), "{last_answer:?}: nothing may arrive at the former primary");
        assert_eq!(reply, ClientReply::error("53300"), "{last_answer:?}: the read never ran");
    }
}

/// Guards against the same stale read on TDS, where only a rejected write and health checks tell of the role.
#[test]
fn batch_is_not_sent_after_an_unconfirmed_rejection_of_a_write() {
    for protocol in Protocol::BOTH {
        let rules = statement_rules(if protocol == Protocol::Tds { "tsql" } else { "postgres" }, TIMEOUT_MS);
        let PrimaryAndReplica { primary, replica: _replica, ledger, router } =
            PrimaryAndReplica::start(protocol, rules);
        let mut client = Client::connect(protocol, router.address);
        for key in 0..4 {
            let write = format!("INSERT INTO t (k) VALUES ('first{key}')");
            assert!(matches!(client.execute(&write), Reply::Answered(_)), "{protocol:?}");
        }
        primary.set_primary(false);
        primary.fall_silent_after_rejected_write();
        client.send("INSERT INTO t (k) VALUES ('rejected')");
        while !primary.next_request().contains("rejected") {}
        sleep(KNOWN_AFTER);
        let read = format!("/* id=9,c=fresh,d={TIMEOUT_MS},cluster=0 */ SELECT k FROM t WHERE k = 'stale'");
        let reply = Client::connect(protocol, router.address).execute(&read);
        assert_eq!(ledger.executions("stale"), 0, "{protocol:?}: no host has all commits");
        assert_eq!(reply, Reply::Throttled, "{protocol:?}: the read never ran");
        drop(client);
        router.shut_down();
    }
}
