//! Records what the end of an attempt shows about its host's health, service times and load.

use super::recent_requests::RECENT_REQUESTS_WINDOW;
use super::router::Router;
use crate::AttemptOutcome;
use crate::request_state::Attempt;
use crate::time::{Duration, Timestamp};
use comethitch_fleet::concurrency_limit::EndedWork;

/// Minimum concurrency limit of a host over all routers together, in latency objectives of work.
const MIN_HOST_LIMIT_OBJECTIVES: u64 = 2;
/// Divisor of the latency objective: one router's minimum limit at a host is at most half of it, if few
/// routers use the host.
const MIN_HOST_LIMIT_DIVISOR: u64 = 2;
/// Divisor of the latency objective: the minimum time between two cuts of a limit is half of it.
const CUT_INTERVAL_DIVISOR: u64 = 2;

impl Router {
    /// Records how an attempt ended in its host's health, its class's service times, and the limits of its
    /// host and shard.
    pub(super) fn record_outcome(&mut self, attempt: &Attempt, now: Timestamp) {
        let answered = attempt.ended_as(AttemptOutcome::Answered);
        let did_work = attempt.maybe_ran() && !attempt.ended_as(AttemptOutcome::Error);
        if !did_work && self.warmup_fraction(attempt.host, now) >= 1.0 {
            let cost = self.cost(self.work(attempt.request_class), attempt.request_class);
            self.hosts[attempt.host].load.refund_sent(cost);
        }
        self.hosts[attempt.host].load.release_connection(attempt.sent_at, answered);
        self.record_host_health(attempt, now);
        if answered {
            self.record_answer(attempt, now);
        }
        self.release_work(attempt, now);
    }

    /// Returns whether an ended attempt was late; `None` if its end says nothing about load.
    fn was_late(&self, attempt: &Attempt, now: Timestamp) -> Option<bool> {
        let late = now - attempt.sent_at > self.settings.late_after(attempt.request_class);
        match attempt.outcome? {
            AttemptOutcome::Answered => Some(late),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => late.then_some(true),
            _ => None,
        }
    }

    fn record_host_health(&mut self, attempt: &Attempt, now: Timestamp) {
        let connect_timeout = self.settings.deployment().connect_timeout;
        let is_evidence_of_load = self.was_late(attempt, now).is_some();
        if attempt.was_answered() && !self.hosts[attempt.host].health.has_answered() {
            self.shard_of_mut(attempt.host).answered_members += 1;
        }
        let host = &mut self.hosts[attempt.host];
        if attempt.was_answered() {
            host.health.record_answer(now);
            self.statistics.error_rate.record(attempt.ended_as(AttemptOutcome::Error));
        }
        match attempt.outcome.expect("the attempt has ended") {
            AttemptOutcome::Error if !self.statistics.error_rate.is_widespread() => {
                host.health.record_failure(connect_timeout, now);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                if is_evidence_of_load && host.health.last_answer() <= attempt.sent_at {
                    host.health.record_unanswered(now);
                }
            }
            AttemptOutcome::ConnectionFailed | AttemptOutcome::ConnectionReset => {
                host.health.record_failure(connect_timeout, now);
                self.schedule_health_check(attempt.host, now);
            }
            AttemptOutcome::NoConnectionSlot => {
                host.record_connection_rejected(self.random.hash_seed(), connect_timeout, now);
            }
            AttemptOutcome::NotSent => {}
            _ => host.health.record_seen(now),
        }
    }

    fn record_answer(&mut self, attempt: &Attempt, now: Timestamp) {
        let service_time = now - attempt.sent_at;
        let relative = service_time.ratio(self.statistics.service_times.median(attempt.request_class));
        let cost = self.cost(attempt.work, attempt.request_class);
        let window = self.settings.slow_start().window;
        self.hosts[attempt.host].load.record_answer(cost, window, relative, now);
        self.statistics.service_times.record(attempt.request_class, service_time);
    }

    /// Releases the work of an ended attempt, and adapts the limits of its host and shard.
    fn release_work(&mut self, attempt: &Attempt, now: Timestamp) {
        let late = self.was_late(attempt, now);
        let overloaded = attempt.ended_as(AttemptOutcome::Overloaded);
        let objective = self.settings.class(attempt.request_class).latency_objective;
        let min_host_limit = self.min_host_limit(attempt, now);
        let min_shard_limit = self.min_shard_limit(attempt, min_host_limit, now);
        let ended = EndedWork {
            work: attempt.work,
            late,
            other_late_share: 0.0,
            min_limit: min_shard_limit,
            cut_interval: objective / CUT_INTERVAL_DIVISOR,
        };
        let shard_limit = &mut self.shard_of_mut(attempt.host).concurrency_limits[attempt.request_class];
        shard_limit.record_end(ended, now);
        let at_host = EndedWork {
            late: late.or(overloaded.then_some(true)),
            other_late_share: shard_limit.late_share.max(f64::from(overloaded)),
            min_limit: min_host_limit,
            ..ended
        };
        self.hosts[attempt.host].load.release_work(at_host, now);
    }

    /// Returns the minimum concurrency limit of this router at an attempt's host: its share of the minimum
    /// over all routers, but at most half of the latency objective.
    fn min_host_limit(&self, attempt: &Attempt, now: Timestamp) -> Duration {
        let objective = self.settings.class(attempt.request_class).latency_objective;
        let subset_size = self.subset_size(self.shard_of(attempt.host), now);
        let users = self.expected_users(attempt.host, subset_size);
        let of_all_routers = objective * MIN_HOST_LIMIT_OBJECTIVES;
        of_all_routers.scaled(1.0 / users).min(objective / MIN_HOST_LIMIT_DIVISOR)
    }

    /// Returns the minimum concurrency limit of an attempt's shard: the largest of its members' total
    /// minimum, the work in flight that its requests need at their recent rate, and the work of the attempt.
    /// The recent rate is included because some routers receive many times the requests of others.
    fn min_shard_limit(&self, attempt: &Attempt, min_host_limit: Duration, now: Timestamp) -> Duration {
        let shard = self.shard_of(attempt.host);
        let rate = shard.recent_requests.rate(now, RECENT_REQUESTS_WINDOW);
        let needed = attempt.work.scaled(rate * attempt.work.ratio(RECENT_REQUESTS_WINDOW));
        (min_host_limit * shard.members.len() as u64).max(needed).max(attempt.work)
    }
}
