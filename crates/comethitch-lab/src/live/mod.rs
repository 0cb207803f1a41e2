//! The same trials with real processes of `comethitchd` on loopback, in real time.
//!
//! Everything outside the routers is played here, in one thread: database hosts (as in simulated time, [`crate::hosts`]),
//! discovery, clients, and the links between them. A router reaches the hosts by loopback addresses of its own, so
//! that a connection tells whose link it is; [`crate::links`] says what becomes of each message on it. What is seen
//! goes to the same ledger.
//!
//! Bounds: 300 routers, 10 minutes, and the descriptors that the system allows. Routers are ended with the trial, also
//! by SIGINT or SIGTERM.

mod clients;
mod databases;
mod list;
mod routers;

use crate::error::PlayError;
use crate::hosts::{Job, SimulatedHost, StartedJob, fraction_of_each_shard, replica_cores, usable_replicas};
use crate::ledger::{Ledger, Report, Rule};
use crate::links::{Destination, Fate, Links};
use crate::trial::{FaultKind, Trial};
use crate::usable::UsableReplicas;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use comethitch_policy::time::{Duration, Timestamp};
use futures_lite::{AsyncReadExt, StreamExt, future};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routers::Fleet as Processes;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::SystemTime;

/// How much later than the router something may be seen here: many processes share few cores.
const SLACK: Duration = Duration::from_millis(300);
/// Parts the draws for faults from all others.
const FAULTS: u64 = 0x66_61_75_6c_74;
/// Most routers: each is a process.
const ROUTERS: u16 = 300;

/// All that the parts of a trial share.
struct Live {
    trial: Trial,
    start: Cell<Timestamp>,
    ledger: RefCell<Ledger>,
    hosts: RefCell<Vec<SimulatedHost>>,
    links: RefCell<Links>,
    rng: RefCell<ChaCha8Rng>,
    /// For the faults alone: the same seed harms the same routers and hosts, whatever else was drawn meanwhile.
    fate: RefCell<ChaCha8Rng>,
    /// Whom to tell that a job is done: by host and job.
    waiting: RefCell<BTreeMap<(usize, u32), async_channel::Sender<()>>>,
    jobs: Cell<u32>,
    /// Connections that each host holds.
    held: RefCell<BTreeMap<usize, u32>>,
    /// The port of each host, the same for all routers.
    ports: RefCell<Vec<u16>>,
    /// Changes of the list so far.
    list: Cell<u64>,
    processes: Rc<RefCell<Processes>>,
    usable: RefCell<UsableReplicas>,
    numbers: Cell<u64>,
    asking: Cell<bool>,
}

type Shared = Rc<Live>;

fn now() -> Timestamp {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_micros(since.as_micros() as u64)
}

async fn rest(span: Duration) {
    Timer::after(span.to_std()).await;
}

/// The addresses of a router: hosts, discovery and its clients reach it, or it them, there and nowhere else.
fn address(router: usize, part: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 64 + (router >> 8) as u8, router as u8, part)
}

/// The router whose address this is.
fn router_at(address: Ipv4Addr) -> Option<usize> {
    match address.octets() {
        [127, high @ 64..=127, low, _] => Some(usize::from(high - 64) << 8 | usize::from(low)),
        _ => None,
    }
}

const TO_HOSTS: u8 = 1;
const TO_DISCOVERY: u8 = 3;

/// The next message: at most 1 MiB.
async fn read(stream: &mut Async<TcpStream>) -> std::io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).await?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..=1 << 20).contains(&length) {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).await?;
    Ok((head[0], body))
}

impl Live {
    fn chance(&self) -> f64 {
        self.rng.borrow_mut().random_range(0.0..1.0)
    }

    /// Waits as long as a message is on its way. `false` if the connection breaks on it.
    async fn pass(&self, router: usize, host: usize, destination: Destination) -> bool {
        let draw = self.chance();
        let fate = || self.links.borrow().fate(router, host, destination, draw);
        match fate() {
            Fate::Delivered(Duration::ZERO) => true,
            Fate::Delivered(late) => {
                rest(late).await;
                true
            }
            Fate::Reset => false,
            // Silence until the link is whole again; what was on it then is gone.
            Fate::Dropped => {
                while fate() == Fate::Dropped {
                    rest(Duration::from_millis(20)).await;
                }
                false
            }
        }
    }

    fn second(&self) -> u64 {
        (now() - self.start.get()).as_micros() / 1_000_000
    }

    fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    /// So many of these, by chance.
    fn some(&self, mut of: Vec<usize>, part: f64) -> Vec<usize> {
        let count = (of.len() as f64 * part).round() as usize;
        let mut rng = self.fate.borrow_mut();
        (0..count).map(|_| of.swap_remove(rng.random_range(0..of.len()))).collect()
    }

    /// The next job in line at a host, or one that has just come, runs on one of its cores.
    fn run(self: &Rc<Live>, ex: &Rc<LocalExecutor<'static>>, host: usize, job: Job, takes: Duration) {
        let (live, own) = (self.clone(), ex.clone());
        ex.spawn(async move {
            rest(takes).await;
            if let Some(done) = live.waiting.borrow_mut().remove(&(host, job.command)) {
                let _ = done.try_send(());
            }
            let next = live.hosts.borrow_mut()[host].finish(&job, &live.trial.cold_start(), now());
            if let Some(StartedJob { job, duration }) = next {
                live.run(&own, host, job, duration);
            }
        })
        .detach();
    }

    /// Nothing is owed for these: their router was killed or stopped.
    fn void(&self, numbers: BTreeSet<u64>) {
        numbers.into_iter().for_each(|number| self.ledger.borrow_mut().router_lost(number));
    }

    fn changed(&self) {
        self.list.set(self.list.get() + 1);
    }

    async fn fault(self: Rc<Live>, ex: Rc<LocalExecutor<'static>>, fault: FaultKind) {
        let routers: Vec<usize> = (0..usize::from(self.trial.routers)).collect();
        let replicas = |live: &Live| -> Vec<usize> { usable_replicas(&live.hosts.borrow()) };
        match fault {
            FaultKind::Release { part, over_ms } => {
                let hosts = self.some(replicas(&self), part);
                let pause = Duration::from_micros(over_ms * 1000 / hosts.len().max(1) as u64);
                for host in hosts {
                    let (live, own) = (self.clone(), ex.clone());
                    ex.spawn(async move {
                        let group = live.hosts.borrow()[host].shard;
                        live.hosts.borrow_mut()[host].draining = Some(now());
                        match databases::start(&live, &own, group, false) {
                            Ok(new) => live.hosts.borrow_mut()[new].started = Some(now()),
                            Err(error) => live
                                .ledger
                                .borrow_mut()
                                .record_violation(Rule::ProcessStart, error.to_string()),
                        }
                        live.changed();
                        rest(Duration::from_micros(live.trial.drain_grace_ms * 2000)).await;
                        live.hosts.borrow_mut()[host].removed = true;
                        live.changed();
                    })
                    .detach();
                    rest(pause).await;
                }
            }
            FaultKind::Herd { part, back_ms } => {
                let chosen = self.some(routers, part);
                for router in &chosen {
                    let in_hand = self.processes.borrow_mut().kill(*router);
                    self.void(in_hand);
                }
                rest(Duration::from_millis(back_ms)).await;
                for router in chosen {
                    if self.asking.get() {
                        let started = routers::start(&self, router);
                        if let Err(error) = started {
                            self.ledger.borrow_mut().record_violation(Rule::ProcessStart, error.to_string());
                        }
                        ex.spawn(routers::watch(self.clone(), router)).detach();
                    }
                }
            }
            FaultKind::Slow { part, factor } => {
                for host in self.some(replicas(&self), part) {
                    self.hosts.borrow_mut()[host].slowdown = factor;
                }
            }
            FaultKind::Stall { part, for_ms } => {
                let chosen = fraction_of_each_shard(&self.hosts.borrow(), part);
                chosen
                    .iter()
                    .for_each(|h| self.hosts.borrow_mut()[*h].replication_stalled_since = Some(now()));
                rest(Duration::from_millis(for_ms)).await;
                chosen.iter().for_each(|h| self.hosts.borrow_mut()[*h].replication_stalled_since = None);
            }
            FaultKind::Takeover { part, after_ms } => {
                let groups = self.some((0..usize::from(self.trial.groups)).collect(), part);
                let of =
                    |group: usize| move |h: &&mut SimulatedHost| usize::from(h.shard) == group && !h.removed;
                for group in &groups {
                    let mut hosts = self.hosts.borrow_mut();
                    if let Some(lead) = hosts.iter_mut().filter(of(*group)).find(|h| h.primary) {
                        lead.removed = true;
                    }
                }
                rest(Duration::from_millis(after_ms)).await;
                for group in groups {
                    let mut hosts = self.hosts.borrow_mut();
                    if let Some(heir) = hosts.iter_mut().filter(of(group)).find(|h| !h.primary && h.usable())
                    {
                        heir.primary = true;
                    }
                }
                self.changed();
            }
            FaultKind::Stop { part, for_ms } => {
                let chosen = self.some(routers, part);
                for router in &chosen {
                    let in_hand = self.processes.borrow_mut().stop(*router);
                    self.void(in_hand);
                }
                rest(Duration::from_millis(for_ms)).await;
                chosen.iter().for_each(|router| self.processes.borrow_mut().go_on(*router));
            }
            FaultKind::Links { routers: part, hosts, direction, fault, for_ms } => {
                let all = (0..self.hosts.borrow().len()).collect();
                let (routers, hosts) = (self.some(routers, part), self.some(all, hosts));
                let set = |of: Vec<usize>| of.into_iter().collect::<BTreeSet<_>>();
                let key = self.links.borrow_mut().inject(set(routers), set(hosts), direction, fault);
                rest(Duration::from_millis(for_ms)).await;
                self.links.borrow_mut().clear(key);
            }
        }
    }

    /// Notes by second which replicas are usable, and which router ended by itself.
    async fn look(self: Rc<Live>) {
        for second in 0.. {
            rest((self.start.get() + Duration::from_secs(second)) - now()).await;
            for host in self.usable.borrow_mut().record(second, &self.hosts.borrow()) {
                self.ledger.borrow_mut().host_usable(second, *host);
            }
            for (router, status) in self.processes.borrow_mut().ended() {
                self.ledger.borrow_mut().record_violation(
                    Rule::ProcessCrash,
                    format!("router {router} ended by itself: {status}"),
                );
            }
        }
    }
}

/// Plays a trial with processes of the program at `daemon`. Their files and logs are kept in `logs`, if it is given.
///
/// # Errors
/// A key of the trial that is out of bounds, a program that does not start within 60 s, no port, no descriptors; and an
/// interruption by a signal.
pub fn play(trial: &Trial, daemon: &Path, logs: Option<&Path>) -> Result<Report, PlayError> {
    trial.check()?;
    if trial.routers > ROUTERS {
        return Err(PlayError::TooManyProcesses { limit: ROUTERS, routers: trial.routers });
    }
    let ex = Rc::new(LocalExecutor::new());
    let held = ex.clone();
    let signals = async_signal::Signals::new([async_signal::Signal::Int, async_signal::Signal::Term]);
    let mut signals = signals.map_err(PlayError::Signals)?;
    let interrupted = async move {
        signals.next().await;
        Err(PlayError::Interrupted)
    };
    let processes = Rc::new(RefCell::new(Processes::new(daemon, trial.routers.into(), logs)?));
    // The tasks hold one another and are never dropped: the processes are ended from here, whatever happens.
    let _ends = Ends(processes.clone());
    future::block_on(ex.run(future::or(interrupted, run(trial, processes, held))))
}

struct Ends(Rc<RefCell<Processes>>);

impl Drop for Ends {
    fn drop(&mut self) {
        if let Ok(mut processes) = self.0.try_borrow_mut() {
            processes.end();
        }
    }
}

async fn run(
    trial: &Trial, processes: Rc<RefCell<Processes>>, ex: Rc<LocalExecutor<'static>>,
) -> Result<Report, PlayError> {
    let mut rng = ChaCha8Rng::seed_from_u64(trial.seed);
    let shares = trial.arrival_rates(&mut rng, 1.0)?;
    let (target, grace) =
        (Duration::from_millis(trial.target_ms), Duration::from_millis(trial.drain_grace_ms));
    let live = Rc::new(Live {
        trial: trial.clone(),
        start: Cell::new(now()),
        ledger: RefCell::new(Ledger::new(target, grace, Timestamp::ZERO).with_slack(SLACK)),
        hosts: RefCell::default(),
        links: RefCell::default(),
        fate: RefCell::new(ChaCha8Rng::seed_from_u64(trial.seed ^ FAULTS)),
        rng: RefCell::new(rng),
        waiting: RefCell::default(),
        jobs: Cell::new(0),
        held: RefCell::default(),
        ports: RefCell::default(),
        list: Cell::new(1),
        processes,
        usable: RefCell::default(),
        numbers: Cell::new(0),
        asking: Cell::new(true),
    });
    for group in 0..trial.groups {
        for nth in 0..=trial.replicas {
            databases::start(&live, &ex, group, nth == 0)?;
        }
    }
    if trial.all_cold {
        // Before the routers: their first list says so.
        live.hosts.borrow_mut().iter_mut().for_each(|host| host.started = Some(now()));
    }
    let discovery = list::start(&live, &ex)?;
    live.processes.borrow_mut().discovery = discovery;
    for router in 0..usize::from(trial.routers) {
        routers::start(&live, router)?;
        ex.spawn(routers::watch(live.clone(), router)).detach();
    }
    let begun = now();
    while live.processes.borrow().up().len() < usize::from(trial.routers) {
        if now() - begun > Duration::from_secs(60) {
            return Err(PlayError::NotReady { seconds: 60 });
        }
        rest(Duration::from_millis(20)).await;
    }
    let start = now();
    live.start.set(start);
    live.ledger.borrow_mut().set_start(start);
    ex.spawn(live.clone().look()).detach();
    let cores = replica_cores(&live.hosts.borrow());
    for (router, share) in shares.into_iter().enumerate() {
        ex.spawn(clients::arrive(live.clone(), ex.clone(), router, share * cores)).detach();
    }
    for fault in trial.faults.clone() {
        let (live, own) = (live.clone(), ex.clone());
        ex.spawn(async move {
            rest(Duration::from_millis(fault.at_ms)).await;
            live.fault(own, fault.kind).await;
        })
        .detach();
    }
    let bar = indicatif::ProgressBar::new(trial.seconds);
    for second in 1..=trial.seconds {
        rest((start + Duration::from_secs(second)) - now()).await;
        bar.set_position(second);
    }
    bar.finish_and_clear();
    live.asking.set(false);
    let end = now();
    // What was asked last has its time, and its repeats.
    rest(Duration::from_millis(trial.timeout_ms) + SLACK).await;
    live.processes.borrow_mut().end();
    let usable = live.usable.take();
    let throughout = |second, host| usable.throughout(second, host, trial.seconds);
    let ledger = live.ledger.replace(Ledger::new(target, grace, Timestamp::ZERO));
    Ok(ledger.close(end - SLACK, &throughout))
}
