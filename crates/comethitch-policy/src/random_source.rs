//! The router's source of randomness: a random number generator, and a seed for random numbers that are
//! computed as hashes, so that they stay the same for a window of time.

use crate::time::{Duration, Timestamp};
use crate::{Host, random::RandomGenerator};
use comethitch_fleet::quota::Window;

/// A random number generator and its seed, which also serves as the seed of hashes.
pub(crate) struct RandomSource {
    generator: RandomGenerator,
    /// The seed of hashes, by which the hashed numbers of this router differ from those of other routers.
    hash_seed: u64,
}

impl RandomSource {
    /// Returns a source whose random numbers depend only on the seed.
    pub(crate) fn new(seed: u64) -> RandomSource {
        RandomSource { generator: RandomGenerator::new(seed), hash_seed: seed }
    }

    /// Returns a random index, with a probability proportional to its weight, or `None` if there are no
    /// weights.
    pub(crate) fn pick(&mut self, weights: &[f64]) -> Option<usize> {
        self.generator.pick(weights)
    }

    /// Returns the seed of hashes.
    pub(crate) fn hash_seed(&self) -> u64 {
        self.hash_seed
    }

    /// Returns the current window of this router at a host, from which a hashed random number is computed.
    pub(crate) fn window(&self, host: Host, now: Timestamp, length: Duration) -> Window {
        Window { hash_seed: self.hash_seed, host_key: host.as_u64(), now, length }
    }
}
