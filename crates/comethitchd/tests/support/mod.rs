//! Peers of the router played on loopback, from the protocols' public descriptions: a database host, discovery and a
//! client. Every wait is for an event; the limits on waiting only end a test that has failed.
// Each test file uses a part of it.
#![allow(dead_code, unused_imports)]

use async_io::Async;
use comethitch_lab::system_calls::{FaultLibrary, SystemCallFaults};
pub(crate) use comethitch_testkit::TEST_TIMEOUT;
use comethitch_testkit::postgres::{Message, TransactionStatus, read_message, ready_for_query};
pub(crate) use comethitch_testkit::postgres::{
    error, message, parameter_status, query, row, startup_message as startup,
};
use comethitchd::protocols::tds::settings::TdsSettings;
use comethitchd::service::protocol::Protocol;
use comethitchd::service::server;
use comethitchd::service::startup;
use comethitchd::state::clock::Clock;
use comethitchd::state::config::Config;
use serde_json::{Value, json};
use std::ffi::OsString;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, SystemTime};

/// The sample of a configuration.
pub(crate) const SAMPLE: &str = include_str!("../../../../deploy/configuration.json");

/// `ReadyForQuery`, outside of a transaction.
pub(crate) fn ready() -> Vec<u8> {
    ready_for_query(TransactionStatus::Idle)
}

/// What a host does with a query.
pub(crate) enum HostAction {
    /// Answers with these messages, its role and `ReadyForQuery`.
    Answer(Vec<u8>),
    /// Sends these bytes, and nothing of its own behind them.
    Raw(Vec<u8>),
    /// Sends nothing until the router ends the connection.
    Silence,
    /// Closes the connection.
    Close,
}

/// What a host has observed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum HostEvent {
    /// A query, but for health checks.
    Query(String),
    /// The router ended a connection, after a query that got no answer or while idle.
    Ended,
}

/// A database host.
pub(crate) struct Host {
    pub address: SocketAddr,
    pub met: Receiver<HostEvent>,
}

impl Host {
    /// The next observation.
    pub(crate) fn next(&self) -> HostEvent {
        self.met.recv_timeout(TEST_TIMEOUT).expect("something at the host")
    }
}

/// A host that answers health checks as primary or replica, and requests by the script; `nth` counts requests.
pub(crate) fn host(
    primary: bool, script: impl Fn(usize, &str) -> HostAction + Send + Sync + 'static,
) -> Host {
    host_since(primary, script, None)
}

/// The same, with data that do not change from a time on, and no greeting to a second connection until a span has
/// passed since then.
pub(crate) fn host_since(
    primary: bool, script: impl Fn(usize, &str) -> HostAction + Send + Sync + 'static,
    still: Option<(SystemTime, Duration)>,
) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (observations, met) = channel();
    let (script, count) = (Arc::new(script), Arc::new(std::sync::atomic::AtomicUsize::new(0)));
    spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let (script, observations, count) = (script.clone(), observations.clone(), count.clone());
            spawn(move || {
                let act = |text: &str| {
                    let nth = count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    script(nth, text)
                };
                if let Some((since, span)) = still.filter(|_| connection > 0) {
                    std::thread::sleep((since + span).duration_since(SystemTime::now()).unwrap_or_default());
                }
                let at = move || still.map_or_else(SystemTime::now, |(since, _)| since);
                host_connection(stream, primary, at, act, &observations);
            });
        }
    });
    Host { address, met }
}

fn host_connection(
    mut stream: TcpStream, primary: bool, at: impl Fn() -> SystemTime, act: impl Fn(&str) -> HostAction,
    observations: &Sender<HostEvent>,
) {
    let mut length = [0; 4];
    let _ = stream.read_exact(&mut length);
    let _ = stream.read_exact(&mut vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)]);
    let _ = stream.write_all(&[message(b'R', &[0; 4]), ready()].concat());
    while let Ok(Message { message_type: b'Q', body }) = read_message(&mut stream) {
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        let answer = if text == "SHOW vitals" {
            let unix = at().duration_since(SystemTime::UNIX_EPOCH).expect("a clock").as_millis();
            let at = format!("x0={}.{:03},x1={}", unix / 1000, unix % 1000, u8::from(primary));
            HostAction::Answer(row(at.as_bytes()))
        } else {
            let _ = observations.send(HostEvent::Query(text.clone()));
            act(&text)
        };
        match answer {
            HostAction::Answer(answer) => {
                let rank = parameter_status("rank", if primary { "source" } else { "copy" });
                let _ = stream.write_all(&[answer, rank, ready()].concat());
            }
            HostAction::Raw(bytes) => {
                let _ = stream.write_all(&bytes);
            }
            HostAction::Silence => {
                let _ = stream.read(&mut [0]);
                break;
            }
            HostAction::Close => return,
        }
    }
    let _ = observations.send(HostEvent::Ended);
}

/// The program itself, serving by a configuration file of its own, and its log line by line.
pub(crate) struct Program {
    pub child: std::process::Child,
    pub file: std::path::PathBuf,
    pub log: Box<dyn Iterator<Item = String> + Send>,
    pub address: SocketAddr,
}

impl Program {
    /// Starts it with this configuration; `name` tells its files from those of other tests.
    pub(crate) fn start(name: &str, site: &Value) -> Program {
        Program::start_with(name, site, &[])
    }

    /// The same with more options.
    pub(crate) fn start_with(name: &str, site: &Value, more: &[&str]) -> Program {
        Program::start_in_environment(name, site, more, &[])
    }

    /// The same with faults of system calls, in the text form of [`SystemCallFaults`].
    pub(crate) fn start_with_faults(name: &str, site: &Value, faults: &str) -> Program {
        let faults: SystemCallFaults = faults.parse().expect("faults of system calls");
        Program::start_in_environment(name, site, &[], &fault_library().environment(&faults))
    }

    fn start_in_environment(
        name: &str, site: &Value, more: &[&str], environment: &[(&str, OsString)],
    ) -> Program {
        let file = std::env::temp_dir().join(format!("comethitchd-{}-{name}.json", std::process::id()));
        std::fs::write(&file, site.to_string()).expect("written");
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_comethitchd"))
            .arg("serve")
            .args(more)
            .env("RELAY_CONFIG", &file)
            .envs(environment.iter().cloned())
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("started");
        let lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let mut log: Box<dyn Iterator<Item = String> + Send> = Box::new(lines.map_while(Result::ok));
        let line = log.find(|line| line.contains("listening")).expect("a line");
        // `address=HOST:PORT` in the text form, `"address":"HOST:PORT"` in JSON.
        let value = line.split("address").nth(1).map(|rest| rest.trim_start_matches(['=', ':', '"']));
        let address = value.and_then(|value| value.split([' ', '"']).next());
        let address = address.and_then(|text| text.parse().ok()).expect("an address");
        Program { child, file, log, address }
    }

    /// Sends it a signal.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = std::process::Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
        assert!(sent.expect("a signal").success());
    }

    /// Kills it after so long, unless the flag is set before, so that a line of its log that never comes fails the test.
    pub(crate) fn ends_after(&self, limit: Duration) -> Arc<AtomicBool> {
        let (id, done) = (self.child.id().to_string(), Arc::new(AtomicBool::new(false)));
        let asked = done.clone();
        spawn(move || {
            std::thread::sleep(limit);
            if !asked.load(SeqCst) {
                let _ = std::process::Command::new("kill").args(["-9", &id]).status();
            }
        });
        done
    }

    /// Reads its log up to a line that holds the text.
    pub(crate) fn logs(&mut self, wanted: &str) {
        self.log.find(|line| line.contains(wanted)).expect(wanted);
    }

    /// Reads the rest of its log as it comes, and collects the lines that hold the text.
    pub(crate) fn collect_log(&mut self, wanted: &'static str) -> Arc<Mutex<Vec<String>>> {
        let log = std::mem::replace(&mut self.log, Box::new(std::iter::empty()));
        let collected = Arc::new(Mutex::new(Vec::new()));
        let lines = collected.clone();
        spawn(move || {
            for line in log.filter(|line| line.contains(wanted)) {
                lines.lock().expect("the lines").push(line);
            }
        });
        collected
    }

    /// Waits until it ends by itself, which it must with 0.
    pub(crate) fn ends(mut self) {
        assert!(self.child.wait().expect("an end").success());
        std::fs::remove_file(&self.file).expect("removed");
    }
}

/// The library that injects faults of system calls, compiled once for each test binary.
fn fault_library() -> &'static FaultLibrary {
    static LIBRARY: OnceLock<FaultLibrary> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        FaultLibrary::compile(Path::new(env!("CARGO_TARGET_TMPDIR"))).expect("a C compiler links this test")
    })
}

/// A test that fails leaves no program behind: it would hold the test's own output open.
impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads an HTTP request up to its empty line, and returns its first line.
pub(crate) fn request(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream.try_clone().expect("a copy")).lines();
    let first = lines.next().and_then(Result::ok).unwrap_or_default();
    while lines.next().and_then(Result::ok).is_some_and(|line| !line.is_empty()) {}
    first
}

/// A discovery service: each request comes through the channel with its connection, on which a response has begun.
pub(crate) struct Discovery {
    pub address: SocketAddr,
    pub asked: Receiver<(String, TcpStream)>,
}

/// Starts a discovery service.
pub(crate) fn discovery() -> Discovery {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (requests, asked) = channel();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let first = request(&stream);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let _ = requests.send((first, stream));
        }
    });
    Discovery { address, asked }
}

impl Discovery {
    /// The next request.
    pub(crate) fn watch(&self) -> (String, TcpStream) {
        self.asked.recv_timeout(TEST_TIMEOUT).expect("a watch")
    }
}

/// Sends text as one chunk.
pub(crate) fn send_chunk(stream: &mut TcpStream, text: &str) {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).expect("a chunk sent");
}

/// An entry of the endpoint list.
pub(crate) fn entry(name: &str, address: SocketAddr, primary: bool, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "north", "class": "m", "block": 0,
        "health": health, "share": 1.0, "rank": if primary { "source" } else { "copy" }, "born_ms": 0})
}

/// A configuration with these hosts, which do not change unless a discovery service is given.
pub(crate) fn configuration(hosts: &[Value], discovery: Option<&Discovery>, sockets: usize) -> Value {
    let mut all: Value = serde_json::from_str(SAMPLE).expect("the sample");
    all["known"] = json!({"seq": 7, "whole": true, "hosts": hosts});
    all["limits"]["sockets"] = sockets.into();
    all["listen"] = "127.0.0.1:0".into();
    // Without a discovery service, an address where nothing listens.
    all["discovery"] = discovery.map_or("127.0.0.1:1".into(), |d| d.address.to_string().into());
    all
}

/// A router in a thread of this process.
pub(crate) struct Router {
    pub address: SocketAddr,
    stop: async_channel::Sender<()>,
    thread: JoinHandle<()>,
}

impl Router {
    /// Starts it with this configuration.
    pub(crate) fn start(site: Value) -> Router {
        Router::with_statement_rules(site, None)
    }

    /// With rules by which statements are judged by their text.
    pub(crate) fn with_statement_rules(site: Value, rules: Option<Value>) -> Router {
        Router::start_with_protocol(comethitch_testkit::Protocol::Postgres, site, rules)
    }

    /// The same with either protocol.
    pub(crate) fn start_with_protocol(
        protocol: comethitch_testkit::Protocol, site: Value, rules: Option<Value>,
    ) -> Router {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = spawn(move || {
            let config = Config::read(&site.to_string(), |_| None).expect("a configuration");
            let config = match rules {
                Some(rules) => config.with_statement_rules(&rules.to_string()).expect("rules"),
                None => config,
            };
            let listener = Async::new(listener).expect("a listener");
            let protocol = match protocol {
                comethitch_testkit::Protocol::Postgres => Protocol::postgres(),
                comethitch_testkit::Protocol::Tds => {
                    let sample = include_str!("../../../../deploy/tds.json");
                    let settings = TdsSettings::read(sample).expect("settings");
                    Protocol::tds(settings, &config).expect("a protocol")
                }
            };
            let state = startup::start(config, Clock::start(), protocol.backend).expect("a router");
            async_io::block_on(server::serve(state, protocol.client, vec![listener], async {
                let _ = stopped.recv().await;
            }));
        });
        Router { address, stop, thread }
    }

    /// Asks it to stop, as the signal does.
    pub(crate) fn ask_to_stop(&self) {
        self.stop.close();
    }

    /// Stops it, and waits until it has.
    pub(crate) fn wait(self) {
        self.ask_to_stop();
        self.thread.join().expect("the router ends without a panic");
    }
}

/// What a client got for one query.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClientReply {
    /// The value of one row.
    Value(Vec<u8>),
    /// An error, by its SQLSTATE.
    Error(String),
    /// The answer to an empty query.
    Empty,
    /// A tag without a row, or the greeting.
    Done(String),
    /// The connection ended.
    Closed,
}

/// A client.
pub(crate) struct Client(pub TcpStream);

impl Client {
    /// Connects and gets the greeting.
    pub(crate) fn connect(address: SocketAddr) -> Client {
        let mut client = Client::raw(address);
        client.0.write_all(&startup()).expect("the startup message sent");
        assert_eq!(client.receive(), ClientReply::Done("welcome".into()));
        client
    }

    /// Connects and sends nothing.
    pub(crate) fn raw(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
        Client(stream)
    }

    /// Sends a query and waits for its answer.
    pub(crate) fn ask(&mut self, text: &str) -> ClientReply {
        self.0.write_all(&query(text)).expect("a query sent");
        self.receive()
    }

    /// The next answer, up to `ReadyForQuery` or the end of the connection.
    pub(crate) fn receive(&mut self) -> ClientReply {
        let mut got = ClientReply::Closed;
        while let Ok(Message { message_type, body }) = read_message(&mut self.0) {
            match message_type {
                b'Z' => return got,
                b'R' => got = ClientReply::Done("welcome".into()),
                b'D' => got = ClientReply::Value(body[6..].to_vec()),
                b'I' => got = ClientReply::Empty,
                b'C' if got == ClientReply::Closed => got = ClientReply::Done(text_of(&body)),
                b'E' => {
                    let code = body.split(|b| *b == 0).find(|field| field.first() == Some(&b'C'));
                    got = ClientReply::Error(text_of(&code.expect("a code")[1..]));
                }
                _ => {}
            }
        }
        got
    }
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim_end_matches('\0').to_string()
}

/// Answers with one row that holds this value.
pub(crate) fn answer(value: &str) -> HostAction {
    HostAction::Answer(row(value.as_bytes()))
}

/// Starts a router with one host, a primary.
pub(crate) fn router_with_one_host(primary: &Host) -> Router {
    Router::start(configuration(&[entry("p", primary.address, true, "ready")], None, 1024))
}

/// Statement rules with one request class for reads and one for all other statements. Statements without a comment have
/// this timeout.
pub(crate) fn statement_rules(dialect: &str, timeout_ms: u32) -> Value {
    json!({
        "dialect": dialect,
        "disagreement": "refuse",
        "commentless": {"wait_ms": timeout_ms},
        "groups": [
            {"group": "read", "effects": ["read"]},
            {"group": "write", "effects": ["locking_read", "session", "write", "unknown"]}
        ],
        "elsewhere": 0
    })
}

/// A read with this id and timeout.
pub(crate) fn read(id: u32, wait_ms: u32) -> String {
    format!("/* id={id},c=read,d={wait_ms},cluster=0 */ SELECT data FROM facts WHERE code = 'k{id}'")
}

/// A write with this id and timeout.
pub(crate) fn write(id: u32, wait_ms: u32) -> String {
    format!(
        "/* id={id},c=write,d={wait_ms},cluster=0 */ INSERT INTO facts (code, data) VALUES ('k', '\\x9f') RETURNING data"
    )
}
