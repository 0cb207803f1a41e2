//! Limits periodic health checks: a bounded number per tick, in a round over the shards, and rarely unpaid ones.

use crate::ShardId;
use crate::time::{Duration, Timestamp};

/// Maximum number of periodic health checks started per tick; the rest are deferred.
const MAX_CHECKS_PER_TICK: usize = 16;
/// How long a host's health check may be overdue before it is sent without budget.
const UNPAID_AFTER: Duration = Duration::from_secs(10);
/// Minimum time between two unpaid health checks, over all hosts, so that their cost does not grow with the hosts.
const UNPAID_SPACING: Duration = Duration::from_millis(40);

/// Allowances for periodic health checks.
pub(super) struct HealthCheckScheduler {
    /// How many may still be started before the next tick.
    remaining: usize,
    /// The shard that was visited last: the next round continues behind it.
    cursor: Option<ShardId>,
    next_unpaid_at: Timestamp,
}

impl HealthCheckScheduler {
    /// Returns a scheduler with the full allowance of a tick.
    pub(super) fn new() -> HealthCheckScheduler {
        HealthCheckScheduler { remaining: MAX_CHECKS_PER_TICK, cursor: None, next_unpaid_at: Timestamp::ZERO }
    }

    /// Renews the allowance of health checks per tick.
    pub(super) fn start_tick(&mut self) {
        self.remaining = MAX_CHECKS_PER_TICK;
    }

    /// Returns whether no more health checks may be started before the next tick.
    pub(super) fn is_exhausted(&self) -> bool {
        self.remaining == 0
    }

    /// Records that a health check was started.
    pub(super) fn record_started(&mut self) {
        self.remaining -= 1;
    }

    /// Rotates sorted shards so that the round continues where it ended: the first ones must not use up the allowance
    /// of all.
    pub(super) fn continue_round(&self, shards: &mut [ShardId]) {
        let visited = shards.partition_point(|shard_id| Some(*shard_id) <= self.cursor);
        shards.rotate_left(visited);
    }

    /// Records that a shard was visited in the round.
    pub(super) fn record_visited(&mut self, shard_id: ShardId) {
        self.cursor = Some(shard_id);
    }

    /// Admits a health check without budget if it is long overdue and no other unpaid one was admitted just before.
    pub(super) fn admit_unpaid(&mut self, due_at: Timestamp, now: Timestamp) -> bool {
        let admitted = now >= due_at + UNPAID_AFTER && now >= self.next_unpaid_at;
        if admitted {
            self.next_unpaid_at = now + UNPAID_SPACING;
        }
        admitted
    }
}

#[cfg(test)]
mod tests;
