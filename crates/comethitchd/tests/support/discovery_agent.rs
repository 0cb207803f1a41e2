//! A discovery agent whose endpoint list has one host, with faults that a test chooses for each request.

use super::discovery::{CHUNKED_RESPONSE_HEAD, read_http_request, try_send_chunk};
use super::{TEST_TIMEOUT, ready_primary};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Interval between the empty lines that keep an unchanged watch alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How the agent responds to one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AgentBehavior {
    /// Sends changes and empty lines on a watch, and the complete list on a poll.
    Correct,
    /// Responds as `Correct`, with each JSON object indented over several lines.
    Indented,
    /// Accepts the connection and sends nothing.
    Unresponsive,
    /// Sends the head of a watch response, and neither changes nor empty lines after it. Polls are answered
    /// correctly.
    StopsSending,
    /// Sends fragments of a JSON object that never ends on a watch, one every 200 ms. Polls are answered
    /// correctly.
    Fragments,
    /// Sends a response head that never ends, one byte every 100 ms.
    EndlessHead,
    /// Closes the connection without a response.
    Closes,
    /// Responds with status 503.
    RespondsWithError,
    /// Sends a list without hosts in a chunked response, and resets the connection before the last chunk.
    CutChunked,
    /// Sends a list without hosts in a response without a length, and resets the connection instead of
    /// closing it.
    CutWithoutLength,
}

/// The agent's endpoint list and the requests that it received.
pub(crate) struct AgentState {
    /// Version of the list.
    pub version: u64,
    hosts: BTreeMap<String, Value>,
    changed: Option<Instant>,
    /// The request line of each request.
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
    /// Starts an agent with one host, `p`. `behavior` chooses the response to each request, given the number
    /// of earlier requests, whether the request is a watch, and the time since the list changed, or `None`
    /// before its first change.
    pub(crate) fn start(
        behavior: impl Fn(usize, bool, Option<Duration>) -> AgentBehavior + Send + Sync + 'static,
    ) -> DiscoveryAgent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
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

    /// Returns the endpoint list entry of the agent's host, at an address where nothing listens.
    pub(crate) fn host() -> Value {
        ready_primary("p", "127.0.0.1:1".parse().expect("the address is valid"))
    }

    /// Records a request and returns the time since the list changed.
    fn record(&self, request_line: String) -> Option<Duration> {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.requests.push(request_line);
        state.changed.map(|at| at.elapsed())
    }

    /// Returns the request lines of all requests so far.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.state.lock().expect("no thread panics while it holds the lock").requests.clone()
    }

    /// Returns whether the request line of any request contains the text.
    pub(crate) fn has_request(&self, text: &str) -> bool {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
            .requests
            .iter()
            .any(|line| line.contains(text))
    }

    fn version(&self) -> u64 {
        self.state.lock().expect("no thread panics while it holds the lock").version
    }

    /// Sets the list's version without changing a host.
    pub(crate) fn set_version(&self, version: u64) {
        self.state.lock().expect("no thread panics while it holds the lock").version = version;
    }

    /// Marks the host as draining, in a new version of the list.
    pub(crate) fn drain_host(&self) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.version += 1;
        state.changed = Some(Instant::now());
        state.hosts.get_mut("p").expect("the agent has the host p")["health"] = "draining".into();
    }

    fn list(&self, indented: bool) -> String {
        let state = self.state.lock().expect("no thread panics while it holds the lock");
        let hosts: Vec<&Value> = state.hosts.values().collect();
        let list = json!({"seq": state.version, "whole": true, "hosts": hosts});
        let text = if indented {
            serde_json::to_string_pretty(&list).expect("the list is serializable")
        } else {
            list.to_string()
        };
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
            AgentBehavior::CutWithoutLength => {
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

    /// Sends changes and empty lines, or what the behavior prescribes, until the router closes the
    /// connection.
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
        let sends_updates = behavior != AgentBehavior::StopsSending;
        let mut sent_version = 7;
        let mut last_sent = Instant::now();
        loop {
            if self.version() > sent_version && sends_updates {
                sent_version = self.version();
                try_send_chunk(&mut stream, &self.list(indented).replace("true", "false"))?;
            } else if last_sent.elapsed() > KEEP_ALIVE_INTERVAL && sends_updates {
                last_sent = Instant::now();
                try_send_chunk(&mut stream, "\n")?;
            }
            sleep(Duration::from_millis(10));
        }
    }
}

/// Closes the connection with a TCP reset.
fn reset(stream: TcpStream) {
    let linger = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
    linger.expect("the socket option can be set");
}
