//! Schedules periodic health checks with a bounded amount of work per tick.

use super::intervals::{HEALTH_CHECK_INTERVAL, HEALTH_CHECK_RETRY_INTERVAL};
use super::recent_requests::is_in_use;
use super::router::Router;
use crate::host_table::HostIndex;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Role, ShardId, ShardState};

/// Maximum time between two reviews of a shard in use.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval of health checks that are not urgent, for tight staleness bounds.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which a primary that should have answered is checked, where only answers show its state.
const PRIMARY_CHECK_AFTER_SILENCE: Duration = Duration::from_millis(500);

impl Router {
    /// Checks each host whose health check is due, if it is needed and paid for.
    pub(super) fn run_due_health_checks(&mut self, out: &mut dyn Actions) {
        if !self.settings.deployment().may_check_health {
            return;
        }
        let now = out.now();
        let mut due = self.shards.due_for_review(now);
        self.health_checks.continue_round(&mut due);
        for shard_id in due {
            if self.health_checks.is_exhausted() {
                return;
            }
            self.health_checks.record_visited(shard_id);
            self.run_due_health_checks_of(shard_id, out);
            let next_review = self.next_review(shard_id, now);
            self.shards[shard_id].schedule_review(next_review);
        }
    }

    /// Moves a host's next health check to this time, and its shard's next review forward to it.
    pub(super) fn schedule_health_check(&mut self, index: HostIndex, at: Timestamp) {
        self.hosts[index].checks.schedule(at);
        self.shard_of_mut(index).review_by(at);
    }

    /// Returns when a member's health check may be due next.
    ///
    /// The time is bounded by a review interval, as requests may need a check, or pay for one, without any other event.
    /// A shard that is not in use is reviewed less often; its next request brings the review forward.
    fn next_review(&self, shard_id: ShardId, now: Timestamp) -> Timestamp {
        if self.health_checks.is_exhausted() {
            return now;
        }
        let shard = &self.shards[shard_id];
        let is_idle = self.settings.refreshes_on_demand() && !is_in_use(shard, now);
        let latest = now + if is_idle { HEALTH_CHECK_INTERVAL } else { REVIEW_INTERVAL };
        let members = self.members_to_check(shard, now).iter();
        let next = members.map(|member| self.hosts[*member].checks.next_at()).filter(|at| *at > now).min();
        next.map_or(latest, |next| next.min(latest))
    }

    /// Returns the members that may need a health check.
    ///
    /// Where positions are refreshed on demand, these are none of a shard that is not in use, and only the primary of
    /// one that has one and is not in Failover (see [`Router::is_check_needed`]).
    fn members_to_check<'a>(&self, shard: &'a Shard, now: Timestamp) -> &'a [HostIndex] {
        let refreshes_on_demand = self.settings.refreshes_on_demand();
        match &shard.primary {
            _ if refreshes_on_demand && !is_in_use(shard, now) => &[],
            Some(primary) if refreshes_on_demand && shard.state() != ShardState::Failover => {
                std::slice::from_ref(primary)
            }
            _ => &shard.members,
        }
    }

    fn run_due_health_checks_of(&mut self, shard_id: ShardId, out: &mut dyn Actions) {
        let now = out.now();
        let calm_interval = self.settings.tightest_bound().clamp(MIN_CHECK_INTERVAL, HEALTH_CHECK_INTERVAL);
        for index in self.due_health_checks(shard_id, now) {
            if self.health_checks.is_exhausted() {
                return;
            }
            let is_urgent = self.is_check_urgent(index);
            let interval = if is_urgent { HEALTH_CHECK_RETRY_INTERVAL } else { calm_interval };
            if !is_urgent && self.has_reported_within(index, interval, now) {
                self.hosts[index].checks.schedule(now + interval);
            } else if self.charge_health_check(index, now) {
                self.health_checks.record_started();
                self.hosts[index].checks.schedule(now + interval);
                self.send_health_check(index, out);
            }
        }
    }

    /// Returns whether an answer that carried a load report makes a health check unnecessary.
    fn has_reported_within(&self, index: HostIndex, interval: Duration, now: Timestamp) -> bool {
        let host = &self.hosts[index];
        now - host.replication.lag_reported_at() < interval
            && now - host.health.last_sign_of_life() < interval
    }

    /// Returns the members to check: listed primaries first, then the longest overdue, so that each has its turn where
    /// few checks are paid for.
    fn due_health_checks(&self, shard_id: ShardId, now: Timestamp) -> Vec<HostIndex> {
        let shard = &self.shards[shard_id];
        let is_due = |index: &HostIndex| self.is_check_due(*index, now) && self.is_check_needed(*index, now);
        let members = self.members_to_check(shard, now).iter().copied();
        let mut due: Vec<HostIndex> = members.filter(is_due).collect();
        let is_listed = |index: HostIndex| shard.listed_primary == Some(index);
        due.sort_by_key(|index| (!is_listed(*index), self.hosts[*index].checks.next_at()));
        due
    }

    fn is_check_due(&self, index: HostIndex, now: Timestamp) -> bool {
        let host = &self.hosts[index];
        let is_drained = host.listing.is_draining() && host.load.in_flight() == Duration::ZERO;
        let is_due = host.checks.next_at() <= now && !host.checks.is_in_flight();
        is_due && !is_drained && host.load.has_free_connection(now)
    }

    fn is_check_urgent(&self, index: HostIndex) -> bool {
        let shard = self.shard_of(index);
        let is_draining = |primary: HostIndex| self.hosts[primary].listing.is_draining();
        let lacks_primary = shard.state() == ShardState::Failover || shard.primary.is_none_or(is_draining);
        lacks_primary || self.hosts[index].health.is_unresponsive() || self.is_doubtful_primary(index)
    }

    /// Returns whether a host is a primary that is Unhealthy or was last seen as a replica: no request checks it.
    fn is_doubtful_primary(&self, index: HostIndex) -> bool {
        let shard = self.shard_of(index);
        let was_replica = self.hosts[index].replication.role() == Some(Role::Replica);
        shard.is_primary(index) && (shard.state() == ShardState::Unhealthy || was_replica)
    }

    /// Returns whether a health check would show what nothing else does.
    ///
    /// Where positions are refreshed on demand, requests check the replicas, and a primary's answers show its state; it
    /// is checked if they fail to come. Without requests no check is needed.
    fn is_check_needed(&self, index: HostIndex, now: Timestamp) -> bool {
        let shard = self.shard_of(index);
        let is_silent = self.hosts[index].health.silent_for(now) >= PRIMARY_CHECK_AFTER_SILENCE;
        let is_needed = (shard.state() == ShardState::Failover || shard.primary.is_none())
            || self.is_doubtful_primary(index)
            || shard.is_primary(index) && is_silent;
        !self.settings.refreshes_on_demand() || is_needed && is_in_use(shard, now)
    }

    /// Charges a health check to the shard's budget, or admits an unpaid one. Returns whether it may be sent.
    fn charge_health_check(&mut self, index: HostIndex, now: Timestamp) -> bool {
        let due_at = self.hosts[index].checks.next_at();
        let shard = &mut self.shards[self.hosts[index].listing.shard_id()];
        if shard.health_check_budget.withdraw() {
            return true;
        }
        let admitted = self.health_checks.admit_unpaid(due_at, now);
        if admitted {
            shard.health_check_budget.clear();
        }
        admitted
    }
}
