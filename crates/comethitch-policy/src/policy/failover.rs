//! The states of a shard: which member is believed to be the primary, and whether it serves.
//!
//! Healthy becomes Unhealthy at the primary's first fault, Unhealthy becomes Failover when the primary is
//! surely lost, and a member that proves itself primary ends both.

use super::intervals::{SILENCE_TIMEOUT, STALL_ALLOWANCE};
use super::router::Router;
use crate::host_table::HostIndex;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Role, ShardId, ShardState};

/// How long a group stays Unhealthy at the least before it goes to Failover, from the design page.
const FAILOVER_DELAY: Duration = Duration::from_secs(3);
/// The share of the attempts in flight at the fault that must be lost for it, from the design page.
const FAILOVER_LOST_SHARE: f64 = 0.6;

impl Router {
    /// Healthy to Unhealthy: something went wrong at the believed primary.
    pub(super) fn mark_unhealthy(&mut self, index: HostIndex, now: Timestamp) {
        let shard = self.shard_of(index);
        if shard.primary != Some(index) || shard.state != ShardState::Healthy {
            return;
        }
        let in_flight = self.mark_in_flight_at_fault(index);
        let shard = self.shard_of_mut(index);
        shard.enter(ShardState::Unhealthy, now);
        shard.in_flight_at_fault = in_flight;
        shard.lost_since_fault = 0;
        self.set_next_health_check(index, now);
    }

    /// To Failover: the serial goes up, the old primary's connections close, queued writes are rejected.
    pub(super) fn fail_over(&mut self, shard_id: ShardId, out: &mut dyn Actions) {
        let now = out.now();
        let shard = self.shards.get_mut(&shard_id);
        let Some(shard) = shard.filter(|shard| shard.state != ShardState::Failover) else { return };
        shard.enter(ShardState::Failover, now);
        shard.serial += 1;
        shard.next_check_review = now;
        for &member in &shard.members {
            let host = &mut self.hosts[member];
            host.next_health_check = host.next_health_check.min(now);
        }
        if let Some(primary) = shard.primary {
            out.close_idle_connections(self.hosts[primary].host);
        }
        self.run_due_health_checks(out);
        self.drain_queues(shard_id, out);
    }

    /// Acts on what time alone shows of the believed primary: that it is silent, past its drain, or lost.
    pub(super) fn check_primary(&mut self, shard_id: ShardId, out: &mut dyn Actions) {
        let now = out.now();
        let shard = &self.shards[&shard_id];
        let Some(primary) = shard.primary else { return };
        let silent = self.hosts[primary].silent_for(now) > SILENCE_TIMEOUT;
        match shard.state {
            ShardState::Healthy if self.past_drain_grace(primary, now) => self.fail_over(shard_id, out),
            ShardState::Healthy if silent => self.mark_unhealthy(primary, now),
            ShardState::Unhealthy if self.is_failover_due(primary, shard, now) => {
                self.fail_over(shard_id, out);
            }
            _ => {}
        }
    }

    fn is_failover_due(&self, primary: HostIndex, shard: &Shard, now: Timestamp) -> bool {
        let host = &self.hosts[primary];
        let required = FAILOVER_LOST_SHARE * f64::from(shard.in_flight_at_fault);
        let attempts_lost = f64::from(shard.lost_since_fault) >= required;
        (host.unresponsive || host.is_unreachable() && attempts_lost)
            && now - shard.state_since > FAILOVER_DELAY
            && !self.keeps_primary(shard, now)
    }

    /// Whether the believed primary may get what only a primary can do.
    pub(super) fn primary_serves(&self, primary: HostIndex, shard: &Shard, now: Timestamp) -> bool {
        let host = &self.hosts[primary];
        let reachable = !host.is_ejected(now) && !host.is_unreachable();
        match shard.state {
            _ if self.past_drain_grace(primary, now) => false,
            ShardState::Healthy => host.role != Some(Role::Replica),
            // Beyond the design: a host that answers health checks and no requests gets one now and then.
            ShardState::Unhealthy => reachable || self.keeps_primary(shard, now),
            ShardState::Failover => false,
        }
    }

    /// Beyond the design: whether the group keeps a primary that this router can't reach. Without one no
    /// member's position moves on; with one, it is tried further, as no other could do its work.
    fn keeps_primary(&self, shard: &Shard, now: Timestamp) -> bool {
        let mut others = shard.members.iter().filter(|member| shard.primary != Some(**member));
        let host_time = self.host_clock.estimated(now);
        let moving = others.any(|member| host_time - self.hosts[*member].position < SILENCE_TIMEOUT);
        moving && shard.primary.is_some_and(|primary| !self.hosts[primary].unresponsive)
    }

    /// Whether a host has been draining for over half of its grace: the rest is left for what is in flight, and for a
    /// router that is held up before it writes.
    pub(super) fn past_drain_grace(&self, index: HostIndex, now: Timestamp) -> bool {
        let grace = self.settings.deployment().drain_grace;
        let usable = (grace / 2).min(grace - STALL_ALLOWANCE);
        self.hosts[index].draining_since.is_some_and(|since| now - since > usable)
    }
}
