//! The state of a fleet of real processes, shared by all tasks of the thread that runs a trial.

use super::network::{now, sleep};
use super::process_table::RouterProcesses;
use crate::hosts::{Job, SimulatedHost, StartedJob};
use crate::ledger::{Ledger, Rule};
use crate::links::{Destination, Links, Outcome};
use crate::trial::Trial;
use crate::usable::UsableReplicas;
use async_executor::LocalExecutor;
use comethitch_policy::time::{Duration, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};

/// How much later than the router the lab may observe an event, because many processes share few cores.
pub(super) const SLACK: Duration = Duration::from_millis(300);
/// Combined with the trial's seed by exclusive or to get the seed of the random draws for faults.
const FAULT_SEED: u64 = 0x66_61_75_6c_74;
/// Interval at which a message on a cut link checks whether the cut has ended.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Identifies a job by its host and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobId {
    pub host: usize,
    pub job: u32,
}

/// A fleet of real processes. Tasks share it through an [`Rc`].
pub(super) struct LiveFleet {
    pub trial: Trial,
    /// A weak reference, because the tasks of the executor own the fleet: a reference cycle would keep their
    /// sockets open.
    executor: Weak<LocalExecutor<'static>>,
    pub start: Cell<Timestamp>,
    pub ledger: RefCell<Ledger>,
    pub hosts: RefCell<Vec<SimulatedHost>>,
    /// Port of each host, the same for all routers.
    pub ports: RefCell<Vec<u16>>,
    /// Number of open connections of each host.
    pub open_connections: RefCell<BTreeMap<usize, u32>>,
    pub links: RefCell<Links>,
    pub processes: Rc<RefCell<RouterProcesses>>,
    pub rng: RefCell<ChaCha8Rng>,
    /// Generator for faults only, so that with the same seed faults affect the same routers and hosts in
    /// every run.
    fault_rng: RefCell<ChaCha8Rng>,
    /// Channels that are notified when a job is finished.
    pub job_waiters: RefCell<BTreeMap<JobId, async_channel::Sender<()>>>,
    last_job: Cell<u32>,
    last_number: Cell<u64>,
    /// Version of the endpoint list.
    pub endpoints_version: Cell<u64>,
    pub usable: RefCell<UsableReplicas>,
    /// Whether clients still send new requests.
    pub clients_send: Cell<bool>,
}

/// A shared reference to the fleet.
pub(super) type SharedFleet = Rc<LiveFleet>;

impl LiveFleet {
    /// Creates a fleet that has no hosts and no running routers yet.
    pub(super) fn new(
        trial: &Trial, processes: Rc<RefCell<RouterProcesses>>, executor: Rc<LocalExecutor<'static>>,
    ) -> SharedFleet {
        Rc::new(LiveFleet {
            trial: trial.clone(),
            executor: Rc::downgrade(&executor),
            start: Cell::new(now()),
            ledger: RefCell::new(empty_ledger(trial)),
            hosts: RefCell::default(),
            ports: RefCell::default(),
            open_connections: RefCell::default(),
            links: RefCell::default(),
            processes,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(trial.seed)),
            fault_rng: RefCell::new(ChaCha8Rng::seed_from_u64(trial.seed ^ FAULT_SEED)),
            job_waiters: RefCell::default(),
            last_job: Cell::new(0),
            last_number: Cell::new(0),
            endpoints_version: Cell::new(1),
            usable: RefCell::default(),
            clients_send: Cell::new(true),
        })
    }

    /// Runs a task concurrently with all others.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Takes the ledger at the end of the trial.
    pub(super) fn take_ledger(&self) -> Ledger {
        self.ledger.replace(empty_ledger(&self.trial))
    }

    /// Draws a random number from 0 to 1.
    pub(super) fn draw(&self) -> f64 {
        self.rng.borrow_mut().random_range(0.0..1.0)
    }

    /// Draws this fraction of the candidates for a fault.
    pub(super) fn draw_for_fault(&self, mut candidates: Vec<usize>, fraction: f64) -> Vec<usize> {
        let count = (candidates.len() as f64 * fraction).round() as usize;
        let mut rng = self.fault_rng.borrow_mut();
        (0..count).map(|_| candidates.swap_remove(rng.random_range(0..candidates.len()))).collect()
    }

    /// Waits for the delay of a message on its link. Returns `false` if the message is lost and the
    /// connection is to be closed.
    pub(super) async fn transmit(&self, router: usize, host: usize, destination: Destination) -> bool {
        let draw = self.draw();
        let outcome = || self.links.borrow().outcome(router, host, destination, draw);
        match outcome() {
            Outcome::Delivered(Duration::ZERO) => true,
            Outcome::Delivered(delay) => {
                sleep(delay).await;
                true
            }
            Outcome::Reset => false,
            // The connection hangs until the cut has ended, and is then closed without the message.
            Outcome::Dropped => {
                while outcome() == Outcome::Dropped {
                    sleep(CUT_POLL_INTERVAL).await;
                }
                false
            }
        }
    }

    /// Returns the number of the current second of the trial.
    pub(super) fn current_second(&self) -> u64 {
        (now() - self.start.get()).as_micros() / 1_000_000
    }

    /// Returns the next number of an operation or a request.
    pub(super) fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Returns the next number of a job.
    pub(super) fn next_job(&self) -> u32 {
        self.last_job.set(self.last_job.get().wrapping_add(1));
        self.last_job.get()
    }

    /// Runs a job on a core of its host, and then the next one from the queue.
    pub(super) fn run_job(self: &Rc<LiveFleet>, host: usize, started: StartedJob) {
        let fleet = self.clone();
        self.spawn(async move {
            sleep(started.duration).await;
            fleet.finish_job(host, started.job);
        });
    }

    fn finish_job(self: &Rc<LiveFleet>, host: usize, job: Job) {
        let waiter = self.job_waiters.borrow_mut().remove(&JobId { host, job: job.request });
        if let Some(waiter) = waiter {
            // The waiting task may have ended in the meantime.
            let _ = waiter.try_send(());
        }
        let next = self.hosts.borrow_mut()[host].finish(&job, &self.trial.slow_start(), now());
        if let Some(next) = next {
            self.run_job(host, next);
        }
    }

    /// Records that the router of these requests was killed or paused.
    pub(super) fn record_router_lost(&self, requests: BTreeSet<u64>) {
        for request in requests {
            self.ledger.borrow_mut().router_lost(request);
        }
    }

    /// Records a violation of a rule.
    pub(super) fn record_violation(&self, rule: Rule, description: String) {
        self.ledger.borrow_mut().record_violation(rule, description);
    }

    /// Publishes a change of the endpoint list.
    pub(super) fn publish_endpoints(&self) {
        self.endpoints_version.set(self.endpoints_version.get() + 1);
    }
}

fn empty_ledger(trial: &Trial) -> Ledger {
    let latency_objective = Duration::from_millis(trial.latency_objective_ms);
    let drain_grace = Duration::from_millis(trial.drain_grace_ms);
    Ledger::new(latency_objective, drain_grace, Timestamp::ZERO).with_slack(SLACK)
}
