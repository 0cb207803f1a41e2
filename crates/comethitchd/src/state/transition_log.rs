//! Logs changes in the policy's view of the fleet: the states of shards, and the offset between the router's
//! clock and the hosts'.

use comethitch_policy::{ClockState, Router, ShardId, ShardState};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// The state of a shard as it was last logged.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct LoggedShard {
    state: ShardState,
    /// Number of failovers that the shard has entered.
    failovers: u32,
}

/// The policy's view of the fleet as it was last logged.
#[derive(Default)]
pub struct TransitionLog {
    shards: RefCell<BTreeMap<ShardId, LoggedShard>>,
    clock: Cell<ClockState>,
}

impl TransitionLog {
    /// Logs what has changed since the last call. A change that was reverted between two calls is not logged.
    pub fn log_changes(&self, policy: &Router) {
        self.log_shards(policy);
        self.log_clock(policy.clock_state());
    }

    fn log_shards(&self, policy: &Router) {
        let mut shards = self.shards.borrow_mut();
        for (shard, state, failovers) in policy.shard_states() {
            let current = LoggedShard { state, failovers };
            let previous = shards.insert(shard, current).unwrap_or_default();
            if previous != current {
                log::info!(shard, failovers, from:? = previous.state, to:? = state; "shard state changed");
            }
        }
    }

    fn log_clock(&self, state: ClockState) {
        let previous = self.clock.replace(state);
        if std::mem::discriminant(&previous) == std::mem::discriminant(&state) {
            return;
        }
        match state {
            ClockState::Corrected { offset, uncertainty } => log::warn!(
                min_offset_ms = offset.as_millis(),
                max_offset_ms = (offset + uncertainty).as_millis();
                "wall clock wrong at start, corrected by the hosts' clocks"
            ),
            ClockState::Wrong => log::warn!("wall clock wrong at start, polling hosts for the time"),
            ClockState::Agrees => log::info!("wall clock at start agrees with the hosts' clocks"),
            ClockState::Unknown => {}
        }
    }
}
