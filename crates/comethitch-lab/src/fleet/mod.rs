//! A fleet in simulated time: a discrete-event simulation of routers, hosts, clients and the network.
//!
//! [`run_trial`] takes events from the `events::EventQueue`, and `Fleet::handle` passes each to its handler
//! in one of these modules:
//!
//! - `clients`: requests, retries and final answers;
//! - `routers`: routers, and the actions that their policies return;
//! - `attempts`: attempts and health checks on their way to hosts and back;
//! - `faults`: faults, and the replacement, promotion and removal of hosts;
//! - `baseline`: host selection that knows the actual capacity of each host.
//!
//! All random draws come from one generator in the order of events, so that a trial and a seed determine the
//! report.

mod attempts;
mod baseline;
mod clients;
mod events;
mod faults;
mod routers;

use crate::error::RunError;
use crate::hosts::{SimulatedHost, SlowStart, replica_cores};
use crate::ledger::{Ledger, Report};
use crate::trial::{Fault, Trial};
use crate::usable::UsableReplicas;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Deployment, Host, ShardId};
use events::{Event, EventQueue, RouterId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routers::SimulatedRouter;
use std::collections::BTreeMap;

/// Start of every trial. It is after 0, so that replication positions can be before it.
const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Maximum number of events of a trial. A trial that exceeds it ends with an error instead of running on.
const MAX_EVENTS: u64 = 60_000_000;
/// Range of the network delay, as a multiple of its mean.
const NETWORK_DELAY_FACTORS: std::ops::Range<f64> = 0.8..1.2;
/// Port of all hosts.
const HOST_PORT: u16 = 5432;

/// The state of a trial.
struct Fleet<'a> {
    trial: &'a Trial,
    deployment: Deployment,
    slow_start: SlowStart,
    now: Timestamp,
    events: EventQueue,
    rng: ChaCha8Rng,
    routers: Vec<SimulatedRouter>,
    hosts: Vec<SimulatedHost>,
    host_index: BTreeMap<Host, usize>,
    ledger: Ledger,
    usable: UsableReplicas,
    /// Last assigned number of an operation or a request.
    last_number: u64,
}

/// Runs a trial to its end.
///
/// # Errors
///
/// Returns an error if a key of the trial is out of bounds or has no effect in simulated time, or if there
/// are too many events.
pub fn run_trial(trial: &Trial) -> Result<Report, RunError> {
    trial.check()?;
    check_supported(trial)?;
    let mut fleet = Fleet::new(trial)?;
    let end = START + Duration::from_secs(trial.seconds);
    fleet.run_until(end)?;
    let Fleet { ledger, usable, .. } = fleet;
    let throughout = |second, host| usable.is_usable_throughout(second, host, trial.seconds);
    Ok(ledger.close(end, &throughout))
}

/// Rejects a trial that can only be run with real processes.
fn check_supported(trial: &Trial) -> Result<(), RunError> {
    let needs_processes = |fault: &Fault| !fault.kind.is_simulated();
    if let Some(index) = trial.faults.iter().position(needs_processes) {
        return Err(RunError::FaultNeedsProcesses { index });
    }
    let keys = [
        ("slots", trial.max_connections_per_host > 0),
        ("namesakes", trial.routers_sharing_name > 0),
        ("settings", !trial.settings.is_empty()),
    ];
    match keys.into_iter().find(|(_, set)| *set) {
        Some((key, _)) => Err(RunError::KeyNeedsProcesses { key }),
        None => Ok(()),
    }
}

impl<'a> Fleet<'a> {
    fn new(trial: &'a Trial) -> Result<Fleet<'a>, RunError> {
        let mut rng = ChaCha8Rng::seed_from_u64(trial.seed);
        // Drawn first, so that with the same seed the routers have the same rates per core whatever the hosts
        // are.
        let rates_per_core = trial.arrival_rates(&mut rng, 1.0)?;
        let mut fleet = Fleet {
            deployment: trial.deployment()?,
            slow_start: trial.slow_start(),
            trial,
            now: START,
            events: EventQueue::default(),
            rng,
            routers: Vec::new(),
            hosts: Vec::new(),
            host_index: BTreeMap::new(),
            ledger: Ledger::new(
                Duration::from_millis(trial.latency_objective_ms),
                Duration::from_millis(trial.drain_grace_ms),
                START,
            ),
            usable: UsableReplicas::default(),
            last_number: 0,
        };
        fleet.add_all_hosts();
        fleet.start_all_routers(rates_per_core);
        fleet.schedule_trial();
        Ok(fleet)
    }

    fn add_all_hosts(&mut self) {
        for shard in 0..self.trial.shards {
            self.add_host(shard, true);
            for _ in 0..self.trial.replicas {
                self.add_host(shard, false);
            }
        }
        if self.trial.all_hosts_warming_up {
            self.hosts.iter_mut().for_each(|host| host.started = Some(START));
        }
    }

    fn add_host(&mut self, shard: ShardId, primary: bool) -> usize {
        let index = self.hosts.len();
        let host = Host { address: [10, 0, (index >> 8) as u8, index as u8], port: HOST_PORT };
        let cores = self.trial.cores[index % self.trial.cores.len()];
        self.hosts.push(SimulatedHost::new(host, shard, cores, primary, self.trial.queue_per_core));
        self.host_index.insert(host, index);
        index
    }

    fn start_all_routers(&mut self, rates_per_core: Vec<f64>) {
        let cores = replica_cores(&self.hosts);
        self.routers = rates_per_core.into_iter().map(|rate| SimulatedRouter::new(rate * cores)).collect();
        for router in 0..self.routers.len() {
            self.start_router(router);
            self.schedule_next_request(router);
        }
    }

    fn schedule_trial(&mut self) {
        for (index, fault) in self.trial.faults.iter().enumerate() {
            self.events.push(START + Duration::from_millis(fault.at_ms), Event::FaultBegins(index));
        }
        for second in 0..=self.trial.seconds + 1 {
            self.events.push(START + Duration::from_secs(second), Event::SecondBegins(second));
        }
    }

    /// Handles events until one client timeout after `end`. Clients send no new requests after `end`.
    fn run_until(&mut self, end: Timestamp) -> Result<(), RunError> {
        let last = end + Duration::from_millis(self.trial.timeout_ms);
        let mut count = 0;
        while let Some((at, event)) = self.events.pop() {
            if at > last {
                break;
            }
            count += 1;
            if count > MAX_EVENTS {
                return Err(RunError::TooManyEvents { limit: MAX_EVENTS });
            }
            self.now = at;
            self.handle(event, at <= end);
        }
        Ok(())
    }

    fn handle(&mut self, event: Event, clients_send: bool) {
        if event.recipient().is_some_and(|router| !self.is_current(router)) {
            return;
        }
        match event {
            Event::RequestArrives { router } => {
                if clients_send {
                    self.request_arrives(router);
                }
            }
            Event::ClientRetries { router, request, retries } => self.submit(router, request, retries),
            Event::AttemptReachesHost { host, incarnation, job, write } => {
                self.attempt_reaches_host(host, incarnation, job, write);
            }
            Event::JobFinishes { host, job } => self.job_finishes(host, job),
            Event::AttemptReturns { attempt, host, result } => self.attempt_returns(attempt, host, result),
            Event::AttemptTimesOut { attempt } => self.attempt_times_out(attempt),
            Event::HealthCheckReachesHost { router, host } => self.health_check_reaches_host(router, host),
            Event::HealthCheckReturns { router, host, report } => {
                self.health_check_returns(router, host, report);
            }
            Event::RouterTicks { router } => self.call_policy(router.index, |router, out| router.tick(out)),
            Event::EndpointsReachRouter { router } => self.update_endpoints(router.index),
            Event::RouterRestarts { router } => self.start_router(router),
            Event::FaultBegins(index) => self.begin_fault(self.trial.faults[index].kind),
            Event::HostIsReplaced { host } => self.replace_host(host),
            Event::HostIsRemoved { host } => self.remove_host(host),
            Event::ReplicaIsPromoted { shard } => self.promote_replica(shard),
            Event::ReplicationResumes { host } => self.hosts[host].replication_stalled_since = None,
            Event::SecondBegins(second) => self.record_usable_replicas(second),
        }
    }

    fn is_current(&self, router: RouterId) -> bool {
        self.routers[router.index].incarnation == router.incarnation
    }

    fn current_id(&self, router: usize) -> RouterId {
        RouterId { index: router, incarnation: self.routers[router].incarnation }
    }

    /// Schedules an event for the arrival of a message that is sent now.
    fn after_network_delay(&mut self, event: Event) {
        let mean_us = self.trial.network_delay_us as f64;
        let factor = self.rng.random_range(NETWORK_DELAY_FACTORS);
        let delay = Duration::from_micros((mean_us * factor) as u64);
        self.events.push(self.now + delay, event);
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn record_usable_replicas(&mut self, second: u64) {
        for host in self.usable.record(second, &self.hosts) {
            self.ledger.host_usable(second, *host);
        }
    }
}
