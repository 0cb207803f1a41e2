//! Records what reached the hosts of a test and checks the answers that clients received against the router's
//! rules.
//!
//! The rules:
//!
//! - Each request gets exactly one final answer, which is not that of another request.
//! - A request that is answered has been executed.
//! - A write is not executed twice, nor at a replica, nor if it is throttled.
//! - The number of attempts for a request is limited.
//! - No request is sent within the open transaction of another one.

use crate::reply::Reply;
use crate::request::{is_write, request_key};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Maximum number of attempts for a request, including retries and hedged requests.
const MAX_ATTEMPTS: usize = 6;

/// An event at a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The last byte of a request arrived.
    Arrived {
        /// The host's name.
        host: String,
        /// The request.
        text: String,
    },
    /// A request was executed.
    Executed {
        /// The host's name.
        host: String,
        /// The request.
        text: String,
        /// Whether the host was a primary at the time of the execution.
        primary: bool,
    },
    /// A request arrived on a connection on which another request had left a transaction open.
    Interleaved {
        /// The host's name.
        host: String,
        /// The request that arrived.
        text: String,
    },
}

/// The events at all hosts of a test in the order in which they occurred. Clones share the same entries.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Vec<Entry>>>);

/// A request and all answers that its client received.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request.
    pub text: String,
    /// The answers in order of arrival. Exactly one is expected.
    pub answers: Vec<Reply>,
}

/// A violation of the router's rules.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A request was sent on a connection on which another client's transaction was open.
    #[error("sent within another client's transaction at {host}: {text}")]
    Interleaved {
        /// The host's name.
        host: String,
        /// The request that was sent.
        text: String,
    },
    /// A write was executed at a replica.
    #[error("write executed at replica {host}: {text}")]
    WriteAtReplica {
        /// The host's name.
        host: String,
        /// The write.
        text: String,
    },
    /// A client received no final answer or more than one.
    #[error("received {} final answers to {text}: {answers:?}", answers.len())]
    AnswerCount {
        /// The request.
        text: String,
        /// The answers that the client received.
        answers: Vec<Reply>,
    },
    /// A write was executed more than once.
    #[error("write executed {executions} times: {text}")]
    RepeatedWrite {
        /// The write.
        text: String,
        /// Number of executions.
        executions: usize,
    },
    /// The answer belongs to another request.
    #[error("received the answer {value:?} of another request to {text}")]
    ForeignAnswer {
        /// The request.
        text: String,
        /// The value that the client received instead of the key of the request.
        value: String,
    },
    /// The client received an answer, but no host executed the request.
    #[error("answered without execution: {text}")]
    AnsweredWithoutExecution {
        /// The request.
        text: String,
    },
    /// The client was told that the write was not executed, but a host executed it.
    #[error("throttled after execution: {text}")]
    ThrottledAfterExecution {
        /// The write.
        text: String,
    },
    /// More attempts for a request arrived at hosts than are allowed.
    #[error("sent {attempts} times, more than allowed: {text}")]
    TooManyAttempts {
        /// The request.
        text: String,
        /// Number of arrivals at hosts.
        attempts: usize,
    },
}

/// Numbers of arrivals and executions, keyed by the key of the request.
#[derive(Default)]
struct RequestCounts {
    attempts: BTreeMap<String, usize>,
    executions: BTreeMap<String, usize>,
}

impl Ledger {
    /// Appends an entry.
    pub fn record(&self, entry: Entry) {
        self.0.lock().expect("no thread panics while it holds the lock").push(entry);
    }

    /// Returns a copy of all entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.0.lock().expect("no thread panics while it holds the lock").clone()
    }

    /// Returns the number of attempts that arrived at hosts.
    pub fn attempt_count(&self) -> usize {
        self.entries().iter().filter(|entry| matches!(entry, Entry::Arrived { .. })).count()
    }

    /// Returns the number of executions of the request with this key.
    pub fn executions(&self, key: &str) -> usize {
        let matches =
            |entry: &&Entry| matches!(entry, Entry::Executed { text, .. } if request_key(text) == key);
        self.entries().iter().filter(matches).count()
    }

    /// Returns all violations: those seen at the hosts, followed by those of each exchange.
    pub fn violations(&self, exchanges: &[Exchange]) -> Vec<Violation> {
        let entries = self.entries();
        let counts = RequestCounts::of(&entries);
        let at_hosts = entries.into_iter().filter_map(violation_at_host);
        let of_exchanges = exchanges.iter().flat_map(|exchange| counts.check(exchange));
        at_hosts.chain(of_exchanges).collect()
    }
}

/// Returns the violation that an entry proves independently of what the client received.
fn violation_at_host(entry: Entry) -> Option<Violation> {
    match entry {
        Entry::Interleaved { host, text } => Some(Violation::Interleaved { host, text }),
        Entry::Executed { host, text, primary: false } if is_write(&text) => {
            Some(Violation::WriteAtReplica { host, text })
        }
        Entry::Arrived { .. } | Entry::Executed { .. } => None,
    }
}

impl RequestCounts {
    fn of(entries: &[Entry]) -> RequestCounts {
        let mut counts = RequestCounts::default();
        for entry in entries {
            match entry {
                Entry::Arrived { text, .. } => increment(&mut counts.attempts, text),
                Entry::Executed { text, .. } => increment(&mut counts.executions, text),
                Entry::Interleaved { .. } => {}
            }
        }
        counts
    }

    /// Returns the violations of an exchange.
    fn check(&self, exchange: &Exchange) -> Vec<Violation> {
        let Exchange { text, answers } = exchange;
        let key = request_key(text);
        let attempts = self.attempts.get(key).copied().unwrap_or(0);
        let executions = self.executions.get(key).copied().unwrap_or(0);
        let mut violations = Vec::new();
        if answers.len() != 1 {
            violations.push(Violation::AnswerCount { text: text.clone(), answers: answers.clone() });
        }
        if is_write(text) && executions > 1 {
            violations.push(Violation::RepeatedWrite { text: text.clone(), executions });
        }
        violations.extend(answers.first().and_then(|answer| check_answer(text, answer, executions)));
        if attempts > MAX_ATTEMPTS {
            violations.push(Violation::TooManyAttempts { text: text.clone(), attempts });
        }
        violations
    }
}

/// Checks an answer against the number of executions of its request.
fn check_answer(text: &str, answer: &Reply, executions: usize) -> Option<Violation> {
    match answer {
        Reply::Answered(value) if value != request_key(text) => {
            Some(Violation::ForeignAnswer { text: text.into(), value: value.clone() })
        }
        Reply::Answered(_) if executions == 0 => {
            Some(Violation::AnsweredWithoutExecution { text: text.into() })
        }
        Reply::Throttled if is_write(text) && executions > 0 => {
            Some(Violation::ThrottledAfterExecution { text: text.into() })
        }
        _ => None,
    }
}

fn increment(counts: &mut BTreeMap<String, usize>, text: &str) {
    *counts.entry(request_key(text).to_string()).or_default() += 1;
}
