//! The state of one running router, shared by all its tasks on their one thread.

use crate::state::client_registry::ClientRegistry;
use crate::state::clock::Clock;
use crate::state::config::{Config, ConfigError};
use crate::state::descriptors::divide_descriptors;
use crate::state::discovery_state::DiscoveryState;
use crate::state::event_loop_clock::EventLoopClock;
use crate::state::hosts::Hosts;
use crate::state::memory_budget::MemoryBudget;
use crate::state::metrics::Metrics;
use crate::state::pending_requests::PendingRequests;
use crate::state::protocol::BackendProtocol;
use crate::state::signals::OneShotEvent;
use crate::state::statement_rules::StatementRules;
use crate::state::step_times::EventLoopStep;
use crate::state::task_executor::TaskExecutor;
use crate::state::transition_log::TransitionLog;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{ActionQueue, AttemptOutcome, Host, Role, Router};
use std::cell::{Ref, RefCell};
use std::rc::Rc;

/// Memory reserved for everything but connection buffers and the cache of statement shapes.
const OTHER_MEMORY_BYTES: u64 = 12 << 20;
/// Divisor of the remaining memory: buffers may use half of it, because their contents are copied once, which
/// takes as much memory again.
const BUFFER_MEMORY_DIVISOR: usize = 2;

/// The state of one running router. Each field owns the state of one concern. No borrow from any of them may
/// be kept across an await.
pub struct RouterState {
    /// The configuration that the router was started with.
    pub(crate) config: Config,
    /// The clock, which also observes the event loop.
    pub(crate) clock: EventLoopClock,
    /// The executor of all other tasks. The serving task runs it.
    pub(crate) tasks: TaskExecutor,
    /// The protocol spoken with hosts.
    pub(crate) backend: Box<dyn BackendProtocol<RouterState>>,
    /// Requests in progress.
    pub(crate) requests: PendingRequests,
    /// Addresses of hosts, and connections to them.
    pub(crate) hosts: Hosts,
    /// Connections of clients.
    pub(crate) clients: ClientRegistry,
    /// The memory that buffers may use.
    pub(crate) memory: MemoryBudget,
    /// The discovery service in use, and whether clients may be served.
    pub(crate) discovery: DiscoveryState,
    /// The rules for classifying statements by their text.
    pub(crate) statement_rules: StatementRules,
    /// Counters and step times for the log.
    pub(crate) metrics: Metrics,
    /// Set once the policy was shut down: no request waits for a host any more.
    pub(crate) shut_down: OneShotEvent,
    policy: RefCell<Router>,
    transitions: TransitionLog,
}

impl RouterState {
    /// Creates the state for a policy that has been started and knows no hosts yet.
    ///
    /// # Errors
    ///
    /// If the rules for statements do not fit the request classes.
    pub fn new(
        config: Config, clock: Clock, policy: Router, backend: Box<dyn BackendProtocol<RouterState>>,
    ) -> Result<Rc<RouterState>, ConfigError> {
        let admission = config.admission(clock.now())?;
        let descriptors = divide_descriptors(config.max_descriptors);
        Ok(Rc::new(RouterState {
            clock: EventLoopClock::new(clock),
            tasks: TaskExecutor::default(),
            backend,
            requests: PendingRequests::default(),
            hosts: Hosts::new(config.host_idle_timeout, descriptors.hosts),
            clients: ClientRegistry::new(descriptors.clients),
            memory: MemoryBudget::new(buffer_memory_bytes(&config)),
            discovery: DiscoveryState::new(config.discovery, clock.now()),
            statement_rules: StatementRules::new(admission),
            metrics: Metrics::default(),
            shut_down: OneShotEvent::default(),
            policy: RefCell::new(policy),
            transitions: TransitionLog::default(),
            config,
        }))
    }

    /// Returns the policy for reading. The borrow must not be kept across an await.
    pub(crate) fn policy(&self) -> Ref<'_, Router> {
        self.policy.borrow()
    }

    /// Calls the policy, records the time that it took under `step`, and returns the actions that it decided
    /// on.
    pub(crate) fn call_policy(
        &self, step: EventLoopStep, call: impl FnOnce(&mut Router, &mut ActionQueue),
    ) -> ActionQueue {
        let mut queue = ActionQueue::at(self.clock.observe());
        self.metrics.steps.measure(step, || call(&mut self.policy.borrow_mut(), &mut queue));
        queue
    }

    /// Returns the earliest time at which bytes that are read now may have arrived. See
    /// [`EventLoopClock::earliest_arrival`].
    pub(crate) fn earliest_arrival(&self) -> Timestamp {
        self.clock.earliest_arrival(self.config.deployment.tick)
    }

    /// Records how an attempt or a health check ended, and the role that the host reported.
    pub(crate) fn record_host_outcome(&self, host: Host, outcome: AttemptOutcome, role: Option<Role>) {
        if !matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Cancelled) {
            self.metrics.host_faults.increment((host, outcome));
        }
        if let Some(role) = role {
            self.hosts.record_role(host, role);
        }
    }

    /// Counts and logs the violation of one of the router's own rules, which a check has found afterwards.
    /// `late` is the time since the request's deadline; zero if that has not passed or there is none.
    pub(crate) fn record_violation(&self, rule: &'static str, subject: &str, late: Duration) {
        self.metrics.violations.increment(rule);
        log::error!(rule, subject, late_us = late.as_micros(); "rule broken");
    }

    /// Logs what has changed in the policy's view of the fleet since the last call.
    pub(crate) fn log_transitions(&self) {
        self.transitions.log_changes(&self.policy());
    }

    /// Returns whether the maximum number of requests is in progress. Connections of clients are still
    /// accepted then, and their requests are throttled immediately.
    pub(crate) fn at_request_limit(&self) -> bool {
        self.requests.len() >= self.clients.max_requests()
    }
}

/// Returns the memory that buffers may use, after the cache of statement shapes and all other uses.
fn buffer_memory_bytes(config: &Config) -> usize {
    let shape_cache_bytes = config.statements.as_ref().map_or(0, |rules| rules.cache.kib as u64) << 10;
    let limit_bytes = config.memory_limit_mb << 20;
    limit_bytes.saturating_sub(OTHER_MEMORY_BYTES + shape_cache_bytes) as usize / BUFFER_MEMORY_DIVISOR
}
