//! Retries and hedged requests: what may be sent again, and what requests have paid for.

use super::router::Router;
use crate::host_table::HostIndex;
use crate::request_state::{Attempt, RequestState};
use crate::time::Timestamp;
use crate::{AttemptOutcome, Idempotency};

/// From this many times the usual answer time on a host counts as slow beside the others.
const SLOW_HOST_FACTOR: f64 = 2.0;

impl Router {
    pub(super) fn may_attempt(&self, request: &RequestState, index: HostIndex, now: Timestamp) -> bool {
        let nth = request.attempts.len();
        // A retry must arrive while the first is remembered: the way there may take a connection.
        let arrival = now + self.settings.deployment().connect_timeout;
        nth == 0
            || nth < self.settings.deployment().max_attempts && self.may_follow(request, nth, index, arrival)
    }

    /// Whether the `nth` attempt may arrive at this host at that moment, beside what was sent before it.
    pub(super) fn may_follow(
        &self, request: &RequestState, nth: usize, host: HostIndex, at: Timestamp,
    ) -> bool {
        let earlier = &request.attempts[..nth];
        if !self.settings.deployment().hedging_allowed
            && earlier.iter().any(|attempt| attempt.outcome.is_none())
        {
            return false;
        }
        let mut maybe_ran = earlier.iter().filter(|attempt| attempt.maybe_ran());
        let settings = self.class_of(request);
        match settings.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => maybe_ran.next().is_none(),
            Idempotency::Keyed => maybe_ran.all(|ran| {
                self.hosts[host].shares_keys(&self.hosts[ran.host], settings.deduplication_scope)
                    && at + self.settings.tick_interval() < ran.sent_at + settings.deduplication_window
            }),
        }
    }

    pub(super) fn may_retry(&self, request: &RequestState, ended: &Attempt, now: Timestamp) -> bool {
        // Errors spread over all hosts are the requests' fault: what failed here would fail at the next.
        let own_fault = ended.ended_as(AttemptOutcome::Error) && self.statistics.error_rate.is_widespread();
        let in_time = now + self.settings.tick_interval() < request.deadline;
        !own_fault && in_time && self.may_attempt(request, ended.host, now)
    }

    /// Whether a second copy is sent, as the attempt is at a host that fails, or that is slow beside the
    /// others: where all are slow, copies of whatever was late fed the overload.
    pub(super) fn should_hedge(&self, request: &RequestState, attempt: &Attempt, now: Timestamp) -> bool {
        let settings = self.class_of(request);
        let host = &self.hosts[attempt.host];
        let late = now - attempt.sent_at > settings.latency_objective / 2;
        let slow = host.relative_latency.slowness() > SLOW_HOST_FACTOR && late;
        settings.idempotency == Idempotency::Idempotent
            && (host.unresponsive || host.is_unreachable() || slow)
            && self.retry_budget.allows_hedging()
            && self.queue.is_empty()
            && now < request.submitted_at + settings.latency_objective
    }
}
