//! Timestamps and durations as distinct types that cannot be mixed up.
//!
//! All types count whole microseconds. Unlike the types of `std::time`, they have no clock: the caller
//! passes the current time, so that code that uses them can run in simulated time. Arithmetic saturates: a
//! [`Duration`] is never negative, and a [`Timestamp`] never overflows. A [`SignedDuration`] is a difference
//! that may be negative.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point in time on the caller's clock, in microseconds since the origin of that clock.
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

    /// Returns the timestamp this many microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Returns the timestamp this many milliseconds after the origin. Saturates at the maximum.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis.saturating_mul(1_000))
    }

    /// Returns the number of microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns how far this timestamp is after `reference`; negative if it is before `reference`.
    pub const fn offset_from(self, reference: Timestamp) -> SignedDuration {
        SignedDuration((self.0 as i64).saturating_sub(reference.0 as i64))
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
    /// A duration of zero.
    pub const ZERO: Duration = Duration(0);
    /// The longest duration.
    pub const MAX: Duration = Duration(u64::MAX);

    /// Returns a duration of this many microseconds.
    pub const fn from_micros(micros: u64) -> Duration {
        Duration(micros)
    }

    /// Returns a duration of this many milliseconds.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis.saturating_mul(1_000))
    }

    /// Returns a duration of this many seconds.
    pub const fn from_secs(seconds: u64) -> Duration {
        Duration(seconds.saturating_mul(1_000_000))
    }

    /// Returns the number of microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Converts this duration to the standard library's type.
    pub const fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }

    /// Returns this duration multiplied by a factor, rounded down to microseconds.
    pub fn scaled(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }

    /// Returns this duration divided by `other`; a divisor of zero counts as one microsecond.
    pub fn ratio(self, other: Duration) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

/// A signed difference between two timestamps, in microseconds.
///
/// ```
/// use comethitch_time::{Duration, SignedDuration, Timestamp};
/// let (ours, theirs) = (Timestamp::from_millis(10), Timestamp::from_millis(7));
/// let offset = theirs.offset_from(ours);
/// assert_eq!(offset, SignedDuration::from_millis(-3));
/// assert_eq!(ours + offset, theirs);
/// assert_eq!((offset + Duration::from_millis(5)).as_millis(), 2);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SignedDuration(i64);

impl SignedDuration {
    /// A difference of zero.
    pub const ZERO: SignedDuration = SignedDuration(0);

    /// Returns a difference of this many microseconds.
    pub const fn from_micros(micros: i64) -> SignedDuration {
        SignedDuration(micros)
    }

    /// Returns a difference of this many milliseconds.
    pub const fn from_millis(millis: i64) -> SignedDuration {
        SignedDuration(millis.saturating_mul(1_000))
    }

    /// Returns the number of microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Returns the number of whole milliseconds, rounded towards zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / 1_000
    }
}

impl Add<Duration> for SignedDuration {
    type Output = SignedDuration;
    fn add(self, duration: Duration) -> SignedDuration {
        SignedDuration(self.0.saturating_add_unsigned(duration.0))
    }
}

/// Returns the difference as a duration; zero if `earlier` is the greater one.
impl Sub for SignedDuration {
    type Output = Duration;
    fn sub(self, earlier: SignedDuration) -> Duration {
        Duration(u64::try_from(self.0.saturating_sub(earlier.0)).unwrap_or(0))
    }
}

impl Add<SignedDuration> for Timestamp {
    type Output = Timestamp;
    fn add(self, offset: SignedDuration) -> Timestamp {
        Timestamp(self.0.saturating_add_signed(offset.0))
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
