//! A counter that decays exponentially: what happened lately, in three numbers.

use comethitch_time::{Duration, Timestamp};

/// [`DecayingCounter::rate`] takes at least this part of a time constant to have passed, as one event alone tells little.
const MIN_OBSERVED_PART: f64 = 0.1;

/// The sum of what was added, each part fading by the factor e over a time constant that the caller names.
///
/// ```
/// use comethitch_fleet::decaying_counter::DecayingCounter;
/// use comethitch_time::{Duration, Timestamp};
/// let time_constant = Duration::from_secs(2);
/// let mut requests = DecayingCounter::default();
/// // Five a second for a while: about ten are left of the last two seconds.
/// (0..100).for_each(|k| requests.add(1.0, Timestamp::from_micros(k * 200_000), time_constant));
/// assert!((requests.value(Timestamp::from_millis(20_000), time_constant) - 9.5).abs() < 0.5);
/// assert!(requests.value(Timestamp::from_millis(40_000), time_constant) < 0.001);
/// // After half a second three have come: that is twelve in a time constant.
/// let mut requests = DecayingCounter::default();
/// (1..4).for_each(|k| requests.add(1.0, Timestamp::from_micros(k * 200_000), time_constant));
/// assert!((requests.rate(Timestamp::from_millis(700), time_constant) - 12.0).abs() < 1.5);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCounter {
    sum: f64,
    updated_at: Timestamp,
    first_at: Timestamp,
}

impl DecayingCounter {
    /// What is left by now of all that was added.
    pub fn value(&self, now: Timestamp, time_constant: Duration) -> f64 {
        self.sum * (-(now - self.updated_at).ratio(time_constant)).exp()
    }

    /// How much is added in a time constant, estimated from what is left; also while less than that has passed since
    /// the first.
    pub fn rate(&self, now: Timestamp, time_constant: Duration) -> f64 {
        let observed_part = 1.0 - (-(now - self.first_at).ratio(time_constant)).exp();
        self.value(now, time_constant) / observed_part.max(MIN_OBSERVED_PART)
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Timestamp, time_constant: Duration) {
        if self.updated_at == Timestamp::ZERO {
            self.first_at = now;
        }
        self.sum = self.value(now, time_constant) + amount;
        self.updated_at = now;
    }

    /// Takes back what was added and did not happen after all; never below zero.
    pub fn subtract(&mut self, amount: f64) {
        self.sum = (self.sum - amount).max(0.0);
    }
}
