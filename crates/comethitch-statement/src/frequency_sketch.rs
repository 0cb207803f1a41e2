//! How often keys were seen lately: a count-min sketch of four-bit counters with conservative update, in a fixed
//! number of bytes.
//!
//! Counts may be too high where keys share counters, never too low but for ageing: once several times as many
//! keys were counted as the sketch is made for, all counts are halved, so that old ones fade.

use crate::ShapeKey;

/// Each key has one counter in each row.
const ROWS: usize = 4;
/// The largest count of a counter.
const MAX_COUNT: u8 = 15;
/// Clears what halving both counters of a byte carries from one into the other.
const HALVED_MASK: u8 = 0x77;
/// Counters in each row, for each key that the sketch is made for: nearly as many as keys that come between two
/// halvings, so that a flood of keys that come once seldom looks like keys that come again.
const COUNTERS_PER_KEY: usize = 8;
/// So many keys are counted, for each that it is made for, before counts are halved.
const SAMPLES_PER_KEY: usize = 6;
/// A sketch is made for this many keys at least.
const MIN_KEYS: usize = 16;

/// Estimates how often each key was counted.
pub struct FrequencySketch {
    /// Two counters in each byte; row after row.
    counters: Box<[u8]>,
    /// The number of counters in a row less one; a power of two less one.
    mask: usize,
    counted: usize,
    /// Counts are halved once so many keys were counted.
    sample_size: usize,
}

impl FrequencySketch {
    /// A sketch for so many keys in use.
    pub fn new(keys: usize) -> FrequencySketch {
        FrequencySketch {
            counters: vec![0; Self::bytes(keys)].into_boxed_slice(),
            mask: row_width(keys) - 1,
            counted: 0,
            sample_size: keys.max(MIN_KEYS) * SAMPLES_PER_KEY,
        }
    }

    /// The bytes that a sketch for so many keys takes.
    pub fn bytes(keys: usize) -> usize {
        row_width(keys) * ROWS / 2
    }

    /// The indices of a key's counters, by double hashing.
    fn counter_indices(&self, key: ShapeKey) -> [usize; ROWS] {
        let low = key.0 as u64 as usize;
        let high = (key.0 >> 64) as u64 as usize | 1;
        std::array::from_fn(|row| {
            let column = low.wrapping_add(high.wrapping_mul(row)) & self.mask;
            row * (self.mask + 1) + column
        })
    }

    fn counter(&self, index: usize) -> u8 {
        self.counters[index / 2] >> (index % 2 * 4) & MAX_COUNT
    }

    /// Counts a key once more. Only the smallest of its counters are raised, as the others count other keys too.
    pub fn increment(&mut self, key: ShapeKey) {
        let indices = self.counter_indices(key);
        let least = self.least(&indices);
        if least < MAX_COUNT {
            for index in indices {
                if self.counter(index) == least {
                    self.counters[index / 2] += 1 << (index % 2 * 4);
                }
            }
        }
        self.counted += 1;
        if self.counted >= self.sample_size {
            self.counted /= 2;
            self.counters.iter_mut().for_each(|two| *two = *two >> 1 & HALVED_MASK);
        }
    }

    /// About how often a key was counted lately, 15 at most.
    ///
    /// ```
    /// use comethitch_statement::{ShapeKey, frequency_sketch::FrequencySketch};
    /// let mut sketch = FrequencySketch::new(100);
    /// (0..3).for_each(|_| sketch.increment(ShapeKey(7)));
    /// assert_eq!(sketch.estimate(ShapeKey(7)), 3);
    /// assert_eq!(sketch.estimate(ShapeKey(8 << 64 | 9)), 0);
    /// ```
    pub fn estimate(&self, key: ShapeKey) -> u8 {
        self.least(&self.counter_indices(key))
    }

    fn least(&self, indices: &[usize; ROWS]) -> u8 {
        indices.iter().map(|index| self.counter(*index)).min().unwrap_or(0)
    }
}

/// The number of counters in a row.
fn row_width(keys: usize) -> usize {
    (keys.max(MIN_KEYS) * COUNTERS_PER_KEY).next_power_of_two()
}
