//! Points in time and spans: two types that cannot be mixed up. Both count microseconds.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point on the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time.
///
/// ```
/// use comethitch_time::{Span, Time};
/// let sent = Time(1_000);
/// assert_eq!(sent + Span(500) - sent, Span(500));
/// assert_eq!(sent - Time(4_000), Span(0), "a span is never negative");
/// assert_eq!(Span(300).scaled(0.5), Span(150));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    pub fn scaled(self, by: f64) -> Span {
        Span((self.0 as f64 * by) as u64)
    }

    /// How many times `other` fits into this span.
    pub fn over(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Span {
    type Output = Span;
    fn mul(self, by: u64) -> Span {
        Span(self.0.saturating_mul(by))
    }
}

impl Div<u64> for Span {
    type Output = Span;
    fn div(self, by: u64) -> Span {
        Span(self.0 / by)
    }
}
