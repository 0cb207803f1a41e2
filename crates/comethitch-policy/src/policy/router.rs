//! The router: its state, and the entry points for callers.
//!
//! Each field's type maintains its own data. The decisions that use the data are made in the other modules of
//! this folder.

use super::event_loop_lag::EventLoopLag;
use super::health_check_scheduler::HealthCheckScheduler;
use super::host_clock::HostClock;
use super::load_statistics::LoadStatistics;
use super::retry_budget::RetryBudget;
use super::settings::Settings;
use crate::admission_queue::AdmissionQueue;
use crate::host_table::HostTable;
use crate::random_source::RandomSource;
use crate::request_state::RequestState;
use crate::request_table::RequestTable;
use crate::session_commits::SessionCommits;
use crate::shard_table::ShardTable;
use crate::{Actions, Deployment, RejectionReason, Request, RequestId, ShardId, ShardState};

/// Decides where each request goes.
///
/// A router does no I/O and reads no clock: each call takes [`Actions`], which provides the current time and
/// carries out the decisions.
pub struct Router {
    pub(super) settings: Settings,
    pub(super) random: RandomSource,
    pub(super) shards: ShardTable,
    pub(super) hosts: HostTable,
    pub(super) requests: RequestTable,
    pub(super) queue: AdmissionQueue,
    pub(super) retry_budget: RetryBudget,
    pub(super) health_checks: HealthCheckScheduler,
    pub(super) statistics: LoadStatistics,
    pub(super) event_loop_lag: EventLoopLag,
    pub(super) host_clock: HostClock,
    /// The latest commit that each session has written. Only used if clients do not send it with their
    /// requests.
    pub(super) session_commits: SessionCommits,
    /// Whether every request is rejected, because the router has been shut down.
    pub(super) is_shut_down: bool,
}

/// Identifies a submitted request; later events of the request are reported through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle(pub(super) RequestId);

impl Handle {
    /// Finishes a request whose client has disconnected, and cancels its attempts if the deployment allows
    /// that.
    pub fn client_disconnected(self, router: &mut Router, actions: &mut dyn Actions) {
        if let Some(request) = router.requests.get_mut(self.0) {
            request.finished = true;
            router.cancel_attempts(self.0, actions);
        }
    }
}

impl Router {
    /// Starts a router without hosts. Two routers with the same seed and the same calls make the same
    /// decisions.
    pub fn start(deployment: Deployment, seed: u64, actions: &mut dyn Actions) -> Router {
        let router = Router {
            random: RandomSource::new(seed),
            shards: ShardTable::default(),
            hosts: HostTable::default(),
            requests: RequestTable::default(),
            queue: AdmissionQueue::default(),
            retry_budget: RetryBudget::full(),
            health_checks: HealthCheckScheduler::new(),
            statistics: LoadStatistics::new(&deployment),
            event_loop_lag: EventLoopLag::default(),
            host_clock: HostClock::default(),
            session_commits: SessionCommits::default(),
            is_shut_down: false,
            settings: Settings::new(deployment),
        };
        router.watch_endpoints(actions);
        actions.wake_after(router.settings.tick_interval());
        router
    }

    /// Submits a request, which is immediately sent, queued or rejected.
    pub fn submit(&mut self, request: Request, actions: &mut dyn Actions) -> Handle {
        let now = actions.now();
        let required_position = if self.settings.deployment().session_tokens_carried {
            request.required_position.unwrap_or_default()
        } else {
            self.session_commits.latest(request.session)
        };
        self.requests.insert(request.id, RequestState::new(&request, required_position, now));
        if self.is_shut_down {
            self.reject(request.id, RejectionReason::ShuttingDown, actions);
            return Handle(request.id);
        }
        self.retry_budget.deposit();
        self.statistics.record_request(now);
        self.record_shard_request(request.shard_id, now);
        self.poll_host_clock(actions);
        self.refresh_positions(request.id, actions);
        self.schedule(request.id, actions);
        Handle(request.id)
    }

    /// Makes the decisions that depend on the passage of time. The caller calls this after each delay that it
    /// was given by [`Actions::wake_after`].
    pub fn tick(&mut self, actions: &mut dyn Actions) {
        actions.wake_after(self.settings.tick_interval());
        self.event_loop_lag.record_tick(actions.now(), self.settings.tick_interval());
        self.health_checks.start_tick();
        for shard_id in self.shards.due_for_review(actions.now()) {
            self.review_primary(shard_id, actions);
        }
        self.forget_removed_hosts(actions.now());
        self.run_due_health_checks(actions);
        self.poll_host_clock(actions);
        for id in self.requests.ids() {
            self.review_request(id, actions);
        }
        self.retry_queued_requests(actions);
    }

    /// Rejects all requests that have no final answer yet, and all that are submitted from now on: the process
    /// is about to end, so no host could answer them in time.
    pub fn shut_down(&mut self, actions: &mut dyn Actions) {
        self.is_shut_down = true;
        for id in self.requests.ids() {
            self.reject(id, RejectionReason::ShuttingDown, actions);
        }
    }

    /// Subscribes to the endpoint list again after the subscription has failed, if the deployment requires
    /// one.
    pub fn endpoints_unavailable(&mut self, actions: &mut dyn Actions) {
        self.watch_endpoints(actions);
    }

    /// Returns the settings that the router was started with.
    pub fn deployment(&self) -> &Deployment {
        self.settings.deployment()
    }

    /// Returns the handle of a request that has no final answer yet or has an attempt in flight; `None` for
    /// others.
    pub fn handle(&self, id: RequestId) -> Option<Handle> {
        self.requests.get(id).map(|_| Handle(id))
    }

    /// Returns each shard's state and its number of failovers, for the log.
    pub fn shard_states(&self) -> impl Iterator<Item = (ShardId, ShardState, u32)> {
        self.shards.iter().map(|(shard_id, shard)| (shard_id, shard.state(), shard.failover_count()))
    }

    /// Returns the number of allocated host entries. The entries of removed hosts are reused.
    pub fn host_entries(&self) -> usize {
        self.hosts.len()
    }

    fn watch_endpoints(&self, actions: &mut dyn Actions) {
        if self.settings.deployment().must_watch_endpoints {
            actions.watch_endpoints();
        }
    }
}
