//! A record of what reached the hosts of a test, and a checker that compares it with what clients received.
//!
//! The checker holds the router's rules on final answers: one answer to each request, no write executed twice or at
//! a replica, no answer of another request, no throttled write that was executed, a bound on attempts, and no request
//! within another client's transaction.

use crate::received::Received;
use crate::request::{key, writes};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// The most attempts that a router may make for one request, retries and hedged requests included.
const MAX_ATTEMPTS: usize = 6;

/// Something that happened at a host.
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
        /// Whether the host was a primary at that moment.
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

/// The entries of all hosts of a test, in the order in which they happened. Clones share the same entries.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Vec<Entry>>>);

/// A request that a client sent, and every answer that it received.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request.
    pub text: String,
    /// The answers in order; a router that keeps the rules gives exactly one.
    pub answers: Vec<Received>,
}

/// A rule that the router broke.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A request was sent on a connection on which another client's transaction was open.
    #[error("within another's transaction at {host}: {text}")]
    Interleaved {
        /// The host's name.
        host: String,
        /// The request that was sent.
        text: String,
    },
    /// A write was executed at a host that was no primary.
    #[error("a write ran at the replica {host}: {text}")]
    WriteAtReplica {
        /// The host's name.
        host: String,
        /// The write.
        text: String,
    },
    /// A client received no final answer or several.
    #[error("{} final answers to {text}: {answers:?}", answers.len())]
    AnswerCount {
        /// The request.
        text: String,
        /// Everything that the client received.
        answers: Vec<Received>,
    },
    /// A write was executed more than once.
    #[error("ran {executions} times: {text}")]
    RepeatedWrite {
        /// The write.
        text: String,
        /// How often it was executed.
        executions: usize,
    },
    /// The answer belongs to another request.
    #[error("another's answer, {value:?}, to {text}")]
    ForeignAnswer {
        /// The request.
        text: String,
        /// The value received in place of the request's key.
        value: String,
    },
    /// The client received a success, but no host executed the request.
    #[error("answered and never run: {text}")]
    AnsweredWithoutExecution {
        /// The request.
        text: String,
    },
    /// The client was told that nothing ran, but a host executed the write.
    #[error("throttled, and it ran: {text}")]
    ThrottledAfterExecution {
        /// The write.
        text: String,
    },
    /// The router made more attempts than it may.
    #[error("sent {attempts} times: {text}")]
    TooManyAttempts {
        /// The request.
        text: String,
        /// How often it arrived at hosts.
        attempts: usize,
    },
}

/// How often the request of each key arrived and was executed.
#[derive(Default)]
struct Counts {
    attempts: BTreeMap<String, usize>,
    executions: BTreeMap<String, usize>,
}

impl Ledger {
    /// Appends an entry.
    pub fn record(&self, entry: Entry) {
        self.0.lock().expect("no thread panics while it holds the lock").push(entry);
    }

    /// A copy of all entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.0.lock().expect("no thread panics while it holds the lock").clone()
    }

    /// How many requests arrived at hosts: the router's attempts.
    pub fn attempts(&self) -> usize {
        self.entries().iter().filter(|entry| matches!(entry, Entry::Arrived { .. })).count()
    }

    /// How often the request with this key was executed.
    pub fn executions(&self, wanted: &str) -> usize {
        let matches = |entry: &&Entry| matches!(entry, Entry::Executed { text, .. } if key(text) == wanted);
        self.entries().iter().filter(matches).count()
    }

    /// Every rule that was broken, first those that show at the hosts and then those of each exchange; empty if none.
    pub fn violations(&self, exchanges: &[Exchange]) -> Vec<Violation> {
        let entries = self.entries();
        let counts = Counts::of(&entries);
        let at_hosts = entries.into_iter().filter_map(violation_at_host);
        let of_exchanges = exchanges.iter().flat_map(|exchange| counts.check(exchange));
        at_hosts.chain(of_exchanges).collect()
    }
}

/// The rule that an entry breaks by itself, whatever the client received.
fn violation_at_host(entry: Entry) -> Option<Violation> {
    match entry {
        Entry::Interleaved { host, text } => Some(Violation::Interleaved { host, text }),
        Entry::Executed { host, text, primary: false } if writes(&text) => {
            Some(Violation::WriteAtReplica { host, text })
        }
        Entry::Arrived { .. } | Entry::Executed { .. } => None,
    }
}

impl Counts {
    fn of(entries: &[Entry]) -> Counts {
        let mut counts = Counts::default();
        for entry in entries {
            match entry {
                Entry::Arrived { text, .. } => increment(&mut counts.attempts, text),
                Entry::Executed { text, .. } => increment(&mut counts.executions, text),
                Entry::Interleaved { .. } => {}
            }
        }
        counts
    }

    /// The rules that an exchange breaks.
    fn check(&self, exchange: &Exchange) -> Vec<Violation> {
        let Exchange { text, answers } = exchange;
        let key = key(text);
        let attempts = self.attempts.get(key).copied().unwrap_or(0);
        let executions = self.executions.get(key).copied().unwrap_or(0);
        let mut violations = Vec::new();
        if answers.len() != 1 {
            violations.push(Violation::AnswerCount { text: text.clone(), answers: answers.clone() });
        }
        if writes(text) && executions > 1 {
            violations.push(Violation::RepeatedWrite { text: text.clone(), executions });
        }
        violations.extend(answers.first().and_then(|answer| check_answer(text, answer, executions)));
        if attempts > MAX_ATTEMPTS {
            violations.push(Violation::TooManyAttempts { text: text.clone(), attempts });
        }
        violations
    }
}

/// Whether an answer fits a request that was executed so many times.
fn check_answer(text: &str, answer: &Received, executions: usize) -> Option<Violation> {
    match answer {
        Received::Answered(value) if value != key(text) => {
            Some(Violation::ForeignAnswer { text: text.into(), value: value.clone() })
        }
        Received::Answered(_) if executions == 0 => {
            Some(Violation::AnsweredWithoutExecution { text: text.into() })
        }
        Received::Throttled if writes(text) && executions > 0 => {
            Some(Violation::ThrottledAfterExecution { text: text.into() })
        }
        _ => None,
    }
}

fn increment(counts: &mut BTreeMap<String, usize>, text: &str) {
    *counts.entry(key(text).to_string()).or_default() += 1;
}
