//! Backoff from a host whose connection slots are all taken.
//!
//! A host accepts a limited number of connections. One that has no slot left rejects a newcomer as it connects, and a
//! router that connects again for each request costs it work and gets nothing. So what a router has in flight there as
//! it is rejected becomes its limit, and after a backoff, twice as long each time, it connects once more. Routers that
//! were rejected together come back apart: each draws its own jitter.

use crate::hash;
use comethitch_time::{Duration, Timestamp};

/// The first backoff, in times that a connection may take to come up.
const FIRST_BACKOFF: u64 = 4;
/// How often the backoff is doubled at most: connections that others hold idle come free within tens of seconds.
const MAX_DOUBLINGS: u32 = 4;
/// While slots are scarce, idle connections are kept for the usual time over this.
const SCARCE_IDLE_DIVISOR: u64 = 16;

/// What a router knows of the connection slots at one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionSlots {
    /// Requests in flight there: each has a connection.
    in_flight: u32,
    /// How many it may have in flight, since it was rejected with so many; no limit before.
    limit: Option<u32>,
    /// How often it was rejected since it last got one more.
    rejections: u32,
    backoff_until: Timestamp,
    /// When the request that tries for one more connection was sent, while it is in flight.
    trial_sent_at: Option<Timestamp>,
}

impl ConnectionSlots {
    /// Records that a request is sent there.
    pub fn attempt_sent(&mut self, now: Timestamp) {
        self.in_flight += 1;
        if self.limit.is_some_and(|limit| self.in_flight > limit) {
            self.trial_sent_at = self.trial_sent_at.or(Some(now));
        }
    }

    /// Records that the one sent at that time ended, answered or not. Only the answer to the one that tried for one
    /// more connection shows a free slot.
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

    /// Records a rejected connection, after the end of the request that tried it. `connect_timeout` is the longest that
    /// a connection may take to come up.
    ///
    /// ```
    /// use comethitch_fleet::connection_slots::ConnectionSlots;
    /// use comethitch_time::{Duration, Timestamp};
    /// let mut slots = ConnectionSlots::default();
    /// let now = Timestamp::from_millis(1_000);
    /// slots.attempt_sent(now);
    /// assert!(slots.has_free(now), "no connection was rejected yet");
    /// slots.attempt_sent(now);
    /// slots.attempt_ended(now, false);
    /// slots.connection_rejected(1, 2, Duration::from_millis(250), now);
    /// assert!(!slots.has_free(now), "one is in flight, and there is no slot for two");
    /// slots.attempt_ended(now, true);
    /// assert!(slots.has_free(now), "the one is back, and its connection is idle");
    /// ```
    pub fn connection_rejected(
        &mut self, hash_seed: u64, host_key: u64, connect_timeout: Duration, now: Timestamp,
    ) {
        self.limit = Some(self.in_flight);
        // Several that connected at once count as one rejection.
        if now >= self.backoff_until {
            let longest = connect_timeout * FIRST_BACKOFF * (1 << self.rejections.min(MAX_DOUBLINGS));
            self.rejections += 1;
            let jitter = hash::uniform([hash_seed, host_key, self.rejections.into()]);
            self.backoff_until = now + longest.scaled(0.5 + jitter / 2.0);
        }
    }

    /// Whether one more may be sent: on an idle connection, or to try for one more connection, one at a time.
    pub fn has_free(&self, now: Timestamp) -> bool {
        self.limit.is_none_or(|limit| {
            self.in_flight < limit || self.in_flight == limit && now >= self.backoff_until
        })
    }
}

/// How long a router keeps an idle connection that hosts would let it keep for `longest`. For so long after a host
/// rejected a connection, slots are scarce, and it gives back early what it does not use: others wait for it.
///
/// ```
/// use comethitch_fleet::connection_slots::idle_timeout;
/// use comethitch_time::{Duration, Timestamp};
/// let longest = Duration::from_secs(16);
/// let rejected_at = Some(Timestamp::from_micros(1));
/// assert_eq!(idle_timeout(longest, None, Timestamp::ZERO), longest);
/// assert_eq!(idle_timeout(longest, rejected_at, Timestamp::from_micros(2)), Duration::from_secs(1));
/// assert_eq!(idle_timeout(longest, rejected_at, Timestamp::from_micros(16_000_002)), longest);
/// ```
pub fn idle_timeout(longest: Duration, rejected_at: Option<Timestamp>, now: Timestamp) -> Duration {
    match rejected_at {
        Some(rejected_at) if now - rejected_at <= longest => longest / SCARCE_IDLE_DIVISOR,
        _ => longest,
    }
}

#[cfg(test)]
mod tests;
