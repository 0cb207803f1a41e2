//! Admission: sends requests, queues them until there is capacity, or rejects them.

use super::intervals::{HEALTH_CHECK_INTERVAL, HEALTH_CHECK_RETRY_INTERVAL};
use super::router::Router;
use super::selection::Selection;
use crate::admission_queue::WaitingFor;
use crate::request_state::RequestState;
use crate::time::{Duration, Timestamp};
use crate::{Actions, DeduplicationScope, Idempotency, RejectionReason, RequestId, ShardId, ShardState};

/// Maximum number of shards whose queues are retried per tick. Ticks retry queues because capacity may become
/// free merely because time passes, without an event at the shard. The remaining shards are retried at the
/// following ticks; an event at a shard also retries the shard's own queues.
const SHARDS_RETRIED_PER_TICK: usize = 16;
/// Divisor of the latency objective: a request may wait for its first attempt for half of it.
const FIRST_ATTEMPT_WAIT_DIVISOR: u64 = 2;
/// Divisor of the latency objective: the Retry-After of a request that is rejected for lack of capacity is an
/// eighth of it.
const RETRY_AFTER_DIVISOR: u64 = 8;

impl Router {
    /// Sends a request, queues it until there is capacity, or rejects it.
    pub(super) fn schedule(&mut self, id: RequestId, actions: &mut dyn Actions) {
        let Some(request) = self.requests.get(id) else { return };
        let is_first_attempt = request.attempts.is_empty();
        let deadline = request.deadline;
        match self.select_host(id, actions.now()) {
            Selection::Host(index) if is_first_attempt || self.retry_budget.allows_retry() => {
                self.send(id, index, actions);
            }
            Selection::Rejected => self.reject(id, RejectionReason::NoPrimary, actions),
            // The next review of the queue could be too late for a final answer before the deadline.
            _ if deadline <= actions.now() + self.settings.tick_interval() + self.answer_margin() => {
                self.reject(id, RejectionReason::DeadlineTooClose, actions);
            }
            _ => {
                self.enqueue(id, if is_first_attempt { WaitingFor::FirstAttempt } else { WaitingFor::Retry });
            }
        }
    }

    fn enqueue(&mut self, id: RequestId, waiting_for: WaitingFor) {
        let request = self.requests.get_mut(id).expect("a request to be queued is in progress");
        let shard_id = request.shard_id;
        if std::mem::replace(&mut request.queued, true) {
            return;
        }
        let priority = self.priority(id);
        let mut queue = std::mem::take(&mut self.queue);
        // Among requests of equal priority, the newest goes first: in overload, an answer to the oldest would
        // be late anyway.
        queue.insert(shard_id, waiting_for, id, |other| self.priority(other) > priority);
        self.queue = queue;
    }

    /// Returns a request's priority: the weight of its class divided by its estimated work. Queued requests
    /// of higher priority are sent first.
    fn priority(&self, id: RequestId) -> f64 {
        let Some(request) = self.requests.get(id) else { return 0.0 };
        let work = self.work(request.request_class).as_micros().max(1);
        self.class_of(request).priority_weight / work as f64
    }

    /// Retries the queues of a bounded number of shards, as capacity may become available without any event.
    pub(super) fn retry_queued_requests(&mut self, actions: &mut dyn Actions) {
        for shard_id in self.queue.next_round(SHARDS_RETRIED_PER_TICK) {
            self.drain_queues(shard_id, actions);
        }
    }

    /// Retries the queued requests of a shard after an event at the shard.
    pub(super) fn drain_queues(&mut self, shard_id: ShardId, actions: &mut dyn Actions) {
        self.drain_queue(shard_id, WaitingFor::FirstAttempt, actions);
        self.drain_queue(shard_id, WaitingFor::Retry, actions);
    }

    fn drain_queue(&mut self, shard_id: ShardId, waiting_for: WaitingFor, actions: &mut dyn Actions) {
        // If one request of a class has to wait, the others of the class wait as well.
        let mut blocked_classes: Vec<usize> = Vec::new();
        let mut remaining = Vec::new();
        for id in self.queue.take(shard_id, waiting_for) {
            let request = self.requests.get(id).filter(|request| request.queued && !request.finished);
            let Some(request) = request else { continue };
            let class = request.request_class;
            let lacks_retry_budget = waiting_for == WaitingFor::Retry && !self.retry_budget.allows_retry();
            if blocked_classes.contains(&class) || lacks_retry_budget {
                remaining.push(id);
                continue;
            }
            match self.select_host(id, actions.now()) {
                Selection::Host(index) => self.send(id, index, actions),
                Selection::Rejected => self.reject(id, RejectionReason::NoPrimary, actions),
                Selection::Wait => {
                    self.refresh_positions(id, actions);
                    blocked_classes.push(class);
                    remaining.push(id);
                }
            }
        }
        self.queue.restore(shard_id, waiting_for, remaining);
    }

    /// Gives a request its final answer: throttled if the client may safely retry, otherwise failed.
    pub(super) fn reject(&mut self, id: RequestId, reason: RejectionReason, actions: &mut dyn Actions) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.finished) else { return };
        request.finished = true;
        let request = &self.requests[id];
        if self.is_safe_for_client_retry(request, actions.now()) {
            actions.throttle(id, self.retry_after(request), reason);
        } else {
            actions.fail(id, reason);
        }
        self.cancel_attempts(id, actions);
    }

    fn is_safe_for_client_retry(&self, request: &RequestState, now: Timestamp) -> bool {
        let class = self.class_of(request);
        let deduplicated = class.idempotency == Idempotency::Keyed
            && class.deduplication_scope == DeduplicationScope::Everywhere
            && self.is_deduplicated_until_client_retry(request, now);
        class.idempotency == Idempotency::Idempotent || deduplicated || !request.maybe_ran()
    }

    /// Returns whether hosts will still drop the client's retry as a duplicate of every attempt that may have
    /// run.
    ///
    /// The retry may arrive as late as the Retry-After plus the whole client timeout from now.
    fn is_deduplicated_until_client_retry(&self, request: &RequestState, now: Timestamp) -> bool {
        let wait = self.retry_after(request).unwrap_or_default().max(HEALTH_CHECK_RETRY_INTERVAL);
        let latest_retry = now + wait + (request.deadline - request.submitted_at);
        let window = self.class_of(request).deduplication_window;
        let mut maybe_ran = request.attempts.iter().filter(|attempt| attempt.maybe_ran());
        maybe_ran.all(|ran| latest_retry + self.settings.tick_interval() < ran.sent_at + window)
    }

    /// Returns the Retry-After of a rejected request; `None` if clients get no Retry-After.
    ///
    /// Without a primary, it is one health check interval. For lack of capacity, it is short enough for the
    /// client's retry to be answered within the latency objective.
    fn retry_after(&self, request: &RequestState) -> Option<Duration> {
        let class = self.class_of(request);
        let shard = self.shards.get(request.shard_id);
        let is_failing = shard.is_some_and(|shard| shard.state() != ShardState::Healthy);
        let lacks_primary = is_failing && class.consistency.needs_primary();
        let delay =
            if lacks_primary { HEALTH_CHECK_INTERVAL } else { class.latency_objective / RETRY_AFTER_DIVISOR };
        self.settings.deployment().max_retry_after.map(|max| delay.min(max))
    }

    /// Rejects a request if it is too late for an answer or its primary is lost, or sends a hedged request if
    /// the attempt's host fails or is slow.
    pub(super) fn review_request(&mut self, id: RequestId, actions: &mut dyn Actions) {
        let now = actions.now();
        let Some(request) = self.requests.get(id).filter(|request| !request.finished) else { return };
        if let Some(reason) = self.reason_to_reject(request, now) {
            return self.reject(id, reason, actions);
        }
        let attempt = request.only_in_flight().filter(|_| !request.queued);
        if attempt.is_some_and(|attempt| self.should_hedge(request, attempt, now))
            && let Selection::Host(index) = self.select_host(id, now)
        {
            self.send(id, index, actions);
        }
    }

    fn reason_to_reject(&self, request: &RequestState, now: Timestamp) -> Option<RejectionReason> {
        if now + self.answer_margin() >= request.deadline {
            return Some(RejectionReason::DeadlineExceeded);
        }
        if request.in_flight().next().is_none() {
            return self.is_queued_too_long(request, now).then_some(RejectionReason::QueuedTooLong);
        }
        // A non-idempotent write in flight to a lost primary may have run, so it fails and is not retried.
        let attempt = request.only_in_flight().filter(|_| !request.queued)?;
        let shard = &self.shards[request.shard_id];
        let health = &self.hosts[attempt.host].health;
        let is_lost = shard.state() == ShardState::Failover
            && shard.is_primary(attempt.host)
            && self.class_of(request).idempotency == Idempotency::NonIdempotent
            && (health.is_unresponsive() || health.is_unreachable());
        is_lost.then_some(RejectionReason::PrimaryLost)
    }

    /// Returns whether a queued request would only be answered late. It is then rejected early, while a retry
    /// by the client may still help.
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

    /// Returns the time before the deadline at which a request gets its final answer at the latest: the tick
    /// interval until the next review, plus the maximum lag of recent ticks.
    fn answer_margin(&self) -> Duration {
        self.settings.tick_interval() + self.event_loop_lag.recent_max()
    }
}
