//! Routers of a simulated fleet: each with its [`Router`] policy, and its requests and attempts in flight.

use super::Fleet;
use super::events::{Event, RouterId};
use crate::clients::ClientRequest;
use crate::hosts::{Job, SimulatedHost};
use crate::ledger::Answer;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{
    Action, ActionQueue, AttemptEnd, AttemptOutcome, Endpoint, EndpointUpdate, Host, Lifecycle, LoadReport,
    RequestId, Router,
};
use rand::{Rng, RngExt};
use std::collections::BTreeMap;

/// Range of the delay until a router receives a change of the endpoint list, in microseconds.
const ENDPOINT_UPDATE_DELAY_US: std::ops::Range<u64> = 200_000..1_500_000;

/// An attempt that a router sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub host: usize,
    pub work: Duration,
    pub sent_at: Timestamp,
    pub in_flight: bool,
}

/// A request at a router.
#[derive(Debug)]
pub(super) struct RequestInFlight {
    /// Number of the request, unique over all routers.
    pub number: u64,
    pub request: ClientRequest,
    /// Number of retries before this request.
    pub retries: u8,
    pub attempts: Vec<Attempt>,
    /// Whether the client has received the final answer.
    pub finished: bool,
}

impl RequestInFlight {
    /// Creates a request without attempts.
    pub(super) fn new(number: u64, request: ClientRequest, retries: u8) -> RequestInFlight {
        RequestInFlight { number, request, retries, attempts: Vec::new(), finished: false }
    }

    fn is_complete(&self) -> bool {
        self.finished && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }
}

/// Connections of a router to one host. Idle connections stay open.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Connections {
    in_use: u32,
    /// Number of open connections, in use and idle.
    open: u32,
}

impl Connections {
    /// Uses an idle connection or opens a new one. Returns whether it opened one.
    fn acquire(&mut self) -> bool {
        self.in_use += 1;
        let opens = self.in_use > self.open;
        if opens {
            self.open = self.in_use;
        }
        opens
    }

    fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }
}

/// A router, running or killed.
pub(super) struct SimulatedRouter {
    /// The policy of the router, or `None` while the router is down.
    policy: Option<Router>,
    /// Number of times that it was killed. Events for earlier incarnations are discarded.
    pub incarnation: u32,
    /// Rate of the router's own clients, in requests per second.
    pub arrival_rate: f64,
    last_request: RequestId,
    pub requests: BTreeMap<RequestId, RequestInFlight>,
    /// Connections by host.
    connections: BTreeMap<usize, Connections>,
}

impl SimulatedRouter {
    /// Creates a router that does not run yet.
    pub(super) fn new(arrival_rate: f64) -> SimulatedRouter {
        SimulatedRouter {
            policy: None,
            incarnation: 0,
            arrival_rate,
            last_request: 0,
            requests: BTreeMap::new(),
            connections: BTreeMap::new(),
        }
    }

    /// Returns whether the router runs.
    pub(super) fn is_running(&self) -> bool {
        self.policy.is_some()
    }

    /// Adds a request and returns its id.
    pub(super) fn add_request(&mut self, request: RequestInFlight) -> RequestId {
        self.last_request += 1;
        self.requests.insert(self.last_request, request);
        self.last_request
    }

    /// Removes a request with a final answer and no attempt in flight.
    pub(super) fn remove_if_complete(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(RequestInFlight::is_complete) {
            self.requests.remove(&id);
        }
    }

    /// Kills the router, and returns the requests that it had in flight.
    pub(super) fn kill(&mut self) -> BTreeMap<RequestId, RequestInFlight> {
        self.policy = None;
        self.incarnation += 1;
        self.connections.clear();
        std::mem::take(&mut self.requests)
    }
}

impl Fleet<'_> {
    /// Starts a router with a new policy, and passes it the endpoint list.
    pub(super) fn start_router(&mut self, router: usize) {
        let seed = self.rng.next_u64();
        let mut out = ActionQueue::at(self.now);
        self.routers[router].policy = Some(Router::start(self.deployment.clone(), seed, &mut out));
        self.execute_actions(router, out);
        self.update_endpoints(router);
    }

    /// Passes the current endpoint list to a router.
    pub(super) fn update_endpoints(&mut self, router: usize) {
        for (host, _) in self.hosts.iter().enumerate().filter(|(_, host)| host.draining.is_some()) {
            self.ledger.drain_notified(router, host, self.now);
        }
        let endpoints = self.hosts.iter().filter(|host| !host.removed).map(endpoint).collect();
        let update = EndpointUpdate { complete: true, endpoints };
        self.call_policy(router, |router, out| router.update_endpoints(&update, out));
    }

    /// Notifies every router of a change of the endpoint list, each after a random delay.
    pub(super) fn notify_all_routers(&mut self) {
        for router in 0..self.routers.len() {
            let delay = Duration::from_micros(self.rng.random_range(ENDPOINT_UPDATE_DELAY_US));
            let router = self.current_id(router);
            self.events.push(self.now + delay, Event::EndpointsReachRouter { router });
        }
    }

    /// Calls the policy of a router, if it runs, and executes the resulting actions.
    pub(super) fn call_policy(&mut self, router: usize, call: impl FnOnce(&mut Router, &mut ActionQueue)) {
        let mut out = ActionQueue::at(self.now);
        let Some(policy) = self.routers[router].policy.as_mut() else { return };
        call(policy, &mut out);
        self.execute_actions(router, out);
    }

    fn execute_actions(&mut self, router: usize, queue: ActionQueue) {
        let id = self.current_id(router);
        for action in queue.actions {
            match action {
                Action::SendAttempt { request, host, timeout } => {
                    self.send_attempt(router, request, host, timeout);
                }
                Action::CancelAttempt { request, attempt } => self.cancel_attempt(router, request, attempt),
                Action::Throttle { request, .. } => self.reject(router, request, Answer::Throttled),
                Action::Fail { request, .. } => self.reject(router, request, Answer::Failed),
                Action::CheckHealth(host) => self.check_health(id, host),
                Action::WakeAfter(delay) => {
                    self.events.push(self.now + delay, Event::RouterTicks { router: id });
                }
                Action::CloseIdleConnections(_) | Action::WatchEndpoints => {}
            }
        }
    }

    fn cancel_attempt(&mut self, router: usize, id: RequestId, attempt: u16) {
        let Some(in_flight) = self.routers[router].requests.get(&id) else { return };
        let Some(sent) = in_flight.attempts.get(usize::from(attempt)) else { return };
        let job = Job { router, request: id, attempt, work: sent.work };
        if self.hosts[sent.host].withdraw(&job) {
            self.ledger.attempt_never_ran(in_flight.number);
        }
        let mut end = attempt_end(attempt, AttemptOutcome::Cancelled);
        end.request_finished = true;
        self.attempt_ended(router, id, end);
    }

    /// Releases the connection of an attempt in flight, and notifies the policy of its end.
    pub(super) fn attempt_ended(&mut self, router: usize, id: RequestId, end: AttemptEnd) {
        let simulated = &mut self.routers[router];
        let Some(in_flight) = simulated.requests.get_mut(&id) else { return };
        let Some(attempt) = in_flight.attempts.get_mut(usize::from(end.attempt)) else { return };
        if !attempt.in_flight {
            return;
        }
        attempt.in_flight = false;
        simulated.connections.entry(attempt.host).or_default().release();
        self.call_policy(router, |router, out| {
            if let Some(handle) = router.handle(id) {
                handle.attempt_ended(router, end, out);
            }
        });
        self.routers[router].remove_if_complete(id);
    }

    fn check_health(&mut self, router: RouterId, host: Host) {
        self.ledger.health_checks += 1;
        let host = self.host_index[&host];
        self.acquire_connection(router.index, host);
        self.routers[router.index].connections.entry(host).or_default().release();
        self.after_network_delay(Event::HealthCheckReachesHost { router, host });
    }

    /// Takes an idle connection of a router to a host, or opens and counts a new one.
    pub(super) fn acquire_connection(&mut self, router: usize, host: usize) {
        if self.routers[router].connections.entry(host).or_default().acquire() {
            self.ledger.connections += 1;
        }
    }
}

/// Returns the end of an attempt that has no load report and does not finish the request.
pub(super) fn attempt_end(attempt: u16, outcome: AttemptOutcome) -> AttemptEnd {
    AttemptEnd {
        attempt,
        outcome,
        request_finished: false,
        trailer: LoadReport::default(),
        report: LoadReport::default(),
    }
}

fn endpoint(host: &SimulatedHost) -> Endpoint {
    let lifecycle = if host.draining.is_some() { Lifecycle::Draining } else { Lifecycle::Ready };
    Endpoint {
        host: host.host,
        zone: 0,
        shard_id: host.shard,
        lifecycle,
        is_primary: host.primary,
        capacity: f64::from(host.cores),
        started: host.started,
    }
}
