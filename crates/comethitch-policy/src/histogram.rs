//! A small decaying histogram of durations. Each of its 16 bins ends at √2 times the end of the previous one.

use crate::time::Duration;

const BINS: usize = 16;
const BINS_PER_DOUBLING: f64 = 2.0;

/// Counts durations by size. All counts are halved whenever their total reaches the capacity, so that recent
/// durations have the most weight.
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
    /// The inclusive upper bound of the first bin.
    first_bin_end: Duration,
    /// The total at which all counts are halved.
    capacity: u32,
    total: u32,
    counts: [u32; BINS],
}

impl Histogram {
    /// Returns an empty histogram. Its first bin ends at `first_bin_end`, and it halves its counts when their
    /// total reaches `capacity`.
    pub fn new(first_bin_end: Duration, capacity: u32) -> Histogram {
        Histogram { first_bin_end, capacity, total: 0, counts: [0; BINS] }
    }

    /// Counts a duration.
    pub fn add(&mut self, value: Duration) {
        let bin = BINS_PER_DOUBLING * value.ratio(self.first_bin_end).max(f64::MIN_POSITIVE).log2();
        self.counts[(bin.ceil().max(0.0) as usize).min(BINS - 1)] += 1;
        self.total += 1;
        if self.total >= self.capacity {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns the geometric mean of the bounds of a bin.
    fn middle(&self, bin: usize) -> Duration {
        self.first_bin_end.scaled(2f64.powf((bin as f64 - 0.5) / BINS_PER_DOUBLING))
    }

    /// Returns the middle of the bin that contains this quantile, which is between 0 and 1. Returns `None` if
    /// the histogram is empty.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let rank = quantile * f64::from(self.total);
        let mut cumulative = 0;
        self.counts.iter().enumerate().find_map(|(bin, count)| {
            cumulative += count;
            let reached = *count > 0 && f64::from(cumulative) >= rank;
            reached.then(|| self.middle(bin))
        })
    }
}
