//! A small histogram: sixteen bins, each half a power of two wide, halved as it fills so that it forgets.

use crate::time::Duration;

const BINS: usize = 16;

/// ```
/// use comethitch_policy::{histogram::Histogram, time::Duration};
/// let mut took = Histogram::new(Duration::from_millis(1), 64);
/// assert_eq!(took.quantile(0.5), None);
/// for _ in 0..9 {
///     took.add(Duration::from_micros(2_100));
/// }
/// took.add(Duration::from_millis(90));
/// assert!(took.quantile(0.5).unwrap() < Duration::from_millis(3));
/// assert!(took.quantile(0.99).unwrap() > Duration::from_millis(60));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    lowest: Duration,
    full: u32,
    total: u32,
    counts: [u32; BINS],
}

impl Histogram {
    /// The first bin ends at `lowest`; once `full` values are in, every count is halved.
    pub fn new(lowest: Duration, full: u32) -> Histogram {
        Histogram { lowest, full, total: 0, counts: [0; BINS] }
    }

    pub fn add(&mut self, value: Duration) {
        let halves = 2.0 * value.ratio(self.lowest).max(f64::MIN_POSITIVE).log2();
        self.counts[(halves.ceil().max(0.0) as usize).min(BINS - 1)] += 1;
        self.total += 1;
        if self.total >= self.full {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Of a host's answer times, as thousandths of the usual ones: how many times as long it takes. A fast host counts as
    /// a usual one.
    pub fn slowness(&self) -> f64 {
        self.quantile(0.5).map_or(1.0, |pace| (pace.as_micros() as f64 / 1000.0).max(1.0))
    }

    fn middle(&self, bin: usize) -> Duration {
        self.lowest.scaled(2f64.powf((bin as f64 - 0.5) / 2.0))
    }

    /// The middle of the bin below which this share of the values lies.
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
