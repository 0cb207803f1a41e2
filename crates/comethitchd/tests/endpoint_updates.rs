//! A change of the endpoint list counts as known six seconds after discovery could be reached, whatever became of
//! watches and polls. Here the program follows a discovery agent that misbehaves in one way for each test.

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

/// Within so long a change must be applied; the router's log shows when it is.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// The head of a chunked response.
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// How the agent responds to one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    /// As it should: a watch sends what changes, and a poll gets the complete list.
    Correct,
    /// The same, with each object indented over many lines.
    Indented,
    /// It accepts the connection and sends nothing.
    Unresponsive,
    /// It responds, and sends no change and no empty line ever after.
    StopsSending,
    /// It sends fragments of an object that never ends, each soon after the one before.
    Fragments,
    /// It sends the head of a response byte by byte, and no end of it.
    EndlessHead,
    /// It closes the connection at once.
    Closes,
    /// It responds with status 503.
    RespondsWithError,
    /// It sends a list without hosts, and resets the connection before the response's end; the response is chunked.
    CutChunked,
    /// The same with a response without a length.
    CutUnmeasured,
}

/// What the agent has, and what it was asked for.
struct AgentState {
    seq: u64,
    hosts: BTreeMap<String, Value>,
    changed: Option<Instant>,
    requests: Vec<String>,
}

#[derive(Clone)]
struct Agent {
    address: SocketAddr,
    state: Arc<Mutex<AgentState>>,
}

impl Agent {
    /// An agent with one host listed; `behavior` decides on a response by the number of the request, whether it is a
    /// watch, and the time since the change.
    fn start(behavior: impl Fn(usize, bool, Option<Duration>) -> Behavior + Send + Sync + 'static) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let hosts =
            [("p".to_string(), entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready"))];
        let state = Arc::new(Mutex::new(AgentState {
            seq: 7,
            hosts: hosts.into(),
            changed: None,
            requests: Vec::new(),
        }));
        let (agent, behavior) = (Agent { address, state }, Arc::new(behavior));
        let accepting_agent = agent.clone();
        spawn(move || {
            for (nth, stream) in listener.incoming().flatten().enumerate() {
                let (agent, behavior) = (accepting_agent.clone(), behavior.clone());
                spawn(move || {
                    let line = request(&stream);
                    let watch = line.contains("follow");
                    let mut state = agent.state.lock().expect("the state");
                    state.requests.push(line);
                    let since = state.changed.map(|at| at.elapsed());
                    drop(state);
                    let _ = agent.answer(stream, watch, behavior(nth, watch, since));
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

    fn answer(&self, mut stream: TcpStream, watch: bool, behavior: Behavior) -> std::io::Result<()> {
        let cut = json!({"seq": 99, "whole": true, "hosts": []}).to_string() + "\n";
        match behavior {
            Behavior::Closes => return Ok(()),
            Behavior::RespondsWithError => {
                return stream.write_all(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
            }
            Behavior::Unresponsive => sleep(TEST_TIMEOUT),
            Behavior::EndlessHead => {
                stream.write_all(b"HTTP/1.1 200 OK\r\nX: ")?;
                loop {
                    stream.write_all(b"x")?;
                    sleep(Duration::from_millis(100));
                }
            }
            Behavior::CutChunked => {
                stream.write_all(CHUNKED)?;
                chunk(&mut stream, &cut)?;
                reset(stream);
                return Ok(());
            }
            Behavior::CutUnmeasured => {
                stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{cut}").as_bytes())?;
                reset(stream);
                return Ok(());
            }
            _ => {}
        }
        if watch { self.answer_watch(stream, behavior) } else { self.answer_poll(stream, behavior) }
    }

    /// Sends the complete list.
    fn answer_poll(&self, mut stream: TcpStream, behavior: Behavior) -> std::io::Result<()> {
        let list = self.list(behavior == Behavior::Indented);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        stream.write_all((head + &list).as_bytes())
    }

    /// Sends changes and empty lines, or whatever else the behavior asks for, until the router closes the connection.
    fn answer_watch(&self, mut stream: TcpStream, behavior: Behavior) -> std::io::Result<()> {
        stream.write_all(CHUNKED)?;
        if behavior == Behavior::Fragments {
            chunk(&mut stream, "{\"seq\":8,\"whole\":false,\"hosts\":[")?;
            loop {
                stream.write_all(b"1\r\n \r\n")?;
                sleep(Duration::from_millis(200));
            }
        }
        let indented = behavior == Behavior::Indented;
        let mut sent = 7;
        let mut quiet = Instant::now();
        loop {
            if self.seq() > sent && behavior != Behavior::StopsSending {
                sent = self.seq();
                chunk(&mut stream, &self.list(indented).replace("true", "false"))?;
            } else if quiet.elapsed() > Duration::from_secs(2) && behavior != Behavior::StopsSending {
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

/// Starts the program with the agent, changes the list once the router follows it, and returns how long it took until
/// the router had applied the change.
fn time_to_update(name: &str, agent: &Agent, known: &[Value]) -> (Duration, Program) {
    let mut all = configuration(known, None, 1024);
    all["discovery"] = agent.address.to_string().into();
    let mut program = Program::start_with(name, &all, &["--log", "debug"]);
    let was_requested = |wanted: &str| {
        let state = agent.state.lock().expect("the state");
        state.requests.iter().any(|line| line.contains(wanted))
    };
    let started = Instant::now();
    while !was_requested("/api/targets") && started.elapsed() < TEST_TIMEOUT {
        sleep(Duration::from_millis(5));
    }
    // The watch is established by now, or has failed in the agent's way.
    sleep(Duration::from_millis(200));
    agent.change();
    let changed = Instant::now();
    let limit = program.ends_after(TEST_TIMEOUT);
    program.logs("host=p address=127.0.0.1:1 lifecycle=Draining");
    limit.store(true, SeqCst);
    (changed.elapsed(), program)
}

/// The change is applied in time.
fn updated_in_time(
    name: &str, behavior: impl Fn(usize, bool, Option<Duration>) -> Behavior + Send + Sync + 'static,
) {
    let agent = Agent::start(behavior);
    let known = [entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready")];
    let (took, program) = time_to_update(name, &agent, &known);
    assert!(took < UPDATE_DEADLINE, "{name}: applied after {took:?}");
    program.signal("TERM");
    program.ends();
}

#[test]
fn silent_watches_do_not_delay_updates() {
    updated_in_time("silent", |_, watch, _| if watch { Behavior::StopsSending } else { Behavior::Correct });
}

#[test]
fn unresponsive_restarted_watches_do_not_delay_updates() {
    updated_in_time("mute", |nth, watch, _| match (watch, nth) {
        (true, 0) => Behavior::StopsSending,
        (true, _) => Behavior::Unresponsive,
        _ => Behavior::Correct,
    });
}

#[test]
fn endless_fragments_on_watches_do_not_delay_updates() {
    updated_in_time("fragments", |_, watch, _| if watch { Behavior::Fragments } else { Behavior::Correct });
}

#[test]
fn watch_with_an_endless_response_head_is_restarted() {
    updated_in_time("head", |nth, _, _| if nth < 3 { Behavior::EndlessHead } else { Behavior::Correct });
}

#[test]
fn failing_or_closed_watches_do_not_delay_updates() {
    updated_in_time("refused", |nth, watch, _| match watch {
        true if nth % 2 == 0 => Behavior::RespondsWithError,
        true => Behavior::Closes,
        false => Behavior::Correct,
    });
}

#[test]
fn failing_polls_do_not_delay_updates() {
    updated_in_time(
        "calls",
        |nth, watch, _| if watch || nth == 0 { Behavior::Correct } else { Behavior::Unresponsive },
    );
}

#[test]
fn indented_lists_and_updates_are_applied_in_time() {
    updated_in_time("indented", |_, _, _| Behavior::Indented);
}

#[test]
fn update_is_applied_in_time_after_a_four_second_discovery_outage() {
    updated_in_time("returns", |nth, _, since| match since {
        _ if nth == 0 => Behavior::StopsSending,
        Some(since) if since > Duration::from_secs(4) => Behavior::Correct,
        _ => Behavior::Unresponsive,
    });
}

#[test]
fn complete_list_cut_by_a_reset_is_not_applied() {
    for (name, behavior) in [("chunked", Behavior::CutChunked), ("unmeasured", Behavior::CutUnmeasured)] {
        let agent = Agent::start(move |nth, _, _| if nth < 2 { behavior } else { Behavior::Correct });
        // Without a list of its own the router fetches the complete one first.
        let (took, mut program) = time_to_update(name, &agent, &[]);
        assert!(took < UPDATE_DEADLINE, "{name}: applied after {took:?}");
        program.signal("TERM");
        let log: Vec<String> = program.log.by_ref().collect();
        assert!(!log.iter().any(|line| line.contains("version=99")), "{name}: {log:?}");
        let requests = agent.state.lock().expect("the state").requests.clone();
        assert!(!requests.iter().any(|line| line.contains("since=99")), "{name}: {requests:?}");
        program.ends();
    }
}

/// SIGHUP names another discovery while the old watch still sends: nothing of it is applied any more, and the new
/// service is asked for its complete list, whatever version the old one was at.
#[test]
fn update_from_a_replaced_watch_is_ignored() {
    let (old, new) = (Agent::start(|_, _, _| Behavior::Correct), Agent::start(|_, _, _| Behavior::Correct));
    let mut all =
        configuration(&[entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready")], None, 1024);
    all["discovery"] = old.address.to_string().into();
    let mut program = Program::start_with("moved", &all, &["--log", "debug"]);
    while !old.state.lock().expect("the state").requests.iter().any(|line| line.contains("follow")) {
        sleep(Duration::from_millis(5));
    }
    // Both wait for the router as it continues: a line of the old watch, and the signal.
    program.signal("STOP");
    old.state.lock().expect("the state").seq = 40;
    sleep(Duration::from_millis(100));
    all["discovery"] = new.address.to_string().into();
    std::fs::write(&program.file, all.to_string()).expect("written");
    program.signal("HUP");
    program.signal("CONT");
    program.logs("endpoint received version=7 host=p");
    let requests = new.state.lock().expect("the state").requests.clone();
    assert!(requests[0].starts_with("GET /api/targets "), "{requests:?}");
    program.signal("TERM");
    program.ends();
}

/// Twenty routers restarted at once, a third each with discovery down, unresponsive, and unresponsive with no list known.
#[test]
fn nine_in_ten_restarted_routers_are_ready_within_ten_seconds() {
    let unresponsive = Agent::start(|_, _, _| Behavior::Unresponsive);
    let known = [entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready")];
    let started = Instant::now();
    let mut programs: Vec<Program> = (0..20)
        .map(|nth| {
            let mut all = configuration(if nth % 3 == 2 { &[] } else { &known }, None, 1024);
            if nth % 3 > 0 {
                all["discovery"] = unresponsive.address.to_string().into();
            }
            Program::start(&format!("ready-{nth}"), &all)
        })
        .collect();
    let ready: Vec<Duration> = programs
        .iter_mut()
        .map(|program| {
            let mut client = Client::connect(program.address);
            assert_eq!(client.ask(""), ClientReply::Empty);
            started.elapsed()
        })
        .collect();
    let late = ready.iter().filter(|took| **took > Duration::from_secs(10)).count();
    assert!(late <= 2, "{ready:?}");
}

#[test]
fn list_newer_than_the_configured_one_is_applied_at_once() {
    let agent = Agent::start(|_, _, _| Behavior::Correct);
    agent.change();
    let known = [entry("p", "127.0.0.1:1".parse().expect("an address"), true, "ready")];
    let mut all = configuration(&known, None, 1024);
    all["discovery"] = agent.address.to_string().into();
    let started = Instant::now();
    let mut program = Program::start("newer", &all);
    let limit = program.ends_after(TEST_TIMEOUT);
    program.logs("version=8 host=p address=127.0.0.1:1 lifecycle=Draining");
    limit.store(true, SeqCst);
    assert!(started.elapsed() < UPDATE_DEADLINE, "{:?}", started.elapsed());
    program.signal("TERM");
    program.ends();
}

/// A discovery service that answers each request correctly, and late.
fn late_discovery(lateness: Duration, list: Value) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let body = list.to_string();
            spawn(move || {
                let follows = request(&stream).contains("follow=1");
                sleep(lateness);
                if follows {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    while write!(stream, "1\r\n\n\r\n").is_ok() {
                        sleep(Duration::from_secs(2));
                    }
                }
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            });
        }
    });
    address
}

#[test]
fn responses_of_a_slow_discovery_service_are_used() {
    let primary = host(true, |_, _| HostAction::Answer(row(b"value")));
    let list = json!({"seq": 1, "whole": true, "hosts": [entry("p", primary.address, true, "ready")]});
    let mut all = configuration(&[], None, 1024);
    all["discovery"] = late_discovery(Duration::from_millis(1_200), list).to_string().into();
    let router = Router::start(all);
    let mut client = Client::connect(router.address);
    let since = Instant::now();
    let mut ids = 1..;
    let served = loop {
        let got = client.ask(&write(ids.next().expect("a number"), 300));
        if got == ClientReply::Value(b"value".to_vec()) {
            break true;
        }
        if since.elapsed() > Duration::from_secs(6) {
            break false;
        }
    };
    assert!(served, "the list counts as told after six seconds");
    drop(client);
    router.wait();
}
