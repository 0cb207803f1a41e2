//! What the router knows of a group of hosts, one primary and its replicas: data alone.
//!
//! The transitions between the states are decided in [`policy`](crate::policy).

use crate::time::Timestamp;
use comethitch_fleet::{concurrency_limit::ConcurrencyLimit, decaying_counter::DecayingCounter};

/// Whether the believed primary serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GroupState {
    #[default]
    Healthy,
    Unhealthy,
    Failover,
}

/// One group of hosts. Hosts are given by their entries in the router's table.
#[derive(Default)]
pub struct HostGroup {
    /// The believed primary.
    pub primary: Option<usize>,
    /// The primary that the endpoint list names.
    pub listed_primary: Option<usize>,
    /// How many failovers were seen.
    pub serial: u32,
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
    pub members: Vec<usize>,
}
