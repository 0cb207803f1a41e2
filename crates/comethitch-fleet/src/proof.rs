//! Proof just in time: when a router asks a replica for its position.
//!
//! A bounded read needs a position that was proven within its bound. Asking on a timer costs routers times hosts
//! probes each period, most of them for nobody. Here a proof is renewed only while commands want it, and only as it
//! is about to run out; a command that finds none causes the probe at once and goes when it is answered.

use comethitch_time::Span;

/// Whether a command that wants data no older than `bound` should cause a probe of a replica whose proven position
/// is `age` old. `again` is how soon a probe that told nothing is sent again: two of those fit into what is left,
/// and at the most half of the bound is given up for it.
///
/// ```
/// use comethitch_fleet::proof;
/// use comethitch_time::Span;
/// let (bound, again) = (Span(3_000_000), Span(250_000));
/// assert!(!proof::due(Span(2_400_000), bound, again));
/// assert!(proof::due(Span(2_600_000), bound, again));
/// assert!(proof::due(Span(150_000), Span(200_000), again), "a tight bound is renewed at its half");
/// ```
pub fn due(age: Span, bound: Span, again: Span) -> bool {
    age > lasts(bound, again)
}

/// How long a proof lasts before it is due to be renewed.
pub fn lasts(bound: Span, again: Span) -> Span {
    (bound - again * 2).max(bound / 2)
}
