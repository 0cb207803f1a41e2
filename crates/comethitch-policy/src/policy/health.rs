//! Health checks: how they are sent, what their ends show, and how requests pay for them.

use super::intervals::HEALTH_CHECK_RETRY_INTERVAL;
use super::recent_requests::{RECENT_REQUESTS_WINDOW, is_in_use};
use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::Timestamp;
use crate::{Actions, AttemptOutcome, Host, LoadReport, ShardId};

/// Points of service that each request spends on health checks.
const POINTS_PER_REQUEST: f64 = 0.02;
/// The fraction of these that periodic health checks get where positions are refreshed on demand besides.
const PERIODIC_FRACTION: f64 = 0.25;
/// Maximum number of health checks saved up per member of a shard.
const MAX_BUDGET_PER_MEMBER: f64 = 2.0;
/// A host that has reported no position yet is checked again after the retry interval over this.
const STARTING_HOST_RETRY_DIVISOR: u64 = 4;

impl Router {
    /// Records the end of a health check, with the load report that came back.
    pub fn health_checked(
        &mut self, host: Host, outcome: AttemptOutcome, report: LoadReport, out: &mut dyn Actions,
    ) {
        let now = out.now();
        let Some(index) = self.hosts.index_of(host) else { return };
        let connect_timeout = self.settings.deployment().connect_timeout;
        let host = &mut self.hosts[index];
        let sent_at = host.checks.record_end().unwrap_or(now);
        match outcome {
            AttemptOutcome::NoConnectionSlot => {
                host.record_connection_rejected(self.random.hash_seed(), connect_timeout, now);
            }
            AttemptOutcome::Answered | AttemptOutcome::Error | AttemptOutcome::Overloaded => {
                host.health.record_sign_of_life(now);
                if report == LoadReport::default() {
                    self.retry_health_check(index, now);
                }
            }
            _ if host.health.last_sign_of_life() < sent_at => {
                host.health.record_failure(connect_timeout, now);
            }
            _ => {}
        }
        let next_check_at = self.hosts[index].checks.next_at();
        self.shard_of_mut(index).review_by(next_check_at);
        self.apply_report(index, report, None, out);
        self.drain_queues(self.hosts[index].listing.shard_id(), out);
    }

    /// Repeats a health check that reported nothing: the host has just started, is overloaded, or only its health checks
    /// fail.
    fn retry_health_check(&mut self, index: HostIndex, now: Timestamp) {
        let host = &mut self.hosts[index];
        let divisor = if host.replication.has_position() { 1 } else { STARTING_HOST_RETRY_DIVISOR };
        host.checks.bring_forward(now + HEALTH_CHECK_RETRY_INTERVAL / divisor);
    }

    /// Sends a health check to a host.
    pub(super) fn send_health_check(&mut self, index: HostIndex, out: &mut dyn Actions) {
        let host = &mut self.hosts[index];
        host.record_health_check(out.now());
        out.check_health(host.host);
    }

    /// Records a request of a shard, which pays for a fraction of a health check there.
    pub(super) fn record_request_of_shard(&mut self, shard_id: ShardId, now: Timestamp) {
        let Some(shard) = self.shards.get_mut(shard_id) else { return };
        let fraction = if self.settings.refreshes_on_demand() { PERIODIC_FRACTION } else { 1.0 };
        let checks = POINTS_PER_REQUEST * fraction / self.settings.deployment().health_check_price;
        let max = shard.members.len() as f64 * MAX_BUDGET_PER_MEMBER;
        shard.health_check_budget.deposit(checks, max);
        if !is_in_use(shard, now) {
            // The state of an unused shard may be outdated.
            shard.schedule_review(now);
        }
        shard.recent_requests.add(1.0, now, RECENT_REQUESTS_WINDOW);
    }
}
