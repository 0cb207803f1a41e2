//! Health checks: sends them, handles their ends, and adds to their budget with each request.

use super::intervals::HEALTH_CHECK_RETRY_INTERVAL;
use super::recent_requests::{RECENT_REQUESTS_WINDOW, is_in_use};
use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::Timestamp;
use crate::{Actions, AttemptOutcome, Host, LoadReport, ShardId};

/// Cost units that each request adds to the budget for health checks, in the unit of
/// [`Deployment::health_check_price`](crate::Deployment::health_check_price). A router with few requests
/// spends more than this: overdue health checks are also sent beyond the budget, and checks that refresh
/// positions on demand are not charged to it.
const BUDGET_COST_UNITS_PER_REQUEST: f64 = 0.02;
/// Fraction of [`BUDGET_COST_UNITS_PER_REQUEST`] that is for periodic health checks if positions are also
/// refreshed on demand.
const PERIODIC_CHECK_FRACTION: f64 = 0.25;
/// Maximum number of health checks that a shard's budget holds per member.
const MAX_SAVED_CHECKS_PER_MEMBER: f64 = 2.0;
/// Divisor of the retry interval: a host that has not reported a position yet is checked again after a
/// quarter of it.
const STARTING_HOST_RETRY_DIVISOR: u64 = 4;

impl Router {
    /// Records the end of a health check and its load report, which is empty if the host returned none.
    pub fn health_checked(
        &mut self, host: Host, outcome: AttemptOutcome, report: LoadReport, actions: &mut dyn Actions,
    ) {
        let now = actions.now();
        let Some(index) = self.hosts.index_of(host) else { return };
        let connect_timeout = self.settings.deployment().connect_timeout;
        let host = &mut self.hosts[index];
        let sent_at = host.checks.record_end().unwrap_or(now);
        match outcome {
            AttemptOutcome::NoConnectionSlot => {
                host.record_connection_rejected(self.random.hash_seed(), connect_timeout, now);
            }
            AttemptOutcome::Answered | AttemptOutcome::Error | AttemptOutcome::Overloaded => {
                host.health.record_seen(now);
                if report == LoadReport::default() {
                    self.retry_health_check(index, now);
                }
            }
            _ if host.health.last_seen() < sent_at => {
                host.health.record_failure(connect_timeout, now);
            }
            _ => {}
        }
        let next_check_at = self.hosts[index].checks.next_at();
        self.shard_of_mut(index).bring_review_forward(next_check_at);
        self.apply_report(index, report, None, sent_at, actions);
        self.drain_queues(self.hosts[index].listing.shard_id(), actions);
    }

    /// Schedules the repetition of a health check that returned no load report: the host has just started, is
    /// overloaded, or only its health checks fail.
    fn retry_health_check(&mut self, index: HostIndex, now: Timestamp) {
        let host = &mut self.hosts[index];
        let divisor = if host.replication.has_position() { 1 } else { STARTING_HOST_RETRY_DIVISOR };
        host.checks.bring_forward(now + HEALTH_CHECK_RETRY_INTERVAL / divisor);
    }

    /// Sends a health check to a host.
    pub(super) fn send_health_check(&mut self, index: HostIndex, actions: &mut dyn Actions) {
        let host = &mut self.hosts[index];
        host.record_health_check(actions.now());
        actions.check_health(host.host);
    }

    /// Records a request for a shard, and adds the corresponding fraction of a health check to the shard's
    /// budget.
    pub(super) fn record_shard_request(&mut self, shard_id: ShardId, now: Timestamp) {
        let Some(shard) = self.shards.get_mut(shard_id) else { return };
        let fraction = if self.settings.refreshes_on_demand() { PERIODIC_CHECK_FRACTION } else { 1.0 };
        let checks = BUDGET_COST_UNITS_PER_REQUEST * fraction / self.settings.deployment().health_check_price;
        let max = shard.members.len() as f64 * MAX_SAVED_CHECKS_PER_MEMBER;
        shard.health_check_budget.deposit(checks, max);
        if !is_in_use(shard, now) {
            // The state of a shard that was not in use may be outdated.
            shard.schedule_review(now);
        }
        shard.recent_requests.add(1.0, now, RECENT_REQUESTS_WINDOW);
    }
}
