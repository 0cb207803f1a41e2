//! The router's clock, with the detection of event loop stalls by its readings.

use crate::state::clock::Clock;
use crate::state::stall_detector::StallDetector;
use comethitch_policy::time::{Duration, Timestamp};

/// The router's clock, whose observed readings detect stalls of the event loop.
pub struct EventLoopClock {
    clock: Clock,
    stalls: StallDetector,
}

impl EventLoopClock {
    /// Creates a clock whose first observation is now.
    pub fn new(clock: Clock) -> EventLoopClock {
        EventLoopClock { clock, stalls: StallDetector::new(clock.now()) }
    }

    /// Returns the current time, without detecting or logging stalls.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the current time. Records and logs a stall if there was one since the last observation.
    pub fn observe(&self) -> Timestamp {
        let now = self.clock.now();
        self.stalls.observe(now);
        now
    }

    /// Observes the event loop, and returns the earliest time at which bytes that are read now may have
    /// arrived. See [`StallDetector::earliest_arrival`].
    pub fn earliest_arrival(&self, max_stall_age: Duration) -> Timestamp {
        self.stalls.earliest_arrival(self.observe(), max_stall_age)
    }

    /// Records that the next tick is due after `interval`.
    pub fn schedule_tick(&self, interval: Duration) {
        self.stalls.schedule_tick(interval, self.clock.now());
    }

    /// Records that the scheduled tick runs now.
    pub fn record_tick(&self) {
        self.stalls.record_tick(self.clock.now());
    }

    /// Returns whether the event loop has stalled since the last observation, without making one.
    pub fn has_just_stalled(&self) -> bool {
        self.stalls.has_just_stalled(self.clock.now())
    }
}
