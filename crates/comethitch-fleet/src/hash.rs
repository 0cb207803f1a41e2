//! Pseudorandom numbers computed as hashes. Equal inputs give equal numbers on every machine and in every
//! build.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Number of bits of an integer that an `f64` represents exactly.
const MANTISSA_BITS: u32 = 53;

/// Returns a hash of `words` as a number in `0.0..1.0`. The numbers of different inputs are uniformly
/// distributed.
pub(crate) fn uniform(words: [u64; 3]) -> f64 {
    let mut hasher = SipHasher13::new();
    words.iter().for_each(|word| hasher.write(&word.to_le_bytes()));
    (hasher.finish() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}
