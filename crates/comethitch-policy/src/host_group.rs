//! What the router knows of a group of hosts, one primary and its replicas: data alone.
//!
//! The transitions between the states are decided in [`policy`](crate::policy).

use crate::{host_table::HostIndex, time::Timestamp};
use comethitch_fleet::subset::Ranking;
use comethitch_fleet::{concurrency_limit::ConcurrencyLimit, decaying_counter::DecayingCounter};
use std::cell::RefCell;

/// Whether the believed primary serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GroupState {
    /// It serves, as far as is known.
    #[default]
    Healthy,
    /// Something went wrong there.
    Unhealthy,
    /// It is lost, and its successor is not known yet.
    Failover,
}

/// One group of hosts.
#[derive(Default)]
pub struct HostGroup {
    /// The believed primary.
    pub primary: Option<HostIndex>,
    /// The primary that the endpoint list names.
    pub listed_primary: Option<HostIndex>,
    /// How many failovers were seen.
    pub serial: u32,
    /// Whether the believed primary serves.
    pub state: GroupState,
    /// When the group came into this state.
    pub state_since: Timestamp,
    /// Attempts in flight to the primary as the group became Unhealthy.
    pub in_flight_at_fault: u32,
    /// How many attempts of those were lost.
    pub lost_since_fault: u32,
    /// Health checks that the group's commands have paid for.
    pub health_check_budget: f64,
    /// Commands submitted lately.
    pub recent_commands: DecayingCounter,
    /// Limits on the work in flight to all members together, by command group.
    pub concurrency_limits: Vec<ConcurrencyLimit>,
    /// All hosts of the group, in the order in which they were listed first.
    pub members: Vec<HostIndex>,
    /// The members in the order in which this router prefers them.
    pub ranking: RefCell<Ranking>,
    /// How many members have answered a command of this router.
    pub answered_members: usize,
    /// Before this, time alone makes no health check due, and no change of state.
    pub next_check_review: Timestamp,
}

impl HostGroup {
    /// Adds a host, and a concurrency limit for each command group.
    pub fn add_member(&mut self, index: HostIndex, command_groups: usize) {
        self.members.push(index);
        self.ranking.get_mut().invalidate();
        self.concurrency_limits.resize(command_groups, ConcurrencyLimit::default());
    }

    /// Records the state that the group comes into.
    pub fn enter(&mut self, state: GroupState, now: Timestamp) {
        self.state = state;
        self.state_since = now;
    }
}
