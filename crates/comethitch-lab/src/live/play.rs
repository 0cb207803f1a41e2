//! The course of a trial with real processes: start everything, let clients send and faults begin, wait, add up.

use super::network::{now, sleep, sleep_until};
use super::process_table::RouterProcesses;
use super::processes;
use super::state::{LiveFleet, SLACK, SharedFleet};
use super::{clients, crowd, discovery, hosts, punctuality, stalled_clients};
use crate::error::PlayError;
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

/// Most routers: each is a process.
const ROUTER_LIMIT: u16 = 300;
/// How long routers may take until all are ready, in seconds.
const READY_SECONDS: u64 = 60;
/// How often their readiness is looked at.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Ends all router processes when it is dropped. Tasks hold one another and are never dropped, so that their own
/// handles would not do it.
struct EndProcesses(Rc<RefCell<RouterProcesses>>);

impl Drop for EndProcesses {
    fn drop(&mut self) {
        if let Ok(mut processes) = self.0.try_borrow_mut() {
            processes.end_all();
        }
    }
}

/// Plays a trial with processes of the program at `daemon`. Their files and logs are kept in `logs`, if it is given.
///
/// # Errors
/// A key of the trial that is out of bounds, a program that does not start within 60 s, no port, no file descriptors,
/// and an interruption by a signal.
pub fn play(trial: &Trial, daemon: &Path, logs: Option<&Path>) -> Result<Report, PlayError> {
    trial.check()?;
    if trial.routers > ROUTER_LIMIT {
        return Err(PlayError::TooManyProcesses { limit: ROUTER_LIMIT, routers: trial.routers });
    }
    let executor = Rc::new(LocalExecutor::new());
    let mut signals = Signals::new([Signal::Int, Signal::Term]).map_err(PlayError::Signals)?;
    let interrupted = async move {
        signals.next().await;
        Err(PlayError::Interrupted)
    };
    let processes = Rc::new(RefCell::new(RouterProcesses::new(daemon, trial.routers.into(), logs)?));
    let _end_processes = EndProcesses(processes.clone());
    let course = run(trial, processes, executor.clone());
    future::block_on(executor.run(future::or(interrupted, course)))
}

async fn run(
    trial: &Trial, processes: Rc<RefCell<RouterProcesses>>, executor: Rc<LocalExecutor<'static>>,
) -> Result<Report, PlayError> {
    let fleet = LiveFleet::new(trial, processes, executor);
    let rates_per_core = trial.arrival_rates(&mut fleet.rng.borrow_mut(), 1.0)?;
    start_hosts(&fleet)?;
    let discovery_port = discovery::start(&fleet)?;
    fleet.processes.borrow_mut().discovery_port = discovery_port;
    fleet.processes.borrow_mut().let_system_calls_fail(&trial.system_calls)?;
    start_routers(&fleet)?;
    wait_until_ready(&fleet).await?;
    let start = now();
    fleet.start.set(start);
    fleet.ledger.borrow_mut().set_start(start);
    fleet.spawn(observe_each_second(fleet.clone()));
    if trial.sharp {
        fleet.spawn(punctuality::adapt_slack(fleet.clone()));
    }
    fleet.spawn(stalled_clients::come(fleet.clone(), trial.stalled_clients));
    fleet.spawn(crowd::come(fleet.clone(), trial.crowd));
    start_clients(&fleet, rates_per_core);
    schedule_faults(&fleet);
    show_progress(trial.seconds, start).await;
    fleet.clients_send.set(false);
    let end = now();
    // The last requests have their timeout, and their retries.
    sleep(Duration::from_millis(trial.timeout_ms) + SLACK).await;
    for (router, line) in fleet.processes.borrow().own_violations() {
        fleet.record_violation(Rule::OwnCheck, format!("router {router}: {line}"));
    }
    fleet.processes.borrow_mut().end_all();
    let usable = fleet.usable.take();
    let throughout = |second, host| usable.throughout(second, host, trial.seconds);
    Ok(fleet.take_ledger().close(end - SLACK, &throughout))
}

fn start_hosts(fleet: &SharedFleet) -> Result<(), PlayError> {
    for shard in 0..fleet.trial.groups {
        hosts::start(fleet, shard, true)?;
        for _ in 0..fleet.trial.replicas {
            hosts::start(fleet, shard, false)?;
        }
    }
    if fleet.trial.all_cold {
        // Before the routers: their first endpoint list has it.
        fleet.hosts.borrow_mut().iter_mut().for_each(|host| host.started = Some(now()));
    }
    Ok(())
}

fn start_routers(fleet: &SharedFleet) -> Result<(), PlayError> {
    for router in 0..usize::from(fleet.trial.routers) {
        processes::start(fleet, router)?;
        fleet.spawn(processes::wait_until_ready(fleet.clone(), router));
    }
    Ok(())
}

async fn wait_until_ready(fleet: &SharedFleet) -> Result<(), PlayError> {
    let begun = now();
    while fleet.processes.borrow().serving().len() < usize::from(fleet.trial.routers) {
        if let Some(exit) = fleet.processes.borrow_mut().take_exits().first() {
            return Err(PlayError::RouterEnded { router: exit.router, status: exit.status });
        }
        if now() - begun > Duration::from_secs(READY_SECONDS) {
            return Err(PlayError::NotReady { seconds: READY_SECONDS });
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
            affected.play_fault(fault.kind).await;
        });
    }
}

/// Records by second which replicas are usable, and which routers have ended by themselves.
async fn observe_each_second(fleet: SharedFleet) {
    for second in 0.. {
        sleep_until(fleet.start.get() + Duration::from_secs(second)).await;
        for host in fleet.usable.borrow_mut().record(second, &fleet.hosts.borrow()) {
            fleet.ledger.borrow_mut().host_usable(second, *host);
        }
        for exit in fleet.processes.borrow_mut().take_exits() {
            let description = format!("router {} ended by itself: {}", exit.router, exit.status);
            fleet.record_violation(Rule::ProcessCrash, description);
        }
    }
}

/// Waits for the end of the trial, and shows how far it is.
async fn show_progress(seconds: u64, start: Timestamp) {
    let bar = indicatif::ProgressBar::new(seconds);
    for second in 1..=seconds {
        sleep_until(start + Duration::from_secs(second)).await;
        bar.set_position(second);
    }
    bar.finish_and_clear();
}
