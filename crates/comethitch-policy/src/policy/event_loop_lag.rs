//! Event-loop lag: how late the router's own ticks run.
//!
//! Ticks wait in the same event loop as all other events. The lag of a tick therefore predicts how long an
//! answer that is decided on now waits before it is written.

use crate::time::{Duration, Timestamp};

/// Maximum lag that is recorded: a longer one means that the process was stopped, which predicts nothing.
const MAX_LAG: Duration = Duration::from_millis(500);
/// Divisor of the maximum lag: it decays by a sixteenth of itself with each tick.
const DECAY_DIVISOR: u64 = 16;

/// Decaying maximum of the lag of recent ticks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventLoopLag {
    recent_max: Duration,
    next_tick_at: Option<Timestamp>,
}

impl EventLoopLag {
    /// Records a tick that runs at `now`; the next one is due after `interval`.
    pub(super) fn record_tick(&mut self, now: Timestamp, interval: Duration) {
        let lag = self.next_tick_at.map_or(Duration::ZERO, |due| now - due);
        let decayed = self.recent_max - self.recent_max / DECAY_DIVISOR;
        self.recent_max = lag.min(MAX_LAG).max(decayed);
        self.next_tick_at = Some(now + interval);
    }

    /// Returns the decayed maximum lag of recent ticks.
    pub(super) fn recent_max(&self) -> Duration {
        self.recent_max
    }
}

#[cfg(test)]
mod tests;
