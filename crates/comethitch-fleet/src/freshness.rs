//! Refresh on demand: computes when a router refreshes its knowledge of a replica's position.
//!
//! A read with bounded staleness needs a position that was confirmed within the bound. Polling every host on
//! a timer would cost routers × hosts health checks per period, most of which would be of no use. Instead, a
//! position is refreshed only while requests need it, shortly before it becomes too old. A request that finds
//! no fresh position triggers a refresh and waits for it.

use comethitch_time::Duration;

/// Returns the age at which a position is refreshed for requests with the staleness bound `bound`.
///
/// The refresh is sent one `retry_interval` before the position becomes too old, but not before half of the
/// bound has passed. `retry_interval` is the delay after which a health check that returned no report is
/// repeated. An earlier refresh is not needed, because requests can go to other hosts in the meantime.
///
/// ```
/// use comethitch_fleet::freshness::refresh_after;
/// use comethitch_time::Duration;
/// let retry_interval = Duration::from_millis(250);
/// assert_eq!(refresh_after(Duration::from_secs(3), retry_interval), Duration::from_millis(2_750));
/// let for_tight_bound = refresh_after(Duration::from_millis(200), retry_interval);
/// assert_eq!(for_tight_bound, Duration::from_millis(100), "half of the bound");
/// ```
pub fn refresh_after(bound: Duration, retry_interval: Duration) -> Duration {
    (bound - retry_interval).max(bound / 2)
}

/// Returns the delay before a member's position is refreshed again, given the replication lag of its last
/// report.
///
/// `lag` is `None` if the report contained no position, as for a host that has just started. The delay is
/// half of the lag, but at least `retry_interval`: refreshing a host that is far behind rarely helps. Without
/// a lag, it is twice `retry_interval`, because a host that has just started reports no position for a while.
///
/// ```
/// use comethitch_fleet::freshness::refresh_backoff;
/// use comethitch_time::Duration;
/// let retry_interval = Duration::from_millis(250);
/// assert_eq!(refresh_backoff(Some(Duration::from_millis(20)), retry_interval), retry_interval);
/// assert_eq!(refresh_backoff(Some(Duration::from_secs(2)), retry_interval), Duration::from_secs(1));
/// assert_eq!(refresh_backoff(None, retry_interval), Duration::from_millis(500));
/// ```
pub fn refresh_backoff(lag: Option<Duration>, retry_interval: Duration) -> Duration {
    lag.map_or(retry_interval * 2, |lag| retry_interval.max(lag / 2))
}
