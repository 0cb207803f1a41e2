//! What ended attempts show of hosts and load.

use super::recent_requests::RECENT_REQUESTS_WINDOW;
use super::router::Router;
use crate::AttemptOutcome;
use crate::request_state::Attempt;
use crate::time::{Duration, Timestamp};
use comethitch_fleet::concurrency_limit::EndedWork;

impl Router {
    /// Counts the end of an attempt: for its host's health, its request class's times and all limits.
    pub(super) fn record_outcome(&mut self, attempt: &Attempt, now: Timestamp) {
        let answered = attempt.ended_as(AttemptOutcome::Answered);
        let used_up = attempt.maybe_ran() && !attempt.ended_as(AttemptOutcome::Error);
        if !used_up && self.warm_part(attempt.host, now) >= 1.0 {
            let cost = self.cost(self.work(attempt.request_class), attempt.request_class);
            self.hosts[attempt.host].work_sent.subtract(cost);
        }
        self.hosts[attempt.host].connection_slots.attempt_ended(attempt.sent_at, answered);
        self.record_host_health(attempt, now);
        if answered {
            self.record_answer(attempt, now);
        }
        self.release_work(attempt, now);
    }

    /// Whether an ended attempt was late; none where its end says nothing of the load.
    fn lateness(&self, attempt: &Attempt, now: Timestamp) -> Option<bool> {
        let objective = self.settings.class(attempt.request_class).latency_objective;
        let late = now - attempt.sent_at > objective / 2;
        match attempt.outcome? {
            AttemptOutcome::Answered => Some(late),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => late.then_some(true),
            _ => None,
        }
    }

    fn record_host_health(&mut self, attempt: &Attempt, now: Timestamp) {
        let connect_timeout = self.settings.deployment().connect_timeout;
        let late = self.lateness(attempt, now).is_some();
        if attempt.was_answered() && self.hosts[attempt.host].last_answer == Timestamp::ZERO {
            self.shard_of_mut(attempt.host).answered_members += 1;
        }
        let host = &mut self.hosts[attempt.host];
        if attempt.was_answered() {
            host.last_answer = now;
            host.unanswered_attempts = 0;
            host.unresponsive = false;
            self.statistics.error_rate.record(attempt.ended_as(AttemptOutcome::Error));
        }
        match attempt.outcome.expect("an attempt that ended") {
            // Errors are the host's while they are rare; spread over all hosts they are the requests'.
            AttemptOutcome::Error if !self.statistics.error_rate.is_widespread() => {
                host.record_failure(connect_timeout, now);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                if late && host.last_answer <= attempt.sent_at {
                    host.record_unanswered(now);
                }
            }
            AttemptOutcome::ConnectionFailed | AttemptOutcome::ConnectionReset => {
                host.record_failure(connect_timeout, now);
                self.set_next_health_check(attempt.host, now);
            }
            AttemptOutcome::NoConnectionSlot => {
                host.record_rejection(self.random.hash_seed(), connect_timeout, now);
            }
            AttemptOutcome::NotSent => {}
            _ => host.record_sign_of_life(now),
        }
    }

    fn record_answer(&mut self, attempt: &Attempt, now: Timestamp) {
        let took = now - attempt.sent_at;
        let relative = took.ratio(self.statistics.service_times.median(attempt.request_class)) * 1000.0;
        let cost = self.cost(attempt.work, attempt.request_class);
        let host = &mut self.hosts[attempt.host];
        host.work_answered.add(cost, now, self.settings.slow_start().window);
        host.relative_latency.add(Duration::from_micros(relative as u64));
        self.statistics.service_times.record(attempt.request_class, took);
    }

    /// Takes an ended attempt out of what is in flight, and adapts the limits to whether it was late.
    fn release_work(&mut self, attempt: &Attempt, now: Timestamp) {
        let work = attempt.work;
        let late = self.lateness(attempt, now);
        let objective = self.settings.class(attempt.request_class).latency_objective;
        // Every router may hold this much at a host at once.
        let size = self.subset_size(self.shard_of(attempt.host), now);
        let users = self.expected_users(attempt.host, size);
        let least = (objective * 2).scaled(1.0 / users).min(objective / 2);
        let host = &mut self.hosts[attempt.host];
        let shard = self.shards.get_mut(&host.shard_id).expect("a host's group is known");
        // Nor less than its requests need at their usual pace: some see many times what others do.
        let rate = shard.recent_requests.rate(now, RECENT_REQUESTS_WINDOW);
        let needed = work.scaled(rate * work.ratio(RECENT_REQUESTS_WINDOW));
        let min_limit = (least * shard.members.len() as u64).max(needed).max(work);
        let mut ended =
            EndedWork { work, late, other_late_share: 0.0, min_limit, cut_interval: objective / 2 };
        let shard_limit = &mut shard.concurrency_limits[attempt.request_class];
        shard_limit.record_end(ended, now);
        let overloaded = attempt.ended_as(AttemptOutcome::Overloaded);
        ended.late = late.or(overloaded.then_some(true));
        ended.other_late_share = shard_limit.late_share.max(f64::from(overloaded));
        ended.min_limit = least;
        host.concurrency.record_end(ended, now);
    }
}
