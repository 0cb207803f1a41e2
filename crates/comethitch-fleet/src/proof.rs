//! Proof just in time: when a router asks a replica for its position.
//!
//! A bounded read needs a position that was proven within its bound. Asking on a timer costs routers times hosts
//! probes each period, most of them for nobody. Here a proof is renewed only while commands want it, and only as it
//! is about to run out; a command that finds none causes the probe at once and goes when it is answered.

use comethitch_time::Span;

/// How long a proof lasts for commands that want data no older than `bound`: until just before it runs out, as there
/// are others to go to while it is renewed. `again` is how soon a probe that told nothing is sent again; at the most
/// half of the bound is given up for it.
///
/// ```
/// use comethitch_fleet::proof;
/// use comethitch_time::Span;
/// assert_eq!(proof::lasts(Span(3_000_000), Span(250_000)), Span(2_750_000));
/// assert_eq!(proof::lasts(Span(200_000), Span(250_000)), Span(100_000), "a tight bound is renewed at its half");
/// ```
pub fn lasts(bound: Span, again: Span) -> Span {
    (bound - again).max(bound / 2)
}

/// How soon a member is asked again whose last probe told of this `lag`, none where it told of no position: one that
/// is behind proves little each time, and one that has just started will tell nothing for a while.
///
/// ```
/// use comethitch_fleet::proof::wait;
/// use comethitch_time::Span;
/// let again = Span(250_000);
/// assert_eq!(wait(Some(Span(20_000)), again), again);
/// assert_eq!(wait(Some(Span(2_000_000)), again), Span(1_000_000));
/// assert_eq!(wait(None, again), Span(500_000));
/// ```
pub fn wait(lag: Option<Span>, again: Span) -> Span {
    lag.map_or(again * 2, |lag| again.max(lag / 2))
}
