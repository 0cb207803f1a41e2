//! Recent traffic: how many requests count as recent, and when a shard is in use.

use crate::shard::Shard;
use crate::time::{Duration, Timestamp};

/// Time constant over which recent requests are counted.
pub(super) const RECENT_REQUESTS_WINDOW: Duration = Duration::from_secs(10);
/// Minimum number of recent requests for a shard to count as in use.
const MIN_RECENT_REQUESTS: f64 = 0.5;

/// Returns whether a shard has received requests recently.
pub(super) fn is_in_use(shard: &Shard, now: Timestamp) -> bool {
    shard.recent_requests.value(now, RECENT_REQUESTS_WINDOW) >= MIN_RECENT_REQUESTS
}
