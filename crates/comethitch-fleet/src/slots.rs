//! A host whose connections are all taken.
//!
//! A host holds a limited number of connections. One that has no place left turns a newcomer away as it attempts a connection, and a
//! router that attempts a connection again for each command costs it work and gets nothing. So what a router has there at once becomes
//! all that it may have there, and after a while, twice as long each time, it attempts one more, once. Routers turned
//! away together come back apart: each draws its own part of the wait.

use crate::drawn;
use comethitch_time::{Duration, Timestamp};

/// The first wait is so many times what a connection may take to come up, and is doubled at most so often: connections
/// that others hold idle come free within tens of seconds.
const FIRST: u64 = 4;
const DOUBLED: u32 = 4;
/// The part of the usual time for which an idle connection is kept while places are short.
const SHORT: u64 = 16;

/// What a router knows of the places at one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slots {
    /// Commands out there: each has a connection.
    out: u32,
    /// How many it may have out at once, since it was turned away with so many; no limit before.
    most: Option<u32>,
    /// How often it was turned away since it last got one more.
    turned: u32,
    until: Timestamp,
    /// When the one that attempts a connection was sent, while it is out.
    attempted: Option<Timestamp>,
}

impl Slots {
    /// A command goes there.
    pub fn sent(&mut self, now: Timestamp) {
        self.out += 1;
        if self.most.is_some_and(|most| self.out > most) {
            self.attempted = self.attempted.or(Some(now));
        }
    }

    /// One that was sent then came back, answered or not. Those on connections that are held tell nothing of another.
    pub fn ended(&mut self, sent: Timestamp, answered: bool) {
        if self.attempted == Some(sent) {
            self.attempted = None;
            if answered {
                // There was a place for one more.
                (self.most, self.turned, self.until) = (None, 0, Timestamp::ZERO);
            }
        }
        self.out = self.out.saturating_sub(1);
    }

    /// Turned away, after the end of the command that attempted a connection. `salt` is the router's, `key` the host's, `connect` the
    /// longest that a connection may take to come up.
    ///
    /// ```
    /// use comethitch_fleet::slots::Slots;
    /// use comethitch_time::{Duration, Timestamp};
    /// let (mut slots, now) = (Slots::default(), Timestamp::from_millis(1_000));
    /// slots.sent(now);
    /// assert!(slots.open(now), "nobody has said anything yet");
    /// slots.sent(now);
    /// slots.ended(now, false);
    /// slots.turned_away(1, 2, Duration::from_millis(250), now);
    /// assert!(!slots.open(now), "one is out there, and there is no place for two");
    /// slots.ended(now, true);
    /// assert!(slots.open(now), "the one is back, and its connection is kept");
    /// ```
    pub fn turned_away(&mut self, salt: u64, key: u64, connect: Duration, now: Timestamp) {
        self.most = Some(self.out);
        // Several attempted a connection at once: one refusal, not several.
        if now >= self.until {
            let longest = connect * FIRST * (1 << self.turned.min(DOUBLED));
            self.turned += 1;
            self.until = now + longest.scaled(0.5 + drawn([salt, key, self.turned.into()]) / 2.0);
        }
    }

    /// Whether one more may go there: on a connection that is held, or to attempt one, one at a time.
    pub fn open(&self, now: Timestamp) -> bool {
        self.most.is_none_or(|most| self.out < most || self.out == most && now >= self.until)
    }
}

/// How long a router keeps an idle connection that hosts would let it keep for `longest`. For so long after one of them
/// turned it away, places are short, and what it does not use it gives back: others wait for it as it does.
///
/// ```
/// use comethitch_fleet::slots::kept;
/// use comethitch_time::{Duration, Timestamp};
/// let longest = Duration::from_secs(16);
/// assert_eq!(kept(longest, None, Timestamp::ZERO), longest);
/// assert_eq!(kept(longest, Some(Timestamp::from_micros(1)), Timestamp::from_micros(2)), Duration::from_secs(1));
/// assert_eq!(kept(longest, Some(Timestamp::from_micros(1)), Timestamp::from_micros(16_000_002)), longest);
/// ```
pub fn kept(longest: Duration, turned_away: Option<Timestamp>, now: Timestamp) -> Duration {
    match turned_away {
        Some(at) if now - at <= longest => longest / SHORT,
        _ => longest,
    }
}

#[cfg(test)]
mod tests;
