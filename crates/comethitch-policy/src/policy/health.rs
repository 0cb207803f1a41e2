//! The ends of health checks, who pays for them, and what makes a host unreachable, unresponsive or ejected.

use super::recent_requests::{RECENT_REQUESTS_WINDOW, is_in_use};
use super::router::Router;
use crate::time::Timestamp;
use crate::{Actions, AttemptOutcome, Host, LoadReport, ShardId};

/// Points of service that each request spends on health checks: quiet routers pay more than once for each.
const POINTS_PER_COMMAND: f64 = 0.02;
/// The part of these that timers get where positions are refreshed on demand besides.
const TIMER_PART: f64 = 0.25;
/// How many health checks may be saved up for each member of a group.
const SAVED_PER_MEMBER: f64 = 2.0;
impl Router {
    /// Takes in the end of a health check, with the load report that came back.
    pub fn health_checked(
        &mut self, host: Host, outcome: AttemptOutcome, report: LoadReport, out: &mut dyn Actions,
    ) {
        let now = out.now();
        let Some(index) = self.hosts.index_of(host) else { return };
        let connect_timeout = self.settings.deployment().connect_timeout;
        let host = &mut self.hosts[index];
        let sent_at = host.health_check_sent.take().unwrap_or(now);
        match outcome {
            AttemptOutcome::NoConnectionSlot => {
                host.record_rejection(self.random.hash_seed(), connect_timeout, now);
            }
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
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let points = POINTS_PER_COMMAND * if self.settings.refreshes_on_demand() { TIMER_PART } else { 1.0 };
        let funded = shard.health_check_budget + points / self.settings.deployment().health_check_price;
        shard.health_check_budget = funded.min(shard.members.len() as f64 * SAVED_PER_MEMBER);
        if !is_in_use(shard, now) {
            // Nobody needed to know its state before.
            shard.next_check_review = now;
        }
        shard.recent_requests.add(1.0, now, RECENT_REQUESTS_WINDOW);
    }
}
