//! Runs a trial with real processes: starts the fleet, its clients and faults, waits for the end, and returns
//! the report.

use super::network::{now, sleep, sleep_until};
use super::process_table::RouterProcesses;
use super::state::{LiveFleet, SLACK, SharedFleet};
use super::{adaptive_slack, clients, discovery, hosts, idle_clients, incomplete_requests, startup};
use crate::error::RunError;
use crate::hosts::replica_cores;
use crate::ledger::{Report, Rule};
use crate::trial::Trial;
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use comethitch_policy::time::{Duration, Timestamp};
use futures_lite::{StreamExt, future};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

/// Maximum number of routers, each of which is a process.
const MAX_ROUTERS: u16 = 300;
/// How long it may take until all routers are ready, in seconds.
const READY_TIMEOUT_S: u64 = 60;
/// Interval at which the readiness of routers is checked.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Kills all router processes when it is dropped. Tasks share the ownership of the processes and may outlive
/// the executor, so that dropping the executor is not enough.
struct EndProcessesGuard(Rc<RefCell<RouterProcesses>>);

impl Drop for EndProcessesGuard {
    fn drop(&mut self) {
        if let Ok(mut processes) = self.0.try_borrow_mut() {
            processes.end_all();
        }
    }
}

/// Runs a trial with router processes of the program at `daemon`. Keeps their files and logs in `logs`, if
/// given.
///
/// # Errors
///
/// Returns an error if a key of the trial is out of bounds, the routers are not ready within 60 s, ports or
/// file descriptors are exhausted, or a signal interrupts the trial.
pub fn run_trial(trial: &Trial, daemon: &Path, logs: Option<&Path>) -> Result<Report, RunError> {
    trial.check()?;
    if trial.routers > MAX_ROUTERS {
        return Err(RunError::TooManyProcesses { limit: MAX_ROUTERS, routers: trial.routers });
    }
    let executor = Rc::new(LocalExecutor::new());
    let mut signals = Signals::new([Signal::Int, Signal::Term]).map_err(RunError::Signals)?;
    let interrupted = async move {
        signals.next().await;
        Err(RunError::Interrupted)
    };
    let processes = Rc::new(RefCell::new(RouterProcesses::new(daemon, trial.routers.into(), logs)?));
    let _end_processes = EndProcessesGuard(processes.clone());
    let completed = run_with_processes(trial, processes, executor.clone());
    future::block_on(executor.run(future::or(interrupted, completed)))
}

async fn run_with_processes(
    trial: &Trial, processes: Rc<RefCell<RouterProcesses>>, executor: Rc<LocalExecutor<'static>>,
) -> Result<Report, RunError> {
    let fleet = LiveFleet::new(trial, processes, executor);
    let rates_per_core = trial.arrival_rates(&mut fleet.rng.borrow_mut(), 1.0)?;
    start_hosts(&fleet)?;
    let discovery_port = discovery::start(&fleet)?;
    fleet.processes.borrow_mut().discovery_port = discovery_port;
    fleet.processes.borrow_mut().inject_system_call_faults(&trial.system_calls)?;
    start_routers(&fleet)?;
    wait_until_ready(&fleet).await?;
    let start = now();
    fleet.start.set(start);
    fleet.ledger.borrow_mut().set_start(start);
    fleet.spawn(observe_each_second(fleet.clone()));
    if trial.adaptive_slack {
        fleet.spawn(adaptive_slack::adapt_slack(fleet.clone()));
    }
    fleet.spawn(incomplete_requests::start_clients(fleet.clone(), trial.incomplete_requests));
    fleet.spawn(idle_clients::connect_to_all_routers(fleet.clone(), trial.idle_clients));
    start_clients(&fleet, rates_per_core);
    schedule_faults(&fleet);
    show_progress(trial.seconds, start).await;
    fleet.clients_send.set(false);
    let end = now();
    // The last requests may take as long as their timeout.
    sleep(Duration::from_millis(trial.timeout_ms) + SLACK).await;
    for (router, line) in fleet.processes.borrow().self_check_violations() {
        fleet.record_violation(Rule::SelfCheck, format!("router {router}: {line}"));
    }
    fleet.processes.borrow_mut().end_all();
    let usable = fleet.usable.take();
    let throughout = |second, host| usable.is_usable_throughout(second, host, trial.seconds);
    Ok(fleet.take_ledger().close(end - SLACK, &throughout))
}

fn start_hosts(fleet: &SharedFleet) -> Result<(), RunError> {
    for shard in 0..fleet.trial.shards {
        hosts::start(fleet, shard, true)?;
        for _ in 0..fleet.trial.replicas {
            hosts::start(fleet, shard, false)?;
        }
    }
    if fleet.trial.all_hosts_warming_up {
        // Set before the routers start, so that their first endpoint list contains the start times.
        fleet.hosts.borrow_mut().iter_mut().for_each(|host| host.started = Some(now()));
    }
    Ok(())
}

fn start_routers(fleet: &SharedFleet) -> Result<(), RunError> {
    for router in 0..usize::from(fleet.trial.routers) {
        startup::start_router(fleet, router)?;
        fleet.spawn(startup::wait_until_ready(fleet.clone(), router));
    }
    Ok(())
}

async fn wait_until_ready(fleet: &SharedFleet) -> Result<(), RunError> {
    let started = now();
    while fleet.processes.borrow().serving().len() < usize::from(fleet.trial.routers) {
        if let Some(exit) = fleet.processes.borrow_mut().take_exits().first() {
            return Err(RunError::RouterEnded { router: exit.router, status: exit.status });
        }
        if now() - started > Duration::from_secs(READY_TIMEOUT_S) {
            return Err(RunError::NotReady { seconds: READY_TIMEOUT_S });
        }
        sleep(READY_POLL_INTERVAL).await;
    }
    Ok(())
}

fn start_clients(fleet: &SharedFleet, rates_per_core: Vec<f64>) {
    let cores = replica_cores(&fleet.hosts.borrow());
    for (router, rate) in rates_per_core.into_iter().enumerate() {
        fleet.spawn(clients::send_requests(fleet.clone(), router, rate * cores));
    }
}

fn schedule_faults(fleet: &SharedFleet) {
    for fault in fleet.trial.faults.clone() {
        let affected = fleet.clone();
        fleet.spawn(async move {
            sleep(Duration::from_millis(fault.at_ms)).await;
            affected.inject_fault(fault.kind).await;
        });
    }
}

/// Records in each second which replicas are usable, and which routers have exited by themselves.
async fn observe_each_second(fleet: SharedFleet) {
    for second in 0.. {
        sleep_until(fleet.start.get() + Duration::from_secs(second)).await;
        for host in fleet.usable.borrow_mut().record(second, &fleet.hosts.borrow()) {
            fleet.ledger.borrow_mut().host_usable(second, *host);
        }
        for exit in fleet.processes.borrow_mut().take_exits() {
            let description = format!("router {} exited by itself: {}", exit.router, exit.status);
            fleet.record_violation(Rule::ProcessCrash, description);
        }
    }
}

/// Waits for the end of the trial, and shows the progress.
async fn show_progress(seconds: u64, start: Timestamp) {
    let bar = indicatif::ProgressBar::new(seconds);
    for second in 1..=seconds {
        sleep_until(start + Duration::from_secs(second)).await;
        bar.set_position(second);
    }
    bar.finish_and_clear();
}
