//! A request in progress and its attempts.
//!
//! What may be sent, retried or rejected is decided in [`policy`](crate::policy).

use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use crate::{AttemptOutcome, Request, ShardId};

/// An attempt: one sending of a request to a host.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub request_class: usize,
    pub host: HostIndex,
    pub sent_at: Timestamp,
    /// How the attempt ended; none while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// Whether it was in flight to the primary when the shard became Unhealthy.
    pub in_flight_at_fault: bool,
    /// Its work in concurrency limits.
    pub work: Duration,
}

impl Attempt {
    /// Returns an attempt that is sent now.
    pub(crate) fn new(request_class: usize, host: HostIndex, work: Duration, now: Timestamp) -> Attempt {
        Attempt { request_class, host, sent_at: now, outcome: None, in_flight_at_fault: false, work }
    }

    /// Returns whether the attempt ran, may have run or may still run.
    pub(crate) fn maybe_ran(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_ran)
    }

    /// Returns whether the attempt ended with this outcome.
    pub(crate) fn ended_as(&self, outcome: AttemptOutcome) -> bool {
        self.outcome == Some(outcome)
    }

    /// Returns whether the attempt ended without a reaction of its host.
    pub(crate) fn was_lost(&self) -> bool {
        self.ended_as(AttemptOutcome::ConnectionReset)
            || self.ended_as(AttemptOutcome::TimedOut)
            || self.ended_as(AttemptOutcome::ConnectionFailed)
    }

    /// Returns whether the host answered, even if only to reject the request.
    pub(crate) fn was_answered(&self) -> bool {
        self.outcome.is_some_and(AttemptOutcome::is_answer)
    }
}

/// A submitted request, until it has its final answer and no attempt in flight.
pub(crate) struct RequestState {
    /// The index of its request class in the deployment.
    pub request_class: usize,
    pub shard_id: ShardId,
    /// The client's session; 0 for none.
    pub session: u64,
    /// The position that a session read must see.
    pub required_position: Timestamp,
    pub submitted_at: Timestamp,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// Whether the request has its final answer.
    pub finished: bool,
    /// Whether the request waits in the admission queue.
    pub queued: bool,
    /// All attempts so far, in the order of sending.
    pub attempts: Vec<Attempt>,
}

impl RequestState {
    /// Returns a request that was just submitted.
    pub(crate) fn new(request: &Request, required_position: Timestamp, now: Timestamp) -> RequestState {
        RequestState {
            request_class: request.class,
            shard_id: request.shard_id,
            session: request.session,
            required_position,
            submitted_at: now,
            deadline: now + request.timeout,
            finished: false,
            queued: false,
            attempts: Vec::new(),
        }
    }

    /// Returns whether an attempt was sent to this host before.
    pub(crate) fn tried(&self, host: HostIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.host == host)
    }

    /// Records the end of an attempt, and returns it; none if it was not in flight.
    pub(crate) fn end_attempt(&mut self, nth: u16, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(usize::from(nth)).filter(|attempt| attempt.outcome.is_none())?;
        attempt.outcome = Some(outcome);
        Some(*attempt)
    }

    /// Returns the attempts that have not ended yet.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none())
    }

    /// Returns the attempt in flight, if there is exactly one.
    pub(crate) fn only_in_flight(&self) -> Option<&Attempt> {
        let mut in_flight = self.in_flight();
        in_flight.next().filter(|_| in_flight.next().is_none())
    }

    /// Returns whether an attempt ran, may have run or may still run.
    pub(crate) fn maybe_ran(&self) -> bool {
        self.attempts.iter().any(Attempt::maybe_ran)
    }

    /// Returns whether the request has no final answer, and is neither queued nor in flight.
    pub(crate) fn is_idle(&self) -> bool {
        !self.finished && !self.queued && self.in_flight().next().is_none()
    }
}
