//! A counter that decays exponentially. It estimates the number and rate of recent events in constant memory.

use comethitch_time::{Duration, Timestamp};

/// Minimum of the observed fraction by which [`DecayingCounter::rate`] divides. The fraction grows from 0 and
/// is 1 - 1/e after one time constant. Without the minimum, a single event would give a very high rate at
/// first.
const MIN_OBSERVED_FRACTION: f64 = 0.1;

/// A sum in which each addend decays by the factor 1/e per time constant. The caller must pass the same time
/// constant to every call.
///
/// ```
/// use comethitch_fleet::decaying_counter::DecayingCounter;
/// use comethitch_time::{Duration, Timestamp};
/// let time_constant = Duration::from_secs(2);
/// let mut requests = DecayingCounter::default();
/// // At five events per second and a time constant of two seconds, the value is about ten.
/// (0..100).for_each(|k| requests.add(1.0, Timestamp::from_micros(k * 200_000), time_constant));
/// assert!((requests.value(Timestamp::from_millis(20_000), time_constant) - 9.5).abs() < 0.5);
/// assert!(requests.value(Timestamp::from_millis(40_000), time_constant) < 0.001);
/// // Three events in half a second give a rate of about twelve per time constant.
/// let mut requests = DecayingCounter::default();
/// (1..4).for_each(|k| requests.add(1.0, Timestamp::from_micros(k * 200_000), time_constant));
/// assert!((requests.rate(Timestamp::from_millis(700), time_constant) - 12.0).abs() < 1.5);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCounter {
    /// The decayed sum at `updated_at`.
    sum: f64,
    updated_at: Timestamp,
    /// When the first amount was added.
    first_at: Timestamp,
}

impl DecayingCounter {
    /// Returns the decayed sum.
    pub fn value(&self, now: Timestamp, time_constant: Duration) -> f64 {
        self.sum * (-(now - self.updated_at).ratio(time_constant)).exp()
    }

    /// Estimates the amount added per time constant, even if less than one time constant has passed since the
    /// first addition.
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
