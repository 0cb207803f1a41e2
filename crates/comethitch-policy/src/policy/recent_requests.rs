//! Recent requests: the period over which they are counted, and whether a shard is in use.

use crate::shard::Shard;
use crate::time::{Duration, Timestamp};

/// Time constant of the decaying counters of recent requests.
pub(super) const RECENT_REQUESTS_WINDOW: Duration = Duration::from_secs(10);
/// Minimum value of a shard's counter at which the shard is in use. If positions are refreshed on demand, a
/// shard below it gets no periodic health checks.
const MIN_RECENT_REQUESTS: f64 = 0.5;

/// Returns whether a shard has received requests recently.
pub(super) fn is_in_use(shard: &Shard, now: Timestamp) -> bool {
    shard.recent_requests.value(now, RECENT_REQUESTS_WINDOW) >= MIN_RECENT_REQUESTS
}
