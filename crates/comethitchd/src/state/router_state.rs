//! What one running router holds, shared by all its tasks on their one thread.

use crate::state::buffer::MemoryBudget;
use crate::state::client_registry::{ClientRegistry, DescriptorLimit, DescriptorPermit, IdleTimeouts};
use crate::state::clock::Clock;
use crate::state::config::Config;
use crate::state::connection_pool::ConnectionPool;
use crate::state::endpoints::EndpointDirectory;
use crate::state::log_fields::{self, Fields};
use crate::state::metrics::{Metrics, count_kind};
use crate::state::pending_commands::PendingCommands;
use crate::state::protocol::BackendProtocol;
use crate::state::signals::OneShotEvent;
use async_executor::LocalExecutor;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{AttemptOutcome, Host, Role, Router};
use comethitch_statement::StatementAdmission;
use comethitch_statement::admission::KnownShape;
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
const IDLE_TIMEOUTS: IdleTimeouts = IdleTimeouts {
    rest: AT_REST,
    idle: Duration::from_micros(AT_REST.as_micros() * 5),
    least: Duration::from_micros(AT_REST.as_micros() / 32),
};
/// Bytes of lost clients that are dropped at once.
const DROPPED: usize = 64 * 1024;
/// While less than this part of the clients' descriptors is free, room is made ahead of need.
const FREE_PART: usize = 8;

pub struct RouterState {
    pub config: Config,
    pub clock: Clock,
    pub tasks: LocalExecutor<'static>,
    pub router: RefCell<Router>,
    /// What speaks with hosts.
    pub backend: Box<dyn BackendProtocol>,
    pub commands: RefCell<PendingCommands>,
    pub pool: RefCell<ConnectionPool>,
    pub endpoints: RefCell<EndpointDirectory>,
    pub clients: ClientRegistry,
    pub memory: MemoryBudget,
    /// Where what lost clients still send is dropped.
    pub dropped: RefCell<Vec<u8>>,
    pub client_descriptors: DescriptorLimit,
    pub host_descriptors: DescriptorLimit,
    /// Whom to ask for the list, and what is raised once that is somebody else.
    pub discovery: RefCell<(SocketAddr, OneShotEvent)>,
    /// When a watch last told anything, were it an empty line.
    pub last_watch_event: Cell<Timestamp>,
    /// The list is held: clients may come.
    pub ready: OneShotEvent,
    /// Where statements are judged by their text, if the operator has given rules for that.
    pub admission: RefCell<Option<StatementAdmission>>,
    pub metrics: Metrics,
    /// The span after which the module last asked to be woken.
    pub tick: Cell<Duration>,
    /// The longest that any client waits.
    pub longest_timeout: Duration,
    seen: Cell<Timestamp>,
    /// When the router last stood still, if it ever did: from, and until.
    stood: Cell<(Timestamp, Timestamp)>,
}

impl RouterState {
    /// A hub around a router that has been started; what hosts are known is not told to it yet.
    pub fn new(
        config: Config, clock: Clock, router: Router, backend: Box<dyn BackendProtocol>,
    ) -> Rc<RouterState> {
        let shapes = config.statements.as_ref().map_or(0, |rules| rules.cache.kib as u64) << 10;
        let memory = (config.memory_mb << 20).saturating_sub(OTHER_MEMORY + shapes) as usize / 2;
        let admission = config.admission(clock.now()).expect("the rules were checked as they were read");
        let connections = config.sockets - OTHER_DESCRIPTORS;
        let client_descriptors = connections * CLIENTS_PART.0 / CLIENTS_PART.1;
        let timeouts = config.deployment.groups.iter().map(|group| group.timeout);
        Rc::new(RouterState {
            clock,
            tasks: LocalExecutor::new(),
            router: RefCell::new(router),
            backend,
            commands: RefCell::default(),
            pool: RefCell::new(ConnectionPool::new(config.host_idle)),
            endpoints: RefCell::default(),
            clients: ClientRegistry::new(IDLE_TIMEOUTS),
            memory: MemoryBudget::new(memory),
            dropped: RefCell::new(vec![0; DROPPED]),
            client_descriptors: DescriptorLimit::new(client_descriptors),
            host_descriptors: DescriptorLimit::new(connections - client_descriptors),
            discovery: RefCell::new((config.discovery, OneShotEvent::default())),
            last_watch_event: Cell::new(clock.now()),
            ready: OneShotEvent::default(),
            admission: RefCell::new(admission),
            metrics: Metrics::default(),
            tick: Cell::default(),
            longest_timeout: timeouts.max().unwrap_or_default(),
            seen: Cell::new(clock.now()),
            stood: Cell::default(),
            config,
        })
    }

    /// A host has answered a statement whose shape is known.
    pub fn answered_after(&self, known: &KnownShape, took: Duration) {
        if let Some(desk) = &*self.admission.borrow() {
            desk.learn(known, took);
        }
    }

    /// The present. Gaps between calls show that the router stood still: it wakes at every beat.
    pub fn now(&self) -> Timestamp {
        let now = self.clock.now();
        if now - self.seen.get() > self.tick.get() * 2 {
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
        if now - until < self.config.deployment.tick { from } else { now }
    }

    /// Keeps for the log what a dispatch or a probe has told of a host.
    pub fn met(&self, host: Host, ending: AttemptOutcome, role: Option<Role>) {
        if !matches!(ending, AttemptOutcome::Answered | AttemptOutcome::Cancelled) {
            count_kind(&self.metrics.troubles, (host, ending));
        }
        let mut list = self.endpoints.borrow_mut();
        if let Some(role) = role.filter(|role| list.tells(host, *role)) {
            log::info!("{} answers as {role:?}", list.name(host));
        }
    }

    /// Logs what was counted since the last time.
    pub fn report(&self) {
        let mut told = self.metrics.told();
        if !told.is_empty() {
            let now = [
                ("now_in_hand", self.commands.borrow().len()),
                ("now_clients", self.clients.len()),
                ("now_kept", self.pool.borrow().len()),
                ("now_to_hosts", self.host_descriptors.used()),
            ];
            told.extend(now.map(|(name, number)| (name.to_string(), number as u64)));
            log_fields::tell(Level::Info, module_path!(), "counts", &Fields(told));
        }
        if let Some(desk) = &mut *self.admission.borrow_mut() {
            let told = shapes_told(desk);
            if !told.is_empty() {
                log_fields::tell(Level::Info, module_path!(), "statements", &Fields(told));
            }
        }
        for ((host, ending), number) in self.metrics.troubles.take() {
            log::warn!(number; "{}: {ending:?} {number} times", self.endpoints.borrow().name(host));
        }
    }

    /// Logs a command that the router turned away before the module saw it: `at_limit` where [`RouterState::is_full`],
    /// `statement_budget` where its client's budget for judging statements was spent (its id is not read yet:
    /// empty). Counted where it is turned away, as `throttled_at_limit` and `throttled`, not twice.
    pub fn turned_away(&self, id: &str, why: &'static str) {
        log::info!(id, why, answer = "throttled"; "given up");
    }

    /// Whether as many commands are in hand as connections allow. Past that, clients' connections are still
    /// accepted, and their commands throttled at once.
    pub fn is_full(&self) -> bool {
        self.commands.borrow().len() >= self.client_descriptors.most() * BUSY_PART.0 / BUSY_PART.1
    }

    /// A descriptor for one more client. As they run short, connections that are not in use are asked to go.
    pub fn client_descriptor(&self) -> Option<DescriptorPermit> {
        let (used, most) = (self.client_descriptors.used(), self.client_descriptors.most());
        if used >= most - most / FREE_PART {
            self.clients.shed(self.clock.now(), used == most);
        }
        self.client_descriptors.take()
    }

    /// A descriptor for one more connection to a host, if need be that of the one idle longest.
    pub fn host_descriptor(&self) -> Option<DescriptorPermit> {
        self.host_descriptors.take().or_else(|| {
            self.pool.borrow_mut().shed();
            self.host_descriptors.take()
        })
    }
}

/// What was done with statements since the last time, and what is held; empty if nothing was.
fn shapes_told(desk: &mut StatementAdmission) -> Vec<(String, u64)> {
    let done = desk.done();
    let effects =
        StatementAdmission::EFFECTS.iter().zip(done.effects).map(|(effect, number)| (effect.name(), number));
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
