//! A small decaying histogram of durations: sixteen bins, each half a power of two wide.

use crate::time::Duration;

const BINS: usize = 16;
const BINS_PER_DOUBLING: f64 = 2.0;

/// Counts durations by size. All counts are halved whenever the histogram is full, so that recent durations prevail.
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
    /// The end of the first bin.
    lowest: Duration,
    /// The total at which all counts are halved.
    capacity: u32,
    total: u32,
    counts: [u32; BINS],
}

impl Histogram {
    /// Returns an empty histogram whose first bin ends at `lowest`, and which halves its counts at a total of `capacity`.
    pub fn new(lowest: Duration, capacity: u32) -> Histogram {
        Histogram { lowest, capacity, total: 0, counts: [0; BINS] }
    }

    /// Counts a duration.
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

    /// Returns the middle of the bin that contains this quantile, 0 to 1; none without values.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let rank = quantile * f64::from(self.total);
        let mut below = 0;
        self.counts.iter().enumerate().find_map(|(bin, count)| {
            below += count;
            let reached = *count > 0 && f64::from(below) >= rank;
            reached.then(|| self.middle(bin))
        })
    }
}
