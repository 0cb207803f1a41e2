//! Timestamps and durations as two types that cannot be mixed up.
//!
//! Both count whole microseconds. Unlike their namesakes in `std::time` they carry no clock: the caller says what
//! time it is, so that code which uses them can be driven in simulated time. Arithmetic saturates: a duration is
//! never negative, and a timestamp never overflows.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point on the caller's clock, in microseconds since that clock's origin.
///
/// ```
/// use comethitch_time::{Duration, Timestamp};
/// let sent = Timestamp::from_micros(1_000);
/// assert_eq!(sent + Duration::from_micros(500) - sent, Duration::from_micros(500));
/// assert_eq!(sent - Timestamp::from_micros(4_000), Duration::ZERO, "a duration is never negative");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// The point this many microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// The point this many milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis.saturating_mul(1_000))
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

/// A length of time, in microseconds.
///
/// ```
/// use comethitch_time::Duration;
/// assert_eq!(Duration::from_millis(2), Duration::from_micros(2_000));
/// assert_eq!(Duration::from_micros(300).scaled(0.5), Duration::from_micros(150));
/// assert_eq!(Duration::from_millis(3).to_std(), std::time::Duration::from_millis(3));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(u64);

impl Duration {
    /// No time at all.
    pub const ZERO: Duration = Duration(0);
    /// The longest duration.
    pub const MAX: Duration = Duration(u64::MAX);

    /// This many microseconds.
    pub const fn from_micros(micros: u64) -> Duration {
        Duration(micros)
    }

    /// This many milliseconds.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis.saturating_mul(1_000))
    }

    /// This many seconds.
    pub const fn from_secs(seconds: u64) -> Duration {
        Duration(seconds.saturating_mul(1_000_000))
    }

    /// The number of microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The standard library's type for the same length of time.
    pub const fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }

    /// The duration multiplied by a factor, rounded down.
    pub fn scaled(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }

    /// How many times `other` fits into this duration; a duration of zero counts as one microsecond.
    pub fn ratio(self, other: Duration) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

impl Sub for Timestamp {
    type Output = Duration;
    fn sub(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Duration {
    type Output = Duration;
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Duration {
    fn add_assign(&mut self, other: Duration) {
        *self = *self + other;
    }
}

impl Sub for Duration {
    type Output = Duration;
    fn sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Duration {
    type Output = Duration;
    fn mul(self, factor: u64) -> Duration {
        Duration(self.0.saturating_mul(factor))
    }
}

impl Div<u64> for Duration {
    type Output = Duration;
    fn div(self, divisor: u64) -> Duration {
        Duration(self.0 / divisor)
    }
}
