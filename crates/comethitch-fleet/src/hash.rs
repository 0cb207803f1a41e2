//! Random draws by hashing: the same for the same words, on every machine and build.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A double holds this many bits of the hash.
const MANTISSA_BITS: u32 = 53;

/// A number from 0 up to, but not including, 1, uniformly distributed over different words.
pub(crate) fn uniform(words: [u64; 3]) -> f64 {
    let mut hasher = SipHasher13::new();
    words.iter().for_each(|word| hasher.write(&word.to_le_bytes()));
    (hasher.finish() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}
