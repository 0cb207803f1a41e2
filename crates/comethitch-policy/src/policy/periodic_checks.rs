//! Which health checks are due by time, and when it is looked: an amount of work for each tick that does not grow with
//! the hosts.

use super::intervals::{HEALTH_CHECK_INTERVAL, HEALTH_CHECK_RETRY_INTERVAL};
use super::recent_requests::is_in_use;
use super::router::Router;
use crate::host_table::HostIndex;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Role, ShardId, ShardState};

/// How often a group in use is reviewed for what time alone has changed, at the least.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
impl Router {
    /// Checks each host whose time has come, if there is need and someone has paid for it.
    pub(super) fn run_due_health_checks(&mut self, out: &mut dyn Actions) {
        if !self.settings.deployment().may_check_health {
            return;
        }
        let now = out.now();
        let mut due = self.shards_to_review(now);
        self.health_checks.continue_round(&mut due);
        for shard_id in due {
            if self.health_checks.is_exhausted() {
                return;
            }
            self.health_checks.record_visited(shard_id);
            self.run_due_health_checks_of(shard_id, out);
            let next_check_review = self.next_check_review(shard_id, now);
            let shard = self.shards.get_mut(&shard_id).expect("a group that was just reviewed");
            shard.next_check_review = next_check_review;
        }
    }

    /// The groups of which time alone may have changed something.
    pub(super) fn shards_to_review(&self, now: Timestamp) -> Vec<ShardId> {
        let due = self.shards.iter().filter(|(_, shard)| shard.next_check_review <= now);
        due.map(|(shard_id, _)| *shard_id).collect()
    }

    /// When a check of a member may be due next, as far as time alone tells: at the latest after a review interval, as
    /// requests may need a check, or have paid for it, without any other event. Of a group that is not in use little
    /// needs to be known, and its next request brings the review forward.
    fn next_check_review(&self, shard_id: ShardId, now: Timestamp) -> Timestamp {
        let shard = &self.shards[&shard_id];
        let is_idle = self.settings.refreshes_on_demand() && !is_in_use(shard, now);
        if self.health_checks.is_exhausted() {
            return now;
        }
        let latest = now + if is_idle { HEALTH_CHECK_INTERVAL } else { REVIEW_INTERVAL };
        let members = self.members_to_check(shard, now).iter();
        let next = members.map(|member| self.hosts[*member].next_health_check).filter(|at| *at > now).min();
        next.map_or(latest, |next| next.min(latest))
    }

    /// Sees to it that a host's group is reviewed by the time that the host is to be checked.
    pub(super) fn review_checks_by(&mut self, index: HostIndex) {
        let at = self.hosts[index].next_health_check;
        self.set_next_health_check(index, at);
    }

    /// The members that a health check may be needed for. Where positions are refreshed on demand, these are none of a
    /// group that is not in use, and only the primary of one that has one and is not in Failover (see
    /// [`Router::is_check_needed`]).
    fn members_to_check<'a>(&self, shard: &'a Shard, now: Timestamp) -> &'a [HostIndex] {
        match &shard.primary {
            _ if self.settings.refreshes_on_demand() && !is_in_use(shard, now) => &[],
            Some(primary) if self.settings.refreshes_on_demand() && shard.state != ShardState::Failover => {
                std::slice::from_ref(primary)
            }
            _ => &shard.members,
        }
    }

    fn run_due_health_checks_of(&mut self, shard_id: ShardId, out: &mut dyn Actions) {
        let now = out.now();
        let calm_interval =
            self.settings.tightest_bound().clamp(HEALTH_CHECK_INTERVAL / 5, HEALTH_CHECK_INTERVAL);
        for index in self.due_health_checks(shard_id, now) {
            if self.health_checks.is_exhausted() {
                return;
            }
            let urgent = self.is_check_urgent(index);
            let interval = if urgent { HEALTH_CHECK_RETRY_INTERVAL } else { calm_interval };
            let host = &mut self.hosts[index];
            // An answer that carried a report is as good as a health check.
            let reported = now - host.lag_reported_at < interval && now - host.last_sign_of_life < interval;
            if !urgent && reported {
                host.next_health_check = now + interval;
            } else if self.pay_for_health_check(index, now) {
                self.health_checks.record_started();
                self.hosts[index].next_health_check = now + interval;
                self.send_health_check(index, out);
            }
        }
    }

    /// The listed primaries, then the longest due: where few are paid for, each has its turn.
    fn due_health_checks(&self, shard_id: ShardId, now: Timestamp) -> Vec<HostIndex> {
        let is_due = |index: &HostIndex| self.is_check_due(*index, now) && self.is_check_needed(*index, now);
        let members = self.members_to_check(&self.shards[&shard_id], now).iter().copied();
        let mut due: Vec<HostIndex> = members.filter(is_due).collect();
        let is_listed = |index: HostIndex| self.shard_of(index).listed_primary == Some(index);
        due.sort_by_key(|index| (!is_listed(*index), self.hosts[*index].next_health_check));
        due
    }

    fn is_check_due(&self, index: HostIndex, now: Timestamp) -> bool {
        let host = &self.hosts[index];
        let drained = host.draining_since.is_some() && host.concurrency.in_flight == Duration::ZERO;
        let is_due = host.next_health_check <= now && host.health_check_sent.is_none();
        is_due && !drained && host.connection_slots.has_free(now)
    }

    fn is_check_urgent(&self, index: HostIndex) -> bool {
        let shard = self.shard_of(index);
        let is_draining = |primary: HostIndex| self.hosts[primary].draining_since.is_some();
        let lacks_primary = shard.state == ShardState::Failover || shard.primary.is_none_or(is_draining);
        lacks_primary || self.hosts[index].unresponsive || self.is_doubtful_primary(index)
    }

    /// Whether it is a primary that is Unhealthy or was last seen as a replica: nothing else asks it.
    fn is_doubtful_primary(&self, index: HostIndex) -> bool {
        let shard = self.shard_of(index);
        let was_replica = self.hosts[index].role == Some(Role::Replica);
        shard.primary == Some(index) && (shard.state == ShardState::Unhealthy || was_replica)
    }

    /// Where positions are refreshed on demand, replicas are asked as requests need it, and a primary proves
    /// itself by its answers: it is checked if they stay out. Without requests nobody need know.
    fn is_check_needed(&self, index: HostIndex, now: Timestamp) -> bool {
        let shard = self.shard_of(index);
        let silent = self.hosts[index].silent_for(now) >= HEALTH_CHECK_INTERVAL / 2;
        let needed = (shard.state == ShardState::Failover || shard.primary.is_none())
            || self.is_doubtful_primary(index)
            || shard.primary == Some(index) && silent;
        !self.settings.refreshes_on_demand() || needed && is_in_use(shard, now)
    }

    /// Takes the price from the group's budget. What nothing has paid for is free after a long while.
    fn pay_for_health_check(&mut self, index: HostIndex, now: Timestamp) -> bool {
        let shard = self.shard_of_mut(index);
        if shard.health_check_budget >= 1.0 {
            shard.health_check_budget -= 1.0;
            return true;
        }
        let admitted = self.health_checks.admit_unpaid(self.hosts[index].next_health_check, now);
        if admitted {
            self.shard_of_mut(index).health_check_budget = 0.0;
        }
        admitted
    }
}
