//! Admission: requests are sent, queued for capacity, or rejected, at once or when their time runs out.

use super::intervals::{HEALTH_CHECK_INTERVAL, HEALTH_CHECK_RETRY_INTERVAL};
use super::router::Router;
use super::selection::Selection;
use crate::admission_queue::WaitingFor;
use crate::request_state::RequestState;
use crate::time::{Duration, Timestamp};
use crate::{Actions, DeduplicationScope, Idempotency, RejectionReason, RequestId, ShardId, ShardState};

/// For so many shards, one after the other, waiting requests are tried at a tick: capacity may have come with
/// the time alone. What waits for others has its turn at the next tick, and at each event of its own group.
const GROUPS_TRIED_PER_TICK: usize = 16;

impl Router {
    pub(super) fn schedule(&mut self, id: RequestId, out: &mut dyn Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        let first = request.attempts.is_empty();
        let deadline = request.deadline;
        match self.select_host(id, out.now()) {
            Selection::Host(index) if first || self.retry_budget.allows_retry() => self.send(id, index, out),
            Selection::Rejected => self.reject(id, RejectionReason::NoPrimary, out),
            // Too short a time to wait in a queue: the next review could come after its client timeout.
            _ if deadline <= out.now() + self.settings.tick_interval() + self.answer_margin() => {
                self.reject(id, RejectionReason::DeadlineTooClose, out);
            }
            _ => self.enqueue(id, if first { WaitingFor::FirstAttempt } else { WaitingFor::Retry }),
        }
    }

    fn enqueue(&mut self, id: RequestId, waiting_for: WaitingFor) {
        let request = self.requests.get_mut(&id).expect("a command that is scheduled");
        let shard_id = request.shard_id;
        if std::mem::replace(&mut request.queued, true) {
            return;
        }
        let priority = self.priority(id);
        let mut queue = std::mem::take(&mut self.queue);
        // The newest of equal priority first: in overload the oldest could only be late.
        queue.insert(shard_id, waiting_for, id, |other| self.priority(other) > priority);
        self.queue = queue;
    }

    /// Benefit for the work: what is sent first, and rejected last.
    fn priority(&self, id: RequestId) -> f64 {
        let Some(request) = self.requests.get(&id) else { return 0.0 };
        let work = self.work(request.request_class).as_micros().max(1);
        self.class_of(request).priority_weight / work as f64
    }

    /// Tries what waits for some shards, each group in its turn: an amount of work that does not grow with
    /// what waits.
    pub(super) fn retry_waiting_requests(&mut self, out: &mut dyn Actions) {
        for shard_id in self.queue.next_round(GROUPS_TRIED_PER_TICK) {
            self.drain_queues(shard_id, out);
        }
    }

    /// Tries the requests that wait for a shard, after an event there.
    pub(super) fn drain_queues(&mut self, shard_id: ShardId, out: &mut dyn Actions) {
        self.drain_queue(shard_id, WaitingFor::FirstAttempt, out);
        self.drain_queue(shard_id, WaitingFor::Retry, out);
    }

    fn drain_queue(&mut self, shard_id: ShardId, waiting_for: WaitingFor, out: &mut dyn Actions) {
        // Where one request of a request class must wait, the others of it wait too.
        let mut blocked: Vec<usize> = Vec::new();
        let mut remaining = Vec::new();
        for id in self.queue.take(shard_id, waiting_for) {
            let request = self.requests.get(&id).filter(|request| request.queued && !request.finished);
            let Some(request) = request else { continue };
            let class = request.request_class;
            if blocked.contains(&class)
                || waiting_for == WaitingFor::Retry && !self.retry_budget.allows_retry()
            {
                remaining.push(id);
                continue;
            }
            match self.select_host(id, out.now()) {
                Selection::Host(index) => self.send(id, index, out),
                Selection::Rejected => self.reject(id, RejectionReason::NoPrimary, out),
                Selection::Wait => {
                    self.refresh_positions(id, out);
                    blocked.push(class);
                    remaining.push(id);
                }
            }
        }
        self.queue.restore(shard_id, waiting_for, remaining);
    }

    /// Gives a request its final answer: throttled where trying again is harmless, else failed.
    pub(super) fn reject(&mut self, id: RequestId, reason: RejectionReason, out: &mut dyn Actions) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.finished) else { return };
        request.finished = true;
        let request = &self.requests[&id];
        if self.is_harmless_to_repeat(request, out.now()) {
            out.throttle(id, self.retry_after(request), reason);
        } else {
            out.fail(id, reason);
        }
        self.cancel_attempts(id, out);
    }

    fn is_harmless_to_repeat(&self, request: &RequestState, now: Timestamp) -> bool {
        let settings = self.class_of(request);
        let deduplicated = settings.idempotency == Idempotency::Keyed
            && settings.deduplication_scope == DeduplicationScope::Everywhere
            && self.is_remembered_for_repeat(request, now);
        settings.idempotency == Idempotency::Idempotent || deduplicated || !request.maybe_ran()
    }

    /// Whether all that may have run is still remembered when the client's own repeat is at its latest: it waits, sends
    /// again, and that again has all of the client's time.
    fn is_remembered_for_repeat(&self, request: &RequestState, now: Timestamp) -> bool {
        let wait = self.retry_after(request).unwrap_or_default().max(HEALTH_CHECK_RETRY_INTERVAL);
        let latest_repeat = now + wait + (request.deadline - request.submitted_at);
        let window = self.class_of(request).deduplication_window;
        let mut maybe_ran = request.attempts.iter().filter(|attempt| attempt.maybe_ran());
        maybe_ran.all(|ran| latest_repeat + self.settings.tick_interval() < ran.sent_at + window)
    }

    /// Within the objective if this was a lack of capacity: the client's retries count with its first try.
    fn retry_after(&self, request: &RequestState) -> Option<Duration> {
        let settings = self.class_of(request);
        let shard = self.shards.get(&request.shard_id);
        let failing = shard.is_some_and(|shard| shard.state != ShardState::Healthy);
        let lacks_primary = failing && settings.consistency.needs_primary();
        let delay = if lacks_primary { HEALTH_CHECK_INTERVAL } else { settings.latency_objective / 8 };
        self.settings.deployment().max_retry_after.map(|longest| delay.min(longest))
    }

    /// Rejects a request when its time has run out, and hedges one whose host fails or is slow.
    pub(super) fn review_request(&mut self, id: RequestId, out: &mut dyn Actions) {
        let now = out.now();
        let Some(request) = self.requests.get(&id).filter(|request| !request.finished) else { return };
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
        // A mutating write left with a lost primary may have run: it is failed.
        let attempt = request.only_in_flight().filter(|_| !request.queued)?;
        let shard = &self.shards[&request.shard_id];
        let host = &self.hosts[attempt.host];
        let lost = shard.state == ShardState::Failover
            && shard.primary == Some(attempt.host)
            && self.class_of(request).idempotency == Idempotency::NonIdempotent
            && (host.unresponsive || host.is_unreachable());
        lost.then_some(RejectionReason::PrimaryLost)
    }

    /// Whether it could only be answered late: it is rejected while a retry can still be of use.
    fn is_queued_too_long(&self, request: &RequestState, now: Timestamp) -> bool {
        let settings = self.class_of(request);
        let objective = settings.latency_objective;
        let in_hand = match settings.idempotency {
            _ if request.attempts.is_empty() => objective / 2,
            Idempotency::Keyed => settings.timeout,
            _ => objective,
        };
        request.submitted_at + in_hand
            < now + self.statistics.service_times.conservative(request.request_class)
    }
}

impl Router {
    /// How long before its deadline a request gets its final answer at the latest: the next review is a tick away, and
    /// may come as late as the last ones did.
    pub(super) fn answer_margin(&self) -> Duration {
        self.settings.tick_interval() + self.event_loop_lag.recent_max()
    }
}
