//! A discovery agent that serves one host, with faults that a test chooses for each request.

use super::discovery::{CHUNKED_RESPONSE_HEAD, read_http_request, try_send_chunk};
use super::{TEST_TIMEOUT, ready_primary};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Interval between the empty lines that keep a watch alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How the agent responds to one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AgentBehavior {
    /// Sends changes and empty lines on a watch, and the complete list on a poll.
    Correct,
    /// Does the same, with each object indented over many lines.
    Indented,
    /// Accepts the connection and sends nothing.
    Unresponsive,
    /// Begins the response, and sends no change and no empty line after that.
    StopsSending,
    /// Sends fragments of an object without end, at short intervals.
    Fragments,
    /// Sends the head of a response byte by byte, without end.
    EndlessHead,
    /// Closes the connection at once.
    Closes,
    /// Responds with status 503.
    RespondsWithError,
    /// Sends a list without hosts in a chunked response, and resets the connection before the response's end.
    CutChunked,
    /// Does the same in a response without a length.
    CutUnmeasured,
}

/// The agent's endpoint list and the requests that it received.
pub(crate) struct AgentState {
    /// Version of the list.
    pub version: u64,
    hosts: BTreeMap<String, Value>,
    changed: Option<Instant>,
    /// The first line of each request.
    pub requests: Vec<String>,
}

/// Handle of a running agent.
#[derive(Clone)]
pub(crate) struct DiscoveryAgent {
    /// Address that the agent listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<AgentState>>,
}

impl DiscoveryAgent {
    /// Starts an agent with one host, `p`; `behavior` decides on each response by the number of the request, whether
    /// it is a watch, and the time since the list changed.
    pub(crate) fn start(
        behavior: impl Fn(usize, bool, Option<Duration>) -> AgentBehavior + Send + Sync + 'static,
    ) -> DiscoveryAgent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = AgentState {
            version: 7,
            hosts: [("p".to_string(), DiscoveryAgent::host())].into(),
            changed: None,
            requests: Vec::new(),
        };
        let agent = DiscoveryAgent { address, state: Arc::new(Mutex::new(state)) };
        let (accepting_agent, behavior) = (agent.clone(), Arc::new(behavior));
        spawn(move || {
            for (nth, stream) in listener.incoming().flatten().enumerate() {
                let (agent, behavior) = (accepting_agent.clone(), behavior.clone());
                spawn(move || {
                    let request_line = read_http_request(&stream);
                    let is_watch = request_line.contains("follow");
                    let since_change = agent.record(request_line);
                    let _ = agent.respond(stream, is_watch, behavior(nth, is_watch, since_change));
                });
            }
        });
        agent
    }

    /// Returns the entry of the agent's host, at an address where nothing listens.
    pub(crate) fn host() -> Value {
        ready_primary("p", "127.0.0.1:1".parse().expect("an address"))
    }

    /// Records a request, and returns the time since the list changed.
    fn record(&self, request_line: String) -> Option<Duration> {
        let mut state = self.state.lock().expect("the state");
        state.requests.push(request_line);
        state.changed.map(|at| at.elapsed())
    }

    /// Returns the first lines of all requests so far.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.state.lock().expect("the state").requests.clone()
    }

    /// Returns whether the first line of any request contains the text.
    pub(crate) fn has_request(&self, text: &str) -> bool {
        self.state.lock().expect("the state").requests.iter().any(|line| line.contains(text))
    }

    fn version(&self) -> u64 {
        self.state.lock().expect("the state").version
    }

    /// Sets the list's version without changing a host.
    pub(crate) fn set_version(&self, version: u64) {
        self.state.lock().expect("the state").version = version;
    }

    /// Marks the host as draining, in a new version of the list.
    pub(crate) fn drain_host(&self) {
        let mut state = self.state.lock().expect("the state");
        state.version += 1;
        state.changed = Some(Instant::now());
        state.hosts.get_mut("p").expect("p")["health"] = "draining".into();
    }

    fn list(&self, indented: bool) -> String {
        let state = self.state.lock().expect("the state");
        let hosts: Vec<&Value> = state.hosts.values().collect();
        let list = json!({"seq": state.version, "whole": true, "hosts": hosts});
        let text =
            if indented { serde_json::to_string_pretty(&list).expect("text") } else { list.to_string() };
        text + "\n"
    }

    fn respond(&self, mut stream: TcpStream, is_watch: bool, behavior: AgentBehavior) -> std::io::Result<()> {
        let empty_list = json!({"seq": 99, "whole": true, "hosts": []}).to_string() + "\n";
        match behavior {
            AgentBehavior::Closes => return Ok(()),
            AgentBehavior::RespondsWithError => {
                return stream.write_all(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
            }
            AgentBehavior::Unresponsive => sleep(TEST_TIMEOUT),
            AgentBehavior::EndlessHead => {
                stream.write_all(b"HTTP/1.1 200 OK\r\nX: ")?;
                loop {
                    stream.write_all(b"x")?;
                    sleep(Duration::from_millis(100));
                }
            }
            AgentBehavior::CutChunked => {
                stream.write_all(CHUNKED_RESPONSE_HEAD)?;
                try_send_chunk(&mut stream, &empty_list)?;
                reset(stream);
                return Ok(());
            }
            AgentBehavior::CutUnmeasured => {
                stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{empty_list}").as_bytes())?;
                reset(stream);
                return Ok(());
            }
            _ => {}
        }
        if is_watch {
            self.respond_to_watch(stream, behavior)
        } else {
            self.respond_to_poll(stream, behavior)
        }
    }

    /// Sends the complete list.
    fn respond_to_poll(&self, mut stream: TcpStream, behavior: AgentBehavior) -> std::io::Result<()> {
        let list = self.list(behavior == AgentBehavior::Indented);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        stream.write_all((head + &list).as_bytes())
    }

    /// Sends changes and empty lines, or what else the behavior says, until the router closes the connection.
    fn respond_to_watch(&self, mut stream: TcpStream, behavior: AgentBehavior) -> std::io::Result<()> {
        stream.write_all(CHUNKED_RESPONSE_HEAD)?;
        if behavior == AgentBehavior::Fragments {
            try_send_chunk(&mut stream, "{\"seq\":8,\"whole\":false,\"hosts\":[")?;
            loop {
                stream.write_all(b"1\r\n \r\n")?;
                sleep(Duration::from_millis(200));
            }
        }
        let indented = behavior == AgentBehavior::Indented;
        let sends = behavior != AgentBehavior::StopsSending;
        let mut sent_version = 7;
        let mut last_sent = Instant::now();
        loop {
            if self.version() > sent_version && sends {
                sent_version = self.version();
                try_send_chunk(&mut stream, &self.list(indented).replace("true", "false"))?;
            } else if last_sent.elapsed() > KEEP_ALIVE_INTERVAL && sends {
                last_sent = Instant::now();
                try_send_chunk(&mut stream, "\n")?;
            }
            sleep(Duration::from_millis(10));
        }
    }
}

/// Closes the connection with a reset.
fn reset(stream: TcpStream) {
    let linger = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
    linger.expect("the reset is set up");
}
