//! How often keys were seen lately, by a count-min sketch of four-bit counters: a fixed number of bytes, whatever
//! comes. Counts may be too high where keys share counters, never too low but for ageing: once ten times as many
//! keys were counted as the sketch is made for, all counts are halved, so that what was in use long ago fades.

use crate::ShapeKey;

const ROWS: usize = 4;
/// The largest count of a counter.
const MOST: u8 = 15;
/// Counters in each row, for each key that the sketch is made for: nearly as many as keys that come between two
/// halvings, so that a flood of keys that come once seldom looks like keys that come again.
const WIDTH: usize = 8;
/// So many keys are counted, for each that it is made for, before counts are halved.
const SAMPLE: usize = 6;

pub struct Sketch {
    /// Two counters in each byte; row after row.
    counters: Box<[u8]>,
    /// The number of counters in a row less one; a power of two less one.
    mask: usize,
    counted: usize,
    sample: usize,
}

impl Sketch {
    /// A sketch for so many keys in use.
    pub fn new(keys: usize) -> Sketch {
        let width = (keys.max(16) * WIDTH).next_power_of_two();
        let counters = vec![0; width * ROWS / 2].into_boxed_slice();
        Sketch { counters, mask: width - 1, counted: 0, sample: keys.max(16) * SAMPLE }
    }

    /// The bytes that a sketch for so many keys holds.
    pub fn bytes(keys: usize) -> usize {
        (keys.max(16) * WIDTH).next_power_of_two() * ROWS / 2
    }

    fn places(&self, key: ShapeKey) -> [usize; ROWS] {
        let (low, high) = (key.0 as u64 as usize, (key.0 >> 64) as u64 as usize | 1);
        std::array::from_fn(|row| {
            let at = low.wrapping_add(high.wrapping_mul(row)) & self.mask;
            row * (self.mask + 1) + at
        })
    }

    fn at(&self, place: usize) -> u8 {
        self.counters[place / 2] >> (place % 2 * 4) & MOST
    }

    /// Counts a key once more. Only the smallest of its counters are raised, as the others hold more than it.
    pub fn count(&mut self, key: ShapeKey) {
        let places = self.places(key);
        let least = places.iter().map(|place| self.at(*place)).min().unwrap_or(MOST);
        if least < MOST {
            for place in places {
                if self.at(place) == least {
                    self.counters[place / 2] += 1 << (place % 2 * 4);
                }
            }
        }
        self.counted += 1;
        if self.counted >= self.sample {
            self.counted /= 2;
            // Both counters of a byte at once; what a shift carries over is masked.
            self.counters.iter_mut().for_each(|two| *two = *two >> 1 & 0x77);
        }
    }

    /// About how often a key was counted lately, 15 at most.
    ///
    /// ```
    /// use comethitch_statement::{ShapeKey, sketch::Sketch};
    /// let mut sketch = Sketch::new(100);
    /// (0..3).for_each(|_| sketch.count(ShapeKey(7)));
    /// assert_eq!(sketch.often(ShapeKey(7)), 3);
    /// assert_eq!(sketch.often(ShapeKey(8 << 64 | 9)), 0);
    /// ```
    pub fn often(&self, key: ShapeKey) -> u8 {
        self.places(key).iter().map(|place| self.at(*place)).min().unwrap_or(0)
    }
}
