//! A multiply-with-carry pseudorandom number generator. The same seed gives the same sequence of numbers.

/// Number of initial outputs that are discarded, so that similar seeds give different sequences.
const DISCARDED_OUTPUTS: usize = 8;

/// A fast, reproducible random number generator that is not cryptographically secure.
///
/// ```
/// use comethitch_policy::random::RandomGenerator;
/// let mut first = RandomGenerator::new(7);
/// let mut second = RandomGenerator::new(7);
/// assert_eq!(first.below(100.0), second.below(100.0));
/// assert!(first.below(1.0) < 1.0);
/// ```
#[derive(Clone, Debug)]
pub struct RandomGenerator {
    state: u64,
}

impl RandomGenerator {
    /// Returns a generator whose output depends only on the seed.
    pub fn new(seed: u64) -> RandomGenerator {
        let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        // Excludes the two fixed points of the generator: zero by `max`, and 0xFFFE_B81A_FFFF_FFFF by the
        // shift.
        let mut generator = RandomGenerator { state: (mixed >> 2).max(1) };
        (0..DISCARDED_OUTPUTS).for_each(|_| _ = generator.next_u32());
        generator
    }

    fn next_u32(&mut self) -> u32 {
        self.state = (self.state & 0xFFFF_FFFF) * 0xFFFE_B81B + (self.state >> 32);
        self.state as u32
    }

    /// Returns a uniformly distributed random number from 0 up to, but not including, `end`.
    pub fn below(&mut self, end: f64) -> f64 {
        end * f64::from(self.next_u32()) / 4_294_967_296.0
    }

    /// Returns a random index, with a probability proportional to its weight, or `None` if there are no
    /// weights.
    pub fn pick(&mut self, weights: &[f64]) -> Option<usize> {
        let mut remaining = self.below(weights.iter().sum());
        let found = weights.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        found.or(weights.len().checked_sub(1))
    }
}
