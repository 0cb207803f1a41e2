//! Detects stalls of the event loop: periods in which the router's only thread did not run because the
//! process was stopped or starved of CPU time.
//!
//! A stall is the exact period of one interruption. It determines when buffered bytes may have arrived, and
//! any reading of the clock can reveal it. The policy's event-loop lag is a separate measurement: a capped
//! and decaying maximum of the scheduling delay of ticks, which makes the policy answer earlier. The policy
//! reads no clock and also runs in simulations, so that it can measure only the times of its ticks.

use comethitch_policy::time::{Duration, Timestamp};
use std::cell::Cell;

/// Maximum interval between two observations, in ticks, that does not count as a stall.
const MAX_INTERVAL_TICKS: u64 = 2;

/// Minimum time between two log lines about stalls.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A period in which the event loop did not run.
#[derive(Clone, Copy, Default)]
struct Stall {
    from: Timestamp,
    until: Timestamp,
}

/// Detects stalls from the intervals between observed readings of the clock. As the clock is read at every
/// tick, an interval of more than two ticks is a stall.
pub struct StallDetector {
    last_observation: Cell<Timestamp>,
    last_stall: Cell<Stall>,
    tick_interval: Cell<Duration>,
    next_tick_due: Cell<Timestamp>,
    /// How long the last tick waited in the event loop after it was due.
    last_tick_delay: Cell<Duration>,
    log: Cell<StallLog>,
}

/// The stalls since the last log line. A router without enough processor time may stall hundreds of times a
/// second, and a line for each would take more of it.
#[derive(Clone, Copy, Default)]
struct StallLog {
    last_line: Timestamp,
    since: StallReport,
}

/// The number of stalls, and how long the longest one took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StallReport {
    stalls: u64,
    longest: Duration,
}

impl StallLog {
    /// Records a stall. Returns those since the last line if another line is due.
    fn record(&mut self, stalled: Duration, now: Timestamp) -> Option<StallReport> {
        self.since.stalls += 1;
        self.since.longest = self.since.longest.max(stalled);
        if now - self.last_line < LOG_INTERVAL {
            return None;
        }
        self.last_line = now;
        Some(std::mem::take(&mut self.since))
    }
}

impl StallDetector {
    /// Creates a detector that has detected no stall yet.
    pub fn new(now: Timestamp) -> StallDetector {
        StallDetector {
            last_observation: Cell::new(now),
            last_stall: Cell::default(),
            tick_interval: Cell::default(),
            next_tick_due: Cell::new(now + Duration::MAX),
            last_tick_delay: Cell::default(),
            log: Cell::default(),
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

    /// Returns whether the event loop has stalled since the last observation, without observing `now`.
    pub fn has_just_stalled(&self, now: Timestamp) -> bool {
        now - self.last_observation.get() > self.tick_interval.get() * MAX_INTERVAL_TICKS
    }

    /// Observes a reading of the clock. Records and logs a stall if there was one since the last observation.
    pub fn observe(&self, now: Timestamp) {
        let from = self.last_observation.get();
        if self.has_just_stalled(now) {
            self.last_stall.set(Stall { from, until: now });
            self.log_stall(now - from, now);
        }
        self.last_observation.set(now);
    }

    fn log_stall(&self, stalled: Duration, now: Timestamp) {
        let mut log = self.log.get();
        if let Some(StallReport { stalls, longest }) = log.record(stalled, now) {
            log::warn!(stalled_ms = longest.as_micros() / 1_000, stalls; "event loop stalled");
        }
        self.log.set(log);
    }

    /// Returns the earliest time at which bytes that are read `now` may have arrived.
    ///
    /// Bytes may have waited for as long as the last tick was delayed, or as long as the next one is overdue.
    /// If the last stall ended less than `max_stall_age` ago, they may also have arrived when it began.
    pub fn earliest_arrival(&self, now: Timestamp, max_stall_age: Duration) -> Timestamp {
        let Stall { from, until } = self.last_stall.get();
        let delay = self.last_tick_delay.get().max(now - self.next_tick_due.get());
        let queued_since = now - delay;
        if now - until < max_stall_age { from.min(queued_since) } else { queued_since }
    }
}

#[cfg(test)]
mod tests;
