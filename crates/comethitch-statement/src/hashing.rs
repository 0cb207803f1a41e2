//! Maps clients to a fixed number of buckets.

/// 2^64 divided by the golden ratio.
const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the bucket of a client by Fibonacci hashing; `buckets` must be a power of two above 1.
pub(crate) fn bucket_of(client: u64, buckets: usize) -> usize {
    (client.wrapping_mul(FIBONACCI_MULTIPLIER) >> (u64::BITS - buckets.ilog2())) as usize
}
