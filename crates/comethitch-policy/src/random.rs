//! A multiply-with-carry pseudorandom generator: the same seed gives the same draws.

/// Number of draws discarded at first, so that similar seeds give different draws.
const WARM_UP_DRAWS: usize = 8;

/// A fast, reproducible generator; not cryptographically secure.
///
/// ```
/// use comethitch_policy::random::RandomGenerator;
/// let mut one = RandomGenerator::new(7);
/// let mut other = RandomGenerator::new(7);
/// assert_eq!(one.below(100.0), other.below(100.0));
/// assert!(one.below(1.0) < 1.0);
/// ```
#[derive(Clone, Debug)]
pub struct RandomGenerator {
    state: u64,
}

impl RandomGenerator {
    /// Returns a generator whose draws depend on the seed alone.
    pub fn new(seed: u64) -> RandomGenerator {
        let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        // Neither zero nor the generator's other fixed point is a valid state.
        let mut generator = RandomGenerator { state: (mixed >> 2).max(1) };
        (0..WARM_UP_DRAWS).for_each(|_| _ = generator.next_u32());
        generator
    }

    fn next_u32(&mut self) -> u32 {
        self.state = (self.state & 0xFFFF_FFFF) * 0xFFFE_B81B + (self.state >> 32);
        self.state as u32
    }

    /// Returns a number drawn uniformly from 0 up to, but not including, `end`.
    pub fn below(&mut self, end: f64) -> f64 {
        end * f64::from(self.next_u32()) / 4_294_967_296.0
    }

    /// Returns an index drawn with probability proportional to its weight; none without weights.
    pub fn pick(&mut self, weights: &[f64]) -> Option<usize> {
        let mut remaining = self.below(weights.iter().sum());
        let found = weights.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        found.or(weights.len().checked_sub(1))
    }
}
