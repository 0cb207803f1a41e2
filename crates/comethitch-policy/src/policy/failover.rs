//! The state machine of a shard: whether the believed primary serves requests, and when it counts as lost.
//!
//! A shard changes from Healthy to Unhealthy at the primary's first fault, and from Unhealthy to Failover
//! when the primary counts as lost. It becomes Healthy again when a member is confirmed as the primary.

use super::intervals::{SILENCE_TIMEOUT, STALL_ALLOWANCE};
use super::router::Router;
use crate::host_table::HostIndex;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Role, ShardId, ShardState};

/// Minimum time that a shard stays Unhealthy before Failover, as specified in `docs/design.md`.
const FAILOVER_DELAY: Duration = Duration::from_secs(3);
/// Minimum fraction of the attempts in flight at the first fault that must be lost before Failover if the
/// primary is unreachable, as specified in `docs/design.md`.
const FAILOVER_LOST_FRACTION: f64 = 0.6;
/// Divisor of the drain grace: a draining primary gets new requests for at most half of it. The rest, which is
/// at least [`STALL_ALLOWANCE`], is left for requests in flight.
const DRAIN_GRACE_DIVISOR: u64 = 2;

impl Router {
    /// Moves a host's shard from Healthy to Unhealthy after a fault of the host, if it is the believed
    /// primary.
    pub(super) fn mark_unhealthy(&mut self, index: HostIndex, now: Timestamp) {
        let shard = self.shard_of(index);
        if !shard.is_primary(index) || shard.state() != ShardState::Healthy {
            return;
        }
        let in_flight = self.requests.mark_in_flight_at_fault(index);
        self.shard_of_mut(index).enter_unhealthy(in_flight, now);
        self.schedule_health_check(index, now);
    }

    /// Moves a shard to Failover: closes the idle connections to the old primary, schedules immediate health
    /// checks of all members, and rejects queued requests that need a primary, unless they may have run and
    /// may be repeated.
    pub(super) fn fail_over(&mut self, shard_id: ShardId, actions: &mut dyn Actions) {
        let now = actions.now();
        let shard = self.shards.get_mut(shard_id);
        let Some(shard) = shard.filter(|shard| shard.state() != ShardState::Failover) else { return };
        shard.enter_failover(now);
        for &member in &shard.members {
            self.hosts[member].checks.bring_forward(now);
        }
        if let Some(primary) = shard.primary {
            actions.close_idle_connections(self.hosts[primary].host);
        }
        self.run_due_health_checks(actions);
        self.drain_queues(shard_id, actions);
    }

    /// Makes the state transitions that depend on the passage of time: the believed primary has been silent
    /// or draining for too long, or counts as lost.
    pub(super) fn review_primary(&mut self, shard_id: ShardId, actions: &mut dyn Actions) {
        let now = actions.now();
        let shard = &self.shards[shard_id];
        let Some(primary) = shard.primary else { return };
        let is_silent = self.hosts[primary].health.silent_for(now) > SILENCE_TIMEOUT;
        match shard.state() {
            ShardState::Healthy if self.is_past_drain_grace(primary, now) => {
                self.fail_over(shard_id, actions);
            }
            ShardState::Healthy if is_silent => self.mark_unhealthy(primary, now),
            ShardState::Unhealthy if self.is_failover_due(primary, shard, now) => {
                self.fail_over(shard_id, actions);
            }
            _ => {}
        }
    }

    fn is_failover_due(&self, primary: HostIndex, shard: &Shard, now: Timestamp) -> bool {
        let health = &self.hosts[primary].health;
        let attempts_lost = shard.has_lost_attempts(FAILOVER_LOST_FRACTION);
        (health.is_unresponsive() || health.is_unreachable() && attempts_lost)
            && now - shard.state_since() > FAILOVER_DELAY
            && !self.has_working_primary(shard, now)
    }

    /// Returns whether a host is the believed primary, its shard is not in Failover, and it has not reported
    /// since that it is a replica. Only such a host counts as having all commits.
    pub(super) fn is_acting_primary(&self, index: HostIndex) -> bool {
        let shard = self.shard_of(index);
        shard.is_primary(index)
            && shard.state() != ShardState::Failover
            && self.hosts[index].replication.role() != Some(Role::Replica)
    }

    /// Returns whether the believed primary may get requests that need a primary.
    pub(super) fn primary_serves(&self, primary: HostIndex, shard: &Shard, now: Timestamp) -> bool {
        let host = &self.hosts[primary];
        let is_reachable = !host.health.is_ejected(now) && !host.health.is_unreachable();
        match shard.state() {
            _ if self.is_past_drain_grace(primary, now) || !self.is_acting_primary(primary) => false,
            ShardState::Healthy => true,
            // Beyond the design: an unresponsive primary occasionally gets a request as a trial.
            ShardState::Unhealthy => is_reachable || self.has_working_primary(shard, now),
            ShardState::Failover => false,
        }
    }

    /// Returns whether the believed primary works, even if this router cannot reach it.
    ///
    /// Beyond the design: replicas' positions advance only while the primary works. If another member's
    /// position is recent, and requests to the primary are not left unanswered, only this router's
    /// connections to the primary fail.
    fn has_working_primary(&self, shard: &Shard, now: Timestamp) -> bool {
        let mut others = shard.members.iter().filter(|member| !shard.is_primary(**member));
        let host_time = self.host_clock.estimated(now);
        let advances =
            others.any(|member| host_time - self.hosts[*member].replication.position() < SILENCE_TIMEOUT);
        advances && shard.primary.is_some_and(|primary| !self.hosts[primary].health.is_unresponsive())
    }

    /// Returns whether a host has been draining for so long that it no longer gets new requests.
    pub(super) fn is_past_drain_grace(&self, index: HostIndex, now: Timestamp) -> bool {
        let grace = self.settings.deployment().drain_grace;
        let usable = (grace / DRAIN_GRACE_DIVISOR).min(grace - STALL_ALLOWANCE);
        self.hosts[index].listing.draining_since().is_some_and(|since| now - since > usable)
    }
}
