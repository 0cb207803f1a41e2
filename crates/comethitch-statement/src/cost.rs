//! What the statements of a shape cost, learned from how long hosts took to answer them.
//!
//! Answer times are kept in a coarse histogram, halved when it is full, so that old ones fade. The cost is the 75th
//! percentile. Until enough are in, it is estimated from the shape's features, by the lookup time that all shapes
//! have shown.

use comethitch_policy::time::Duration;

/// Bins by powers of two, from 64 µs on: the last holds all above two seconds.
const BINS: usize = 16;
/// The upper bound of the first bin, in microseconds.
const FIRST_BIN_MICROS: u64 = 64;
/// A histogram of so many answers is halved.
const FULL: u16 = 256;
/// With fewer answers the estimate counts.
const MIN_ANSWERS: u16 = 8;
/// Hysteresis: a shape moves to a band only once its cost is past the bound by this factor.
const HYSTERESIS: f64 = 1.25;
/// The weight of each answer in the moving average of the lookup time.
const AVERAGE_WEIGHT: f64 = 1.0 / 64.0;
/// An answer counts as at most this many times the average, and at least its reciprocal.
const OUTLIER_FACTOR: f64 = 8.0;
/// What a lookup by key is taken to cost before any answer has come.
const INITIAL_LOOKUP_TIME: Duration = Duration::from_millis(1);

/// How long a lookup by key takes, as all answers have shown: a moving average in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LookupTime(f64);

impl Default for LookupTime {
    fn default() -> LookupTime {
        LookupTime(INITIAL_LOOKUP_TIME.as_micros() as f64)
    }
}

impl LookupTime {
    /// Records an answer to a statement that was estimated to cost so many lookups.
    pub fn record(&mut self, lookups: f64, took: Duration) {
        let shown = took.as_micros() as f64 / lookups.max(1.0);
        let shown = shown.clamp(self.0 / OUTLIER_FACTOR, self.0 * OUTLIER_FACTOR).max(1.0);
        self.0 += (shown - self.0) * AVERAGE_WEIGHT;
    }

    /// How long so many lookups take.
    pub fn estimate(&self, lookups: f64) -> Duration {
        Duration::from_micros((self.0 * lookups) as u64)
    }
}

/// What is known of one shape's cost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    bins: [u16; BINS],
    total: u16,
    /// The band that it is in, once it has been put in one.
    band: Option<u8>,
}

impl Cost {
    /// Records how long an answer took.
    pub fn record(&mut self, took: Duration) {
        let above = (took.as_micros() / FIRST_BIN_MICROS).checked_ilog2();
        let bin = above.map_or(0, |log| log as usize + 1).min(BINS - 1);
        self.bins[bin] += 1;
        self.total += 1;
        if self.total >= FULL {
            self.bins.iter_mut().for_each(|bin| *bin /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    /// The 75th percentile of the answer times: the middle of its bin. None until enough answers have come.
    pub fn learned(&self) -> Option<Duration> {
        if self.total < MIN_ANSWERS {
            return None;
        }
        let wanted = u32::from(self.total) * 3;
        let mut sum = 0;
        let bin = self.bins.iter().position(|bin| {
            sum += u32::from(*bin) * 4;
            sum >= wanted
        })?;
        let lower = if bin == 0 { 0 } else { FIRST_BIN_MICROS << (bin - 1) };
        let upper = FIRST_BIN_MICROS << bin;
        Some(Duration::from_micros((lower + upper) / 2))
    }

    /// The band among these bounds, in rising order, that it belongs to: 0 below the first. It stays in the band
    /// that it is in until its cost is past the bound by a quarter. `lookups` is the estimate that counts until
    /// enough answers have come.
    ///
    /// ```
    /// use comethitch_policy::time::Duration;
    /// use comethitch_statement::cost::{Cost, LookupTime};
    /// let (mut cost, bounds) = (Cost::default(), [Duration::from_millis(50)]);
    /// assert_eq!(cost.band(&bounds, LookupTime::default(), 1.0), 0, "estimated");
    /// (0..20).for_each(|_| cost.record(Duration::from_millis(100)));
    /// assert_eq!(cost.band(&bounds, LookupTime::default(), 1.0), 1);
    /// ```
    pub fn band(&mut self, bounds: &[Duration], lookup_time: LookupTime, lookups: f64) -> u8 {
        let learned = self.learned();
        let cost = learned.unwrap_or_else(|| lookup_time.estimate(lookups)).as_micros() as f64;
        let band = match self.band {
            Some(band) if band <= bounds.len() as u8 => {
                let up = band_of(bounds, cost / HYSTERESIS);
                let down = band_of(bounds, cost * HYSTERESIS);
                band.clamp(up.min(down), up.max(down))
            }
            _ => band_of(bounds, cost),
        };
        // An estimate is not held to: the first answers may place the shape anew.
        self.band = learned.map(|_| band);
        band
    }
}

/// The number of bounds that a cost in microseconds reaches.
fn band_of(bounds: &[Duration], cost: f64) -> u8 {
    bounds.iter().take_while(|bound| cost >= bound.as_micros() as f64).count() as u8
}
