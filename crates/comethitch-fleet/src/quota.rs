//! A router's quota: its part of what a host bears from all routers together.
//!
//! A host that has just started is overloaded if all routers together send it more than it bears. Each router spends
//! its quota by itself: the fleet's budget over the number of routers that use the host ([`expected_users`]). Where
//! that is less than one request, sending nothing would leave the host idle, and rounding up would multiply it: the
//! quota is rounded at random ([`WindowUsage::admits`]), so that over all routers just the budget is spent, give or
//! take the spread of a Poisson draw, whose chance of going over is [`overrun_probability`].

use crate::hash;
use comethitch_time::{Duration, Timestamp};

/// How many routers use a host that is in the subsets of this share of them (0 to 1): one standard deviation above
/// the mean, as the draw of subsets can fall that way.
///
/// ```
/// use comethitch_fleet::quota::expected_users;
/// assert_eq!(expected_users(300, 1.0), 300.0, "all use a primary");
/// assert_eq!(expected_users(300, 3.0 / 9.0), 110.0);
/// assert_eq!(expected_users(1, 0.2), 1.0);
/// ```
pub fn expected_users(routers: u32, router_share: f64) -> f64 {
    let mean = f64::from(routers) * router_share;
    (mean + mean.sqrt()).clamp(1.0, f64::from(routers).max(1.0))
}

/// The part of warm peers' load that the budget of a host in slow start is calculated from; the rest is left to
/// chance, and to peers that are sent more than they can do.
const PEER_LOAD_SHARE: f64 = 0.4;

/// The part of what a host answered itself that its budget is calculated from; the rest is left to chance.
const ANSWERED_SHARE: f64 = 0.5;

/// What the settings say of hosts that have just started, and how many routers there are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// How many routers use the same hosts.
    pub routers: u32,
    /// A host is overloaded that is sent more than this many times what it can do, for one `window`.
    pub overload_multiple: f64,
    /// Over how long that is judged.
    pub window: Duration,
    /// The part of its capacity that a host has at least as it starts, 0 to 1.
    pub initial_capacity: f64,
    /// After how long it has all of its capacity.
    pub warmup: Duration,
}

impl SlowStart {
    /// The part of a host's capacity that it has at least by now, from `initial_capacity` to 1; 1 if its start is
    /// unknown.
    pub fn warm_part(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let Some(started) = started else { return 1.0 };
        let passed = (now - started).ratio(self.warmup).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * passed
    }

    /// What one router may send in a window to a host in slow start, in the unit of `peer_load`: its part of what the
    /// ramp allows. That is calculated from `peer_load`, what this router sends in a window to a warm host of the same
    /// capacity on the mean over all warm hosts, as these bear the like from all routers; or from one core's time, if
    /// that is more. Or from what the host itself has `answered` in the window before, however warm it is: it can
    /// answer no more than it can do, and answers each router its part of that. Where the multiple is over two, budgets
    /// so grow from window to window for as long as what is sent is answered.
    pub fn budget(&self, warm_part: f64, router_share: f64, peer_load: f64, answered: f64) -> f64 {
        let users = expected_users(self.routers, router_share);
        let alike = peer_load * f64::from(self.routers) / users;
        let ramp = warm_part * (alike * PEER_LOAD_SHARE).max(self.window.as_micros() as f64 / users);
        self.overload_multiple * ramp.max(answered * ANSWERED_SHARE)
    }
}

/// The present window of a router at a host. Each router's windows begin at a moment of its own, so that quotas are
/// not all spent at once.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Which router this is: any number that differs among routers.
    pub hash_seed: u64,
    /// Which host this is.
    pub host_key: u64,
    /// The present.
    pub now: Timestamp,
    /// How long a window is.
    pub length: Duration,
}

impl Window {
    fn number(&self) -> u64 {
        let length = self.length.as_micros().max(1);
        self.now.as_micros().saturating_add(self.hash_seed % length) / length
    }

    /// A number drawn uniformly from 0 up to 1 for this router, host and window.
    ///
    /// ```
    /// use comethitch_fleet::quota::Window;
    /// use comethitch_time::{Duration, Timestamp};
    /// let draw = |hash_seed, now, length| Window { hash_seed, host_key: 77, now, length }.draw();
    /// let (now, length) = (Timestamp::from_millis(1_000), Duration::from_millis(250));
    /// let below = (0..1000).filter(|router| draw(*router * 7_919, now, length) < 0.25).count();
    /// assert!((200..300).contains(&below), "a quarter of all routers draws below a quarter");
    /// let length = Duration::from_micros(100);
    /// let later = draw(5, Timestamp::from_micros(90), length);
    /// assert_eq!(draw(5, Timestamp::ZERO, length), later, "while a window lasts the draw stays");
    /// ```
    pub fn draw(&self) -> f64 {
        hash::uniform([self.hash_seed, self.host_key, self.number()])
    }
}

/// What a router has spent of its quota at one host in its present window.
#[derive(Clone, Copy, Debug, Default)]
pub struct WindowUsage {
    window: u64,
    amount: f64,
}

impl WindowUsage {
    fn spent_in(&self, window: u64) -> f64 {
        if self.window == window { self.amount } else { 0.0 }
    }

    /// Records that so much was spent.
    pub fn add(&mut self, amount: f64, window: &Window) {
        self.amount = amount + self.spent_in(window.number());
        self.window = window.number();
    }

    /// Whether `cost` more may be spent in this window. The budget is rounded at random, drawn once for router, host
    /// and window: over many windows as much is admitted as the budget says, be it a small part of one request or
    /// several.
    pub fn admits(&self, cost: f64, budget: f64, window: &Window) -> bool {
        self.spent_in(window.number()) + cost * (1.0 - window.draw()) < budget
    }
}

/// A bound on the probability that independent draws whose sum is `expected` on the mean come to `limit` or more (the
/// Chernoff bound of a Poisson sum, which also holds for any sum of independent draws of one or none).
///
/// ```
/// use comethitch_fleet::quota::overrun_probability;
/// assert!(overrun_probability(36.0, 90.0) < 1e-12);
/// assert!(overrun_probability(4.0, 10.0) < 0.05);
/// assert_eq!(overrun_probability(4.0, 3.0), 1.0);
/// ```
pub fn overrun_probability(expected: f64, limit: f64) -> f64 {
    if limit <= expected {
        return 1.0;
    }
    (limit - expected - limit * (limit / expected).ln()).exp()
}

#[cfg(test)]
mod tests;
