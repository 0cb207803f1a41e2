//! Refresh on demand: when a router asks a replica for its position.
//!
//! A bounded read needs a position that was proven within its staleness bound. Polling on a timer costs routers times
//! hosts health checks each period, most of them for nobody. Here a position is refreshed only while requests need
//! it, and only as it is about to become too old; a request that finds no fresh one triggers the refresh at once and
//! is sent when it is answered.

use comethitch_time::Duration;

/// After how long a position is refreshed for requests that accept data no older than `bound`: just before it is too
/// old, as there are other hosts to go to meanwhile. `retry_interval` is how soon a health check that reported nothing
/// is sent again; at the most half of the bound is given up for it.
///
/// ```
/// use comethitch_fleet::freshness::refresh_after;
/// use comethitch_time::Duration;
/// let retry_interval = Duration::from_millis(250);
/// assert_eq!(refresh_after(Duration::from_secs(3), retry_interval), Duration::from_millis(2_750));
/// let tight = refresh_after(Duration::from_millis(200), retry_interval);
/// assert_eq!(tight, Duration::from_millis(100), "a tight bound is refreshed at its half");
/// ```
pub fn refresh_after(bound: Duration, retry_interval: Duration) -> Duration {
    (bound - retry_interval).max(bound / 2)
}

/// How soon a member is asked again whose last health check reported this `lag`, none where it reported no position:
/// one that is behind proves little each time, and one that has just started will report nothing for a while.
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
