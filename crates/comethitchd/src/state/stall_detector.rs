//! Detects stalls of the event loop: periods in which the router's only thread did not run because the process was
//! stopped or starved of CPU time.
//!
//! The policy has a measurement of its own, the event-loop lag: the scheduling delay of ticks, as a maximum that decays
//! and is capped, by which it answers earlier. The two are not shared. The policy reads no clock and also runs in
//! simulations, so that it can only use the times of its ticks; a stall is the exact period of one interruption, which
//! any reading of the clock can reveal, and decides when buffered bytes may have arrived.

use comethitch_policy::time::{Duration, Timestamp};
use std::cell::Cell;

/// Longest interval between two observations that is no stall, in ticks.
const MAX_QUIET_TICKS: u64 = 2;

/// A period in which the event loop did not run.
#[derive(Clone, Copy, Default)]
struct Stall {
    from: Timestamp,
    until: Timestamp,
}

/// Observes readings of the clock. As the policy is called at every tick, a gap of more than two ticks between two
/// readings is a stall.
pub struct StallDetector {
    last_observation: Cell<Timestamp>,
    last_stall: Cell<Stall>,
    tick_interval: Cell<Duration>,
    next_tick_due: Cell<Timestamp>,
    /// How long the last tick waited in the event loop after it was due.
    last_tick_delay: Cell<Duration>,
}

impl StallDetector {
    /// Creates a detector that has seen no stall.
    pub fn new(now: Timestamp) -> StallDetector {
        StallDetector {
            last_observation: Cell::new(now),
            last_stall: Cell::default(),
            tick_interval: Cell::default(),
            next_tick_due: Cell::new(now + Duration::MAX),
            last_tick_delay: Cell::default(),
        }
    }

    /// Records that the next tick is due after `interval`.
    pub fn schedule_tick(&self, interval: Duration, now: Timestamp) {
        self.tick_interval.set(interval);
        self.next_tick_due.set(now + interval);
    }

    /// Records that the scheduled tick runs now.
    pub fn record_tick(&self, now: Timestamp) {
        self.last_tick_delay.set(now - self.next_tick_due.get());
    }

    /// Returns whether a stall lies between the last observation and `now`, which is not observed by this.
    pub fn has_just_stalled(&self, now: Timestamp) -> bool {
        now - self.last_observation.get() > self.tick_interval.get() * MAX_QUIET_TICKS
    }

    /// Observes a reading of the clock; records and logs a stall before it.
    pub fn observe(&self, now: Timestamp) {
        let from = self.last_observation.get();
        if self.has_just_stalled(now) {
            self.last_stall.set(Stall { from, until: now });
            log::warn!(stalled_ms = (now - from).as_micros() / 1_000; "event loop stalled");
        }
        self.last_observation.set(now);
    }

    /// Returns the earliest time at which bytes that are read `now` may have arrived: when a stall began that ended
    /// within the last `recent`, or else as long ago as the last tick was delayed or the next one is overdue.
    pub fn earliest_arrival(&self, now: Timestamp, recent: Duration) -> Timestamp {
        let Stall { from, until } = self.last_stall.get();
        let delay = self.last_tick_delay.get().max(now - self.next_tick_due.get());
        let queued_since = now - delay;
        if now - until < recent { from.min(queued_since) } else { queued_since }
    }
}

#[cfg(test)]
mod tests;
