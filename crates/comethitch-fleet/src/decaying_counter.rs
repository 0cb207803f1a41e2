//! A counter that decays exponentially: an estimate of recent events in constant memory.

use comethitch_time::{Duration, Timestamp};

/// Minimum fraction of a time constant that [`DecayingCounter::rate`] assumes to have passed, as a single event would
/// otherwise give a very high rate.
const MIN_OBSERVED_FRACTION: f64 = 0.1;

/// A sum in which each addend decays by the factor e per time constant. The caller passes the same time constant to each
/// call.
///
/// ```
/// use comethitch_fleet::decaying_counter::DecayingCounter;
/// use comethitch_time::{Duration, Timestamp};
/// let time_constant = Duration::from_secs(2);
/// let mut requests = DecayingCounter::default();
/// // At five events a second, about ten remain with a time constant of two seconds.
/// (0..100).for_each(|k| requests.add(1.0, Timestamp::from_micros(k * 200_000), time_constant));
/// assert!((requests.value(Timestamp::from_millis(20_000), time_constant) - 9.5).abs() < 0.5);
/// assert!(requests.value(Timestamp::from_millis(40_000), time_constant) < 0.001);
/// // Three events in half a second are a rate of twelve per time constant.
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
    /// Returns the decayed sum.
    pub fn value(&self, now: Timestamp, time_constant: Duration) -> f64 {
        self.sum * (-(now - self.updated_at).ratio(time_constant)).exp()
    }

    /// Estimates the amount added per time constant, also if less than one time constant has passed since the first
    /// addition.
    pub fn rate(&self, now: Timestamp, time_constant: Duration) -> f64 {
        let observed_fraction = 1.0 - (-(now - self.first_at).ratio(time_constant)).exp();
        self.value(now, time_constant) / observed_fraction.max(MIN_OBSERVED_FRACTION)
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Timestamp, time_constant: Duration) {
        if self.updated_at == Timestamp::ZERO {
            self.first_at = now;
        }
        self.sum = self.value(now, time_constant) + amount;
        self.updated_at = now;
    }

    /// Subtracts an amount that was added for an event that did not happen. The sum stays at or above zero.
    pub fn subtract(&mut self, amount: f64) {
        self.sum = (self.sum - amount).max(0.0);
    }
}
