//! The state machine of a shard: whether the believed primary serves, and when it counts as lost.
//!
//! Healthy becomes Unhealthy at the primary's first fault. Unhealthy becomes Failover when the primary is certainly lost.
//! A member that proves to be the primary ends both.

use super::intervals::{SILENCE_TIMEOUT, STALL_ALLOWANCE};
use super::router::Router;
use crate::host_table::HostIndex;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Role, ShardId, ShardState};

/// Minimum time that a shard stays Unhealthy before Failover, from the design page.
const FAILOVER_DELAY: Duration = Duration::from_secs(3);
/// Minimum fraction of the attempts in flight at the fault that must be lost, from the design page.
const FAILOVER_LOST_FRACTION: f64 = 0.6;
/// A draining host gets new requests for its drain grace over this; the rest is left for requests in flight.
const DRAIN_GRACE_DIVISOR: u64 = 2;

impl Router {
    /// Moves a shard from Healthy to Unhealthy after a fault of a host, if that is its believed primary.
    pub(super) fn mark_unhealthy(&mut self, index: HostIndex, now: Timestamp) {
        let shard = self.shard_of(index);
        if !shard.is_primary(index) || shard.state() != ShardState::Healthy {
            return;
        }
        let in_flight = self.requests.mark_in_flight_at_fault(index);
        self.shard_of_mut(index).enter_unhealthy(in_flight, now);
        self.schedule_health_check(index, now);
    }

    /// Moves a shard to Failover: the old primary's idle connections are closed, all members are checked at once, and
    /// queued writes are rejected.
    pub(super) fn fail_over(&mut self, shard_id: ShardId, out: &mut dyn Actions) {
        let now = out.now();
        let shard = self.shards.get_mut(shard_id);
        let Some(shard) = shard.filter(|shard| shard.state() != ShardState::Failover) else { return };
        shard.enter_failover(now);
        for &member in &shard.members {
            self.hosts[member].checks.bring_forward(now);
        }
        if let Some(primary) = shard.primary {
            out.close_idle_connections(self.hosts[primary].host);
        }
        self.run_due_health_checks(out);
        self.drain_queues(shard_id, out);
    }

    /// Acts on what time alone shows of the believed primary: that it is silent, past its drain grace, or lost.
    pub(super) fn check_primary(&mut self, shard_id: ShardId, out: &mut dyn Actions) {
        let now = out.now();
        let shard = &self.shards[shard_id];
        let Some(primary) = shard.primary else { return };
        let is_silent = self.hosts[primary].health.silent_for(now) > SILENCE_TIMEOUT;
        match shard.state() {
            ShardState::Healthy if self.is_past_drain_grace(primary, now) => self.fail_over(shard_id, out),
            ShardState::Healthy if is_silent => self.mark_unhealthy(primary, now),
            ShardState::Unhealthy if self.is_failover_due(primary, shard, now) => {
                self.fail_over(shard_id, out);
            }
            _ => {}
        }
    }

    fn is_failover_due(&self, primary: HostIndex, shard: &Shard, now: Timestamp) -> bool {
        let health = &self.hosts[primary].health;
        let attempts_lost = shard.has_lost(FAILOVER_LOST_FRACTION);
        (health.is_unresponsive() || health.is_unreachable() && attempts_lost)
            && now - shard.state_since() > FAILOVER_DELAY
            && !self.keeps_primary(shard, now)
    }

    /// Returns whether the believed primary may get requests that need a primary.
    pub(super) fn primary_serves(&self, primary: HostIndex, shard: &Shard, now: Timestamp) -> bool {
        let host = &self.hosts[primary];
        let is_reachable = !host.health.is_ejected(now) && !host.health.is_unreachable();
        match shard.state() {
            _ if self.is_past_drain_grace(primary, now) => false,
            ShardState::Healthy => host.replication.role() != Some(Role::Replica),
            // Beyond the design: an unresponsive host is tried with a request occasionally.
            ShardState::Unhealthy => is_reachable || self.keeps_primary(shard, now),
            ShardState::Failover => false,
        }
    }

    /// Returns whether the shard has a working primary that only this router cannot reach.
    ///
    /// Beyond the design: without a primary no member's position advances, so an advancing one shows that it works.
    fn keeps_primary(&self, shard: &Shard, now: Timestamp) -> bool {
        let mut others = shard.members.iter().filter(|member| !shard.is_primary(**member));
        let host_time = self.host_clock.estimated(now);
        let advances =
            others.any(|member| host_time - self.hosts[*member].replication.position() < SILENCE_TIMEOUT);
        advances && shard.primary.is_some_and(|primary| !self.hosts[primary].health.is_unresponsive())
    }

    /// Returns whether a host has been draining for so long that it gets no new requests.
    pub(super) fn is_past_drain_grace(&self, index: HostIndex, now: Timestamp) -> bool {
        let grace = self.settings.deployment().drain_grace;
        let usable = (grace / DRAIN_GRACE_DIVISOR).min(grace - STALL_ALLOWANCE);
        self.hosts[index].listing.draining_since().is_some_and(|since| now - since > usable)
    }
}
