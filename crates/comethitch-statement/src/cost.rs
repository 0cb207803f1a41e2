//! The cost of a shape's statements, learned from the latencies of hosts.
//!
//! The cost is the 75th percentile of a coarse histogram of latencies, which decays by halving. Until enough
//! latencies are recorded, the cost is estimated from the shape's features and the average lookup time of all
//! shapes.

use comethitch_policy::time::Duration;

/// Number of bins, each twice as wide as the one before; the last holds latencies above about one second.
const BINS: usize = 16;
/// The upper bound of the first bin.
const FIRST_BIN_US: u64 = 64;
/// Number of latencies at which the histogram is halved.
const MAX_RECORDED_LATENCIES: u16 = 256;
/// Minimum number of latencies for a percentile; with fewer the estimate is used.
const MIN_RECORDED_LATENCIES: u16 = 8;
/// The band changes only if the cost is beyond a bound by this factor.
const HYSTERESIS_FACTOR: f64 = 1.25;
/// The weight of each latency in the moving average of the lookup time.
const AVERAGE_WEIGHT: f64 = 1.0 / 64.0;
/// One latency counts in the average as at most this many times the average, and at least its reciprocal.
const OUTLIER_FACTOR: f64 = 8.0;
/// Assumed time of a lookup by key before the first response.
const INITIAL_LOOKUP_TIME: Duration = Duration::from_millis(1);

/// The time of a lookup by key: a moving average over the statements of all shapes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LookupTime {
    average_us: f64,
}

impl Default for LookupTime {
    fn default() -> LookupTime {
        LookupTime { average_us: INITIAL_LOOKUP_TIME.as_micros() as f64 }
    }
}

impl LookupTime {
    /// Records the latency of a statement with an estimated cost of `lookups` lookups.
    pub fn record(&mut self, lookups: f64, latency: Duration) {
        let measured_us = latency.as_micros() as f64 / lookups.max(1.0);
        let clamped_us =
            measured_us.clamp(self.average_us / OUTLIER_FACTOR, self.average_us * OUTLIER_FACTOR).max(1.0);
        self.average_us += (clamped_us - self.average_us) * AVERAGE_WEIGHT;
    }

    /// Returns the estimated time of `lookups` lookups.
    pub fn estimate(&self, lookups: f64) -> Duration {
        Duration::from_micros((self.average_us * lookups) as u64)
    }
}

/// The cost of one shape, learned from latencies, and its cost band: the number of bounds that the cost
/// reaches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Number of latencies by bin.
    bins: [u16; BINS],
    /// Sum of the bins.
    total: u16,
    /// The last band that was determined from recorded latencies.
    band: Option<u8>,
}

impl Cost {
    /// Records the latency of one response.
    pub fn record(&mut self, latency: Duration) {
        let log = (latency.as_micros() / FIRST_BIN_US).checked_ilog2();
        let bin = log.map_or(0, |log| log as usize + 1).min(BINS - 1);
        self.bins[bin] += 1;
        self.total += 1;
        if self.total >= MAX_RECORDED_LATENCIES {
            self.bins.iter_mut().for_each(|bin| *bin /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    /// Returns the 75th percentile of the latencies, as the middle of its bin, or `None` with too few
    /// latencies.
    pub fn percentile_75(&self) -> Option<Duration> {
        if self.total < MIN_RECORDED_LATENCIES {
            return None;
        }
        let threshold = u32::from(self.total) * 3;
        let mut sum = 0;
        let bin = self.bins.iter().position(|bin| {
            sum += u32::from(*bin) * 4;
            sum >= threshold
        })?;
        let lower_us = if bin == 0 { 0 } else { FIRST_BIN_US << (bin - 1) };
        let upper_us = FIRST_BIN_US << bin;
        Some(Duration::from_micros((lower_us + upper_us) / 2))
    }

    /// Returns the cost band: the number of `bounds`, in ascending order, that the cost reaches.
    ///
    /// The band changes only when the cost passes a bound by a quarter. With too few latencies the cost is
    /// estimated from `lookups`.
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
        let learned = self.percentile_75();
        let cost_us = learned.unwrap_or_else(|| lookup_time.estimate(lookups)).as_micros() as f64;
        let band = match self.band {
            Some(band) if band <= bounds.len() as u8 => {
                let up = band_of(bounds, cost_us / HYSTERESIS_FACTOR);
                let down = band_of(bounds, cost_us * HYSTERESIS_FACTOR);
                band.clamp(up.min(down), up.max(down))
            }
            _ => band_of(bounds, cost_us),
        };
        // Hysteresis applies to learned bands only: the first latencies may correct an estimate.
        self.band = learned.map(|_| band);
        band
    }
}

fn band_of(bounds: &[Duration], cost_us: f64) -> u8 {
    bounds.iter().take_while(|bound| cost_us >= bound.as_micros() as f64).count() as u8
}
