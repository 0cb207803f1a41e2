//! Schedules periodic health checks, with a bounded amount of work per tick.

use super::intervals::{HEALTH_CHECK_INTERVAL, HEALTH_CHECK_RETRY_INTERVAL};
use super::recent_requests::is_in_use;
use super::router::Router;
use crate::host_table::HostIndex;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Role, ShardId, ShardState};

/// Maximum time between two reviews of a shard in use.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval of health checks that are not urgent; applies where staleness bounds are shorter than
/// this.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer after which a primary is checked, where otherwise only answers to requests show its
/// state.
const PRIMARY_CHECK_AFTER_SILENCE: Duration = Duration::from_millis(500);

impl Router {
    /// Sends the health checks that are due, if they are needed and within the budgets.
    pub(super) fn run_due_health_checks(&mut self, actions: &mut dyn Actions) {
        if !self.settings.deployment().may_check_health {
            return;
        }
        let now = actions.now();
        let mut due = self.shards.due_for_review(now);
        self.health_checks.continue_round(&mut due);
        for shard_id in due {
            if self.health_checks.is_exhausted() {
                return;
            }
            self.health_checks.record_visited(shard_id);
            self.run_due_health_checks_of_shard(shard_id, actions);
            let next_review = self.next_review(shard_id, now);
            self.shards[shard_id].schedule_review(next_review);
        }
    }

    /// Schedules a host's next health check at this time, and its shard's next review no later.
    pub(super) fn schedule_health_check(&mut self, index: HostIndex, at: Timestamp) {
        self.hosts[index].checks.schedule_next(at);
        self.shard_of_mut(index).bring_review_forward(at);
    }

    /// Returns the time of a shard's next review: when a member's health check may be due.
    ///
    /// This is at most [`REVIEW_INTERVAL`] from now, because requests may make a health check necessary, or
    /// add to its budget, without causing a review. A shard that is not in use is reviewed less often; its
    /// next request schedules a review.
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
    /// If positions are refreshed on demand, a shard that is not in use needs no health checks, and a shard
    /// with a primary needs only those of the primary, except in Failover (see [`Router::is_check_needed`]).
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

    fn run_due_health_checks_of_shard(&mut self, shard_id: ShardId, actions: &mut dyn Actions) {
        let now = actions.now();
        let regular_interval =
            self.settings.tightest_bound().clamp(MIN_CHECK_INTERVAL, HEALTH_CHECK_INTERVAL);
        for index in self.due_health_checks(shard_id, now) {
            if self.health_checks.is_exhausted() {
                return;
            }
            let is_urgent = self.is_check_urgent(index);
            let interval = if is_urgent { HEALTH_CHECK_RETRY_INTERVAL } else { regular_interval };
            if !is_urgent && self.has_reported_within(index, interval, now) {
                self.hosts[index].checks.schedule_next(now + interval);
            } else if self.charge_health_check(index, now) {
                self.health_checks.record_started();
                self.hosts[index].checks.schedule_next(now + interval);
                self.send_health_check(index, actions);
            }
        }
    }

    /// Returns whether a host has sent a load report within this interval, so that no health check is
    /// necessary.
    fn has_reported_within(&self, index: HostIndex, interval: Duration, now: Timestamp) -> bool {
        let host = &self.hosts[index];
        now - host.replication.lag_reported_at() < interval && now - host.health.last_seen() < interval
    }

    /// Returns the members to check: the listed primary first, then the longest overdue, so that each member
    /// is checked in turn if the budget allows few checks.
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

    /// Returns whether a host is the believed primary, and its shard is Unhealthy or its last report was that
    /// of a replica. Such a host needs health checks, as it may get no requests whose answers would show its
    /// state.
    fn is_doubtful_primary(&self, index: HostIndex) -> bool {
        let shard = self.shard_of(index);
        let was_replica = self.hosts[index].replication.role() == Some(Role::Replica);
        shard.is_primary(index) && (shard.state() == ShardState::Unhealthy || was_replica)
    }

    /// Returns whether a health check would provide information that is not available otherwise.
    ///
    /// If positions are not refreshed on demand, every health check is needed. Otherwise, requests have the
    /// replicas checked, and answers to requests show the state of the primary. The primary is checked only
    /// if answers are missing or its role is in doubt, and all members if the shard has no primary. A shard
    /// that is not in use needs no health checks.
    fn is_check_needed(&self, index: HostIndex, now: Timestamp) -> bool {
        let shard = self.shard_of(index);
        let is_silent = self.hosts[index].health.silent_for(now) >= PRIMARY_CHECK_AFTER_SILENCE;
        let is_needed = (shard.state() == ShardState::Failover || shard.primary.is_none())
            || self.is_doubtful_primary(index)
            || shard.is_primary(index) && is_silent;
        !self.settings.refreshes_on_demand() || is_needed && is_in_use(shard, now)
    }

    /// Charges a health check to the shard's budget, or admits it beyond the budget if it is long overdue.
    /// Returns whether it may be sent.
    fn charge_health_check(&mut self, index: HostIndex, now: Timestamp) -> bool {
        let due_at = self.hosts[index].checks.next_at();
        let shard = &mut self.shards[self.hosts[index].listing.shard_id()];
        if shard.health_check_budget.try_withdraw() {
            return true;
        }
        let admitted = self.health_checks.admit_over_budget(due_at, now);
        if admitted {
            shard.health_check_budget.clear();
        }
        admitted
    }
}
