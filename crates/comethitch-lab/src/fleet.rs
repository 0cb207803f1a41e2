//! The fleet: routers, hosts, clients and the network as one line of events in simulated time.

use crate::hosts::{Arrived, Box as Db, Cold, Job, part_of_each};
use crate::ledger::{Answer, Ledger, Report};
use crate::trial::{Fault, Routing, Trial, Trouble};
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{
    Action, ActionQueue, AttemptEnd, AttemptOutcome, CommandId, CommandRequest, Deployment, Endpoint,
    EndpointUpdate, Host, HostReport, Lifecycle, Role, Router,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The start of every trial. Positions count from long before.
const START: Timestamp = Timestamp::from_millis(1_000_000);
/// How often a client comes again after a throttle, and how soon.
const RETRIES: u8 = 2;
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Most events of one trial: it ends with an error rather than run on.
const EVENTS: u64 = 60_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next command of a router's own clients.
    Asked(usize),
    /// A client's repeat: its first try's number and time, what it is, and how often it has come.
    Again {
        origin: (u64, Timestamp),
        group: u16,
        write: bool,
        tries: u8,
        router: usize,
    },
    Reach {
        host: usize,
        router: usize,
        epoch: u32,
        command: u32,
        nth: u16,
        work: Duration,
        write: bool,
    },
    Done {
        host: usize,
        router: usize,
        command: u32,
        nth: u16,
        work: Duration,
    },
    Back {
        router: usize,
        epoch: u32,
        command: u32,
        nth: u16,
        ending: u8,
        host: usize,
    },
    TimeOut {
        router: usize,
        epoch: u32,
        command: u32,
        nth: u16,
    },
    ProbeReach {
        router: usize,
        epoch: u32,
        host: usize,
    },
    ProbeBack {
        router: usize,
        epoch: u32,
        host: usize,
        position: Option<Timestamp>,
        queue: u64,
        primary: bool,
    },
    Wake {
        router: usize,
        epoch: u32,
    },
    List {
        router: usize,
        epoch: u32,
    },
    Fault(usize),
    Replace(usize),
    Gone(usize),
    Restart(usize),
    Lead(u16),
    Level(usize),
    Second(u64),
}

const ANSWERED: u8 = 0;
const FULL: u8 = 1;
const RESET: u8 = 2;
const MISS: u8 = 3;

/// A command in hand at a router.
struct Open {
    number: u64,
    origin: (u64, Timestamp),
    group: u16,
    write: bool,
    tries: u8,
    /// Where each dispatch went, its work, when it was sent, and whether it is out.
    sent: Vec<(usize, Duration, Timestamp, bool)>,
    over: bool,
}

struct Seat {
    router: Option<Router>,
    /// How often it was killed: what was meant for an earlier life is void.
    epoch: u32,
    /// Commands a second of its own clients.
    rate: f64,
    last: CommandId,
    open: BTreeMap<CommandId, Open>,
    /// By host: connections in use, and opened so far.
    lines: BTreeMap<usize, (u32, u32)>,
}

struct Fleet<'a> {
    trial: &'a Trial,
    deployment: Deployment,
    cold: Cold,
    now: Timestamp,
    next: u64,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    rng: ChaCha8Rng,
    seats: Vec<Seat>,
    hosts: Vec<Db>,
    by_host: BTreeMap<Host, usize>,
    ledger: Ledger,
    /// By second, the replicas that were usable as it began.
    usable: BTreeMap<u64, Vec<usize>>,
    numbers: u64,
}

/// Plays a trial to its end.
///
/// # Errors
/// A key of the trial that is out of bounds, or more events than a trial may have.
pub fn play(trial: &Trial) -> Result<Report, String> {
    trial.check()?;
    let real = |fault: &Fault| matches!(fault.trouble, Trouble::Stop { .. } | Trouble::Links { .. });
    if let Some(nth) = trial.faults.iter().position(real) {
        return Err(format!("faults[{nth}] is played with real processes alone: comethitch-lab live"));
    }
    let real = [
        ("slots", trial.slots > 0),
        ("namesakes", trial.namesakes > 0),
        ("settings", !trial.settings.is_empty()),
    ];
    if let Some((key, _)) = real.iter().find(|(_, set)| *set) {
        return Err(format!("{key} has an effect with real processes alone: comethitch-lab live"));
    }
    let mut fleet = Fleet::new(trial)?;
    let end = START + Duration::from_secs(trial.seconds);
    let mut count = 0;
    while let Some(Reverse((at, _, event))) = fleet.events.pop() {
        if at > end + Duration::from_millis(trial.timeout_ms) {
            break;
        }
        count += 1;
        if count > EVENTS {
            return Err(format!("more than {EVENTS} events: fewer routers, seconds or load"));
        }
        fleet.now = at;
        fleet.happen(event, at <= end);
    }
    let Fleet { ledger, usable, .. } = fleet;
    let throughout = |second: u64, host: usize| {
        let at = |second: &u64| usable.get(second).is_some_and(|hosts| hosts.contains(&host));
        // The last second is cut short, and no measure of evenness.
        second < trial.seconds && at(&second) && at(&(second + 1))
    };
    Ok(ledger.close(end, &throughout))
}

impl<'a> Fleet<'a> {
    fn new(trial: &'a Trial) -> Result<Fleet<'a>, String> {
        let mut rng = ChaCha8Rng::seed_from_u64(trial.seed);
        // Drawn before all else: the same seed gives the same routers, whatever the hosts.
        let shares = trial.rates(&mut rng, 1.0)?;
        let mut fleet = Fleet {
            deployment: trial.deployment()?,
            cold: trial.cold(),
            trial,
            now: START,
            next: 0,
            events: BinaryHeap::new(),
            rng,
            seats: Vec::new(),
            hosts: Vec::new(),
            by_host: BTreeMap::new(),
            ledger: Ledger::new(
                Duration::from_millis(trial.target_ms),
                Duration::from_millis(trial.drain_grace_ms),
                START,
            ),
            usable: BTreeMap::new(),
            numbers: 0,
        };
        for group in 0..trial.groups {
            (0..=trial.replicas).for_each(|nth| _ = fleet.add_host(group, nth == 0));
        }
        if trial.all_cold {
            fleet.hosts.iter_mut().for_each(|host| host.started = Some(START));
        }
        let cores: f64 = fleet.hosts.iter().filter(|h| !h.primary).map(|h| f64::from(h.cores)).sum();
        for share in shares {
            fleet.seats.push(Seat {
                router: None,
                epoch: 0,
                rate: share * cores,
                last: 0,
                open: BTreeMap::new(),
                lines: BTreeMap::new(),
            });
        }
        for router in 0..fleet.seats.len() {
            fleet.start(router);
            fleet.ask_next(router);
        }
        for (nth, fault) in trial.faults.iter().enumerate() {
            fleet.at(START + Duration::from_millis(fault.at_ms), Event::Fault(nth));
        }
        (0..=trial.seconds + 1).for_each(|s| fleet.at(START + Duration::from_secs(s), Event::Second(s)));
        Ok(fleet)
    }

    fn at(&mut self, at: Timestamp, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn soon(&mut self, event: Event) {
        let way = self.trial.net_us as f64;
        let late = Duration::from_micros((way * self.rng.random_range(0.8..1.2)) as u64);
        self.at(self.now + late, event);
    }

    fn add_host(&mut self, group: u16, primary: bool) -> usize {
        let nth = self.hosts.len();
        let host = Host { address: [10, 0, (nth >> 8) as u8, nth as u8], port: 5432 };
        let cores = self.trial.cores[nth % self.trial.cores.len()];
        self.hosts.push(Db::new(host, group, cores, primary, self.trial.queue_per_core));
        self.by_host.insert(host, nth);
        nth
    }

    fn start(&mut self, router: usize) {
        let seed = self.rng.next_u64();
        let mut out = ActionQueue::at(self.now);
        self.seats[router].router = Some(Router::start(self.deployment.clone(), seed, &mut out));
        self.carry_out(router, out);
        self.tell_list(router);
    }

    fn tell_list(&mut self, router: usize) {
        let now = self.now;
        let hosts = self.hosts.iter().enumerate();
        hosts.filter(|(_, h)| h.draining.is_some()).for_each(|(nth, _)| self.ledger.drains(router, nth, now));
        let endpoint = |host: &Db| Endpoint {
            host: host.host,
            zone: 0,
            shard: host.group,
            lifecycle: if host.draining.is_some() { Lifecycle::Draining } else { Lifecycle::Ready },
            is_primary: host.primary,
            capacity: f64::from(host.cores),
            started: host.started,
        };
        let endpoints = self.hosts.iter().filter(|host| !host.gone).map(endpoint).collect();
        let update = EndpointUpdate { complete: true, endpoints };
        self.call(router, |router, out| router.update_endpoints(&update, out));
    }

    /// Every router is told of a change, each a little later than it happened.
    fn list_all(&mut self) {
        for router in 0..self.seats.len() {
            let late = Duration::from_micros(self.rng.random_range(200_000..1_500_000));
            let epoch = self.seats[router].epoch;
            self.at(self.now + late, Event::List { router, epoch });
        }
    }

    fn ask_next(&mut self, router: usize) {
        let rate = self.seats[router].rate.max(1e-6);
        let gap = Exp::new(rate).expect("a rate above 0").sample(&mut self.rng);
        self.at(self.now + Duration::from_micros((gap * 1e6) as u64), Event::Asked(router));
    }

    /// A router that is up: this one, or any other if it is down.
    fn front(&mut self, router: usize) -> Option<usize> {
        let up: Vec<usize> = (0..self.seats.len()).filter(|r| self.seats[*r].router.is_some()).collect();
        match self.seats[router].router {
            Some(_) => Some(router),
            None if up.is_empty() => None,
            None => Some(up[self.rng.random_range(0..up.len())]),
        }
    }

    fn happen(&mut self, event: Event, open: bool) {
        match event {
            Event::Asked(router) if open => {
                self.ask_next(router);
                let group = self.rng.random_range(0..self.trial.groups);
                let write = self.rng.random_bool(self.trial.writes);
                self.numbers += 1;
                let origin = (self.numbers, self.now);
                self.ledger.asked(origin);
                if let Some(router) = self.front(router) {
                    self.take(router, origin, group, write, 0);
                }
            }
            Event::Asked(_) => {}
            Event::Again { origin, group, write, tries, router } => {
                if let Some(router) = self.front(router) {
                    self.take(router, origin, group, write, tries);
                }
            }
            Event::Reach { host, router, epoch, command, nth, work, write } => {
                self.reach(host, Job { router, command, nth, work }, epoch, write);
            }
            Event::Done { host, router, command, nth, work } => {
                let job = Job { router, command, nth, work };
                let next = self.hosts[host].done(&job, &self.cold, self.now);
                if let Some((next, takes)) = next {
                    let Job { router, command, nth, work } = next;
                    self.at(self.now + takes, Event::Done { host, router, command, nth, work });
                }
                if !self.hosts[host].gone {
                    let epoch = self.seats[router].epoch;
                    self.soon(Event::Back { router, epoch, command, nth, ending: ANSWERED, host });
                }
            }
            Event::Back { router, epoch, command, nth, ending, host }
                if self.seats[router].epoch == epoch =>
            {
                self.back(router, command, nth, ending, host);
            }
            Event::TimeOut { router, epoch, command, nth } if self.seats[router].epoch == epoch => {
                self.ended(router, command, nth, AttemptOutcome::TimedOut, false, HostReport::default());
            }
            Event::ProbeReach { router, epoch, host } => {
                let dead = self.hosts[host].gone || self.hosts[host].fallen;
                let (lag, every) =
                    (Duration::from_millis(self.trial.lag_ms), Duration::from_millis(self.trial.report_ms));
                let told = self.hosts[host].report(lag, every, self.now);
                let (position, primary) = (told.position.filter(|_| !dead), told.role == Some(Role::Primary));
                let queue = told.queue.unwrap_or_default() as u64;
                self.soon(Event::ProbeBack { router, epoch, host, position, queue, primary });
            }
            Event::ProbeBack { router, epoch, host, position, queue, primary }
                if self.seats[router].epoch == epoch =>
            {
                let host = self.hosts[host].host;
                let role = Some(if primary { Role::Primary } else { Role::Replica });
                let (ending, told) = match position {
                    Some(_) => {
                        (AttemptOutcome::Answered, HostReport { role, position, queue: Some(queue as f64) })
                    }
                    None => (AttemptOutcome::ConnectionReset, HostReport::default()),
                };
                self.call(router, |router, out| router.health_checked(host, ending, told, out));
            }
            Event::Wake { router, epoch } if self.seats[router].epoch == epoch => {
                self.call(router, |router, out| router.tick(out));
            }
            Event::List { router, epoch } if self.seats[router].epoch == epoch => self.tell_list(router),
            Event::Fault(nth) => self.fault(self.trial.faults[nth].trouble),
            Event::Replace(host) => {
                self.hosts[host].draining = Some(self.now);
                let new = self.add_host(self.hosts[host].group, false);
                self.hosts[new].started = Some(self.now);
                self.list_all();
                self.at(
                    self.now + Duration::from_micros(self.trial.drain_grace_ms * 2000),
                    Event::Gone(host),
                );
            }
            Event::Gone(host) => {
                self.hosts[host].gone = true;
                self.list_all();
            }
            Event::Restart(router) => self.start(router),
            Event::Lead(group) => {
                let heir = self.hosts.iter_mut().find(|h| h.group == group && !h.primary && h.usable());
                if let Some(heir) = heir {
                    heir.primary = true;
                }
                self.list_all();
            }
            Event::Level(host) => self.hosts[host].stalled = None,
            Event::Second(second) => {
                let of = |(nth, host): (usize, &Db)| {
                    (host.usable() && !host.primary && host.stalled.is_none()).then_some(nth)
                };
                let now: Vec<usize> = self.hosts.iter().enumerate().filter_map(of).collect();
                now.iter().for_each(|host| self.ledger.usable(second, *host));
                self.usable.insert(second, now);
            }
            // Meant for an earlier life of the router.
            _ => {}
        }
    }

    fn fault(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Release { part, over_ms } => {
                let mut of: Vec<usize> = (0..self.hosts.len())
                    .filter(|h| self.hosts[*h].usable() && !self.hosts[*h].primary)
                    .collect();
                let count = (of.len() as f64 * part) as u64;
                for nth in 0..count {
                    let host = of.swap_remove(self.rng.random_range(0..of.len()));
                    self.at(
                        self.now + Duration::from_micros(over_ms * 1000 * nth / count),
                        Event::Replace(host),
                    );
                }
            }
            Trouble::Herd { part, back_ms } => {
                let mut of: Vec<usize> = (0..self.seats.len()).collect();
                for _ in 0..(of.len() as f64 * part) as usize {
                    let router = of.swap_remove(self.rng.random_range(0..of.len()));
                    let seat = &mut self.seats[router];
                    (seat.router, seat.epoch) = (None, seat.epoch + 1);
                    seat.lines.clear();
                    for (_, open) in std::mem::take(&mut seat.open) {
                        self.ledger.void(open.number);
                    }
                    self.at(self.now + Duration::from_millis(back_ms), Event::Restart(router));
                }
            }
            Trouble::Slow { part, factor } => {
                for host in &mut self.hosts {
                    if !host.primary && self.rng.random_bool(part) {
                        host.slow = factor;
                    }
                }
            }
            Trouble::Stall { part, for_ms } => {
                for host in part_of_each(&self.hosts, part) {
                    self.hosts[host].stalled = Some(self.now);
                    self.at(self.now + Duration::from_millis(for_ms), Event::Level(host));
                }
            }
            Trouble::Takeover { part, after_ms } => {
                for group in 0..self.trial.groups {
                    if self.rng.random_bool(part) {
                        let lead = self.hosts.iter_mut().find(|h| h.group == group && h.primary && !h.gone);
                        if let Some(lead) = lead {
                            lead.gone = true;
                        }
                        self.at(self.now + Duration::from_millis(after_ms), Event::Lead(group));
                    }
                }
            }
            // Refused before the trial began.
            Trouble::Stop { .. } | Trouble::Links { .. } => {}
        }
    }

    fn take(&mut self, router: usize, origin: (u64, Timestamp), group: u16, write: bool, tries: u8) {
        self.numbers += 1;
        let (number, timeout) = (self.numbers, Duration::from_millis(self.trial.timeout_ms));
        self.ledger.taken(number, origin, write, self.now + timeout);
        let seat = &mut self.seats[router];
        seat.last += 1;
        let id = seat.last;
        let open = Open { number, origin, group, write, tries, sent: Vec::new(), over: false };
        seat.open.insert(id, open);
        if self.trial.routing == Routing::Perfect {
            return self.take_perfect(router, id, group, write);
        }
        let request = CommandRequest {
            id,
            group: usize::from(write),
            shard: group,
            session: 0,
            since_write: None,
            timeout,
        };
        self.call(router, |router, out| _ = router.submit(request, out));
    }

    fn take_perfect(&mut self, router: usize, id: CommandId, group: u16, write: bool) {
        let of: Vec<(usize, f64)> = (0..self.hosts.len())
            .map(|h| (h, &self.hosts[h]))
            .filter(|(_, host)| host.group == group && host.usable() && host.primary == write)
            .map(|(h, host)| (h, f64::from(host.cores) * host.warmth(&self.cold, self.now) / host.slow))
            .collect();
        let mut at = self.rng.random_range(0.0..of.iter().map(|(_, w)| w).sum::<f64>().max(1e-9));
        let found = of.iter().find(|(_, weight)| {
            at -= weight;
            at < 0.0
        });
        let timeout = Duration::from_millis(self.trial.timeout_ms);
        match found.or(of.last()) {
            Some((host, _)) => self.dispatch(router, id, self.hosts[*host].host, timeout),
            None => self.finish(router, id, Answer::Throttled),
        }
    }

    fn reach(&mut self, host: usize, job: Job, epoch: u32, write: bool) {
        let Job { router, command, nth, work } = job;
        let number = self.seats[router].open.get(&command).map(|open| open.number);
        if write && !self.hosts[host].primary {
            return self.soon(Event::Back { router, epoch, command, nth, ending: MISS, host });
        }
        if !write {
            let second = (self.now - START).as_micros() / 1_000_000;
            self.ledger.load(second, host, 1.0 / f64::from(self.hosts[host].cores));
        }
        let was = (self.hosts[host].fallen, self.hosts[host].crowd);
        let ending = match self.hosts[host].arrive(job, &self.cold, self.now) {
            Arrived::Runs(takes) => {
                self.at(self.now + takes, Event::Done { host, router, command, nth, work });
                None
            }
            Arrived::Waits => None,
            Arrived::Full => Some(FULL),
            Arrived::Dead => Some(RESET),
        };
        if !was.0 && self.hosts[host].fallen {
            self.ledger.breaks("cold", format!("host {host} fell over at {:?}", self.now - START));
        }
        self.ledger.crowded(host, was.1, self.hosts[host].crowd);
        match (ending, number) {
            (None, Some(number)) => self.ledger.may_run(number),
            (None, None) => {}
            (Some(ending), _) => self.soon(Event::Back { router, epoch, command, nth, ending, host }),
        }
    }

    fn back(&mut self, router: usize, command: u32, nth: u16, ending: u8, host: usize) {
        let role = Some(if self.hosts[host].primary { Role::Primary } else { Role::Replica });
        let noted = HostReport { role, ..HostReport::default() };
        let (ending, over) = match ending {
            ANSWERED => (AttemptOutcome::Answered, true),
            FULL => (AttemptOutcome::Overloaded, false),
            MISS => (AttemptOutcome::NotPrimary, false),
            _ => (AttemptOutcome::ConnectionReset, false),
        };
        let noted = if ending == AttemptOutcome::ConnectionReset { HostReport::default() } else { noted };
        let Some(open) = self.seats[router].open.get_mut(&command) else { return };
        let out = open.sent.get(usize::from(nth)).is_some_and(|sent| sent.3);
        if out && over && !open.over {
            open.over = true;
            let (number, write, (at, _, sent, _)) = (open.number, open.write, open.sent[usize::from(nth)]);
            self.ledger.answered(number, self.now, Answer::Answered);
            let lag = self.hosts[at].behind(Duration::from_millis(self.trial.lag_ms), sent);
            if !write && lag > Duration::from_millis(self.trial.bound_ms) {
                self.ledger.breaks("stale", format!("command {number}, sent at {sent:?}"));
            }
        }
        if self.trial.routing == Routing::Perfect && !over && out {
            self.finish(router, command, Answer::Throttled);
        }
        self.ended(router, command, nth, ending, over, noted);
    }

    fn ended(
        &mut self, router: usize, command: u32, nth: u16, ending: AttemptOutcome, over: bool,
        noted: HostReport,
    ) {
        let seat = &mut self.seats[router];
        let Some(open) = seat.open.get_mut(&command) else { return };
        let Some(sent) = open.sent.get_mut(usize::from(nth)).filter(|sent| sent.3) else { return };
        sent.3 = false;
        let host = sent.0;
        let line = seat.lines.entry(host).or_default();
        line.0 = line.0.saturating_sub(1);
        let report = HostReport::default();
        let end = AttemptEnd { attempt: nth, outcome: ending, command_finished: over, note: noted, report };
        self.call(router, |router, out| {
            if let Some(handle) = router.handle(command) {
                handle.attempt_ended(router, end, out);
            }
        });
        self.forget(router, command);
    }

    /// A command that is over and has nothing out is forgotten.
    fn forget(&mut self, router: usize, command: u32) {
        let open = &mut self.seats[router].open;
        if open.get(&command).is_some_and(|open| open.over && open.sent.iter().all(|sent| !sent.3)) {
            open.remove(&command);
        }
    }

    fn finish(&mut self, router: usize, command: u32, answer: Answer) {
        let Some(open) = self.seats[router].open.get_mut(&command) else { return };
        open.over = true;
        let (number, origin, group, write, tries) =
            (open.number, open.origin, open.group, open.write, open.tries);
        self.ledger.answered(number, self.now, answer);
        if answer == Answer::Throttled && tries < RETRIES {
            let again = Event::Again { origin, group, write, tries: tries + 1, router };
            self.at(self.now + RETRY_AFTER, again);
        }
        self.forget(router, command);
    }

    fn call(&mut self, router: usize, call: impl FnOnce(&mut Router, &mut ActionQueue)) {
        let mut out = ActionQueue::at(self.now);
        let Some(at) = self.seats[router].router.as_mut() else { return };
        call(at, &mut out);
        self.carry_out(router, out);
    }

    fn carry_out(&mut self, router: usize, queue: ActionQueue) {
        let epoch = self.seats[router].epoch;
        for action in queue.actions {
            match action {
                Action::SendAttempt { command, host, timeout } => {
                    self.dispatch(router, command, host, timeout)
                }
                Action::CancelAttempt { command, attempt: nth } => {
                    let sent =
                        self.seats[router].open.get(&command).and_then(|o| o.sent.get(usize::from(nth)));
                    let Some((host, work, ..)) = sent.copied() else { continue };
                    let never = self.hosts[host].withdraw(&Job { router, command, nth, work });
                    let number = self.seats[router].open.get(&command).map(|open| open.number);
                    if let Some(number) = number.filter(|_| never) {
                        self.ledger.never_ran(number);
                    }
                    self.ended(router, command, nth, AttemptOutcome::Cancelled, true, HostReport::default());
                }
                Action::Throttle { command, .. } => self.finish(router, command, Answer::Throttled),
                Action::Fail { command, .. } => self.finish(router, command, Answer::Failed),
                Action::CheckHealth(host) => {
                    self.ledger.probes += 1;
                    let host = self.by_host[&host];
                    self.connect(router, host);
                    let line = self.seats[router].lines.entry(host).or_default();
                    line.0 = line.0.saturating_sub(1);
                    self.soon(Event::ProbeReach { router, epoch, host });
                }
                Action::WakeAfter(delay) => self.at(self.now + delay, Event::Wake { router, epoch }),
                Action::CloseIdleConnections(_) | Action::WatchEndpoints => {}
            }
        }
    }

    /// Takes a connection that is kept, or opens one.
    fn connect(&mut self, router: usize, host: usize) {
        let line = self.seats[router].lines.entry(host).or_default();
        line.0 += 1;
        if line.0 > line.1 {
            line.1 = line.0;
            self.ledger.connections += 1;
        }
    }

    fn dispatch(&mut self, router: usize, command: u32, host: Host, time_out: Duration) {
        let host = self.by_host[&host];
        self.connect(router, host);
        let work = Exp::new(1.0).expect("a rate above 0").sample(&mut self.rng) * self.trial.work_ms * 1e3;
        let work = Duration::from_micros(work.max(1.0) as u64);
        let (now, epoch) = (self.now, self.seats[router].epoch);
        let seat = &mut self.seats[router];
        let Some(open) = seat.open.get_mut(&command) else { return };
        let nth = open.sent.len() as u16;
        open.sent.push((host, work, now, true));
        let (number, write) = (open.number, open.write);
        self.ledger.sent_to(number, router, host, now);
        self.soon(Event::Reach { host, router, epoch, command, nth, work, write });
        self.at(now + time_out, Event::TimeOut { router, epoch, command, nth });
    }
}
