//! A sum that leaks away: what was lately, in two numbers.

use comethitch_time::{Duration, Timestamp};

/// What was added lately, each part fading by `e` over a span that the caller names.
///
/// ```
/// use comethitch_fleet::leak::Leak;
/// use comethitch_time::{Duration, Timestamp};
/// let span = Duration::from_secs(2);
/// let mut asked = Leak::default();
/// // Five a second for a while: about ten are left of the last two seconds.
/// (0..100).for_each(|k| asked.add(1.0, Timestamp::from_micros(k * 200_000), span));
/// assert!((asked.left(Timestamp::from_millis(20_000), span) - 9.5).abs() < 0.5);
/// assert!(asked.left(Timestamp::from_millis(40_000), span) < 0.001);
/// // After half a second three have come: that is twelve in a span.
/// let mut asked = Leak::default();
/// (1..4).for_each(|k| asked.add(1.0, Timestamp::from_micros(k * 200_000), span));
/// assert!((asked.each(Timestamp::from_millis(700), span) - 12.0).abs() < 1.5);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Leak {
    sum: f64,
    at: Timestamp,
    since: Timestamp,
}

impl Leak {
    pub fn left(&self, now: Timestamp, span: Duration) -> f64 {
        self.sum * (-(now - self.at).ratio(span)).exp()
    }

    /// What comes in a span, by what is left: also while less than a span has passed since the first. It starts from
    /// a tenth of a span, as one alone tells little.
    pub fn each(&self, now: Timestamp, span: Duration) -> f64 {
        self.left(now, span) / (1.0 - (-(now - self.since).ratio(span)).exp()).max(0.1)
    }

    pub fn add(&mut self, amount: f64, now: Timestamp, span: Duration) {
        self.since = if self.at == Timestamp::ZERO { now } else { self.since };
        (self.sum, self.at) = (self.left(now, span) + amount, now);
    }

    /// Takes back what was added and did not happen after all; never below zero.
    pub fn take_back(&mut self, amount: f64) {
        self.sum = (self.sum - amount).max(0.0);
    }
}
