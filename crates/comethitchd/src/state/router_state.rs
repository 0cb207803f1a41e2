//! The state of one running router, shared by all its tasks on their one thread.
//!
//! It owns the policy, the tasks, the configuration and one small structure for each concern; no task may hold a
//! borrow of any of them across an await.

use crate::state::client_registry::{ClientRegistry, IdleTimeouts};
use crate::state::clock::Clock;
use crate::state::config::{Config, ConfigError};
use crate::state::connection_pool::ConnectionPool;
use crate::state::descriptors::{DescriptorLimits, DescriptorPermit};
use crate::state::discovery_state::DiscoveryState;
use crate::state::endpoints::EndpointDirectory;
use crate::state::memory_budget::MemoryBudget;
use crate::state::metrics::Metrics;
use crate::state::pending_requests::PendingRequests;
use crate::state::protocol::BackendProtocol;
use crate::state::signals::OneShotEvent;
use crate::state::stall_detector::StallDetector;
use crate::state::step_times::StepTimes;
use crate::state::transition_log::TransitionLog;
use async_executor::LocalExecutor;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{AttemptOutcome, Host, Role, Router};
use comethitch_statement::StatementAdmission;
use comethitch_statement::admission::KnownShape;
use std::cell::RefCell;
use std::rc::Rc;

/// Memory, in bytes, that is not a connection's buffer.
const OTHER_MEMORY: u64 = 12 << 20;
/// The part of the remaining memory that buffers get, as what they hold is copied once.
const BUFFER_MEMORY_DIVISOR: usize = 2;
/// A client connection with no request in progress may be closed after this long.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Of client connections: one that sends no complete request is closed within 3 s, checks included.
const IDLE_TIMEOUTS: IdleTimeouts = IdleTimeouts {
    request: COMMAND_TIMEOUT,
    idle: Duration::from_micros(COMMAND_TIMEOUT.as_micros() * 5),
    shortened: Duration::from_micros(COMMAND_TIMEOUT.as_micros() / 32),
};
/// Bytes read at once from a connection whose input is discarded.
const DISCARD_BYTES: usize = 64 * 1024;

/// The state of one running router.
pub struct RouterState {
    /// The configuration that the router runs with.
    pub config: Config,
    /// The clock; [`RouterState::now`] detects stalls besides.
    pub clock: Clock,
    /// All tasks but the one that runs these.
    pub tasks: LocalExecutor<'static>,
    /// The policy, which makes all decisions.
    pub router: RefCell<Router>,
    /// The protocol spoken with hosts.
    pub backend: Box<dyn BackendProtocol<RouterState>>,
    /// Requests in progress.
    pub requests: RefCell<PendingRequests>,
    /// Idle connections to hosts.
    pub pool: RefCell<ConnectionPool>,
    /// Names and addresses of hosts.
    pub endpoints: RefCell<EndpointDirectory>,
    /// Open connections of clients.
    pub clients: ClientRegistry,
    /// The memory that buffers may take.
    pub memory: MemoryBudget,
    /// Where input that is discarded is read to.
    pub discard_buffer: RefCell<Vec<u8>>,
    /// How many connections may be open.
    pub descriptors: DescriptorLimits,
    /// The discovery service that is followed.
    pub discovery: DiscoveryState,
    /// Set once there is an endpoint list, or none is waited for any longer: clients may connect.
    pub ready: OneShotEvent,
    /// Classifies statements by their text, if there are rules for it.
    pub admission: RefCell<Option<StatementAdmission>>,
    /// Counts for the log.
    pub metrics: Metrics,
    /// What was logged of the policy's view.
    pub transitions: TransitionLog,
    /// Detects stalls of the event loop.
    pub stalls: StallDetector,
    /// How long the event loop's steps take.
    pub steps: StepTimes,
    /// The longest timeout of any request class.
    pub longest_timeout: Duration,
}

impl RouterState {
    /// The state around a policy that has been started, and that knows no hosts yet.
    ///
    /// # Errors
    ///
    /// If the rules for statements do not fit the request classes.
    pub fn new(
        config: Config, clock: Clock, router: Router, backend: Box<dyn BackendProtocol<RouterState>>,
    ) -> Result<Rc<RouterState>, ConfigError> {
        let admission = config.admission(clock.now())?;
        let timeouts = config.deployment.classes.iter().map(|class| class.timeout);
        Ok(Rc::new(RouterState {
            clock,
            tasks: LocalExecutor::new(),
            router: RefCell::new(router),
            backend,
            requests: RefCell::default(),
            pool: RefCell::new(ConnectionPool::new(config.host_idle)),
            endpoints: RefCell::default(),
            clients: ClientRegistry::new(IDLE_TIMEOUTS),
            memory: MemoryBudget::new(buffer_memory(&config)),
            discard_buffer: RefCell::new(vec![0; DISCARD_BYTES]),
            descriptors: DescriptorLimits::new(config.sockets),
            discovery: DiscoveryState::new(config.discovery, clock.now()),
            ready: OneShotEvent::default(),
            admission: RefCell::new(admission),
            metrics: Metrics::default(),
            transitions: TransitionLog::default(),
            stalls: StallDetector::new(clock.now()),
            steps: StepTimes::default(),
            longest_timeout: timeouts.max().unwrap_or_default(),
            config,
        }))
    }

    /// The present time; logs if the event loop stalled before.
    pub fn now(&self) -> Timestamp {
        let now = self.clock.now();
        self.stalls.observe(now);
        now
    }

    /// When bytes that are read now arrived: if the event loop stalled, perhaps as that began.
    pub fn arrival_time(&self) -> Timestamp {
        self.stalls.earliest_arrival(self.now(), self.config.deployment.tick)
    }

    /// Records for the log how an attempt or a health check ended, and the role that the host reported.
    pub fn record_host_outcome(&self, host: Host, outcome: AttemptOutcome, role: Option<Role>) {
        if !matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Cancelled) {
            self.metrics.host_faults.increment((host, outcome));
        }
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(role) = role.filter(|role| endpoints.record_role(host, *role)) {
            log::info!("{} reports its role as {role:?}", endpoints.name(host));
        }
    }

    /// Records how long a host took to answer a statement whose shape is known.
    pub fn record_statement_latency(&self, shape: &KnownShape, latency: Duration) {
        if let Some(admission) = &*self.admission.borrow() {
            admission.learn(shape, latency);
        }
    }

    /// Logs a request that was throttled before the policy saw it: `at_limit` where
    /// [`RouterState::at_request_limit`], `statement_budget` where its client's budget for parsing statements was
    /// spent (its id is not read yet: empty). Counted by the caller, as `throttled_at_limit` or `throttled`.
    pub fn log_rejection(&self, id: &str, reason: &'static str) {
        log::info!(id, reason, answer = "throttled"; "request rejected");
    }

    /// Counts and logs that a rule was broken: a check that ran after the fact found it.
    pub fn record_violation(&self, rule: &'static str, subject: &str) {
        self.metrics.violations.increment(rule);
        log::error!(rule, subject; "rule broken");
    }

    /// Whether as many requests are in progress as connections allow. Past that, clients' connections are still
    /// accepted, and their requests throttled at once.
    pub fn at_request_limit(&self) -> bool {
        self.requests.borrow().len() >= self.descriptors.max_requests()
    }

    /// A descriptor for one more client. As they run short, clients that have long been idle are evicted.
    pub fn acquire_client_descriptor(&self) -> Option<DescriptorPermit> {
        if self.descriptors.clients_run_short() {
            self.clients.evict_idle(self.clock.now(), false);
        }
        self.descriptors.clients.acquire()
    }

    /// Evicts a client to make room for one that waits to be accepted, while no descriptor is free.
    pub fn make_room_for_waiting_client(&self) {
        if self.descriptors.clients.is_exhausted() {
            self.clients.evict_idle(self.clock.now(), true);
        }
    }

    /// A descriptor for one more connection to a host, if need be that of the one idle longest.
    pub fn acquire_host_descriptor(&self) -> Option<DescriptorPermit> {
        self.descriptors.hosts.acquire().or_else(|| {
            self.pool.borrow_mut().evict_longest_idle();
            self.descriptors.hosts.acquire()
        })
    }
}

/// The memory in bytes that buffers may take: what the cache of statement shapes and all else leave.
fn buffer_memory(config: &Config) -> usize {
    let shape_cache = config.statements.as_ref().map_or(0, |rules| rules.cache.kib as u64) << 10;
    let limit = config.memory_mb << 20;
    limit.saturating_sub(OTHER_MEMORY + shape_cache) as usize / BUFFER_MEMORY_DIVISOR
}
