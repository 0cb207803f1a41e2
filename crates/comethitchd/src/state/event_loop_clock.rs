//! The router's clock together with what its readings reveal about the event loop.

use crate::state::clock::Clock;
use crate::state::stall_detector::StallDetector;
use comethitch_policy::time::{Duration, Timestamp};

/// The router's clock, whose observed readings detect stalls of the event loop.
pub struct EventLoopClock {
    clock: Clock,
    stalls: StallDetector,
}

impl EventLoopClock {
    /// Starts to observe the event loop.
    pub fn new(clock: Clock) -> EventLoopClock {
        EventLoopClock { clock, stalls: StallDetector::new(clock.now()) }
    }

    /// Returns the present time. Stalls are neither detected nor logged.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the present time; logs and records a stall of the event loop since the last observation.
    pub fn observe(&self) -> Timestamp {
        let now = self.clock.now();
        self.stalls.observe(now);
        now
    }

    /// Observes the event loop, and returns the earliest time at which bytes that are read now may have arrived, see
    /// [`StallDetector::earliest_arrival`].
    pub fn earliest_arrival(&self, recent: Duration) -> Timestamp {
        self.stalls.earliest_arrival(self.observe(), recent)
    }

    /// Records that the next tick is due after `interval`.
    pub fn schedule_tick(&self, interval: Duration) {
        self.stalls.schedule_tick(interval, self.clock.now());
    }

    /// Records that the scheduled tick runs now.
    pub fn record_tick(&self) {
        self.stalls.record_tick(self.clock.now());
    }

    /// Returns whether the event loop has stalled since the last observation, without observing it.
    pub fn has_just_stalled(&self) -> bool {
        self.stalls.has_just_stalled(self.clock.now())
    }
}
