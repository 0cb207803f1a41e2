//! The state of a router, and the steps on it that choose nothing: counting, marking, cancelling.
//!
//! What follows from the state is decided in [`policy`](crate::policy), which adds the entry points to [`Router`].

use super::event_loop_lag::EventLoopLag;
use super::health_check_scheduler::HealthCheckScheduler;
use super::host_clock::HostClock;
use super::load_statistics::LoadStatistics;
use super::retry_budget::RetryBudget;
use super::settings::Settings;
use crate::admission_queue::AdmissionQueue;
use crate::host_table::{HostIndex, HostTable};
use crate::random_source::RandomSource;
use crate::request_state::{Attempt, RequestState};
use crate::session_commits::SessionCommits;
use crate::shard::Shard;
use crate::time::Timestamp;
use crate::{Actions, Deployment, RejectionReason, Request, RequestId, ShardId, ShardState};
use std::collections::{BTreeMap, BTreeSet};

/// Decides where each request goes. Hosts and request classes are given by their indices.
pub struct Router {
    pub(super) settings: Settings,
    pub(super) random: RandomSource,
    pub(super) shards: BTreeMap<ShardId, Shard>,
    pub(super) hosts: HostTable,
    pub(super) requests: BTreeMap<RequestId, RequestState>,
    pub(super) queue: AdmissionQueue,
    pub(super) retry_budget: RetryBudget,
    pub(super) health_checks: HealthCheckScheduler,
    pub(super) statistics: LoadStatistics,
    pub(super) event_loop_lag: EventLoopLag,
    pub(super) host_clock: HostClock,
    /// The latest commit that each session has written, where clients do not carry it.
    pub(super) session_commits: SessionCommits,
    /// Removed hosts that are to be forgotten.
    pub(super) removed_hosts: BTreeSet<RemovedHost>,
}

/// A removed host, and when it is looked whether it can be forgotten; ordered by that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RemovedHost {
    pub review_at: Timestamp,
    pub index: HostIndex,
}

/// A submitted request. All that happens to it after it was submitted is a call on this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle(pub(super) RequestId);

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
    /// Returns a router that knows no hosts yet. The same seed and the same calls give the same decisions.
    pub fn start(deployment: Deployment, seed: u64, out: &mut dyn Actions) -> Router {
        let router = Router::empty(deployment, seed);
        router.watch_endpoints(out);
        out.wake_after(router.settings.tick_interval());
        router
    }

    /// Accepts a request. What happens to it later is a call on the handle.
    pub fn submit(&mut self, request: Request, out: &mut dyn Actions) -> Handle {
        let now = out.now();
        let required_position = if self.settings.deployment().session_tokens_carried {
            request.after.unwrap_or_default()
        } else {
            self.session_commits.latest(request.session)
        };
        self.requests.insert(request.id, RequestState::new(&request, required_position, now));
        self.retry_budget.deposit();
        self.statistics.record_request(now);
        self.fund_health_checks(request.shard_id, now);
        self.poll_host_clock(out);
        self.refresh_positions(request.id, out);
        self.schedule(request.id, out);
        Handle(request.id)
    }

    /// Reviews everything that depends on the time; to be called as [`Actions::wake_after`] asked.
    pub fn tick(&mut self, out: &mut dyn Actions) {
        out.wake_after(self.settings.tick_interval());
        self.event_loop_lag.record_tick(out.now(), self.settings.tick_interval());
        self.health_checks.start_tick();
        for shard_id in self.shards_to_review(out.now()) {
            self.check_primary(shard_id, out);
        }
        self.forget_removed(out.now());
        self.run_due_health_checks(out);
        self.poll_host_clock(out);
        for id in self.requests.keys().copied().collect::<Vec<_>>() {
            self.review_request(id, out);
        }
        self.retry_waiting_requests(out);
    }

    /// Gives every request that is left its final answer, as the router ends.
    pub fn shut_down(&mut self, out: &mut dyn Actions) {
        for id in self.requests.keys().copied().collect::<Vec<_>>() {
            self.reject(id, RejectionReason::DeadlineExceeded, out);
        }
    }

    pub(super) fn empty(deployment: Deployment, seed: u64) -> Router {
        Router {
            random: RandomSource::new(seed),
            shards: BTreeMap::new(),
            hosts: HostTable::default(),
            requests: BTreeMap::new(),
            queue: AdmissionQueue::default(),
            retry_budget: RetryBudget::full(),
            health_checks: HealthCheckScheduler::new(),
            statistics: LoadStatistics::new(&deployment),
            event_loop_lag: EventLoopLag::default(),
            host_clock: HostClock::default(),
            session_commits: SessionCommits::default(),
            removed_hosts: BTreeSet::new(),
            settings: Settings::new(deployment),
        }
    }

    /// Returns the settings that the router was started with.
    pub fn deployment(&self) -> &Deployment {
        self.settings.deployment()
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
    pub(super) fn watch_endpoints(&self, out: &mut dyn Actions) {
        if self.settings.deployment().must_watch_endpoints {
            out.watch_endpoints();
        }
    }

    /// Counts an attempt as in flight at its host; `cost` is what it is charged in slow start.
    pub(super) fn record_sent(&mut self, attempt: &Attempt, cost: f64) {
        let now = attempt.sent_at;
        let window = self.window(attempt.host, now, self.settings.slow_start().window);
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
    pub(super) fn mark_in_flight_at_fault(&mut self, index: HostIndex) -> u32 {
        let mut in_flight = 0;
        let attempts = self.requests.values_mut().flat_map(|request| &mut request.attempts);
        for attempt in attempts.filter(|attempt| attempt.host == index) {
            attempt.in_flight_at_fault = attempt.outcome.is_none();
            in_flight += u32::from(attempt.in_flight_at_fault);
        }
        in_flight
    }

    /// Sends a health check to a host.
    pub(super) fn send_health_check(&mut self, index: HostIndex, out: &mut dyn Actions) {
        let host = &mut self.hosts[index];
        host.health_check_sent = Some(out.now());
        host.expect_answer(out.now());
        out.check_health(host.host);
    }

    /// Cancels what is still in flight of a finished request, if that is allowed, and forgets it once nothing is.
    pub(super) fn cancel_attempts(&mut self, id: RequestId, out: &mut dyn Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        for (nth, attempt) in request.attempts.iter().enumerate() {
            if self.settings.deployment().may_cancel && attempt.outcome.is_none() {
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
    pub(super) fn set_next_health_check(&mut self, index: HostIndex, at: Timestamp) {
        self.hosts[index].next_health_check = at;
        let shard = self.shard_of_mut(index);
        shard.next_check_review = shard.next_check_review.min(at);
    }
}
