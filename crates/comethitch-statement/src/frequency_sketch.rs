//! Estimates the recent frequency of keys in constant memory: a count-min sketch of four-bit counters with
//! conservative update.
//!
//! Estimates may be too high where keys share counters, and are too low only through ageing: all counts are
//! halved periodically.

use crate::ShapeKey;

/// Number of rows; each key has one counter in each row.
const ROWS: usize = 4;
/// Maximum value of a counter.
const MAX_COUNT: u8 = 15;
/// Clears the bit that shifting a byte moves from its upper counter into its lower one.
const HALVED_MASK: u8 = 0x77;
/// Counters per row and expected key. More than [`SAMPLES_PER_KEY`], so that a row has more counters than
/// keys can occur between two halvings. Even in a flood of keys that occur once, a key then rarely shares all
/// its counters with others, and so rarely looks like one that recurs.
const COUNTERS_PER_KEY: usize = 8;
/// Increments per expected key after which all counts are halved.
const SAMPLES_PER_KEY: usize = 6;
/// Minimum number of expected keys.
const MIN_KEYS: usize = 16;

/// Estimates the recent frequency of each key.
pub struct FrequencySketch {
    /// Two counters per byte, row by row.
    counters: Box<[u8]>,
    /// Selects the column within a row: the number of counters per row, which is a power of two, minus one.
    column_mask: usize,
    /// Increments since the last halving.
    increments: usize,
    /// Increments at which all counts are halved.
    sample_size: usize,
}

impl FrequencySketch {
    /// Creates a sketch for an expected number of keys.
    pub fn new(keys: usize) -> FrequencySketch {
        FrequencySketch {
            counters: vec![0; Self::memory_bytes(keys)].into_boxed_slice(),
            column_mask: row_width(keys) - 1,
            increments: 0,
            sample_size: keys.max(MIN_KEYS) * SAMPLES_PER_KEY,
        }
    }

    /// Returns the bytes that a sketch for an expected number of keys occupies.
    pub fn memory_bytes(keys: usize) -> usize {
        row_width(keys) * ROWS / 2
    }

    /// Returns the indices of a key's counters, by double hashing.
    fn counter_indices(&self, key: ShapeKey) -> [usize; ROWS] {
        let low = key.0 as u64 as usize;
        let high = (key.0 >> 64) as u64 as usize | 1;
        std::array::from_fn(|row| {
            let column = low.wrapping_add(high.wrapping_mul(row)) & self.column_mask;
            row * (self.column_mask + 1) + column
        })
    }

    fn counter(&self, index: usize) -> u8 {
        self.counters[index / 2] >> (index % 2 * 4) & MAX_COUNT
    }

    /// Counts one occurrence of a key. Raises only the smallest of its counters (conservative update), as the
    /// others are too high already.
    pub fn increment(&mut self, key: ShapeKey) {
        let indices = self.counter_indices(key);
        let min = self.min_count(&indices);
        if min < MAX_COUNT {
            for index in indices {
                if self.counter(index) == min {
                    self.counters[index / 2] += 1 << (index % 2 * 4);
                }
            }
        }
        self.increments += 1;
        if self.increments >= self.sample_size {
            self.halve_counts();
        }
    }

    fn halve_counts(&mut self) {
        self.increments /= 2;
        self.counters.iter_mut().for_each(|pair| *pair = *pair >> 1 & HALVED_MASK);
    }

    /// Returns the estimated number of recent occurrences of a key, at most 15.
    ///
    /// ```
    /// use comethitch_statement::{ShapeKey, frequency_sketch::FrequencySketch};
    /// let mut sketch = FrequencySketch::new(100);
    /// (0..3).for_each(|_| sketch.increment(ShapeKey(7)));
    /// assert_eq!(sketch.estimate(ShapeKey(7)), 3);
    /// assert_eq!(sketch.estimate(ShapeKey(8 << 64 | 9)), 0);
    /// ```
    pub fn estimate(&self, key: ShapeKey) -> u8 {
        self.min_count(&self.counter_indices(key))
    }

    fn min_count(&self, indices: &[usize; ROWS]) -> u8 {
        indices.iter().map(|index| self.counter(*index)).min().unwrap_or(0)
    }
}

fn row_width(keys: usize) -> usize {
    (keys.max(MIN_KEYS) * COUNTERS_PER_KEY).next_power_of_two()
}
