//! What the router knows of a shard: one primary and its replicas.
//!
//! The transitions between the states are decided in [`policy`](crate::policy).

use crate::health_check_budget::HealthCheckBudget;
use crate::{host_table::HostIndex, time::Timestamp};
use comethitch_fleet::subset::Ranking;
use comethitch_fleet::{concurrency_limit::ConcurrencyLimit, decaying_counter::DecayingCounter};

/// State of a shard's believed primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShardState {
    /// The primary serves, as far as is known.
    #[default]
    Healthy,
    /// The primary has shown a fault.
    Unhealthy,
    /// The primary is lost, and its successor is not known yet.
    Failover,
}

/// A shard as this router sees it.
#[derive(Default)]
pub(crate) struct Shard {
    /// The member that this router believes to be the primary.
    pub primary: Option<HostIndex>,
    /// The primary according to the endpoint list.
    pub listed_primary: Option<HostIndex>,
    pub health_check_budget: HealthCheckBudget,
    pub recent_requests: DecayingCounter,
    /// Limits on the work in flight to all members together, by request class.
    pub concurrency_limits: Vec<ConcurrencyLimit>,
    /// All hosts of the shard, in the order in which they were first listed.
    pub members: Vec<HostIndex>,
    /// The replicas in this router's order of preference.
    pub ranking: Ranking,
    /// Number of members that have answered a request of this router.
    pub answered_members: usize,
    state: ShardState,
    state_since: Timestamp,
    /// Number of failovers.
    serial: u32,
    /// Number of attempts that were in flight to the primary when the shard became Unhealthy.
    in_flight_at_fault: u32,
    /// Number of these that were lost.
    lost_since_fault: u32,
    next_review: Timestamp,
}

impl Shard {
    /// Returns whether a host is believed to be the primary.
    pub(crate) fn is_primary(&self, index: HostIndex) -> bool {
        self.primary == Some(index)
    }

    /// Adds a host, and a concurrency limit for each request class.
    pub(crate) fn add_member(&mut self, index: HostIndex, request_classes: usize) {
        self.members.push(index);
        self.ranking.invalidate();
        self.concurrency_limits.resize(request_classes, ConcurrencyLimit::default());
    }

    /// Removes a host that is not the primary.
    pub(crate) fn remove_member(&mut self, index: HostIndex, has_answered: bool) {
        self.members.retain(|member| *member != index);
        self.answered_members -= usize::from(has_answered);
        self.ranking.invalidate();
    }

    /// Returns the state of the believed primary.
    pub(crate) fn state(&self) -> ShardState {
        self.state
    }

    /// Returns when the shard entered its state.
    pub(crate) fn state_since(&self) -> Timestamp {
        self.state_since
    }

    /// Returns the number of failovers seen.
    pub(crate) fn serial(&self) -> u32 {
        self.serial
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

    /// Enters Failover, and schedules a review at once.
    pub(crate) fn enter_failover(&mut self, now: Timestamp) {
        self.enter(ShardState::Failover, now);
        self.serial += 1;
        self.next_review = now;
    }

    fn enter(&mut self, state: ShardState, now: Timestamp) {
        self.state = state;
        self.state_since = now;
    }

    /// Records that an attempt was lost which was in flight when the shard became Unhealthy.
    pub(crate) fn record_lost_attempt(&mut self) {
        self.lost_since_fault += 1;
    }

    /// Returns whether at least this fraction of the attempts in flight at the fault were lost.
    pub(crate) fn has_lost(&self, fraction: f64) -> bool {
        f64::from(self.lost_since_fault) >= fraction * f64::from(self.in_flight_at_fault)
    }

    /// Returns when health checks and state are reviewed next for what time alone changes.
    pub(crate) fn next_review(&self) -> Timestamp {
        self.next_review
    }

    /// Sets the time of the next review.
    pub(crate) fn schedule_review(&mut self, at: Timestamp) {
        self.next_review = at;
    }

    /// Moves the next review forward, unless it is due earlier.
    pub(crate) fn review_by(&mut self, at: Timestamp) {
        self.next_review = self.next_review.min(at);
    }
}
