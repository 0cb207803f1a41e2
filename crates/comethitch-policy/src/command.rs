//! A command in hand and the attempts made for it: data alone.
//!
//! What may be sent, retried or rejected is decided in [`policy`](crate::policy).

use crate::{AttemptOutcome, Shard};
use crate::{time::Duration, time::Timestamp};

/// One sending of a command to a host.
#[derive(Clone, Copy)]
pub struct Attempt {
    /// The host's entry in the router's table.
    pub host: usize,
    pub sent_at: Timestamp,
    /// How it ended; none while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// Whether it was in flight to the primary as its group became Unhealthy.
    pub in_flight_at_fault: bool,
    /// What it counts for in the host's concurrency limit.
    pub work: Duration,
}

impl Attempt {
    /// Whether it ran, may have run or may still run.
    pub fn maybe_ran(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_ran)
    }
}

/// What is known of a submitted command until it is answered and nothing is in flight.
#[derive(Default)]
pub struct Command {
    /// Its command group, by its place in the deployment.
    pub group: usize,
    pub shard: Shard,
    pub session: u64,
    /// A session read must see all commits up to here.
    pub required_position: Timestamp,
    pub submitted_at: Timestamp,
    /// When its client stops waiting.
    pub deadline: Timestamp,
    /// Whether it has its final answer.
    pub finished: bool,
    /// Whether it waits in a queue.
    pub queued: bool,
    /// What was sent for it, in order.
    pub attempts: Vec<Attempt>,
}

impl Command {
    /// The attempts that have not ended yet.
    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none())
    }

    /// The attempts that ran, may have run or may still run.
    pub fn maybe_ran(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.maybe_ran())
    }
}
