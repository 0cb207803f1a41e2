//! A request in hand and the attempts made for it: data alone.
//!
//! What may be sent, retried or rejected is decided in [`policy`](crate::policy).

use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use crate::{AttemptOutcome, Request, ShardId};

/// One sending of a request to a host.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// The request class of its request.
    pub request_class: usize,
    /// Where it was sent.
    pub host: HostIndex,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// How it ended; none while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// Whether it was in flight to the primary as its group became Unhealthy.
    pub in_flight_at_fault: bool,
    /// What it counts for in the host's concurrency limit.
    pub work: Duration,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(crate) fn new(request_class: usize, host: HostIndex, work: Duration, now: Timestamp) -> Attempt {
        Attempt { request_class, host, sent_at: now, outcome: None, in_flight_at_fault: false, work }
    }

    /// Whether it ran, may have run or may still run.
    pub(crate) fn maybe_ran(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_ran)
    }

    /// Whether it ended in this way.
    pub(crate) fn ended_as(&self, outcome: AttemptOutcome) -> bool {
        self.outcome == Some(outcome)
    }

    /// Whether it ended without any word from its host.
    pub(crate) fn was_lost(&self) -> bool {
        self.ended_as(AttemptOutcome::ConnectionReset)
            || self.ended_as(AttemptOutcome::TimedOut)
            || self.ended_as(AttemptOutcome::ConnectionFailed)
    }

    /// Whether its host answered it, be it only to reject it.
    pub(crate) fn was_answered(&self) -> bool {
        self.outcome.is_some_and(AttemptOutcome::is_answer)
    }
}

/// What is known of a submitted request until it is answered and nothing is in flight.
pub(crate) struct RequestState {
    /// Its request class, by its place in the deployment.
    pub request_class: usize,
    /// The shard that holds its data.
    pub shard_id: ShardId,
    /// Its client's session, 0 for none.
    pub session: u64,
    /// A session read must see all commits up to here.
    pub required_position: Timestamp,
    /// When it was submitted.
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

impl RequestState {
    /// A request that was just submitted.
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

    /// Whether it was sent to this host before.
    pub(crate) fn tried(&self, host: HostIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.host == host)
    }

    /// Records how an attempt ended; none if it is not in flight.
    pub(crate) fn end_attempt(&mut self, nth: u16, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(usize::from(nth)).filter(|attempt| attempt.outcome.is_none())?;
        attempt.outcome = Some(outcome);
        Some(*attempt)
    }

    /// The attempts that have not ended yet.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none())
    }

    /// The attempt in flight, if there is exactly one.
    pub(crate) fn only_in_flight(&self) -> Option<&Attempt> {
        let mut in_flight = self.in_flight();
        in_flight.next().filter(|_| in_flight.next().is_none())
    }

    /// Whether an attempt ran, may have run or may still run.
    pub(crate) fn maybe_ran(&self) -> bool {
        self.attempts.iter().any(Attempt::maybe_ran)
    }

    /// Whether it has no final answer, and nothing that could bring one is in flight or queued.
    pub(crate) fn is_idle(&self) -> bool {
        !self.finished && !self.queued && self.in_flight().next().is_none()
    }
}
