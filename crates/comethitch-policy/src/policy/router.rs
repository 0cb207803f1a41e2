//! The router: its state, and the entry points of callers.
//!
//! Each part of the state has an owner; the decisions on it are made in the other modules of this folder.

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
/// A router does no I/O and reads no clock: each call takes [`Actions`], which tells the time and carries out what was
/// decided.
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
    /// The latest commit that each session has written, where clients do not carry it.
    pub(super) session_commits: SessionCommits,
}

/// A submitted request. Everything that happens to it later is a call on its handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle(pub(super) RequestId);

impl Handle {
    /// Finishes a request whose client has disconnected, and cancels its attempts where that is allowed.
    pub fn client_disconnected(self, router: &mut Router, out: &mut dyn Actions) {
        if let Some(request) = router.requests.get_mut(self.0) {
            request.finished = true;
            router.cancel_attempts(self.0, out);
        }
    }
}

impl Router {
    /// Starts a router that knows no hosts yet. The same seed and the same calls give the same decisions.
    pub fn start(deployment: Deployment, seed: u64, out: &mut dyn Actions) -> Router {
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
            settings: Settings::new(deployment),
        };
        router.watch_endpoints(out);
        out.wake_after(router.settings.tick_interval());
        router
    }

    /// Submits a request, which is sent, queued or rejected at once.
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
        self.record_request_of_shard(request.shard_id, now);
        self.poll_host_clock(out);
        self.refresh_positions(request.id, out);
        self.schedule(request.id, out);
        Handle(request.id)
    }

    /// Reviews everything that depends on the time; to be called as [`Actions::wake_after`] asks for.
    pub fn tick(&mut self, out: &mut dyn Actions) {
        out.wake_after(self.settings.tick_interval());
        self.event_loop_lag.record_tick(out.now(), self.settings.tick_interval());
        self.health_checks.start_tick();
        for shard_id in self.shards.due_for_review(out.now()) {
            self.check_primary(shard_id, out);
        }
        self.forget_removed_hosts(out.now());
        self.run_due_health_checks(out);
        self.poll_host_clock(out);
        for id in self.requests.ids() {
            self.review_request(id, out);
        }
        self.retry_queued_requests(out);
    }

    /// Rejects all requests that have no final answer yet, as the router shuts down.
    pub fn shut_down(&mut self, out: &mut dyn Actions) {
        for id in self.requests.ids() {
            self.reject(id, RejectionReason::DeadlineExceeded, out);
        }
    }

    /// Watches the endpoint list again after the watch has failed, where the deployment asks for a watch.
    pub fn endpoints_unavailable(&mut self, out: &mut dyn Actions) {
        self.watch_endpoints(out);
    }

    /// Returns the settings that the router was started with.
    pub fn deployment(&self) -> &Deployment {
        self.settings.deployment()
    }

    /// Returns the handle of a request that has no final answer yet, or has an attempt in flight.
    pub fn handle(&self, id: RequestId) -> Option<Handle> {
        self.requests.get(id).map(|_| Handle(id))
    }

    /// Returns each shard's state and its number of failovers, for the log.
    pub fn shard_states(&self) -> impl Iterator<Item = (ShardId, ShardState, u32)> {
        self.shards.iter().map(|(shard_id, shard)| (shard_id, shard.state(), shard.serial()))
    }

    /// Returns the number of allocated host entries; those of removed hosts are reused.
    pub fn host_entries(&self) -> usize {
        self.hosts.len()
    }

    fn watch_endpoints(&self, out: &mut dyn Actions) {
        if self.settings.deployment().must_watch_endpoints {
            out.watch_endpoints();
        }
    }
}
