//! Limits periodic health checks: a bounded number per tick, round-robin over the shards, and few that exceed
//! a shard's budget.

use crate::ShardId;
use crate::time::{Duration, Timestamp};

/// Maximum number of periodic health checks started per tick. The others are deferred to the next tick.
const MAX_CHECKS_PER_TICK: usize = 16;
/// Time after which an overdue health check is sent even if it exceeds the shard's budget.
const OVER_BUDGET_AFTER: Duration = Duration::from_secs(10);
/// Minimum time between two health checks that exceed a budget, over all hosts, so that their cost does not
/// grow with the number of hosts.
const OVER_BUDGET_SPACING: Duration = Duration::from_millis(40);

/// Limits on starting periodic health checks.
pub(super) struct HealthCheckScheduler {
    /// Number of health checks that may still be started before the next tick.
    remaining: usize,
    /// The shard that was visited last: the next round continues after it.
    cursor: Option<ShardId>,
    next_over_budget_at: Timestamp,
}

impl HealthCheckScheduler {
    /// Returns a scheduler with the full allowance of a tick.
    pub(super) fn new() -> HealthCheckScheduler {
        HealthCheckScheduler {
            remaining: MAX_CHECKS_PER_TICK,
            cursor: None,
            next_over_budget_at: Timestamp::ZERO,
        }
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

    /// Rotates sorted shards so that the first one after the shard visited last comes first. Otherwise the
    /// shards with the lowest ids would use up the allowance of every tick.
    pub(super) fn continue_round(&self, shards: &mut [ShardId]) {
        let visited = shards.partition_point(|shard_id| Some(*shard_id) <= self.cursor);
        shards.rotate_left(visited);
    }

    /// Records that a shard was visited in the round.
    pub(super) fn record_visited(&mut self, shard_id: ShardId) {
        self.cursor = Some(shard_id);
    }

    /// Returns whether a health check that exceeds its shard's budget is admitted: it must be long overdue,
    /// and the previous such check must be at least [`OVER_BUDGET_SPACING`] ago.
    pub(super) fn admit_over_budget(&mut self, due_at: Timestamp, now: Timestamp) -> bool {
        let admitted = now >= due_at + OVER_BUDGET_AFTER && now >= self.next_over_budget_at;
        if admitted {
            self.next_over_budget_at = now + OVER_BUDGET_SPACING;
        }
        admitted
    }
}

#[cfg(test)]
mod tests;
