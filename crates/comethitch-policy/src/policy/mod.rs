//! The decision module: every decision of the router is made in this folder.
//!
//! A caller makes a [`Router`], reports endpoint updates, health checks and ticks, and submits requests.
//! What happens to a request later is a call on the [`Handle`] that this returns.
//!
//! `admission` queues and rejects requests, `selection` chooses a host, `retries` says what may be sent
//! again, `attempts` sends and takes in ends, `send_guard` checks what is about to leave, `load` limits the work at each host,
//! `periodic_checks` says which hosts are checked, `health` takes in the checks and ejects outliers, `position_refresh` asks for positions, `shard` follows failovers, `endpoints` applies the endpoint list, `host_clock` tells
//! what time it is at the hosts, `lateness` how late the router itself is. The mechanism is described in `docs/design.md`; "Beyond the design" marks departures from it.

mod admission;
mod attempts;
mod endpoints;
mod failover;
mod health;
mod health_check_scheduler;
mod host_clock;
mod host_time;
mod intervals;
mod lateness;
mod load;
mod periodic_checks;
mod position_refresh;
mod recent_requests;
mod retries;
mod selection;
mod send_guard;

pub use host_clock::ClockState;
pub(crate) use host_clock::HostClock;
pub(crate) use lateness::Lateness;
pub(crate) use load::PeerLoad;

use crate::request_state::{Attempt, RequestState};
use crate::router::{Handle, Router, Selection};
use crate::shard::{Shard, ShardState};
use crate::time::{Duration, Timestamp};
use crate::waiting_requests::WaitingFor;
use crate::{Actions, AttemptOutcome, Consistency, Request, RequestClass, RequestId};
use crate::{DeduplicationScope, Deployment, Idempotency, RejectionReason, Role};
use crate::{LoadReport, ShardId, StalenessCheck, histogram::Histogram};
use crate::{estimates::Estimate, host_state::HostState, host_table::HostIndex};
use comethitch_fleet::{freshness, subset::Member};

pub(crate) use health_check_scheduler::HealthCheckScheduler;
use intervals::{HEALTH_CHECK_INTERVAL, HEALTH_CHECK_RETRY_INTERVAL, SILENCE_TIMEOUT, STALL_ALLOWANCE};
use recent_requests::{RECENT_REQUESTS_WINDOW, is_in_use};

impl Router {
    /// A router that knows no hosts yet. The same seed and the same calls give the same decisions.
    pub fn start(deployment: Deployment, seed: u64, out: &mut dyn Actions) -> Router {
        let service_times = |shard: &RequestClass| Histogram::new(shard.latency_objective / 64, 256);
        let mut router = Router::empty(deployment, seed, HEALTH_CHECK_INTERVAL);
        let deployment = &router.deployment;
        router.tick_interval = deployment.tick.max(router.shortest_objective / 16);
        router.retry_budget = retries::MAX_RETRY_BUDGET;
        router.service_times = deployment.classes.iter().map(service_times).collect();
        router.report_age = Histogram::new(deployment.tick, 256);
        router.refresh_on_demand =
            deployment.staleness_check == StalenessCheck::Off && !deployment.serves(Consistency::Session);
        router.watch_endpoints(out);
        out.wake_after(router.tick_interval);
        router
    }

    /// Accepts a request. What happens to it later is a call on the handle.
    pub fn submit(&mut self, request: Request, out: &mut dyn Actions) -> Handle {
        let now = out.now();
        let required_position = if self.deployment.session_tokens_carried {
            request.after.unwrap_or_default()
        } else {
            self.session_commits.latest(request.session)
        };
        self.requests.insert(request.id, RequestState::new(&request, required_position, now));
        self.fund_retries();
        self.fund_health_checks(request.shard_id, now);
        self.poll_host_clock(out);
        self.refresh_positions(request.id, out);
        self.schedule(request.id, out);
        Handle(request.id)
    }

    /// Reviews everything that depends on the time; to be called as [`Actions::wake_after`] asked.
    pub fn tick(&mut self, out: &mut dyn Actions) {
        out.wake_after(self.tick_interval);
        self.lateness.record_tick(out.now(), self.tick_interval);
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
}
