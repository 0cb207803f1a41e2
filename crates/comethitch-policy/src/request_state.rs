//! The state of a request in progress and of its attempts.
//!
//! The module [`policy`](crate::policy) decides what is sent, retried or rejected.

use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use crate::{AttemptOutcome, Request, ShardId};

/// An attempt: one transmission of a request to a host.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub request_class: usize,
    pub host: HostIndex,
    pub sent_at: Timestamp,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// Whether the attempt was in flight to the primary when the shard became Unhealthy.
    pub in_flight_at_fault: bool,
    /// The estimated work, which counts towards concurrency limits while the attempt is in flight.
    pub work: Duration,
}

impl Attempt {
    /// Returns an attempt that is sent at `now`.
    pub(crate) fn new(request_class: usize, host: HostIndex, work: Duration, now: Timestamp) -> Attempt {
        Attempt { request_class, host, sent_at: now, outcome: None, in_flight_at_fault: false, work }
    }

    /// Returns whether the host has executed the attempt, may have executed it or may still do so.
    pub(crate) fn maybe_ran(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_ran)
    }

    /// Returns whether the attempt ended with this outcome.
    pub(crate) fn ended_as(&self, outcome: AttemptOutcome) -> bool {
        self.outcome == Some(outcome)
    }

    /// Returns whether the attempt ended because its connection failed or was reset, or because it timed out.
    pub(crate) fn was_lost(&self) -> bool {
        self.ended_as(AttemptOutcome::ConnectionReset)
            || self.ended_as(AttemptOutcome::TimedOut)
            || self.ended_as(AttemptOutcome::ConnectionFailed)
    }

    /// Returns whether the host answered the attempt, even if only to reject it.
    pub(crate) fn was_answered(&self) -> bool {
        self.outcome.is_some_and(AttemptOutcome::is_answer)
    }
}

/// A submitted request. It exists until it has its final answer and none of its attempts is in flight.
pub(crate) struct RequestState {
    /// The index of the request class in the deployment.
    pub request_class: usize,
    pub shard_id: ShardId,
    /// The client's session; 0 for none.
    pub session: u64,
    /// The position up to which a session read must see all commits.
    pub required_position: Timestamp,
    pub submitted_at: Timestamp,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// Whether the request has its final answer.
    pub finished: bool,
    /// Whether the request waits in the admission queue.
    pub queued: bool,
    /// All attempts so far, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

impl RequestState {
    /// Returns the state of a request that is submitted at `now`.
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

    /// Returns whether an attempt was sent to this host.
    pub(crate) fn tried(&self, host: HostIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.host == host)
    }

    /// Records the end of an attempt and returns the attempt, or `None` if it was not in flight.
    pub(crate) fn end_attempt(&mut self, number: u16, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt =
            self.attempts.get_mut(usize::from(number)).filter(|attempt| attempt.outcome.is_none())?;
        attempt.outcome = Some(outcome);
        Some(*attempt)
    }

    /// Returns the attempts that have not ended.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none())
    }

    /// Returns the attempt in flight, if there is exactly one.
    pub(crate) fn only_in_flight(&self) -> Option<&Attempt> {
        let mut in_flight = self.in_flight();
        in_flight.next().filter(|_| in_flight.next().is_none())
    }

    /// Returns whether a host has executed an attempt, may have executed one or may still do so.
    pub(crate) fn maybe_ran(&self) -> bool {
        self.attempts.iter().any(Attempt::maybe_ran)
    }

    /// Returns whether the request has no final answer although it is neither queued nor in flight.
    pub(crate) fn is_idle(&self) -> bool {
        !self.finished && !self.queued && self.in_flight().next().is_none()
    }
}
