//! The lifecycle of an attempt: it is sent, then it ends or is cancelled.

use super::router::{Handle, Router};
use crate::host_table::HostIndex;
use crate::request_state::Attempt;
use crate::time::Timestamp;
use crate::{Actions, AttemptEnd, AttemptOutcome, Consistency, RejectionReason, RequestId};

impl Handle {
    /// Records the end of an attempt, then retries, rejects or forgets its request where necessary.
    pub fn attempt_ended(self, router: &mut Router, end: AttemptEnd, actions: &mut dyn Actions) {
        let now = actions.now();
        let Some(request) = router.requests.get_mut(self.0) else { return };
        let Some(attempt) = request.end_attempt(end.attempt, end.outcome) else { return };
        let session = request.session;
        request.finished |= end.request_finished;
        router.record_outcome(&attempt, now);
        router.record_primary_fault(&attempt, now);
        if end.outcome == AttemptOutcome::Answered && !router.settings.deployment().session_tokens_carried {
            router.session_commits.record(session, end.trailer.position.unwrap_or_default());
        }
        let host_time_sent = router.host_clock.earliest(attempt.sent_at);
        router.hosts[attempt.host].replication.apply_trailer(&end.trailer, host_time_sent);
        let trailer = attempt.was_answered().then_some(end.trailer);
        router.apply_report(attempt.host, end.report, trailer, attempt.sent_at, actions);
        router.fail_over_if_not_primary(&attempt, actions);
        router.continue_request(self.0, &attempt, actions);
        router.drain_queues(router.hosts[attempt.host].listing.shard_id(), actions);
    }
}

impl Router {
    /// Sends an attempt of a request, and removes the request from the queue if it is queued.
    pub(super) fn send(&mut self, id: RequestId, index: HostIndex, actions: &mut dyn Actions) {
        let now = actions.now();
        let request_class = self.requests[id].request_class;
        let attempt = Attempt::new(request_class, index, self.work(request_class), now);
        self.record_sent(&attempt, self.cost(attempt.work, request_class));
        let request = self.requests.get_mut(id).expect("only submitted requests are sent");
        if !request.attempts.is_empty() {
            self.retry_budget.withdraw();
        }
        request.queued = false;
        request.attempts.push(attempt);
        let host = &mut self.hosts[index];
        host.health.record_trial(now);
        actions.send_attempt(id, host.host, request.deadline - now);
    }

    /// Counts an attempt as in flight. `cost` is its cost in the slow-start budget, in microseconds.
    fn record_sent(&mut self, attempt: &Attempt, cost: f64) {
        let window = self.window(attempt.host, attempt.sent_at, self.settings.slow_start().window);
        let shard = self.shard_of_mut(attempt.host);
        shard.concurrency_limits[attempt.request_class].in_flight += attempt.work;
        self.hosts[attempt.host].record_attempt(attempt.work, cost, &window);
    }

    /// Cancels the in-flight attempts of a finished request, if the deployment allows that, and forgets the
    /// request if none is in flight.
    pub(super) fn cancel_attempts(&mut self, id: RequestId, actions: &mut dyn Actions) {
        let Some(request) = self.requests.get(id) else { return };
        for (attempt_number, attempt) in request.attempts.iter().enumerate() {
            if self.settings.deployment().may_cancel && attempt.outcome.is_none() {
                actions.cancel_attempt(id, attempt_number as u16);
            }
        }
        if request.in_flight().next().is_none() {
            self.forget_request(id);
        }
    }

    fn forget_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(id) else { return };
        for attempt in &request.attempts {
            self.hosts[attempt.host].forget_attempt();
        }
    }

    /// Records an attempt that was lost, or whose host is unresponsive, as a fault of the primary if it was
    /// sent there.
    fn record_primary_fault(&mut self, attempt: &Attempt, now: Timestamp) {
        if attempt.was_lost() || self.hosts[attempt.host].health.is_unresponsive() {
            self.mark_unhealthy(attempt.host, now);
            if attempt.in_flight_at_fault {
                self.shard_of_mut(attempt.host).record_lost_attempt();
            }
        }
    }

    /// Moves the shard to Failover if the believed primary has rejected a write because it is not the
    /// primary.
    fn fail_over_if_not_primary(&mut self, attempt: &Attempt, actions: &mut dyn Actions) {
        let is_write = self.settings.class(attempt.request_class).consistency == Consistency::Write;
        if is_write && attempt.ended_as(AttemptOutcome::NotPrimary) {
            self.record_rejected_write(attempt.host, actions);
        }
    }

    fn continue_request(&mut self, id: RequestId, ended: &Attempt, actions: &mut dyn Actions) {
        let Some(request) = self.requests.get(id) else { return };
        if request.finished {
            self.cancel_attempts(id, actions);
        } else if request.is_idle() && self.may_retry(request, ended, actions.now()) {
            self.schedule(id, actions);
        } else if request.is_idle() {
            self.reject(id, RejectionReason::NotRetryable, actions);
        }
    }
}
