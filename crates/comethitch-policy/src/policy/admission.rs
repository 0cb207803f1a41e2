//! Admission: sends requests, queues them for capacity, or rejects them, at once or when their time runs out.

use super::intervals::{HEALTH_CHECK_INTERVAL, HEALTH_CHECK_RETRY_INTERVAL};
use super::router::Router;
use super::selection::Selection;
use crate::admission_queue::WaitingFor;
use crate::request_state::RequestState;
use crate::time::{Duration, Timestamp};
use crate::{Actions, DeduplicationScope, Idempotency, RejectionReason, RequestId, ShardId, ShardState};

/// Number of shards whose queues are retried per tick; events at a shard retry its own queue at once.
const SHARDS_RETRIED_PER_TICK: usize = 16;
/// A request may wait for its first attempt for its latency objective over this.
const FIRST_ATTEMPT_WAIT_DIVISOR: u64 = 2;
/// Retry-After of requests that lack capacity: the latency objective over this.
const RETRY_AFTER_DIVISOR: u64 = 8;

impl Router {
    /// Sends a request, or queues it for capacity, or rejects it.
    pub(super) fn schedule(&mut self, id: RequestId, out: &mut dyn Actions) {
        let Some(request) = self.requests.get(id) else { return };
        let is_first = request.attempts.is_empty();
        let deadline = request.deadline;
        match self.select_host(id, out.now()) {
            Selection::Host(index) if is_first || self.retry_budget.allows_retry() => {
                self.send(id, index, out);
            }
            Selection::Rejected => self.reject(id, RejectionReason::NoPrimary, out),
            // The next review of the queue could come after the deadline.
            _ if deadline <= out.now() + self.settings.tick_interval() + self.answer_margin() => {
                self.reject(id, RejectionReason::DeadlineTooClose, out);
            }
            _ => self.enqueue(id, if is_first { WaitingFor::FirstAttempt } else { WaitingFor::Retry }),
        }
    }

    fn enqueue(&mut self, id: RequestId, waiting_for: WaitingFor) {
        let request = self.requests.get_mut(id).expect("a scheduled request is in progress");
        let shard_id = request.shard_id;
        if std::mem::replace(&mut request.queued, true) {
            return;
        }
        let priority = self.priority(id);
        let mut queue = std::mem::take(&mut self.queue);
        // The newest of equal priority goes first: in overload the oldest could only be late.
        queue.insert(shard_id, waiting_for, id, |other| self.priority(other) > priority);
        self.queue = queue;
    }

    /// Returns a request's benefit per work: requests of higher priority are sent first and rejected last.
    fn priority(&self, id: RequestId) -> f64 {
        let Some(request) = self.requests.get(id) else { return 0.0 };
        let work = self.work(request.request_class).as_micros().max(1);
        self.class_of(request).priority_weight / work as f64
    }

    /// Retries the queues of a bounded number of shards, as capacity may have become free with time alone.
    pub(super) fn retry_queued_requests(&mut self, out: &mut dyn Actions) {
        for shard_id in self.queue.next_round(SHARDS_RETRIED_PER_TICK) {
            self.drain_queues(shard_id, out);
        }
    }

    /// Retries the requests that wait for a shard, after an event there.
    pub(super) fn drain_queues(&mut self, shard_id: ShardId, out: &mut dyn Actions) {
        self.drain_queue(shard_id, WaitingFor::FirstAttempt, out);
        self.drain_queue(shard_id, WaitingFor::Retry, out);
    }

    fn drain_queue(&mut self, shard_id: ShardId, waiting_for: WaitingFor, out: &mut dyn Actions) {
        // Where one request of a request class must wait, the others of that class wait too.
        let mut blocked_classes: Vec<usize> = Vec::new();
        let mut remaining = Vec::new();
        for id in self.queue.take(shard_id, waiting_for) {
            let request = self.requests.get(id).filter(|request| request.queued && !request.finished);
            let Some(request) = request else { continue };
            let class = request.request_class;
            let lacks_budget = waiting_for == WaitingFor::Retry && !self.retry_budget.allows_retry();
            if blocked_classes.contains(&class) || lacks_budget {
                remaining.push(id);
                continue;
            }
            match self.select_host(id, out.now()) {
                Selection::Host(index) => self.send(id, index, out),
                Selection::Rejected => self.reject(id, RejectionReason::NoPrimary, out),
                Selection::Wait => {
                    self.refresh_positions(id, out);
                    blocked_classes.push(class);
                    remaining.push(id);
                }
            }
        }
        self.queue.restore(shard_id, waiting_for, remaining);
    }

    /// Gives a request its final answer: throttled where the client may safely retry, else failed.
    pub(super) fn reject(&mut self, id: RequestId, reason: RejectionReason, out: &mut dyn Actions) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.finished) else { return };
        request.finished = true;
        let request = &self.requests[id];
        if self.is_safe_for_client_retry(request, out.now()) {
            out.throttle(id, self.retry_after(request), reason);
        } else {
            out.fail(id, reason);
        }
        self.cancel_attempts(id, out);
    }

    fn is_safe_for_client_retry(&self, request: &RequestState, now: Timestamp) -> bool {
        let class = self.class_of(request);
        let deduplicated = class.idempotency == Idempotency::Keyed
            && class.deduplication_scope == DeduplicationScope::Everywhere
            && self.is_deduplicated_until_client_retry(request, now);
        class.idempotency == Idempotency::Idempotent || deduplicated || !request.maybe_ran()
    }

    /// Returns whether everything that may have run is still deduplicated when the client's retry arrives at the latest:
    /// the client waits for the Retry-After, and its retry has the whole client timeout again.
    fn is_deduplicated_until_client_retry(&self, request: &RequestState, now: Timestamp) -> bool {
        let wait = self.retry_after(request).unwrap_or_default().max(HEALTH_CHECK_RETRY_INTERVAL);
        let latest_retry = now + wait + (request.deadline - request.submitted_at);
        let window = self.class_of(request).deduplication_window;
        let mut maybe_ran = request.attempts.iter().filter(|attempt| attempt.maybe_ran());
        maybe_ran.all(|ran| latest_retry + self.settings.tick_interval() < ran.sent_at + window)
    }

    /// Returns the Retry-After of a rejected request. For a lack of capacity it is short enough for the client's retry
    /// to be answered within the latency objective.
    fn retry_after(&self, request: &RequestState) -> Option<Duration> {
        let class = self.class_of(request);
        let shard = self.shards.get(request.shard_id);
        let is_failing = shard.is_some_and(|shard| shard.state() != ShardState::Healthy);
        let lacks_primary = is_failing && class.consistency.needs_primary();
        let delay =
            if lacks_primary { HEALTH_CHECK_INTERVAL } else { class.latency_objective / RETRY_AFTER_DIVISOR };
        self.settings.deployment().max_retry_after.map(|max| delay.min(max))
    }

    /// Rejects a request whose time has run out, and hedges one whose host fails or is slow.
    pub(super) fn review_request(&mut self, id: RequestId, out: &mut dyn Actions) {
        let now = out.now();
        let Some(request) = self.requests.get(id).filter(|request| !request.finished) else { return };
        if let Some(reason) = self.reason_to_reject(request, now) {
            return self.reject(id, reason, out);
        }
        let attempt = request.only_in_flight().filter(|_| !request.queued);
        if attempt.is_some_and(|attempt| self.should_hedge(request, attempt, now))
            && let Selection::Host(index) = self.select_host(id, now)
        {
            self.send(id, index, out);
        }
    }

    fn reason_to_reject(&self, request: &RequestState, now: Timestamp) -> Option<RejectionReason> {
        if now + self.answer_margin() >= request.deadline {
            return Some(RejectionReason::DeadlineExceeded);
        }
        if request.in_flight().next().is_none() {
            return self.is_queued_too_long(request, now).then_some(RejectionReason::QueuedTooLong);
        }
        // A non-idempotent write that is in flight to a lost primary may have run: it fails.
        let attempt = request.only_in_flight().filter(|_| !request.queued)?;
        let shard = &self.shards[request.shard_id];
        let health = &self.hosts[attempt.host].health;
        let is_lost = shard.state() == ShardState::Failover
            && shard.is_primary(attempt.host)
            && self.class_of(request).idempotency == Idempotency::NonIdempotent
            && (health.is_unresponsive() || health.is_unreachable());
        is_lost.then_some(RejectionReason::PrimaryLost)
    }

    /// Returns whether a queued request could only be answered late. It is rejected while a client's retry may still
    /// help.
    fn is_queued_too_long(&self, request: &RequestState, now: Timestamp) -> bool {
        let class = self.class_of(request);
        let allowed = match class.idempotency {
            _ if request.attempts.is_empty() => class.latency_objective / FIRST_ATTEMPT_WAIT_DIVISOR,
            Idempotency::Keyed => class.timeout,
            _ => class.latency_objective,
        };
        let service_time = self.statistics.service_times.conservative(request.request_class);
        request.submitted_at + allowed < now + service_time
    }

    /// Returns how long before its deadline a request gets its final answer at the latest: the next review is a tick
    /// away, and may be as late as recent ticks.
    fn answer_margin(&self) -> Duration {
        self.settings.tick_interval() + self.event_loop_lag.recent_max()
    }
}
