//! Injects the faults of a trial into a fleet of real processes.

use super::network::{now, sleep};
use super::state::{LiveFleet, SLACK, SharedFleet};
use super::{hosts, startup};
use crate::hosts::{SimulatedHost, fraction_of_each_shard, usable_replicas};
use crate::ledger::Rule;
use crate::trial::{Direction, FaultKind, LinkFault};
use comethitch_policy::time::Duration;
use std::rc::Rc;

/// How much longer than the clients' timeout a router may take to exit after SIGTERM. Operators may send
/// SIGKILL from then on, but not earlier.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700);
/// Maximum timeout of clients that extends the time limit of a graceful shutdown.
const MAX_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of signals of the same kind in a series.
const SIGNALS_IN_SERIES: u64 = 4;
/// Interval of signals while a router shuts down. It is short, so that the whole series fits into a shutdown.
const SIGNAL_INTERVAL_DURING_SHUTDOWN: Duration = Duration::from_millis(60);
/// Interval at which the end of a process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl LiveFleet {
    /// Injects a fault, and waits for the end of those that last for a time.
    pub(super) async fn inject_fault(self: Rc<LiveFleet>, fault: FaultKind) {
        match fault {
            FaultKind::ReplaceReplicas { fraction, over_ms } => {
                self.replace_replicas(fraction, over_ms).await;
            }
            FaultKind::KillRouters { fraction, restart_after_ms } => {
                self.kill_routers(fraction, Duration::from_millis(restart_after_ms)).await;
            }
            FaultKind::SlowReplicas { fraction, factor } => self.slow_replicas(fraction, factor),
            FaultKind::StallReplication { fraction, duration_ms } => {
                self.stall_replication(fraction, Duration::from_millis(duration_ms)).await;
            }
            FaultKind::Failover { fraction, promotion_after_ms } => {
                self.fail_over(fraction, Duration::from_millis(promotion_after_ms)).await;
            }
            FaultKind::PauseRouters { fraction, duration_ms } => {
                self.pause_routers(fraction, Duration::from_millis(duration_ms)).await;
            }
            FaultKind::RestartRouters { fraction, over_ms } => self.restart_routers(fraction, over_ms).await,
            FaultKind::SignalRouters { fraction, over_ms } => {
                self.signal_routers(fraction, Duration::from_millis(over_ms));
            }
            FaultKind::ReloadRouters { fraction } => self.reload_routers(fraction),
            FaultKind::DisturbLinks { routers, hosts, direction, fault, duration_ms } => {
                let affected = AffectedLinks { routers, hosts, direction };
                self.disturb_links(affected, fault, Duration::from_millis(duration_ms)).await;
            }
        }
    }

    fn all_routers(&self) -> Vec<usize> {
        (0..usize::from(self.trial.routers)).collect()
    }

    async fn replace_replicas(self: &Rc<LiveFleet>, fraction: f64, over_ms: u64) {
        let replicas = usable_replicas(&self.hosts.borrow());
        let chosen = self.draw_for_fault(replicas, fraction);
        let interval = Duration::from_micros(over_ms * 1000 / chosen.len().max(1) as u64);
        for host in chosen {
            self.spawn(replace_host(self.clone(), host));
            sleep(interval).await;
        }
    }

    async fn kill_routers(self: &Rc<LiveFleet>, fraction: f64, restart_after: Duration) {
        let chosen = self.draw_for_fault(self.all_routers(), fraction);
        for router in &chosen {
            let in_flight = self.processes.borrow_mut().kill(*router);
            self.record_router_lost(in_flight);
        }
        sleep(restart_after).await;
        for router in chosen {
            if !self.clients_send.get() {
                return;
            }
            if let Err(error) = startup::start_router(self, router) {
                self.record_violation(Rule::ProcessStart, error.to_string());
            }
            self.spawn(startup::wait_until_ready(self.clone(), router));
        }
    }

    fn slow_replicas(&self, fraction: f64, factor: f64) {
        let replicas = usable_replicas(&self.hosts.borrow());
        for host in self.draw_for_fault(replicas, fraction) {
            self.hosts.borrow_mut()[host].slowdown = factor;
        }
    }

    async fn stall_replication(&self, fraction: f64, duration: Duration) {
        let chosen = fraction_of_each_shard(&self.hosts.borrow(), fraction);
        for host in &chosen {
            self.hosts.borrow_mut()[*host].replication_stalled_since = Some(now());
        }
        sleep(duration).await;
        for host in &chosen {
            self.hosts.borrow_mut()[*host].replication_stalled_since = None;
        }
    }

    async fn fail_over(&self, fraction: f64, promotion_after: Duration) {
        let shards = self.draw_for_fault((0..usize::from(self.trial.shards)).collect(), fraction);
        let is_in = |host: &SimulatedHost, shard: usize| usize::from(host.shard) == shard && !host.removed;
        for shard in &shards {
            let mut hosts = self.hosts.borrow_mut();
            if let Some(primary) = hosts.iter_mut().find(|host| is_in(host, *shard) && host.primary) {
                primary.removed = true;
            }
        }
        sleep(promotion_after).await;
        for shard in shards {
            let mut hosts = self.hosts.borrow_mut();
            let mut candidates = hosts.iter_mut().filter(|host| !host.primary && host.is_usable());
            if let Some(replica) = candidates.find(|host| is_in(host, shard)) {
                replica.primary = true;
            }
        }
        self.publish_endpoints();
    }

    async fn pause_routers(&self, fraction: f64, duration: Duration) {
        let chosen = self.draw_for_fault(self.all_routers(), fraction);
        for router in &chosen {
            let in_flight = self.processes.borrow_mut().pause(*router);
            self.record_router_lost(in_flight);
        }
        sleep(duration).await;
        for router in &chosen {
            self.processes.borrow_mut().resume(*router);
        }
    }

    async fn restart_routers(self: &Rc<LiveFleet>, fraction: f64, over_ms: u64) {
        let chosen = self.draw_for_fault(self.all_routers(), fraction);
        let interval = Duration::from_micros(over_ms * 1000 / chosen.len().max(1) as u64);
        for router in chosen {
            if self.processes.borrow().is_undisturbed(router) {
                self.spawn(restart_router(self.clone(), router));
            }
            sleep(interval).await;
        }
    }

    fn signal_routers(self: &Rc<LiveFleet>, fraction: f64, duration: Duration) {
        for router in self.draw_for_fault(self.all_routers(), fraction) {
            self.spawn(signal_router(self.clone(), router, duration));
        }
    }

    fn reload_routers(&self, fraction: f64) {
        for router in self.draw_for_fault(self.all_routers(), fraction) {
            if self.processes.borrow().is_undisturbed(router) {
                self.processes.borrow_mut().reload(router);
            }
        }
    }

    async fn disturb_links(&self, affected: AffectedLinks, fault: LinkFault, duration: Duration) {
        let all_hosts = (0..self.hosts.borrow().len()).collect();
        let routers = self.draw_for_fault(self.all_routers(), affected.routers).into_iter().collect();
        let hosts = self.draw_for_fault(all_hosts, affected.hosts).into_iter().collect();
        let id = self.links.borrow_mut().inject(routers, hosts, affected.direction, fault);
        sleep(duration).await;
        self.links.borrow_mut().clear(id);
    }
}

/// The fractions of routers and hosts whose links a fault affects.
#[derive(Clone, Copy, Debug)]
struct AffectedLinks {
    routers: f64,
    hosts: f64,
    direction: Direction,
}

/// Sends a router a series of SIGHUP, then shuts it down and starts it again. Sends SIGHUP and SIGTERM
/// several times during the shutdown.
async fn signal_router(fleet: SharedFleet, router: usize, duration: Duration) {
    for _ in 0..SIGNALS_IN_SERIES {
        if !fleet.processes.borrow().is_undisturbed(router) {
            return;
        }
        fleet.processes.borrow_mut().reload(router);
        sleep(duration / SIGNALS_IN_SERIES).await;
    }
    if !fleet.processes.borrow().is_undisturbed(router) {
        return;
    }
    let signalled = fleet.clone();
    fleet.spawn(async move {
        for _ in 0..SIGNALS_IN_SERIES {
            sleep(SIGNAL_INTERVAL_DURING_SHUTDOWN).await;
            if !signalled.processes.borrow().is_shutting_down(router) {
                return;
            }
            signalled.processes.borrow_mut().reload(router);
            signalled.processes.borrow_mut().terminate(router);
        }
    });
    restart_router(fleet, router).await;
}

/// Shuts a router down gracefully and starts it again. It must exit with success within the clients' timeout
/// and a grace; a router that does not is killed.
async fn restart_router(fleet: SharedFleet, router: usize) {
    fleet.processes.borrow_mut().terminate(router);
    let terminated = fleet.processes.borrow().current(router);
    let terminated_at = now();
    let timeout = Duration::from_millis(fleet.trial.timeout_ms).min(MAX_SHUTDOWN_TIMEOUT);
    let limit = timeout + SHUTDOWN_GRACE + SLACK;
    let status = loop {
        sleep(EXIT_POLL_INTERVAL).await;
        // Another fault has killed or paused it in the meantime.
        if !fleet.processes.borrow().is_current(terminated) {
            return;
        }
        let exit_status = fleet.processes.borrow_mut().take_shutdown_status(router);
        if let Some(status) = exit_status {
            break status;
        }
        if now() - terminated_at > limit {
            let description = format!("router {router} did not exit within {limit:?} of SIGTERM");
            fleet.record_violation(Rule::ProcessCrash, description);
            let in_flight = fleet.processes.borrow_mut().kill(router);
            return fleet.record_router_lost(in_flight);
        }
    };
    if !status.success() {
        fleet.record_violation(Rule::ProcessCrash, format!("router {router} exited with {status}"));
    }
    if !fleet.clients_send.get() {
        return;
    }
    if let Err(error) = startup::start_router(&fleet, router) {
        fleet.record_violation(Rule::ProcessStart, error.to_string());
    }
    startup::wait_until_ready(fleet, router).await;
}

/// Drains a host, starts a new one in its place, and removes it after twice the drain grace.
async fn replace_host(fleet: SharedFleet, host: usize) {
    let shard = fleet.hosts.borrow()[host].shard;
    fleet.hosts.borrow_mut()[host].draining = Some(now());
    match hosts::start(&fleet, shard, false) {
        Ok(replacement) => fleet.hosts.borrow_mut()[replacement].started = Some(now()),
        Err(error) => fleet.record_violation(Rule::ProcessStart, error.to_string()),
    }
    fleet.publish_endpoints();
    sleep(Duration::from_micros(fleet.trial.drain_grace_ms * 2000)).await;
    fleet.hosts.borrow_mut()[host].removed = true;
    fleet.publish_endpoints();
}
