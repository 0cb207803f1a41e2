//! The router's randomness: a generator, and a seed for draws that are hashed and so stay the same for a while.

use crate::time::{Duration, Timestamp};
use crate::{Host, random::RandomGenerator};
use comethitch_fleet::quota::Window;

/// A random generator with the seed that it started from.
pub(crate) struct RandomSource {
    generator: RandomGenerator,
    /// Makes the hashed draws of this router differ from those of others.
    hash_seed: u64,
}

impl RandomSource {
    /// Returns a source whose draws depend on the seed alone.
    pub(crate) fn new(seed: u64) -> RandomSource {
        RandomSource { generator: RandomGenerator::new(seed), hash_seed: seed }
    }

    /// Draws an index by weight; none without weights.
    pub(crate) fn pick(&mut self, weights: &[f64]) -> Option<usize> {
        self.generator.pick(weights)
    }

    /// Returns the seed of hashed draws.
    pub(crate) fn hash_seed(&self) -> u64 {
        self.hash_seed
    }

    /// Returns the current window of this router at a host, with its hashed draw.
    pub(crate) fn window(&self, host: Host, now: Timestamp, length: Duration) -> Window {
        Window { hash_seed: self.hash_seed, host_key: host.number(), now, length }
    }
}
