//! A database host on loopback that follows a script, with control over the bytes of each response.
//!
//! `comethitch_testkit::Host` speaks both protocols and records executions in a ledger. This host speaks
//! PostgreSQL only, but it can send arbitrary bytes, and it reports when the router closes one of its
//! connections.

use super::endless_peer::flood;
use super::messages::{greeting, ready};
use super::{TEST_TIMEOUT, one_row_answer, parameter_status};
use comethitch_testkit::postgres::{Message, answer_without_effect, read_message};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime};

/// What a host does with a query.
pub(crate) enum HostAction {
    /// Sends these messages, followed by a `ParameterStatus` with the role of the host and a `ReadyForQuery`.
    Answer(Vec<u8>),
    /// Sends only these bytes.
    Raw(Vec<u8>),
    /// Sends `first`, and then copies of `repeated` at full speed for [`super::endless_peer::FLOOD_TIME`].
    Endless { first: Vec<u8>, repeated: Vec<u8> },
    /// Sends nothing until the router closes the connection, and then closes it.
    Silence,
    /// Closes the connection.
    Close,
}

/// Answers with one row that holds this value.
pub(crate) fn answer(value: &str) -> HostAction {
    HostAction::Answer(one_row_answer(value.as_bytes()))
}

/// An event that a host has observed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum HostEvent {
    /// A query that is not a health check arrived.
    Query(String),
    /// The router closed a connection that was idle or whose query had received no answer.
    ConnectionClosed,
}

/// Handle of a scripted host.
pub(crate) struct ScriptedHost {
    /// Address that the host listens on.
    pub address: SocketAddr,
    /// What the host has observed, in order.
    pub events: Receiver<HostEvent>,
}

/// State that the connections of a host share.
struct Behavior<S> {
    is_primary: bool,
    script: S,
    /// Number of queries so far, not counting health checks.
    queries: AtomicUsize,
    /// The position of a host that has stopped replicating, or `None` if its data are current.
    stale: Option<Staleness>,
}

/// State of a host that has stopped replicating.
#[derive(Clone, Copy)]
struct Staleness {
    /// Time up to which the host has applied all commits.
    position: SystemTime,
    /// Time from the position until the host completes the login on its second and later connections.
    greeting_delay: Duration,
}

impl ScriptedHost {
    /// Starts a primary. The script chooses the action for each query that is not a health check, given the
    /// number of earlier queries and the text.
    pub(crate) fn primary(
        script: impl Fn(usize, &str) -> HostAction + Send + Sync + 'static,
    ) -> ScriptedHost {
        ScriptedHost::start(true, script, None)
    }

    /// Starts a replica without replication lag.
    pub(crate) fn replica(
        script: impl Fn(usize, &str) -> HostAction + Send + Sync + 'static,
    ) -> ScriptedHost {
        ScriptedHost::start(false, script, None)
    }

    /// Starts a replica that has stopped replicating at `position`. It completes the login of its first
    /// connection immediately, and of later ones only when `greeting_delay` has passed since `position`.
    pub(crate) fn stale_replica(
        position: SystemTime, greeting_delay: Duration,
        script: impl Fn(usize, &str) -> HostAction + Send + Sync + 'static,
    ) -> ScriptedHost {
        ScriptedHost::start(false, script, Some(Staleness { position, greeting_delay }))
    }

    fn start(
        is_primary: bool, script: impl Fn(usize, &str) -> HostAction + Send + Sync + 'static,
        stale: Option<Staleness>,
    ) -> ScriptedHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (observer, events) = channel();
        let behavior = Arc::new(Behavior { is_primary, script, queries: AtomicUsize::new(0), stale });
        spawn(move || {
            for (nth, stream) in listener.incoming().flatten().enumerate() {
                let (behavior, observer) = (behavior.clone(), observer.clone());
                spawn(move || {
                    if nth > 0 {
                        behavior.delay_greeting();
                    }
                    behavior.serve(stream, &observer);
                });
            }
        });
        ScriptedHost { address, events }
    }

    /// Waits for the next event.
    pub(crate) fn next_event(&self) -> HostEvent {
        self.events.recv_timeout(TEST_TIMEOUT).expect("an event occurs at the host")
    }

    /// Returns the queries among the events that have not been read yet, and discards the other events.
    pub(crate) fn pending_queries(&self) -> Vec<String> {
        let queries = self.events.try_iter().filter_map(|event| match event {
            HostEvent::Query(text) => Some(text),
            HostEvent::ConnectionClosed => None,
        });
        queries.collect()
    }
}

impl<S: Fn(usize, &str) -> HostAction> Behavior<S> {
    fn delay_greeting(&self) {
        if let Some(Staleness { position, greeting_delay }) = self.stale {
            sleep((position + greeting_delay).duration_since(SystemTime::now()).unwrap_or_default());
        }
    }

    fn serve(&self, mut stream: TcpStream, observer: &Sender<HostEvent>) {
        let mut length = [0; 4];
        let _ = stream.read_exact(&mut length);
        let _ = stream.read_exact(&mut vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)]);
        let _ = stream.write_all(&greeting());
        while let Ok(Message { message_type: b'Q', body }) = read_message(&mut stream) {
            let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
            if let Some(answer) = answer_without_effect(&text) {
                let _ = stream.write_all(&[answer, ready()].concat());
                continue;
            }
            match self.act(&text, observer) {
                HostAction::Answer(answer) => {
                    let rank = parameter_status("rank", if self.is_primary { "source" } else { "copy" });
                    let _ = stream.write_all(&[answer, rank, ready()].concat());
                }
                HostAction::Raw(bytes) => {
                    let _ = stream.write_all(&bytes);
                }
                HostAction::Endless { first, repeated } => {
                    let _ = stream.write_all(&first);
                    flood(&stream, &repeated);
                    break;
                }
                HostAction::Silence => {
                    let _ = io::copy(&mut stream, &mut io::sink());
                    break;
                }
                HostAction::Close => return,
            }
        }
        let _ = observer.send(HostEvent::ConnectionClosed);
    }

    fn act(&self, text: &str, observer: &Sender<HostEvent>) -> HostAction {
        if text == "SHOW vitals" {
            return HostAction::Answer(one_row_answer(self.load_report().as_bytes()));
        }
        let _ = observer.send(HostEvent::Query(text.to_string()));
        (self.script)(self.queries.fetch_add(1, Ordering::SeqCst), text)
    }

    /// Returns the load report: the position in Unix seconds, and whether the host is a primary.
    fn load_report(&self) -> String {
        let position = self.stale.map_or_else(SystemTime::now, |stale| stale.position);
        let unix_ms =
            position.duration_since(SystemTime::UNIX_EPOCH).expect("the time is after 1970").as_millis();
        format!("x0={}.{:03},x1={}", unix_ms / 1000, unix_ms % 1000, u8::from(self.is_primary))
    }
}
