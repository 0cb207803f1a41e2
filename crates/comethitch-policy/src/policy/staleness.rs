//! Staleness: whether a host's data are fresh enough for a read.

use super::intervals::STALL_ALLOWANCE;
use super::router::Router;
use crate::Consistency;
use crate::host_table::HostIndex;
use crate::request_state::RequestState;
use crate::time::{Duration, Timestamp};

/// Divisor of the staleness bound: where the router alone enforces the bound, it keeps a margin of at least
/// 1/32 of it.
const MIN_MARGIN_DIVISOR: u64 = 32;
/// Divisor of the staleness bound: the margin for a router that stalls before it writes is at most an eighth
/// of the bound.
const MAX_STALL_MARGIN_DIVISOR: u64 = 8;
/// Maximum lag of a replica that checks staleness itself, as a fraction of the staleness bound.
const CHECKED_LAG_FRACTION: f64 = 0.75;
/// Maximum age of a lag report that is relied on.
const MAX_LAG_REPORT_AGE: Duration = Duration::from_secs(2);

/// Returns the maximum age of a position for a read with this staleness bound, where the router alone
/// enforces the bound.
pub(super) fn usable_age(bound: Duration) -> Duration {
    let stall_margin = STALL_ALLOWANCE.min(bound / MAX_STALL_MARGIN_DIVISOR);
    bound - (bound / MIN_MARGIN_DIVISOR).max(stall_margin)
}

impl Router {
    /// Returns whether a replica's data are fresh enough for a request at this consistency level.
    pub(super) fn is_fresh(
        &self, index: HostIndex, consistency: Consistency, request: &RequestState, now: Timestamp,
    ) -> bool {
        let replication = &self.hosts[index].replication;
        match consistency {
            Consistency::Eventual => true,
            Consistency::Session => replication.position() >= request.required_position,
            Consistency::BoundedStaleness(bound) if self.settings.router_enforces_staleness() => self
                .latest_host_time(now)
                .is_some_and(|host_time| host_time - replication.position() <= usable_age(bound)),
            // Beyond the design: a replica that checks staleness itself is assumed to still have its last
            // reported lag.
            Consistency::BoundedStaleness(bound) => {
                replication.lag() <= bound.scaled(CHECKED_LAG_FRACTION)
                    && now - replication.lag_reported_at() <= MAX_LAG_REPORT_AGE
            }
            Consistency::Write | Consistency::Strong => false,
        }
    }

    /// Returns whether the router alone enforces that a host's data are fresh enough for a read. It does not if
    /// the host is the primary or checks staleness itself, or if the read may see data of any age.
    pub(super) fn enforces_freshness(&self, request: &RequestState, index: HostIndex) -> bool {
        let needs_fresh_data = matches!(
            self.class_of(request).consistency,
            Consistency::BoundedStaleness(_) | Consistency::Session
        );
        needs_fresh_data && self.settings.router_enforces_staleness() && !self.is_acting_primary(index)
    }

    /// Returns the staleness bound that the router alone enforces for a request at this host. Returns `None`
    /// if the host is the primary or checks staleness itself, or the request has no bound.
    pub(super) fn enforced_bound(&self, request: &RequestState, index: HostIndex) -> Option<Duration> {
        match self.class_of(request).consistency {
            Consistency::BoundedStaleness(bound) if self.enforces_freshness(request, index) => Some(bound),
            _ => None,
        }
    }
}
