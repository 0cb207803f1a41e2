//! Retries and hedged requests: which requests may be sent again, and when.

use super::router::Router;
use crate::host_table::HostIndex;
use crate::request_state::{Attempt, RequestState};
use crate::time::Timestamp;
use crate::{AttemptOutcome, Idempotency};

/// Median latency of a host, relative to the median of all hosts, above which the host counts as slow.
const SLOW_HOST_RELATIVE_LATENCY: f64 = 2.0;

impl Router {
    /// Returns whether the next attempt of a request may be sent to a host now.
    pub(super) fn may_attempt(&self, request: &RequestState, index: HostIndex, now: Timestamp) -> bool {
        let attempt_number = request.attempts.len();
        let deployment = self.settings.deployment();
        // A retry must arrive within the deduplication window, even if it needs a new connection.
        let arrival = now + deployment.connect_timeout;
        attempt_number == 0
            || attempt_number < deployment.max_attempts
                && self.is_repeat_allowed(request, attempt_number, index, arrival)
    }

    /// Returns whether the attempt with this number may arrive at a host at the time `at`, given the attempts
    /// before it.
    ///
    /// A hedged request must be permitted, and if an earlier attempt may have run, the request must be
    /// idempotent or the host must drop this attempt as a duplicate.
    pub(super) fn is_repeat_allowed(
        &self, request: &RequestState, attempt_number: usize, index: HostIndex, at: Timestamp,
    ) -> bool {
        let earlier = &request.attempts[..attempt_number];
        let is_hedged = earlier.iter().any(|attempt| attempt.outcome.is_none());
        if is_hedged && !self.settings.deployment().hedging_allowed {
            return false;
        }
        let mut maybe_ran = earlier.iter().filter(|attempt| attempt.maybe_ran());
        match self.class_of(request).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => maybe_ran.next().is_none(),
            Idempotency::Keyed => maybe_ran.all(|ran| self.is_deduplicated(request, ran, index, at)),
        }
    }

    /// Returns whether a host drops a repetition of the attempt `ran` as a duplicate if it arrives there at
    /// the time `at`.
    fn is_deduplicated(
        &self, request: &RequestState, ran: &Attempt, index: HostIndex, at: Timestamp,
    ) -> bool {
        let class = self.class_of(request);
        let listing = &self.hosts[index].listing;
        listing.deduplicates_with(&self.hosts[ran.host].listing, class.deduplication_scope)
            && at + self.settings.tick_interval() < ran.sent_at + class.deduplication_window
    }

    /// Returns whether a request may be retried after this attempt.
    pub(super) fn may_retry(&self, request: &RequestState, ended: &Attempt, now: Timestamp) -> bool {
        // Widespread errors are caused by the requests: a retry at another host would fail as well.
        let is_own_fault =
            ended.ended_as(AttemptOutcome::Error) && self.statistics.error_rate.is_widespread();
        let is_in_time = now + self.settings.tick_interval() < request.deadline;
        !is_own_fault && is_in_time && self.may_attempt(request, ended.host, now)
    }

    /// Returns whether a hedged request should be sent because the attempt's host fails, or the attempt is
    /// late and its host is slow compared to the others. If all hosts are slow, none is sent, as it would add
    /// to the overload.
    pub(super) fn should_hedge(&self, request: &RequestState, attempt: &Attempt, now: Timestamp) -> bool {
        let class = self.class_of(request);
        let host = &self.hosts[attempt.host];
        let is_late = now - attempt.sent_at > self.settings.late_after(request.request_class);
        let is_slow = host.load.slowness() > SLOW_HOST_RELATIVE_LATENCY && is_late;
        class.idempotency == Idempotency::Idempotent
            && (host.health.is_unresponsive() || host.health.is_unreachable() || is_slow)
            && self.retry_budget.allows_hedging()
            && self.queue.is_empty()
            && now < request.submitted_at + class.latency_objective
    }
}
