//! Backoff from a host that accepts no more connections.
//!
//! A host accepts a limited number of connections and rejects further ones. A router that tried to connect
//! for each request would cause work at the host without getting a connection. When the host rejects a
//! connection of a router, the router limits its attempts in flight there to their current number. It tries
//! one additional connection after an exponential backoff with jitter, so that routers rejected at the same
//! time do not retry at the same time.

use crate::hash;
use comethitch_time::{Duration, Timestamp};

/// Maximum duration of the first backoff, as a multiple of the connect timeout.
const FIRST_BACKOFF_CONNECT_TIMEOUTS: u64 = 4;
/// Maximum number of times that the backoff is doubled. Longer backoffs are not needed, because other routers
/// close idle connections within tens of seconds.
const MAX_DOUBLINGS: u32 = 4;
/// Divisor of the maximum idle timeout: while connection slots are scarce, connections are closed once they
/// have been idle for a sixteenth of it.
const SCARCE_IDLE_DIVISOR: u64 = 16;

/// A router's estimate of the connection slots at one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionSlots {
    /// Number of attempts in flight. Each uses one connection.
    in_flight: u32,
    /// Maximum number of attempts in flight; `None` if no connection has been rejected since one was last
    /// accepted.
    limit: Option<u32>,
    /// Number of rejections since an additional connection was last accepted. Rejections during a backoff do
    /// not count.
    rejections: u32,
    /// When an additional connection may be tried next.
    backoff_until: Timestamp,
    /// When the attempt that tries an additional connection was sent; `None` if no such attempt is in flight.
    trial_sent_at: Option<Timestamp>,
}

impl ConnectionSlots {
    /// Records that an attempt is sent to the host.
    pub fn attempt_sent(&mut self, now: Timestamp) {
        self.in_flight += 1;
        if self.limit.is_some_and(|limit| self.in_flight > limit) {
            self.trial_sent_at = self.trial_sent_at.or(Some(now));
        }
    }

    /// Records the end of the attempt that was sent at `sent_at`. Only an answer to the attempt that tried an
    /// additional connection proves that there is a free slot.
    pub fn attempt_ended(&mut self, sent_at: Timestamp, answered: bool) {
        if self.trial_sent_at == Some(sent_at) {
            self.trial_sent_at = None;
            if answered {
                self.limit = None;
                self.rejections = 0;
                self.backoff_until = Timestamp::ZERO;
            }
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that the host rejected a connection. Must be called after [`ConnectionSlots::attempt_ended`]
    /// of the attempt that tried the connection. The backoff is a multiple of `connect_timeout`.
    ///
    /// ```
    /// use comethitch_fleet::connection_slots::ConnectionSlots;
    /// use comethitch_time::{Duration, Timestamp};
    /// let mut slots = ConnectionSlots::default();
    /// let now = Timestamp::from_millis(1_000);
    /// slots.attempt_sent(now);
    /// assert!(slots.has_free(now), "no connection was rejected");
    /// slots.attempt_sent(now);
    /// slots.attempt_ended(now, false);
    /// slots.connection_rejected(1, 2, Duration::from_millis(250), now);
    /// assert!(!slots.has_free(now), "one request is in flight, and there is no slot for a second");
    /// slots.attempt_ended(now, true);
    /// assert!(slots.has_free(now), "its connection is idle");
    /// ```
    pub fn connection_rejected(
        &mut self, hash_seed: u64, host_key: u64, connect_timeout: Duration, now: Timestamp,
    ) {
        self.limit = Some(self.in_flight);
        // Rejections of connections that were tried at the same time count as one.
        if now >= self.backoff_until {
            let max_backoff =
                connect_timeout * FIRST_BACKOFF_CONNECT_TIMEOUTS * (1 << self.rejections.min(MAX_DOUBLINGS));
            self.rejections += 1;
            let jitter = hash::uniform([hash_seed, host_key, self.rejections.into()]);
            self.backoff_until = now + max_backoff.scaled(0.5 + jitter / 2.0);
        }
    }

    /// Returns whether one more attempt may be sent, either on an idle connection or to try an additional
    /// one. Only one attempt at a time tries an additional connection.
    pub fn has_free(&self, now: Timestamp) -> bool {
        self.limit.is_none_or(|limit| {
            self.in_flight < limit || self.in_flight == limit && now >= self.backoff_until
        })
    }
}

/// Returns how long an idle connection is kept open, which is at most `max_timeout`.
///
/// `rejected_at` is when a host last rejected a connection, or `None` if none has. For `max_timeout` after
/// that, slots are considered scarce, and idle connections are closed earlier so that other routers can
/// connect.
///
/// ```
/// use comethitch_fleet::connection_slots::idle_timeout;
/// use comethitch_time::{Duration, Timestamp};
/// let max_timeout = Duration::from_secs(16);
/// let rejected_at = Some(Timestamp::from_micros(1));
/// assert_eq!(idle_timeout(max_timeout, None, Timestamp::ZERO), max_timeout);
/// assert_eq!(idle_timeout(max_timeout, rejected_at, Timestamp::from_micros(2)), Duration::from_secs(1));
/// assert_eq!(idle_timeout(max_timeout, rejected_at, Timestamp::from_micros(16_000_002)), max_timeout);
/// ```
pub fn idle_timeout(max_timeout: Duration, rejected_at: Option<Timestamp>, now: Timestamp) -> Duration {
    match rejected_at {
        Some(rejected_at) if now - rejected_at <= max_timeout => max_timeout / SCARCE_IDLE_DIVISOR,
        _ => max_timeout,
    }
}

#[cfg(test)]
mod tests;
