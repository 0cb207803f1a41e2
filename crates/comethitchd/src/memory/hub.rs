//! What one running router holds, shared by all its tasks on their one thread.

use crate::memory::buffer::Room;
use crate::memory::clients::{Clients, Descriptors, Patience, Permit};
use crate::memory::clock::Clock;
use crate::memory::commands::Commands;
use crate::memory::fields::{self, Fields};
use crate::memory::flag::Flag;
use crate::memory::list::List;
use crate::memory::pool::Pool;
use crate::memory::protocol::Back;
use crate::memory::site::Site;
use crate::memory::tally::{Tally, count_kind};
use async_executor::LocalExecutor;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{AttemptOutcome, Host, Role, Router};
use comethitch_statement::Desk;
use comethitch_statement::desk::Known;
use log::Level;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Descriptors that are no connections of clients or hosts: standard streams, poller, signals, listener,
/// discovery, the log.
const OTHER_DESCRIPTORS: usize = 20;
/// Of the others, clients get this part and hosts the rest, so that neither waits for what the other holds.
const CLIENTS_PART: (usize, usize) = (5, 8);
/// Commands may be in hand on this part of the clients' connections.
const BUSY_PART: (usize, usize) = (4, 5);
/// Memory that is no connection's buffer; of the rest buffers get half, as what they hold is copied once.
const OTHER_MEMORY: u64 = 12 << 20;
/// A connection with nothing in hand may be closed after this long.
const AT_REST: Duration = Duration::from_secs(2);
/// What clients' connections have: to be closed for saying nothing within 3 s, for being idle, and when
/// descriptors run short.
const PATIENCE: Patience = Patience {
    rest: AT_REST,
    idle: Duration::from_micros(AT_REST.as_micros() * 5),
    least: Duration::from_micros(AT_REST.as_micros() / 32),
};
/// Bytes of lost clients that are dropped at once.
const DROPPED: usize = 64 * 1024;
/// While less than this part of the clients' descriptors is free, room is made ahead of need.
const FREE_PART: usize = 8;

pub struct Hub {
    pub site: Site,
    pub clock: Clock,
    pub tasks: LocalExecutor<'static>,
    pub router: RefCell<Router>,
    /// What speaks with hosts.
    pub back: Box<dyn Back>,
    pub commands: RefCell<Commands>,
    pub pool: RefCell<Pool>,
    pub list: RefCell<List>,
    pub clients: Clients,
    pub room: Room,
    /// Where what lost clients still send is dropped.
    pub dropped: RefCell<Vec<u8>>,
    pub for_clients: Descriptors,
    pub for_hosts: Descriptors,
    /// Whom to ask for the list, and what is raised once that is somebody else.
    pub discovery: RefCell<(SocketAddr, Flag)>,
    /// When a watch last told anything, were it an empty line.
    pub heard: Cell<Timestamp>,
    /// The list is held: clients may come.
    pub ready: Flag,
    /// Where statements are judged by their text, if the operator has given rules for that.
    pub desk: RefCell<Option<Desk>>,
    pub tally: Tally,
    /// The span after which the module last asked to be woken.
    pub beat: Cell<Duration>,
    /// The longest that any client waits.
    pub longest_timeout: Duration,
    seen: Cell<Timestamp>,
    /// When the router last stood still, if it ever did: from, and until.
    stood: Cell<(Timestamp, Timestamp)>,
}

impl Hub {
    /// A hub around a router that has been started; what hosts are known is not told to it yet.
    pub fn new(site: Site, clock: Clock, router: Router, back: Box<dyn Back>) -> Rc<Hub> {
        let shapes = site.statements.as_ref().map_or(0, |rules| rules.cache.kib as u64) << 10;
        let room = (site.memory_mb << 20).saturating_sub(OTHER_MEMORY + shapes) as usize / 2;
        let desk = site.desk(clock.now()).expect("the rules were checked as they were read");
        let connections = site.sockets - OTHER_DESCRIPTORS;
        let for_clients = connections * CLIENTS_PART.0 / CLIENTS_PART.1;
        let timeouts = site.deployment.groups.iter().map(|group| group.timeout);
        Rc::new(Hub {
            clock,
            tasks: LocalExecutor::new(),
            router: RefCell::new(router),
            back,
            commands: RefCell::default(),
            pool: RefCell::new(Pool::new(site.host_idle)),
            list: RefCell::default(),
            clients: Clients::new(PATIENCE),
            room: Room::new(room),
            dropped: RefCell::new(vec![0; DROPPED]),
            for_clients: Descriptors::new(for_clients),
            for_hosts: Descriptors::new(connections - for_clients),
            discovery: RefCell::new((site.discovery, Flag::default())),
            heard: Cell::new(clock.now()),
            ready: Flag::default(),
            desk: RefCell::new(desk),
            tally: Tally::default(),
            beat: Cell::default(),
            longest_timeout: timeouts.max().unwrap_or_default(),
            seen: Cell::new(clock.now()),
            stood: Cell::default(),
            site,
        })
    }

    /// A host has answered a statement whose shape is known.
    pub fn answered_after(&self, known: &Known, took: Duration) {
        if let Some(desk) = &*self.desk.borrow() {
            desk.learn(known, took);
        }
    }

    /// The present. Gaps between calls show that the router stood still: it wakes at every beat.
    pub fn now(&self) -> Timestamp {
        let now = self.clock.now();
        if now - self.seen.get() > self.beat.get() * 2 {
            self.stood.set((self.seen.get(), now));
            log::warn!("stood still for {} ms", (now - self.seen.get()).as_micros() / 1_000);
        }
        self.seen.set(now);
        now
    }

    /// When bytes that are read now came in: if the router stood still, perhaps as that began.
    pub fn arrival(&self) -> Timestamp {
        let now = self.now();
        let (from, until) = self.stood.get();
        if now - until < self.site.deployment.tick { from } else { now }
    }

    /// Keeps for the log what a dispatch or a probe has told of a host.
    pub fn met(&self, host: Host, ending: AttemptOutcome, role: Option<Role>) {
        if !matches!(ending, AttemptOutcome::Answered | AttemptOutcome::Cancelled) {
            count_kind(&self.tally.troubles, (host, ending));
        }
        let mut list = self.list.borrow_mut();
        if let Some(role) = role.filter(|role| list.tells(host, *role)) {
            log::info!("{} answers as {role:?}", list.name(host));
        }
    }

    /// Logs what was counted since the last time.
    pub fn report(&self) {
        let mut told = self.tally.told();
        if !told.is_empty() {
            let now = [
                ("now_in_hand", self.commands.borrow().len()),
                ("now_clients", self.clients.len()),
                ("now_kept", self.pool.borrow().len()),
                ("now_to_hosts", self.for_hosts.used()),
            ];
            told.extend(now.map(|(name, number)| (name.to_string(), number as u64)));
            fields::tell(Level::Info, module_path!(), "counts", &Fields(told));
        }
        if let Some(desk) = &mut *self.desk.borrow_mut() {
            let told = shapes_told(desk);
            if !told.is_empty() {
                fields::tell(Level::Info, module_path!(), "statements", &Fields(told));
            }
        }
        for ((host, ending), number) in self.tally.troubles.take() {
            log::warn!(number; "{}: {ending:?} {number} times", self.list.borrow().name(host));
        }
    }

    /// Logs a command that the router turned away before the module saw it: `at_limit` where [`Hub::is_full`],
    /// `statement_budget` where its client's budget for judging statements was spent (its id is not read yet:
    /// empty). Counted where it is turned away, as `throttled_at_limit` and `throttled`, not twice.
    pub fn turned_away(&self, id: &str, why: &'static str) {
        log::info!(id, why, answer = "throttled"; "given up");
    }

    /// Whether as many commands are in hand as connections allow. Past that, clients' connections are still
    /// accepted, and their commands throttled at once.
    pub fn is_full(&self) -> bool {
        self.commands.borrow().len() >= self.for_clients.most() * BUSY_PART.0 / BUSY_PART.1
    }

    /// A descriptor for one more client. As they run short, connections that are not in use are asked to go.
    pub fn client_descriptor(&self) -> Option<Permit> {
        let (used, most) = (self.for_clients.used(), self.for_clients.most());
        if used >= most - most / FREE_PART {
            self.clients.shed(self.clock.now(), used == most);
        }
        self.for_clients.take()
    }

    /// A descriptor for one more connection to a host, if need be that of the one idle longest.
    pub fn host_descriptor(&self) -> Option<Permit> {
        self.for_hosts.take().or_else(|| {
            self.pool.borrow_mut().shed();
            self.for_hosts.take()
        })
    }
}

/// What was done with statements since the last time, and what is held; empty if nothing was.
fn shapes_told(desk: &mut Desk) -> Vec<(String, u64)> {
    let done = desk.done();
    let effects = Desk::EFFECTS.iter().zip(done.effects).map(|(effect, number)| (effect.name(), number));
    let others = [
        ("hits", done.hits),
        ("parsed", done.parsed),
        ("doubtful", done.doubtful),
        ("beyond_client", done.beyond_client),
        ("beyond_all", done.beyond_all),
        ("refused", done.refused),
        ("raised", done.raised),
    ];
    let mut told: Vec<(String, u64)> = effects
        .chain(others)
        .filter(|(_, number)| *number > 0)
        .map(|(name, number)| (name.to_string(), number))
        .collect();
    if !told.is_empty() {
        told.extend([
            ("shapes_bytes".to_string(), desk.held() as u64),
            ("turned_away_ever".to_string(), desk.cached().turned_away),
            ("pushed_out_ever".to_string(), desk.cached().pushed_out),
        ]);
    }
    told
}
