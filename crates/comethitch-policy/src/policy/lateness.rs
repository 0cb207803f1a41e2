//! The router's own lateness: how long what is due waits in its event loop, and what is given up earlier for it.
//!
//! A tick waits in the same loop as everything else, so that the time by which it comes late is what an answer that is
//! decided on now will wait until it is written.

use super::{Duration, Router, Timestamp};

/// More than this is no lateness of the loop but a process that was stopped, and tells nothing of what comes next.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// The greatest lateness fades by this part with each tick that is less late.
const FADING_DIVISOR: u64 = 16;

/// How late ticks come, the greatest of the last ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lateness {
    greatest: Duration,
    next_tick: Option<Timestamp>,
}

impl Lateness {
    /// Takes in a tick, the next of which is to come after `interval`.
    pub(super) fn record_tick(&mut self, now: Timestamp, interval: Duration) {
        let late = self.next_tick.map_or(Duration::ZERO, |due| now - due);
        let faded = self.greatest - self.greatest / FADING_DIVISOR;
        self.greatest = late.min(MAX_LATENESS).max(faded);
        self.next_tick = Some(now + interval);
    }
}

impl Router {
    /// How long before its deadline a request gets its final answer at the latest: the next review is a tick away, and
    /// may come as late as the last ones did.
    pub(super) fn answer_margin(&self) -> Duration {
        self.tick_interval + self.lateness.greatest
    }
}
