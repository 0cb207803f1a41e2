//! Injects the faults of a trial into a simulated fleet.

use super::Fleet;
use super::events::Event;
use crate::hosts::{fraction_of_each_shard, usable_replicas};
use crate::trial::FaultKind;
use comethitch_policy::ShardId;
use comethitch_policy::time::Duration;
use rand::RngExt;

impl Fleet<'_> {
    /// Starts a fault or a planned change.
    pub(super) fn begin_fault(&mut self, fault: FaultKind) {
        match fault {
            FaultKind::ReplaceReplicas { fraction, over_ms } => self.replace_replicas(fraction, over_ms),
            FaultKind::KillRouters { fraction, restart_after_ms } => {
                self.kill_routers(fraction, Duration::from_millis(restart_after_ms));
            }
            FaultKind::SlowReplicas { fraction, factor } => self.slow_replicas(fraction, factor),
            FaultKind::StallReplication { fraction, duration_ms } => {
                self.stall_replication(fraction, Duration::from_millis(duration_ms));
            }
            FaultKind::Failover { fraction, promotion_after_ms } => {
                self.fail_over(fraction, Duration::from_millis(promotion_after_ms));
            }
            // Rejected by `check_supported`.
            FaultKind::PauseRouters { .. }
            | FaultKind::RestartRouters { .. }
            | FaultKind::SignalRouters { .. }
            | FaultKind::ReloadRouters { .. }
            | FaultKind::DisturbLinks { .. } => {}
        }
    }

    fn replace_replicas(&mut self, fraction: f64, over_ms: u64) {
        let mut replicas = usable_replicas(&self.hosts);
        let count = (replicas.len() as f64 * fraction) as u64;
        for nth in 0..count {
            let host = replicas.swap_remove(self.rng.random_range(0..replicas.len()));
            let delay = Duration::from_micros(over_ms * 1000 * nth / count);
            self.events.push(self.now + delay, Event::HostIsReplaced { host });
        }
    }

    fn kill_routers(&mut self, fraction: f64, restart_after: Duration) {
        let mut routers: Vec<usize> = (0..self.routers.len()).collect();
        let count = (routers.len() as f64 * fraction) as usize;
        for _ in 0..count {
            let router = routers.swap_remove(self.rng.random_range(0..routers.len()));
            for lost in self.routers[router].kill().into_values() {
                self.ledger.router_lost(lost.number);
            }
            self.events.push(self.now + restart_after, Event::RouterRestarts { router });
        }
    }

    fn slow_replicas(&mut self, probability: f64, factor: f64) {
        for host in &mut self.hosts {
            if !host.primary && self.rng.random_bool(probability) {
                host.slowdown = factor;
            }
        }
    }

    fn stall_replication(&mut self, fraction: f64, duration: Duration) {
        for host in fraction_of_each_shard(&self.hosts, fraction) {
            self.hosts[host].replication_stalled_since = Some(self.now);
            self.events.push(self.now + duration, Event::ReplicationResumes { host });
        }
    }

    fn fail_over(&mut self, probability: f64, promotion_after: Duration) {
        for shard in 0..self.trial.shards {
            if !self.rng.random_bool(probability) {
                continue;
            }
            let mut hosts = self.hosts.iter_mut();
            if let Some(primary) = hosts.find(|host| host.shard == shard && host.primary && !host.removed) {
                primary.removed = true;
            }
            self.events.push(self.now + promotion_after, Event::ReplicaIsPromoted { shard });
        }
    }

    /// Drains a host, starts a new one in its place, and schedules its removal after twice the drain grace.
    pub(super) fn replace_host(&mut self, host: usize) {
        self.hosts[host].draining = Some(self.now);
        let replacement = self.add_host(self.hosts[host].shard, false);
        self.hosts[replacement].started = Some(self.now);
        self.notify_all_routers();
        let delay = Duration::from_micros(self.trial.drain_grace_ms * 2000);
        self.events.push(self.now + delay, Event::HostIsRemoved { host });
    }

    /// Removes a host from the endpoint list.
    pub(super) fn remove_host(&mut self, host: usize) {
        self.hosts[host].removed = true;
        self.notify_all_routers();
    }

    /// Makes a usable replica the primary of its shard.
    pub(super) fn promote_replica(&mut self, shard: ShardId) {
        let mut hosts = self.hosts.iter_mut();
        if let Some(replica) = hosts.find(|host| host.shard == shard && !host.primary && host.is_usable()) {
            replica.primary = true;
        }
        self.notify_all_routers();
    }
}
