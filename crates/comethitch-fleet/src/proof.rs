//! Proof just in time: when a router asks a replica for its position.
//!
//! A bounded read needs a position that was proven within its bound. Asking on a timer costs routers times hosts
//! probes each period, most of them for nobody. Here a proof is renewed only while commands want it, and only as it
//! is about to run out; a command that finds none causes the probe at once and goes when it is answered.

use comethitch_time::Duration;

/// How long a proof lasts for commands that want data no older than `bound`: until just before it runs out, as there
/// are others to go to while it is renewed. `again` is how soon a probe that told nothing is sent again; at the most
/// half of the bound is given up for it.
///
/// ```
/// use comethitch_fleet::proof;
/// use comethitch_time::Duration;
/// assert_eq!(proof::lasts(Duration::from_secs(3), Duration::from_millis(250)), Duration::from_millis(2_750));
/// assert_eq!(proof::lasts(Duration::from_millis(200), Duration::from_millis(250)), Duration::from_millis(100), "a tight bound is renewed at its half");
/// ```
pub fn lasts(bound: Duration, again: Duration) -> Duration {
    (bound - again).max(bound / 2)
}

/// How soon a member is asked again whose last probe told of this `lag`, none where it told of no position: one that
/// is behind proves little each time, and one that has just started will tell nothing for a while.
///
/// ```
/// use comethitch_fleet::proof::wait;
/// use comethitch_time::Duration;
/// let again = Duration::from_millis(250);
/// assert_eq!(wait(Some(Duration::from_millis(20)), again), again);
/// assert_eq!(wait(Some(Duration::from_secs(2)), again), Duration::from_secs(1));
/// assert_eq!(wait(None, again), Duration::from_millis(500));
/// ```
pub fn wait(lag: Option<Duration>, again: Duration) -> Duration {
    lag.map_or(again * 2, |lag| again.max(lag / 2))
}
