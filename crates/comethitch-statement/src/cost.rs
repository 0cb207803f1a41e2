//! What the statements of a shape cost, learned from how long hosts took to answer them.
//!
//! Answer times are kept in a coarse histogram, halved when it is full, so that what was long ago fades. The
//! cost is the time in which three of four answers come. Until enough are in, it is guessed from the shape's
//! features, by the pace that all shapes have shown.

use comethitch_policy::time::Duration;

/// Bins by powers of two, from 64 µs on: the last holds all above two seconds.
const BINS: usize = 16;
const FIRST_BIN: u64 = 64;
/// A histogram of so many answers is halved.
const FULL: u16 = 256;
/// With fewer answers the guess counts.
const ENOUGH: u16 = 8;
/// A shape moves to a band only once its cost is past the bound by this factor.
const SURELY: f64 = 1.25;
/// The part that each answer has in the pace of all.
const NEWEST_PART: f64 = 1.0 / 64.0;
/// What a lookup by key is taken to cost before any answer has come.
const FIRST_PACE: Duration = Duration::from_millis(1);

/// How long a lookup by key takes, as all answers have shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace(f64);

impl Default for Pace {
    fn default() -> Pace {
        Pace(FIRST_PACE.as_micros() as f64)
    }
}

impl Pace {
    /// An answer to a statement that was guessed to cost so many lookups.
    pub fn learn(&mut self, guess: f64, took: Duration) {
        let shown = (took.as_micros() as f64 / guess.max(1.0)).clamp(self.0 / 8.0, self.0 * 8.0).max(1.0);
        self.0 += (shown - self.0) * NEWEST_PART;
    }

    pub fn cost(&self, guess: f64) -> Duration {
        Duration::from_micros((self.0 * guess) as u64)
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
    pub fn learn(&mut self, took: Duration) {
        let bin =
            (took.as_micros() / FIRST_BIN).checked_ilog2().map_or(0, |log| log as usize + 1).min(BINS - 1);
        self.bins[bin] += 1;
        self.total += 1;
        if self.total >= FULL {
            self.bins.iter_mut().for_each(|bin| *bin /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    /// The time in which three of four answers come: the middle of its bin. None until enough have come.
    pub fn learned(&self) -> Option<Duration> {
        if self.total < ENOUGH {
            return None;
        }
        let wanted = u32::from(self.total) * 3;
        let mut sum = 0;
        let bin = self.bins.iter().position(|bin| {
            sum += u32::from(*bin) * 4;
            sum >= wanted
        })?;
        let from = if bin == 0 { 0 } else { FIRST_BIN << (bin - 1) };
        Some(Duration::from_micros((from + (FIRST_BIN << bin)) / 2))
    }

    /// The band among these bounds, in rising order, that it belongs to: 0 below the first. It stays in the band
    /// that it is in until its cost is surely beyond it.
    ///
    /// ```
    /// use comethitch_policy::time::Duration;
    /// use comethitch_statement::cost::{Cost, Pace};
    /// let (mut cost, bounds) = (Cost::default(), [Duration::from_millis(50)]);
    /// assert_eq!(cost.band(&bounds, Pace::default(), 1.0), 0, "guessed");
    /// (0..20).for_each(|_| cost.learn(Duration::from_millis(100)));
    /// assert_eq!(cost.band(&bounds, Pace::default(), 1.0), 1);
    /// ```
    pub fn band(&mut self, bounds: &[Duration], pace: Pace, guess: f64) -> u8 {
        let learned = self.learned();
        let cost = learned.unwrap_or_else(|| pace.cost(guess)).as_micros() as f64;
        let of = |cost: f64| bounds.iter().take_while(|bound| cost >= bound.as_micros() as f64).count() as u8;
        let band = match self.band {
            Some(band) if band <= bounds.len() as u8 => {
                let (up, down) = (of(cost / SURELY), of(cost * SURELY));
                band.clamp(up.min(down), up.max(down))
            }
            _ => of(cost),
        };
        // A guess is not held to: the first answers may place the shape anew.
        self.band = learned.map(|_| band);
        band
    }
}
