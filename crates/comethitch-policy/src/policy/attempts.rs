//! The life of an attempt: it is sent, and ends or is cancelled.

use super::router::{Handle, Router};
use crate::host_table::HostIndex;
use crate::request_state::Attempt;
use crate::time::Timestamp;
use crate::{Actions, AttemptEnd, AttemptOutcome, Consistency, RejectionReason, RequestId};

impl Handle {
    /// Takes in the end of an attempt, and answers the request or tries it further.
    pub fn attempt_ended(self, router: &mut Router, end: AttemptEnd, out: &mut dyn Actions) {
        let now = out.now();
        let Some(request) = router.requests.get_mut(&self.0) else { return };
        let Some(attempt) = request.end_attempt(end.attempt, end.outcome) else { return };
        let session = request.session;
        request.finished |= end.request_finished;
        router.record_outcome(&attempt, now);
        router.record_primary_fault(&attempt, now);
        if end.outcome == AttemptOutcome::Answered && !router.settings.deployment().session_tokens_carried {
            router.session_commits.record(session, end.trailer.position.unwrap_or_default());
        }
        let sent_at = router.host_clock.earliest(attempt.sent_at);
        router.hosts[attempt.host].apply_trailer(&end.trailer, sent_at);
        router.apply_report(attempt.host, end.report, attempt.was_answered().then_some(end.trailer), out);
        router.fail_over_if_not_primary(&attempt, out);
        router.continue_request(self.0, &attempt, out);
        router.drain_queues(router.hosts[attempt.host].shard_id, out);
    }
}

impl Router {
    pub(super) fn send(&mut self, id: RequestId, index: HostIndex, out: &mut dyn Actions) {
        let now = out.now();
        let request_class = self.requests[&id].request_class;
        let attempt = Attempt::new(request_class, index, self.work(request_class), now);
        self.record_sent(&attempt, self.cost(attempt.work, request_class));
        let request = self.requests.get_mut(&id).expect("a submitted command");
        if !request.attempts.is_empty() {
            self.retry_budget.withdraw();
        }
        request.queued = false;
        request.attempts.push(attempt);
        let host = &mut self.hosts[index];
        if host.unresponsive {
            host.ejected_until = now + super::outliers::UNRESPONSIVE_TRIAL_INTERVAL;
        }
        out.send_attempt(id, host.host, request.deadline - now);
    }

    /// An attempt that was lost is a fault of the primary, if it went there.
    fn record_primary_fault(&mut self, attempt: &Attempt, now: Timestamp) {
        if attempt.was_lost() || self.hosts[attempt.host].unresponsive {
            self.mark_unhealthy(attempt.host, now);
            let shard = self.shard_of_mut(attempt.host);
            shard.lost_since_fault += u32::from(attempt.in_flight_at_fault);
        }
    }

    /// A write that the believed primary rejects as a replica shows a failover.
    fn fail_over_if_not_primary(&mut self, attempt: &Attempt, out: &mut dyn Actions) {
        if attempt.ended_as(AttemptOutcome::NotPrimary)
            && self.settings.class(attempt.request_class).consistency == Consistency::Write
            && self.shard_of(attempt.host).primary == Some(attempt.host)
        {
            self.fail_over(self.hosts[attempt.host].shard_id, out);
        }
    }

    fn continue_request(&mut self, id: RequestId, ended: &Attempt, out: &mut dyn Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.finished {
            self.cancel_attempts(id, out);
        } else if request.is_stalled() && self.may_retry(request, ended, out.now()) {
            self.schedule(id, out);
        } else if request.is_stalled() {
            self.reject(id, RejectionReason::NotRetryable, out);
        }
    }
}
