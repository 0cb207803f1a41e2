//! What the router knows of a shard, one primary and its replicas: data alone.
//!
//! The transitions between the states are decided in [`policy`](crate::policy).

use crate::{host_table::HostIndex, time::Timestamp};
use comethitch_fleet::subset::Ranking;
use comethitch_fleet::{concurrency_limit::ConcurrencyLimit, decaying_counter::DecayingCounter};
use std::cell::RefCell;

/// Whether the believed primary serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShardState {
    /// It serves, as far as is known.
    #[default]
    Healthy,
    /// Something went wrong there.
    Unhealthy,
    /// It is lost, and its successor is not known yet.
    Failover,
}

/// One shard.
#[derive(Default)]
pub(crate) struct Shard {
    /// The believed primary.
    pub primary: Option<HostIndex>,
    /// The primary that the endpoint list names.
    pub listed_primary: Option<HostIndex>,
    /// How many failovers were seen.
    pub serial: u32,
    /// Whether the believed primary serves.
    pub state: ShardState,
    /// When the group came into this state.
    pub state_since: Timestamp,
    /// Attempts in flight to the primary as the group became Unhealthy.
    pub in_flight_at_fault: u32,
    /// How many attempts of those were lost.
    pub lost_since_fault: u32,
    /// Health checks that the group's requests have paid for.
    pub health_check_budget: f64,
    /// Requests submitted lately.
    pub recent_requests: DecayingCounter,
    /// Limits on the work in flight to all members together, by request class.
    pub concurrency_limits: Vec<ConcurrencyLimit>,
    /// All hosts of the group, in the order in which they were listed first.
    pub members: Vec<HostIndex>,
    /// The members in the order in which this router prefers them.
    pub ranking: RefCell<Ranking>,
    /// How many members have answered a request of this router.
    pub answered_members: usize,
    /// Before this, time alone makes no health check due, and no change of state.
    pub next_check_review: Timestamp,
}

impl Shard {
    /// Adds a host, and a concurrency limit for each request class.
    pub(crate) fn add_member(&mut self, index: HostIndex, request_classes: usize) {
        self.members.push(index);
        self.ranking.get_mut().invalidate();
        self.concurrency_limits.resize(request_classes, ConcurrencyLimit::default());
    }

    /// Records the state that the group comes into.
    pub(crate) fn enter(&mut self, state: ShardState, now: Timestamp) {
        self.state = state;
        self.state_since = now;
    }
}
