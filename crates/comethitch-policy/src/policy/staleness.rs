//! Staleness: whether a replica's data are fresh enough for a read.

use super::intervals::STALL_ALLOWANCE;
use super::router::Router;
use crate::Consistency;
use crate::host_table::HostIndex;
use crate::request_state::RequestState;
use crate::time::{Duration, Timestamp};

/// Minimum margin kept of a staleness bound where only positions guard a read: the bound over this.
const MIN_MARGIN_DIVISOR: u64 = 32;
/// Maximum margin kept for a router that stalls before it writes: the bound over this.
const MAX_STALL_MARGIN_DIVISOR: u64 = 8;
/// The fraction of a staleness bound up to which a replica that checks reads itself is used.
const CHECKED_LAG_FRACTION: f64 = 0.75;
/// How long a reported lag is relied on.
const LAG_LIFETIME: Duration = Duration::from_secs(2);

/// Returns the maximum age of a position for a read with this bound, where only positions guard it.
pub(super) fn usable_age(bound: Duration) -> Duration {
    let stall_margin = STALL_ALLOWANCE.min(bound / MAX_STALL_MARGIN_DIVISOR);
    bound - (bound / MIN_MARGIN_DIVISOR).max(stall_margin)
}

impl Router {
    /// Returns whether a replica's data are fresh enough for a request, at this consistency.
    pub(super) fn is_fresh(
        &self, index: HostIndex, consistency: Consistency, request: &RequestState, now: Timestamp,
    ) -> bool {
        let replication = &self.hosts[index].replication;
        match consistency {
            Consistency::Eventual => true,
            Consistency::Session => replication.position() >= request.required_position,
            Consistency::BoundedStaleness(bound) if self.settings.positions_guard_reads() => self
                .latest_host_time(now)
                .is_some_and(|host_time| host_time - replication.position() <= usable_age(bound)),
            // Beyond the design: where replicas check, one counts as having kept pace since its last report.
            Consistency::BoundedStaleness(bound) => {
                replication.lag() <= bound.scaled(CHECKED_LAG_FRACTION)
                    && now - replication.lag_reported_at() <= LAG_LIFETIME
            }
            Consistency::Write | Consistency::Strong => false,
        }
    }

    /// Returns the staleness bound of a read that nothing but the known position guards at this host.
    pub(super) fn guarded_bound(&self, request: &RequestState, index: HostIndex) -> Option<Duration> {
        let is_guarded =
            self.settings.positions_guard_reads() && !self.shards[request.shard_id].is_primary(index);
        match self.class_of(request).consistency {
            Consistency::BoundedStaleness(bound) if is_guarded => Some(bound),
            _ => None,
        }
    }
}
