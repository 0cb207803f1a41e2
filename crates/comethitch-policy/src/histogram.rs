//! A small histogram of durations that forgets: sixteen bins, each half a power of two wide, halved as it fills.

use crate::time::Duration;

const BINS: usize = 16;
const BINS_PER_DOUBLING: f64 = 2.0;

/// Counts durations by size. Old ones count less and less as new ones come.
///
/// ```
/// use comethitch_policy::{histogram::Histogram, time::Duration};
/// let mut times = Histogram::new(Duration::from_millis(1), 64);
/// assert_eq!(times.quantile(0.5), None);
/// for _ in 0..9 {
///     times.add(Duration::from_micros(2_100));
/// }
/// times.add(Duration::from_millis(90));
/// assert!(times.quantile(0.5).unwrap() < Duration::from_millis(3));
/// assert!(times.quantile(0.99).unwrap() > Duration::from_millis(60));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    /// Where the first bin ends.
    lowest: Duration,
    /// All counts are halved once so many values are in.
    capacity: u32,
    total: u32,
    counts: [u32; BINS],
}

impl Histogram {
    /// The first bin ends at `lowest`; once `capacity` values are in, every count is halved.
    pub fn new(lowest: Duration, capacity: u32) -> Histogram {
        Histogram { lowest, capacity, total: 0, counts: [0; BINS] }
    }

    /// Counts one duration.
    pub fn add(&mut self, value: Duration) {
        let bin = BINS_PER_DOUBLING * value.ratio(self.lowest).max(f64::MIN_POSITIVE).log2();
        self.counts[(bin.ceil().max(0.0) as usize).min(BINS - 1)] += 1;
        self.total += 1;
        if self.total >= self.capacity {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    fn middle(&self, bin: usize) -> Duration {
        self.lowest.scaled(2f64.powf((bin as f64 - 0.5) / BINS_PER_DOUBLING))
    }

    /// The middle of the bin below which this share of the values lies, 0 to 1; none without values.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let wanted = share * f64::from(self.total);
        let mut below = 0;
        self.counts.iter().enumerate().find_map(|(bin, count)| {
            below += count;
            let reached = *count > 0 && f64::from(below) >= wanted;
            reached.then(|| self.middle(bin))
        })
    }
}
