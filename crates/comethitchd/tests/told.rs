//! What discovery has counts as told six seconds after it could be reached, whatever became of watches and calls. Here
//! the program stands before an agent that misbehaves in one way for each test, and a change is put to it at once.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use support::*;

/// Within so long a change must be held; the router's own log tells when it is.
const TOLD: Duration = Duration::from_secs(6);

/// How the agent treats one call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    /// As it should be: a watch tells what changes, and a call for the whole list is answered.
    Well,
    /// The same, with each object indented over many lines.
    Indented,
    /// It takes the connection and says nothing.
    Mute,
    /// It answers what is asked at that moment, and nothing ever after.
    FallsSilent,
    /// It sends the parts of an object that never ends, each soon after the one before.
    Fragments,
    /// It sends its head byte by byte, and no end of it.
    EndlessHead,
    Closes,
    Refuses,
    /// All of an older list but for one host, and then a reset before the answer's end, chunked or without a length.
    CutChunked,
    CutUnmeasured,
}

struct State {
    seq: u64,
    hosts: BTreeMap<String, Value>,
    changed: Option<Instant>,
    asked: Vec<String>,
}

#[derive(Clone)]
struct Agent {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Agent {
    /// An agent with one host listed; `manner` tells how to treat a call by its number, whether it is a watch, and the
    /// time since the change.
    fn start(manner: impl Fn(usize, bool, Option<Duration>) -> Manner + Send + Sync + 'static) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let hosts =
            [("p".to_string(), entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready"))];
        let state =
            Arc::new(Mutex::new(State { seq: 7, hosts: hosts.into(), changed: None, asked: Vec::new() }));
        let (agent, manner) = (Agent { address, state }, Arc::new(manner));
        let listens = agent.clone();
        spawn(move || {
            for (nth, stream) in listener.incoming().flatten().enumerate() {
                let (agent, manner) = (listens.clone(), manner.clone());
                spawn(move || {
                    let line = request(&stream);
                    let watch = line.contains("follow");
                    let mut state = agent.state.lock().expect("the state");
                    state.asked.push(line);
                    let since = state.changed.map(|at| at.elapsed());
                    drop(state);
                    let _ = agent.answer(stream, watch, manner(nth, watch, since));
                });
            }
        });
        agent
    }

    fn seq(&self) -> u64 {
        self.state.lock().expect("the state").seq
    }

    /// The host drains from now on.
    fn change(&self) {
        let mut state = self.state.lock().expect("the state");
        state.seq += 1;
        state.changed = Some(Instant::now());
        state.hosts.get_mut("p").expect("p")["health"] = "draining".into();
    }

    fn list(&self, indented: bool) -> String {
        let state = self.state.lock().expect("the state");
        let hosts: Vec<&Value> = state.hosts.values().collect();
        let list = json!({"seq": state.seq, "whole": true, "hosts": hosts});
        let text =
            if indented { serde_json::to_string_pretty(&list).expect("text") } else { list.to_string() };
        text + "\n"
    }

    fn answer(&self, mut stream: TcpStream, watch: bool, manner: Manner) -> std::io::Result<()> {
        let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let cut = json!({"seq": 99, "whole": true, "hosts": []}).to_string() + "\n";
        match manner {
            Manner::Closes => return Ok(()),
            Manner::Refuses => return stream.write_all(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"),
            Manner::Mute => sleep(LONG),
            Manner::EndlessHead => {
                stream.write_all(b"HTTP/1.1 200 OK\r\nX: ")?;
                loop {
                    stream.write_all(b"x")?;
                    sleep(Duration::from_millis(100));
                }
            }
            Manner::CutChunked => {
                stream.write_all(chunked)?;
                chunk(&mut stream, &cut)?;
                reset(stream);
                return Ok(());
            }
            Manner::CutUnmeasured => {
                stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{cut}").as_bytes())?;
                reset(stream);
                return Ok(());
            }
            _ => {}
        }
        let indented = manner == Manner::Indented;
        if !watch {
            let list = self.list(indented);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            return stream.write_all((head + &list).as_bytes());
        }
        stream.write_all(chunked)?;
        if manner == Manner::Fragments {
            chunk(&mut stream, "{\"seq\":8,\"whole\":false,\"hosts\":[")?;
            loop {
                stream.write_all(b"1\r\n \r\n")?;
                sleep(Duration::from_millis(200));
            }
        }
        let mut held = 7;
        let mut quiet = Instant::now();
        loop {
            if self.seq() > held && manner != Manner::FallsSilent {
                held = self.seq();
                chunk(&mut stream, &self.list(indented).replace("true", "false"))?;
            } else if quiet.elapsed() > Duration::from_secs(2) && manner != Manner::FallsSilent {
                quiet = Instant::now();
                chunk(&mut stream, "\n")?;
            }
            sleep(Duration::from_millis(10));
        }
    }
}

/// Sends text as one chunk, for as long as somebody reads it.
fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}

/// Closes with something unread: the connection is reset.
fn reset(stream: TcpStream) {
    let linger = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
    linger.expect("a reset to come");
}

/// Starts the program before the agent, changes the list once the router follows it, and tells how long it took until
/// the router held the change.
fn told_after(name: &str, agent: &Agent, known: &[Value]) -> (Duration, Program) {
    let mut all = site(known, None, 1024);
    all["discovery"] = agent.address.to_string().into();
    let mut program = Program::start_with(name, &all, &["--log", "debug"]);
    let asked = |wanted: &str| {
        let state = agent.state.lock().expect("the state");
        state.asked.iter().any(|line| line.contains(wanted))
    };
    let started = Instant::now();
    while !asked("/api/targets") && started.elapsed() < LONG {
        sleep(Duration::from_millis(5));
    }
    // A watch that is up falls silent, or whatever else is to come of it.
    sleep(Duration::from_millis(200));
    agent.change();
    let changed = Instant::now();
    let limit = program.ends_after(LONG);
    program.logs("p at 127.0.0.1:1 is Draining");
    limit.store(true, SeqCst);
    (changed.elapsed(), program)
}

fn held_in_time(
    name: &str, manner: impl Fn(usize, bool, Option<Duration>) -> Manner + Send + Sync + 'static,
) {
    let agent = Agent::start(manner);
    let known = [entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready")];
    let (took, program) = told_after(name, &agent, &known);
    assert!(took < TOLD, "{name}: held after {took:?}");
    program.signal("TERM");
    program.ends();
}

#[test]
fn a_watch_that_falls_silent_and_new_ones_that_do_so_at_once() {
    held_in_time("silent", |_, watch, _| if watch { Manner::FallsSilent } else { Manner::Well });
}

#[test]
fn new_watches_that_are_mute_from_their_first_byte() {
    held_in_time("mute", |nth, watch, _| match (watch, nth) {
        (true, 0) => Manner::FallsSilent,
        (true, _) => Manner::Mute,
        _ => Manner::Well,
    });
}

#[test]
fn watches_in_fragments_that_never_end() {
    held_in_time("fragments", |_, watch, _| if watch { Manner::Fragments } else { Manner::Well });
}

#[test]
fn a_watch_whose_head_never_ends_is_begun_anew() {
    held_in_time("head", |nth, _, _| if nth < 3 { Manner::EndlessHead } else { Manner::Well });
}

#[test]
fn watches_that_are_refused_or_closed_at_once() {
    held_in_time("refused", |nth, watch, _| match watch {
        true if nth % 2 == 0 => Manner::Refuses,
        true => Manner::Closes,
        false => Manner::Well,
    });
}

#[test]
fn calls_for_the_whole_list_that_fail_while_watches_are_answered() {
    held_in_time("calls", |nth, watch, _| if watch || nth == 0 { Manner::Well } else { Manner::Mute });
}

#[test]
fn lists_and_changes_that_come_indented() {
    held_in_time("indented", |_, _, _| Manner::Indented);
}

#[test]
fn an_agent_that_is_mute_for_four_seconds_and_then_answers() {
    held_in_time("returns", |nth, _, since| match since {
        _ if nth == 0 => Manner::FallsSilent,
        Some(since) if since > Duration::from_secs(4) => Manner::Well,
        _ => Manner::Mute,
    });
}

#[test]
fn a_whole_list_cut_by_a_reset_counts_for_nothing() {
    for (name, manner) in [("chunked", Manner::CutChunked), ("unmeasured", Manner::CutUnmeasured)] {
        let agent = Agent::start(move |nth, _, _| if nth < 2 { manner } else { Manner::Well });
        // Without a list of its own the router asks for the whole one first.
        let (took, mut program) = told_after(name, &agent, &[]);
        assert!(took < TOLD, "{name}: held after {took:?}");
        program.signal("TERM");
        let log: Vec<String> = program.log.by_ref().collect();
        assert!(!log.iter().any(|line| line.contains("list 99")), "{name}: {log:?}");
        let asked = agent.state.lock().expect("the state").asked.clone();
        assert!(!asked.iter().any(|line| line.contains("since=99")), "{name}: {asked:?}");
        program.ends();
    }
}

/// Discovery is moved by SIGHUP while the old watch still speaks: nothing of it counts any more, and the new one is
/// asked for all that it has, whatever version the old one was at.
#[test]
fn a_watch_that_was_left_says_nothing_that_counts() {
    let (old, new) = (Agent::start(|_, _, _| Manner::Well), Agent::start(|_, _, _| Manner::Well));
    let mut all = site(&[entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready")], None, 1024);
    all["discovery"] = old.address.to_string().into();
    let mut program = Program::start_with("moved", &all, &["--log", "debug"]);
    while !old.state.lock().expect("the state").asked.iter().any(|line| line.contains("follow")) {
        sleep(Duration::from_millis(5));
    }
    // Both wait for the router as it goes on: a line of the old watch, and the signal.
    program.signal("STOP");
    old.state.lock().expect("the state").seq = 40;
    sleep(Duration::from_millis(100));
    all["discovery"] = new.address.to_string().into();
    std::fs::write(&program.file, all.to_string()).expect("written");
    program.signal("HUP");
    program.signal("CONT");
    program.logs("list 7: p");
    let asked = new.state.lock().expect("the state").asked.clone();
    assert!(asked[0].starts_with("GET /api/targets "), "{asked:?}");
    program.signal("TERM");
    program.ends();
}

/// Twenty routers restarted at once, a third each with discovery down, mute, and mute with no list known.
#[test]
fn nine_in_ten_restarted_routers_are_ready_within_ten_seconds() {
    let mute = Agent::start(|_, _, _| Manner::Mute);
    let known = [entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready")];
    let started = Instant::now();
    let mut programs: Vec<Program> = (0..20)
        .map(|nth| {
            let mut all = site(if nth % 3 == 2 { &[] } else { &known }, None, 1024);
            if nth % 3 > 0 {
                all["discovery"] = mute.address.to_string().into();
            }
            Program::start(&format!("ready-{nth}"), &all)
        })
        .collect();
    let ready: Vec<Duration> = programs
        .iter_mut()
        .map(|program| {
            let mut client = Client::connect(program.address);
            assert_eq!(client.ask(""), Got::Empty);
            started.elapsed()
        })
        .collect();
    let late = ready.iter().filter(|took| **took > Duration::from_secs(10)).count();
    assert!(late <= 2, "{ready:?}");
}

#[test]
fn a_list_newer_than_the_one_known_at_the_start_is_held_at_once() {
    let agent = Agent::start(|_, _, _| Manner::Well);
    agent.change();
    let known = [entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready")];
    let mut all = site(&known, None, 1024);
    all["discovery"] = agent.address.to_string().into();
    let started = Instant::now();
    let mut program = Program::start("newer", &all);
    let limit = program.ends_after(LONG);
    program.logs("list 8: p at 127.0.0.1:1 is Draining");
    limit.store(true, SeqCst);
    assert!(started.elapsed() < TOLD, "{:?}", started.elapsed());
    program.signal("TERM");
    program.ends();
}
