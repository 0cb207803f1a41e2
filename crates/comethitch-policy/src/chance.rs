//! Chance: a multiply-with-carry generator. The same seed gives the same draws.

/// ```
/// use comethitch_policy::chance::Chance;
/// let (mut one, mut other) = (Chance::new(7), Chance::new(7));
/// assert_eq!(one.below(100.0), other.below(100.0));
/// assert!(one.below(1.0) < 1.0);
/// ```
#[derive(Clone, Debug)]
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        // Neither the zero state nor the generator's other fixed point may be the start.
        let mut chance = Chance((mixed >> 2).max(1));
        (0..8).for_each(|_| _ = chance.draw());
        chance
    }

    fn draw(&mut self) -> u32 {
        self.0 = (self.0 & 0xFFFF_FFFF) * 0xFFFE_B81B + (self.0 >> 32);
        self.0 as u32
    }

    /// Evenly drawn from 0 up to, but not including, `end`.
    pub fn below(&mut self, end: f64) -> f64 {
        end * f64::from(self.draw()) / 4_294_967_296.0
    }

    /// The place of one of these, drawn by weight.
    pub fn pick(&mut self, weights: &[f64]) -> Option<usize> {
        let mut at = self.below(weights.iter().sum());
        let found = weights.iter().position(|weight| {
            at -= weight;
            at < 0.0
        });
        found.or(weights.len().checked_sub(1))
    }
}
