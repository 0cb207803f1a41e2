//! The state of a shard, which consists of one primary and its replicas, as known to the router.
//!
//! The module [`policy`](crate::policy) decides on the transitions between the states.

use crate::health_check_budget::HealthCheckBudget;
use crate::{host_table::HostIndex, time::Timestamp};
use comethitch_fleet::subset::Ranking;
use comethitch_fleet::{concurrency_limit::ConcurrencyLimit, decaying_counter::DecayingCounter};

/// The state of a shard with respect to its believed primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShardState {
    /// The primary serves requests, as far as the router knows.
    #[default]
    Healthy,
    /// The primary has shown a fault but is not considered lost yet.
    Unhealthy,
    /// The primary is lost, and the new primary is not known yet.
    Failover,
}

/// The state of a shard as known to this router.
#[derive(Default)]
pub(crate) struct Shard {
    /// The member that this router believes to be the primary.
    pub primary: Option<HostIndex>,
    /// The primary according to the endpoint list.
    pub listed_primary: Option<HostIndex>,
    pub health_check_budget: HealthCheckBudget,
    pub recent_requests: DecayingCounter,
    /// Limits on the work in flight to all members together, indexed by request class.
    pub concurrency_limits: Vec<ConcurrencyLimit>,
    /// All hosts of the shard, in the order in which they were first listed.
    pub members: Vec<HostIndex>,
    /// The replicas in the order in which this router prefers them.
    pub ranking: Ranking,
    /// Number of members that have ever answered a request of this router.
    pub answered_members: usize,
    state: ShardState,
    /// When the shard entered `state`.
    state_since: Timestamp,
    /// Number of failovers that this router has seen.
    failover_count: u32,
    /// Number of attempts that were in flight to the primary when the shard became Unhealthy.
    in_flight_at_fault: u32,
    /// Number of those attempts that have been lost.
    lost_since_fault: u32,
    next_review: Timestamp,
}

impl Shard {
    /// Returns whether this host is the believed primary.
    pub(crate) fn is_primary(&self, index: HostIndex) -> bool {
        self.primary == Some(index)
    }

    /// Adds a host, and ensures that there is a concurrency limit for each of `request_classes` request
    /// classes.
    pub(crate) fn add_member(&mut self, index: HostIndex, request_classes: usize) {
        self.members.push(index);
        self.ranking.invalidate();
        self.concurrency_limits.resize(request_classes, ConcurrencyLimit::default());
    }

    /// Removes a host that is not the primary. `has_answered` is whether it ever answered a request of this
    /// router.
    pub(crate) fn remove_member(&mut self, index: HostIndex, has_answered: bool) {
        self.members.retain(|member| *member != index);
        self.answered_members -= usize::from(has_answered);
        self.ranking.invalidate();
    }

    /// Returns the state of the shard.
    pub(crate) fn state(&self) -> ShardState {
        self.state
    }

    /// Returns when the shard entered its current state.
    pub(crate) fn state_since(&self) -> Timestamp {
        self.state_since
    }

    /// Returns the number of failovers that this router has seen.
    pub(crate) fn failover_count(&self) -> u32 {
        self.failover_count
    }

    /// Enters Healthy, with this host as the believed primary.
    pub(crate) fn enter_healthy(&mut self, primary: HostIndex, now: Timestamp) {
        self.primary = Some(primary);
        self.enter(ShardState::Healthy, now);
    }

    /// Enters Unhealthy, with this number of attempts in flight to the primary.
    pub(crate) fn enter_unhealthy(&mut self, in_flight: u32, now: Timestamp) {
        self.enter(ShardState::Unhealthy, now);
        self.in_flight_at_fault = in_flight;
        self.lost_since_fault = 0;
    }

    /// Enters Failover, and schedules an immediate review.
    pub(crate) fn enter_failover(&mut self, now: Timestamp) {
        self.enter(ShardState::Failover, now);
        self.failover_count += 1;
        self.next_review = now;
    }

    fn enter(&mut self, state: ShardState, now: Timestamp) {
        self.state = state;
        self.state_since = now;
    }

    /// Records the loss of an attempt that was in flight to the primary when the shard became Unhealthy.
    pub(crate) fn record_lost_attempt(&mut self) {
        self.lost_since_fault += 1;
    }

    /// Returns whether at least this fraction of the attempts that were in flight to the primary when the
    /// shard became Unhealthy have been lost.
    pub(crate) fn has_lost_attempts(&self, fraction: f64) -> bool {
        f64::from(self.lost_since_fault) >= fraction * f64::from(self.in_flight_at_fault)
    }

    /// Returns when the health checks and the state are next reviewed for changes that depend on time alone,
    /// such as timeouts.
    pub(crate) fn next_review(&self) -> Timestamp {
        self.next_review
    }

    /// Sets the time of the next review.
    pub(crate) fn schedule_review(&mut self, at: Timestamp) {
        self.next_review = at;
    }

    /// Moves the next review forward to `at`, unless it is due earlier.
    pub(crate) fn bring_review_forward(&mut self, at: Timestamp) {
        self.next_review = self.next_review.min(at);
    }
}
