//! What the module keeps of a command in hand, and of each time it was sent.

use crate::{AttemptOutcome, Shard};
use crate::{time::Duration, time::Timestamp};

/// One sending of a command to a host.
#[derive(Clone, Copy)]
pub struct Dispatch {
    pub node: usize,
    pub sent: Timestamp,
    pub ended: Option<AttemptOutcome>,
    pub noted: bool,
    pub work: Duration,
}

impl Dispatch {
    /// Whether it ran, may have run or may still run.
    pub fn maybe_ran(&self) -> bool {
        !self.ended.is_some_and(AttemptOutcome::never_ran)
    }
}

/// What is kept of a taken command until it is answered and nothing is out.
#[derive(Default)]
pub struct Command {
    pub group: usize,
    pub shard: Shard,
    pub session: u64,
    /// A session read must see all commits up to here.
    pub must_see: Timestamp,
    pub taken: Timestamp,
    pub expiry: Timestamp,
    pub done: bool,
    pub waiting: bool,
    pub dispatches: Vec<Dispatch>,
}

impl Command {
    pub fn out(&self) -> impl Iterator<Item = &Dispatch> {
        self.dispatches.iter().filter(|d| d.ended.is_none())
    }

    /// The dispatches that ran, may have run or may still run.
    pub fn maybe_ran(&self) -> impl Iterator<Item = &Dispatch> {
        self.dispatches.iter().filter(|d| d.maybe_ran())
    }
}
