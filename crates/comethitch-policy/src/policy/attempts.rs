//! The life of an attempt: it is sent, and ends or is cancelled.

use super::*;
use crate::AttemptEnd;

impl Handle {
    /// Takes in the end of an attempt, and answers the command or tries it further.
    pub fn attempt_ended(self, router: &mut Router, end: AttemptEnd, out: &mut dyn Actions) {
        let now = out.now();
        let Some(command) = router.commands.get_mut(&self.0) else { return };
        let Some(attempt) = command.end_attempt(end.attempt, end.outcome) else { return };
        let session = command.session;
        command.finished |= end.command_finished;
        router.record_outcome(&attempt, now);
        router.record_primary_fault(&attempt, now);
        if end.outcome == AttemptOutcome::Answered && !router.deployment.session_tokens_carried {
            router.session_commits.record(session, end.note.position.unwrap_or_default());
        }
        let sent_at = router.host_clock.earliest(attempt.sent_at);
        router.hosts[attempt.host].apply_note(&end.note, sent_at);
        router.apply_report(attempt.host, end.report, attempt.was_answered().then_some(end.note), out);
        router.fail_over_if_not_primary(&attempt, out);
        router.continue_command(self.0, &attempt, out);
        router.drain_queues(router.hosts[attempt.host].shard, out);
    }
}

impl Router {
    pub(super) fn send(&mut self, id: CommandId, index: HostIndex, out: &mut dyn Actions) {
        let now = out.now();
        let command_group = self.commands[&id].command_group;
        let attempt = Attempt::new(command_group, index, self.work(command_group), now);
        self.record_sent(&attempt, self.cost(attempt.work, command_group));
        let command = self.commands.get_mut(&id).expect("a submitted command");
        if !command.attempts.is_empty() {
            self.retry_budget -= 1.0;
        }
        command.queued = false;
        command.attempts.push(attempt);
        let host = &mut self.hosts[index];
        if host.unresponsive {
            host.ejected_until = now + health::UNRESPONSIVE_TRIAL_INTERVAL;
        }
        out.send_attempt(id, host.host, command.deadline - now);
    }

    /// An attempt that was lost is a fault of the primary, if it went there.
    fn record_primary_fault(&mut self, attempt: &Attempt, now: Timestamp) {
        if attempt.was_lost() || self.hosts[attempt.host].unresponsive {
            self.mark_unhealthy(attempt.host, now);
            let group = self.group_of_mut(attempt.host);
            group.lost_since_fault += u32::from(attempt.in_flight_at_fault);
        }
    }

    /// A write that the believed primary rejects as a replica shows a failover.
    fn fail_over_if_not_primary(&mut self, attempt: &Attempt, out: &mut dyn Actions) {
        if attempt.ended_as(AttemptOutcome::NotPrimary)
            && self.deployment.groups[attempt.command_group].consistency == Consistency::Write
            && self.group_of(attempt.host).primary == Some(attempt.host)
        {
            self.fail_over(self.hosts[attempt.host].shard, out);
        }
    }

    fn continue_command(&mut self, id: CommandId, ended: &Attempt, out: &mut dyn Actions) {
        let Some(command) = self.commands.get(&id) else { return };
        if command.finished {
            self.cancel_attempts(id, out);
        } else if command.is_stalled() && self.may_retry(command, ended, out.now()) {
            self.schedule(id, out);
        } else if command.is_stalled() {
            self.reject(id, RejectionReason::NotRetryable, out);
        }
    }
}
