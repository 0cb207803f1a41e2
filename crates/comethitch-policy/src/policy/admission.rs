//! Admission: commands are sent, queued for capacity, or rejected, at once or when their time runs out.

use super::*;

/// For so many groups of hosts, one after the other, waiting commands are tried at a tick: capacity may have come with
/// the time alone. What waits for others has its turn at the next tick, and at each event of its own group.
const GROUPS_TRIED_PER_TICK: usize = 16;
/// The answer time that a queued command must still have.
const QUEUED: Estimate = Estimate { quantile: 0.8, objective_divisor: 4 };

impl Router {
    pub(super) fn schedule(&mut self, id: CommandId, out: &mut dyn Actions) {
        let Some(command) = self.commands.get(&id) else { return };
        let first = command.attempts.is_empty();
        let deadline = command.deadline;
        match self.select_host(id, out.now()) {
            Selection::Host(index) if first || self.retry_budget >= 1.0 => self.send(id, index, out),
            Selection::Rejected => self.reject(id, RejectionReason::NoPrimary, out),
            // Too short a time to wait in a queue: the next review could come after its client timeout.
            _ if deadline <= out.now() + self.tick_interval + self.answer_margin() => {
                self.reject(id, RejectionReason::DeadlineTooClose, out)
            }
            _ => self.enqueue(id, if first { WaitingFor::FirstAttempt } else { WaitingFor::Retry }),
        }
    }

    fn enqueue(&mut self, id: CommandId, waiting_for: WaitingFor) {
        let command = self.commands.get_mut(&id).expect("a command that is scheduled");
        let shard = command.shard;
        if std::mem::replace(&mut command.queued, true) {
            return;
        }
        let priority = self.priority(id);
        let mut waiting = std::mem::take(&mut self.waiting);
        // The newest of equal priority first: in overload the oldest could only be late.
        waiting.insert(shard, waiting_for, id, |other| self.priority(other) > priority);
        self.waiting = waiting;
    }

    /// Benefit for the work: what is sent first, and rejected last.
    fn priority(&self, id: CommandId) -> f64 {
        let Some(command) = self.commands.get(&id) else { return 0.0 };
        let work = self.work(command.command_group).as_micros().max(1);
        self.settings(command).priority_weight / work as f64
    }

    /// Tries what waits for some groups of hosts, each group in its turn: an amount of work that does not grow with
    /// what waits.
    pub(super) fn try_waiting_commands(&mut self, out: &mut dyn Actions) {
        for shard in self.waiting.next_groups(self.last_tried_group, GROUPS_TRIED_PER_TICK) {
            self.last_tried_group = Some(shard);
            self.drain_queues(shard, out);
        }
    }

    /// Tries the commands that wait for a group of hosts, after an event there.
    pub(super) fn drain_queues(&mut self, shard: Shard, out: &mut dyn Actions) {
        self.drain_queue(shard, WaitingFor::FirstAttempt, out);
        self.drain_queue(shard, WaitingFor::Retry, out);
    }

    fn drain_queue(&mut self, shard: Shard, waiting_for: WaitingFor, out: &mut dyn Actions) {
        // Where one command of a command group must wait, the others of it wait too.
        let mut blocked: Vec<usize> = Vec::new();
        let mut remaining = Vec::new();
        for id in self.waiting.take(shard, waiting_for) {
            let command = self.commands.get(&id).filter(|command| command.queued && !command.finished);
            let Some(command) = command else { continue };
            let class = command.command_group;
            if blocked.contains(&class) || waiting_for == WaitingFor::Retry && self.retry_budget < 1.0 {
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
        self.waiting.give_back(shard, waiting_for, remaining);
    }

    /// Gives a command its final answer: throttled where trying again is harmless, else failed.
    pub(super) fn reject(&mut self, id: CommandId, reason: RejectionReason, out: &mut dyn Actions) {
        let Some(command) = self.commands.get_mut(&id).filter(|command| !command.finished) else { return };
        command.finished = true;
        let command = &self.commands[&id];
        if self.is_harmless_to_repeat(command, out.now()) {
            out.throttle(id, self.retry_after(command), reason);
        } else {
            out.fail(id, reason);
        }
        self.cancel_attempts(id, out);
    }

    fn is_harmless_to_repeat(&self, command: &Command, now: Timestamp) -> bool {
        let settings = self.settings(command);
        let deduplicated = settings.idempotency == Idempotency::Keyed
            && settings.deduplication_scope == DeduplicationScope::Everywhere
            && self.is_remembered_for_repeat(command, now);
        settings.idempotency == Idempotency::Idempotent || deduplicated || !command.maybe_ran()
    }

    /// Whether all that may have run is still remembered when the client's own repeat is at its latest: it waits, sends
    /// again, and that again has all of the client's time.
    fn is_remembered_for_repeat(&self, command: &Command, now: Timestamp) -> bool {
        let wait = self.retry_after(command).unwrap_or_default().max(health::HEALTH_CHECK_RETRY);
        let latest_repeat = now + wait + (command.deadline - command.submitted_at);
        let window = self.settings(command).deduplication_window;
        let mut maybe_ran = command.attempts.iter().filter(|attempt| attempt.maybe_ran());
        maybe_ran.all(|ran| latest_repeat + self.tick_interval < ran.sent_at + window)
    }

    /// Within the objective if this was a lack of capacity: the client's retries count with its first try.
    fn retry_after(&self, command: &Command) -> Option<Duration> {
        let settings = self.settings(command);
        let group = self.host_groups.get(&command.shard);
        let failing = group.is_some_and(|group| group.state != GroupState::Healthy);
        let lacks_primary = failing && settings.consistency.needs_primary();
        let delay = if lacks_primary { HEALTH_CHECK_INTERVAL } else { settings.latency_objective / 8 };
        self.deployment.max_retry_after.map(|longest| delay.min(longest))
    }

    /// Rejects a command when its time has run out, and hedges one whose host fails or is slow.
    pub(super) fn review_command(&mut self, id: CommandId, out: &mut dyn Actions) {
        let now = out.now();
        let Some(command) = self.commands.get(&id).filter(|command| !command.finished) else { return };
        if let Some(reason) = self.reason_to_reject(command, now) {
            return self.reject(id, reason, out);
        }
        let attempt = command.only_in_flight().filter(|_| !command.queued);
        if attempt.is_some_and(|attempt| self.should_hedge(command, attempt, now))
            && let Selection::Host(index) = self.select_host(id, now)
        {
            self.send(id, index, out);
        }
    }

    fn reason_to_reject(&self, command: &Command, now: Timestamp) -> Option<RejectionReason> {
        if now + self.answer_margin() >= command.deadline {
            return Some(RejectionReason::DeadlineExceeded);
        }
        if command.in_flight().next().is_none() {
            return self.is_queued_too_long(command, now).then_some(RejectionReason::QueuedTooLong);
        }
        // A mutating write left with a lost primary may have run: it is failed.
        let attempt = command.only_in_flight().filter(|_| !command.queued)?;
        let group = &self.host_groups[&command.shard];
        let host = &self.hosts[attempt.host];
        let lost = group.state == GroupState::Failover
            && group.primary == Some(attempt.host)
            && self.settings(command).idempotency == Idempotency::NonIdempotent
            && (host.unresponsive || host.is_unreachable());
        lost.then_some(RejectionReason::PrimaryLost)
    }

    /// Whether it could only be answered late: it is rejected while a retry can still be of use.
    fn is_queued_too_long(&self, command: &Command, now: Timestamp) -> bool {
        let settings = self.settings(command);
        let objective = settings.latency_objective;
        let in_hand = match settings.idempotency {
            _ if command.attempts.is_empty() => objective / 2,
            Idempotency::Keyed => settings.timeout,
            _ => objective,
        };
        command.submitted_at + in_hand < now + self.service_time(command.command_group, &QUEUED)
    }
}
