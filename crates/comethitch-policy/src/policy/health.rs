//! The ends of health checks, who pays for them, and what makes a host unreachable, unresponsive or ejected.

use super::{
    Actions, AttemptOutcome, Duration, HEALTH_CHECK_RETRY_INTERVAL, HostState, LoadReport,
    RECENT_REQUESTS_WINDOW, Router, SILENCE_TIMEOUT, ShardId, Timestamp, is_in_use,
};
use crate::Host;

/// Points of service that each request spends on health checks: quiet routers pay more than once for each.
const POINTS_PER_COMMAND: f64 = 0.02;
/// The part of these that timers get where positions are refreshed on demand besides.
const TIMER_PART: f64 = 0.25;
/// How many health checks may be saved up for each member of a group.
const SAVED_PER_MEMBER: f64 = 2.0;
/// Attempts in a row, cancelled late or timed out without any answer since, that make a host unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;
/// How often an unresponsive host is tried with a request.
pub(super) const UNRESPONSIVE_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Failures in a row, of connections, attempts and health checks, that make a host unreachable.
const UNREACHABLE_AFTER: u32 = 3;

impl Router {
    /// Takes in the end of a health check, with the load report that came back.
    pub fn health_checked(
        &mut self, host: Host, outcome: AttemptOutcome, report: LoadReport, out: &mut dyn Actions,
    ) {
        let now = out.now();
        let Some(index) = self.hosts.index_of(host) else { return };
        let connect_timeout = self.deployment.connect_timeout;
        let host = &mut self.hosts[index];
        let sent_at = host.health_check_sent.take().unwrap_or(now);
        match outcome {
            AttemptOutcome::NoConnectionSlot => host.record_rejection(self.hash_seed, connect_timeout, now),
            AttemptOutcome::Answered | AttemptOutcome::Error | AttemptOutcome::Overloaded => {
                host.record_sign_of_life(now);
                if report == LoadReport::default() {
                    host.retry_health_check(now);
                }
            }
            _ if host.last_sign_of_life < sent_at => host.record_failure(connect_timeout, now),
            _ => {}
        }
        self.review_checks_by(index);
        self.apply_report(index, report, None, out);
        self.drain_queues(self.hosts[index].shard_id, out);
    }

    pub(super) fn fund_health_checks(&mut self, shard_id: ShardId, now: Timestamp) {
        self.recent_requests.add(1.0, now, RECENT_REQUESTS_WINDOW);
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let points = POINTS_PER_COMMAND * if self.refresh_on_demand { TIMER_PART } else { 1.0 };
        let funded = shard.health_check_budget + points / self.deployment.health_check_price;
        shard.health_check_budget = funded.min(shard.members.len() as f64 * SAVED_PER_MEMBER);
        if !is_in_use(shard, now) {
            // Nobody needed to know its state before.
            shard.next_check_review = now;
        }
        shard.recent_requests.add(1.0, now, RECENT_REQUESTS_WINDOW);
    }
}

impl HostState {
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Whether nothing has reached it for a while. One failure is no proof: the host may lack a connection
    /// to spare, or be hard to reach from here alone, and serve all the same.
    pub(super) fn is_unreachable(&self) -> bool {
        self.consecutive_failures >= UNREACHABLE_AFTER
    }

    pub(super) fn record_sign_of_life(&mut self, now: Timestamp) {
        self.last_sign_of_life = now;
        self.consecutive_failures = 0;
        if !self.unresponsive {
            self.ejected_until = self.ejected_until.min(now);
        }
    }

    /// Ejects an unreachable host, for twice as long each time: hundreds of routers try one that is down.
    pub(super) fn record_failure(&mut self, connect_timeout: Duration, now: Timestamp) {
        self.consecutive_failures += 1;
        if self.is_unreachable() {
            let doublings = (self.consecutive_failures - UNREACHABLE_AFTER).min(16);
            self.ejected_until = now + (connect_timeout * (1 << doublings)).min(SILENCE_TIMEOUT);
        }
    }

    /// Hangs, one-way links, hosts too slow to wait for, whatever their health checks say.
    pub(super) fn record_unanswered(&mut self, now: Timestamp) {
        self.unanswered_attempts += 1;
        if self.unanswered_attempts >= UNRESPONSIVE_AFTER && !self.unresponsive {
            self.unresponsive = true;
            self.ejected_until = self.ejected_until.max(now + UNRESPONSIVE_TRIAL_INTERVAL);
        }
    }

    pub(super) fn record_rejection(&mut self, hash_seed: u64, connect_timeout: Duration, now: Timestamp) {
        self.record_sign_of_life(now);
        self.connection_slots.connection_rejected(hash_seed, self.host.number(), connect_timeout, now);
    }

    /// It runs but reports nothing: it has just started, is overloaded, or only its health checks fail.
    fn retry_health_check(&mut self, now: Timestamp) {
        let divisor = if self.position == Timestamp::ZERO { 4 } else { 1 };
        self.next_health_check = self.next_health_check.min(now + HEALTH_CHECK_RETRY_INTERVAL / divisor);
    }
}
