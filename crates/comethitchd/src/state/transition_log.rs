//! Logs what changed of the policy's view of the fleet: the states of shards, and how the router's clock stands to
//! the hosts'.

use comethitch_policy::{ClockState, Router, ShardId, ShardState};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// The view that was logged last.
#[derive(Default)]
pub struct TransitionLog {
    groups: RefCell<BTreeMap<ShardId, (ShardState, u32)>>,
    clock: Cell<ClockState>,
}

impl TransitionLog {
    /// Logs what has changed since the last call. Changes that came and went in between are not seen.
    pub fn log_changes(&self, router: &Router) {
        self.log_shards(router);
        self.log_clock(router.clock_state());
    }

    fn log_shards(&self, router: &Router) {
        let mut groups = self.groups.borrow_mut();
        for (shard, state, serial) in router.shard_states() {
            let before = groups.insert(shard, (state, serial)).unwrap_or_default();
            if before != (state, serial) {
                log::info!(group = shard, serial; "group {shard} went from {:?} to {state:?}", before.0);
            }
        }
    }

    fn log_clock(&self, state: ClockState) {
        let before = self.clock.replace(state);
        if std::mem::discriminant(&before) == std::mem::discriminant(&state) {
            return;
        }
        match state {
            ClockState::Corrected { offset, uncertainty } => log::warn!(
                "the wall clock at the start was wrong: the hosts' time is {} to {} ms past it",
                offset.as_millis(),
                (offset + uncertainty).as_millis()
            ),
            ClockState::Wrong => {
                log::warn!("the wall clock at the start was wrong; hosts are asked for the time");
            }
            ClockState::Agrees => log::info!("the hosts' time agrees with the wall clock at the start"),
            ClockState::Unproven => {}
        }
    }
}
