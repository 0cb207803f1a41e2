//! Staleness.

use super::intervals::STALL_ALLOWANCE;
use crate::time::Duration;

/// The part of a staleness bound, as a divisor, kept as a margin at the least where only positions guard a read.
const STALENESS_MARGIN: u64 = 32;
/// The part of it, as a divisor, that is kept at the most for a router that is held up before it writes.
const HELD_UP_MARGIN: u64 = 8;

/// How old a position may be for a read with this bound where only positions guard it.
pub(super) fn usable_age(bound: Duration) -> Duration {
    bound - (bound / STALENESS_MARGIN).max(STALL_ALLOWANCE.min(bound / HELD_UP_MARGIN))
}
