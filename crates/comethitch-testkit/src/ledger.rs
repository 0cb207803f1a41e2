//! What ran where, and whether it fits what clients were told.

use crate::client::Received;
use crate::{key, writes};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Something that a host met.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A command came, with its last byte.
    Arrived { host: String, text: String },
    /// It ran, at a primary or at a replica.
    Executed { host: String, text: String, primary: bool },
    /// Something was sent on a connection on which another's transaction is open.
    Interleaved { host: String, text: String },
}

/// Kept by all hosts of a test together, in the order of what happened.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Vec<Entry>>>);

/// A command as a client asked it, and all answers that it got.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub text: String,
    pub answers: Vec<Received>,
}

impl Ledger {
    pub fn record(&self, entry: Entry) {
        self.0.lock().expect("no panic while it is held").push(entry);
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.0.lock().expect("no panic while it is held").clone()
    }

    /// How many commands came to hosts: the router's dispatches.
    pub fn attempts(&self) -> usize {
        self.entries().iter().filter(|entry| matches!(entry, Entry::Arrived { .. })).count()
    }

    /// How often the command of a key ran.
    pub fn executions(&self, wanted: &str) -> usize {
        let ran = |entry: &&Entry| matches!(entry, Entry::Executed { text, .. } if key(text) == wanted);
        self.entries().iter().filter(ran).count()
    }

    /// What breaks a rule, in words; empty if nothing does.
    pub fn violations(&self, asked: &[Exchange]) -> Vec<String> {
        let mut broken = Vec::new();
        let mut came: BTreeMap<String, usize> = BTreeMap::new();
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for entry in self.entries() {
            match entry {
                Entry::Arrived { text, .. } => *came.entry(key(&text).to_string()).or_default() += 1,
                Entry::Interleaved { host, text } => {
                    broken.push(format!("within another's transaction at {host}: {text}"));
                }
                Entry::Executed { host, text, primary } => {
                    *runs.entry(key(&text).to_string()).or_default() += 1;
                    if writes(&text) && !primary {
                        broken.push(format!("a write ran at the replica {host}: {text}"));
                    }
                }
            }
        }
        for Exchange { text, answers: got } in asked {
            let key = key(text);
            let ran = runs.get(key).copied().unwrap_or(0);
            if got.len() != 1 {
                broken.push(format!("{} final answers to {text}: {got:?}", got.len()));
            }
            if writes(text) && ran > 1 {
                broken.push(format!("ran {ran} times: {text}"));
            }
            match got.first() {
                Some(Received::Answered(value)) if value != key => {
                    broken.push(format!("another's answer, {value:?}, to {text}"));
                }
                Some(Received::Answered(_)) if ran == 0 => {
                    broken.push(format!("answered and never run: {text}"))
                }
                Some(Received::Throttled) if writes(text) && ran > 0 => {
                    broken.push(format!("throttled, and it ran: {text}"));
                }
                _ => {}
            }
            if came.get(key).is_some_and(|many| *many > 6) {
                broken.push(format!("sent {} times: {text}", came[key]));
            }
        }
        broken
    }
}
