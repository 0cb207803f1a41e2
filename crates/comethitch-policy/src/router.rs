//! The state of a router, and the steps on it that choose nothing: counting, marking, cancelling.
//!
//! What follows from the state is decided in [`policy`](crate::policy), which adds the entry points to [`Router`].

use crate::histogram::Histogram;
use crate::host_table::{HostIndex, HostTable};
use crate::policy::{HealthCheckScheduler, HostClock, Lateness, PeerLoad};
use crate::request_state::{Attempt, RequestState};
use crate::shard::{Shard, ShardState};
use crate::time::{Duration, Timestamp};
use crate::waiting_requests::WaitingRequests;
use crate::{Actions, Deployment, RequestId, ShardId};
use crate::{random::RandomGenerator, session_commits::SessionCommits};
use comethitch_fleet::decaying_counter::DecayingCounter;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// Decides where each request goes. Hosts and request classes are given by their indices.
pub struct Router {
    pub(crate) deployment: Deployment,
    pub(crate) random: RandomGenerator,
    /// Makes the hashed draws of this router differ from those of others.
    pub(crate) hash_seed: u64,
    /// How often [`Router::tick`] asks to be called.
    pub(crate) tick_interval: Duration,
    /// How late this router's own calls come.
    pub(crate) lateness: Lateness,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    pub(crate) hosts: HostTable,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    /// Requests that wait for capacity; those of highest priority go first.
    pub(crate) waiting: WaitingRequests,
    /// The shard whose waiting requests were tried last for the time alone.
    pub(crate) last_tried_shard: Option<ShardId>,
    /// Removed hosts that are to be forgotten.
    pub(crate) removed_hosts: BTreeSet<RemovedHost>,
    /// What this router sends to warm hosts, as it was last added up.
    pub(crate) peer_load: Cell<PeerLoad>,
    /// How many retries the requests so far have paid for.
    pub(crate) retry_budget: f64,
    pub(crate) health_checks: HealthCheckScheduler,
    /// Requests submitted lately, for any shard.
    pub(crate) recent_requests: DecayingCounter,
    /// The share of errors among the last answers, of all hosts together.
    pub(crate) error_rate: f64,
    /// Answer times by request class.
    pub(crate) service_times: Vec<Histogram>,
    /// What reports show of the hosts' clock.
    pub(crate) host_clock: HostClock,
    /// How old a primary's report of its position is: pure age, as a primary has all commits.
    pub(crate) report_age: Histogram,
    /// The latest commit that each session has written, where this router has to remember.
    pub(crate) session_commits: SessionCommits,
    /// The shortest latency objective of all request classes.
    pub(crate) shortest_objective: Duration,
    /// The longest latency objective of all request classes.
    pub(crate) longest_objective: Duration,
    /// The tightest staleness bound of all request classes.
    pub(crate) tightest_bound: Duration,
    /// Whether positions alone guard reads, and bounds alone need them: then they are refreshed on demand.
    pub(crate) refresh_on_demand: bool,
}

/// A removed host, and when it is looked whether it can be forgotten; ordered by that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RemovedHost {
    pub review_at: Timestamp,
    pub index: HostIndex,
}

/// Where a request can go now.
pub(crate) enum Selection {
    Host(HostIndex),
    /// It must wait: no host that may take it has capacity.
    Wait,
    /// It needs a primary, and none serves.
    Rejected,
}

/// A submitted request. All that happens to it after it was submitted is a call on this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle(pub(crate) RequestId);

impl Handle {
    /// The client went away, or its time is up: no answer is owed any more.
    pub fn client_disconnected(self, router: &mut Router, out: &mut dyn Actions) {
        if let Some(request) = router.requests.get_mut(&self.0) {
            request.finished = true;
            router.cancel_attempts(self.0, out);
        }
    }
}

impl Router {
    /// A router that knows no hosts yet. What depends on the policy's own values is empty or zero.
    pub(crate) fn empty(deployment: Deployment, seed: u64, default_interval: Duration) -> Router {
        let shortest_objective = deployment.shortest_latency_objective().unwrap_or(default_interval);
        let longest_objective = deployment.classes.iter().map(|shard| shard.latency_objective).max();
        Router {
            random: RandomGenerator::new(seed),
            hash_seed: seed,
            tick_interval: deployment.tick,
            lateness: Lateness::default(),
            shards: BTreeMap::new(),
            hosts: HostTable::default(),
            requests: BTreeMap::new(),
            waiting: WaitingRequests::default(),
            last_tried_shard: None,
            removed_hosts: BTreeSet::new(),
            peer_load: Cell::default(),
            retry_budget: 0.0,
            health_checks: HealthCheckScheduler::new(),
            recent_requests: DecayingCounter::default(),
            error_rate: 0.0,
            service_times: Vec::new(),
            host_clock: HostClock::default(),
            report_age: Histogram::default(),
            session_commits: SessionCommits::default(),
            shortest_objective,
            longest_objective: longest_objective.unwrap_or(shortest_objective),
            tightest_bound: deployment.tightest_staleness_bound().unwrap_or(default_interval),
            refresh_on_demand: false,
            deployment,
        }
    }

    /// Returns the settings that the router was started with.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// The handle of a request that was submitted and has an attempt in flight or no final answer yet.
    pub fn handle(&self, id: RequestId) -> Option<Handle> {
        self.requests.contains_key(&id).then_some(Handle(id))
    }

    /// The state of each shard and how many failovers it has seen, for the log.
    pub fn shard_states(&self) -> impl Iterator<Item = (ShardId, ShardState, u32)> {
        self.shards.iter().map(|(shard_id, shard)| (*shard_id, shard.state, shard.serial))
    }

    /// How many host entries are allocated: those of removed hosts are used again.
    pub fn host_entries(&self) -> usize {
        self.hosts.len()
    }

    /// Asks for the endpoint list again, as it could not be had.
    pub fn endpoints_unavailable(&mut self, out: &mut dyn Actions) {
        self.watch_endpoints(out);
    }

    /// Asks for the endpoint list where it must be asked for.
    pub(crate) fn watch_endpoints(&self, out: &mut dyn Actions) {
        if self.deployment.must_watch_endpoints {
            out.watch_endpoints();
        }
    }

    /// Counts an attempt as in flight at its host; `cost` is what it is charged in slow start.
    pub(crate) fn record_sent(&mut self, attempt: &Attempt, cost: f64) {
        let now = attempt.sent_at;
        let window = self.window(attempt.host, now, self.deployment.slow_start.window);
        let shard = self.shard_of_mut(attempt.host);
        shard.concurrency_limits[attempt.request_class].in_flight += attempt.work;
        let host = &mut self.hosts[attempt.host];
        host.concurrency.in_flight += attempt.work;
        host.work_sent.add(cost, now, window.length);
        host.slow_start_usage.add(cost, &window);
        host.connection_slots.attempt_sent(now);
        host.expect_answer(now);
        host.attempts_in_progress += 1;
    }

    /// Marks the attempts in flight to a host as such at its fault, and counts them.
    pub(crate) fn mark_in_flight_at_fault(&mut self, index: HostIndex) -> u32 {
        let mut in_flight = 0;
        let attempts = self.requests.values_mut().flat_map(|request| &mut request.attempts);
        for attempt in attempts.filter(|attempt| attempt.host == index) {
            attempt.in_flight_at_fault = attempt.outcome.is_none();
            in_flight += u32::from(attempt.in_flight_at_fault);
        }
        in_flight
    }

    /// Sends a health check to a host.
    pub(crate) fn send_health_check(&mut self, index: HostIndex, out: &mut dyn Actions) {
        let host = &mut self.hosts[index];
        host.health_check_sent = Some(out.now());
        host.expect_answer(out.now());
        out.check_health(host.host);
    }

    /// Cancels what is still in flight of a finished request, if that is allowed, and forgets it once nothing is.
    pub(crate) fn cancel_attempts(&mut self, id: RequestId, out: &mut dyn Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        for (nth, attempt) in request.attempts.iter().enumerate() {
            if self.deployment.may_cancel && attempt.outcome.is_none() {
                out.cancel_attempt(id, nth as u16);
            }
        }
        if request.in_flight().next().is_none() {
            self.forget_request(id);
        }
    }

    /// Forgets a request that is finished and has nothing in flight.
    fn forget_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        for attempt in &request.attempts {
            self.hosts[attempt.host].attempts_in_progress -= 1;
        }
    }

    /// Sets when a host's health is to be checked next, and sees to it that its group is reviewed by then.
    pub(crate) fn set_next_health_check(&mut self, index: HostIndex, at: Timestamp) {
        self.hosts[index].next_health_check = at;
        let shard = self.shard_of_mut(index);
        shard.next_check_review = shard.next_check_review.min(at);
    }
}
