//! A router's quota: its share of the work that all routers together may send to a host.
//!
//! A host in slow start is overloaded if all routers together send it more than its current capacity. The
//! quota of each router is the budget of the fleet divided by the number of routers that use the host
//! ([`expected_users`]). A quota of less than one request can neither be rounded down, which would leave the
//! host idle, nor up, which would multiply the budget. Instead, it is rounded up or down at random
//! ([`WindowUsage::admits`]): all routers together spend the budget on average, with the variance of a
//! Poisson distribution. [`overrun_probability`] bounds the probability of exceeding it.

use crate::hash;
use comethitch_time::{Duration, Timestamp};

/// Estimates how many routers use a host that is in the subsets of a fraction `router_share` (0 to 1) of
/// them.
///
/// The estimate is one standard deviation above the mean, because subsets are selected at random. It is at
/// least 1 and at most `routers`.
///
/// ```
/// use comethitch_fleet::quota::expected_users;
/// assert_eq!(expected_users(300, 1.0), 300.0, "all routers use a primary");
/// assert_eq!(expected_users(300, 3.0 / 9.0), 110.0);
/// assert_eq!(expected_users(1, 0.2), 1.0);
/// ```
pub fn expected_users(routers: u32, router_share: f64) -> f64 {
    let mean = f64::from(routers) * router_share;
    (mean + mean.sqrt()).clamp(1.0, f64::from(routers).max(1.0))
}

/// Fraction of the load of warmed-up peers on which the budget of a host in slow start is based. The rest is
/// headroom for random variation and for peers that are overloaded themselves.
const PEER_LOAD_SHARE: f64 = 0.4;

/// Fraction of the work that a host has answered on which its next budget is based. The rest is headroom for
/// random variation.
const ANSWERED_SHARE: f64 = 0.5;

/// The settings of slow start, and the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Number of routers that use the same hosts.
    pub routers: u32,
    /// The multiple of its capacity above which the work that a host receives in one `window` overloads it.
    pub overload_multiple: f64,
    /// The time over which the load of a host is compared with its capacity.
    pub window: Duration,
    /// The fraction of its full capacity that a host has at least when it starts, from 0 to 1.
    pub initial_capacity: f64,
    /// The time after its start at which a host has its full capacity.
    pub warmup: Duration,
}

impl SlowStart {
    /// Returns the fraction of its full capacity that a host has at least, from `initial_capacity` to 1.
    ///
    /// It grows linearly over the warm-up time since `started`. If `started` is `None`, the time of the start
    /// is unknown, and the fraction is 1.
    pub fn warm_fraction(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let Some(started) = started else { return 1.0 };
        let progress = (now - started).ratio(self.warmup).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * progress
    }

    /// Returns how much work one router may send in one window to a host in slow start, in microseconds of
    /// service time. `peer_load` and `answered` are in the same unit.
    ///
    /// The budget is the overload multiple times the larger of two estimates:
    ///
    /// - `warm_fraction` times this router's share of a fixed fraction of the load of a warmed-up host, or of
    ///   the time of one core if that is more. `peer_load` is the work that this router sends per window to a
    ///   warmed-up host of the same capacity, averaged over all such hosts;
    /// - half of the work that the host has `answered` for this router in the last window, which proves that
    ///   the host had that capacity. With an overload multiple above two, budgets grow from window to window
    ///   while requests are answered.
    pub fn budget(&self, warm_fraction: f64, router_share: f64, peer_load: f64, answered: f64) -> f64 {
        let users = expected_users(self.routers, router_share);
        let load_per_user = peer_load * f64::from(self.routers) / users;
        let ramp =
            warm_fraction * (load_per_user * PEER_LOAD_SHARE).max(self.window.as_micros() as f64 / users);
        self.overload_multiple * ramp.max(answered * ANSWERED_SHARE)
    }
}

/// The current quota window of a router at a host.
///
/// The windows of different routers begin at different times, so that their quotas are not spent at the same
/// moment.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// A number that identifies the router, different for each router.
    pub hash_seed: u64,
    /// A number that identifies the host.
    pub host_key: u64,
    /// The current time.
    pub now: Timestamp,
    /// The length of a window.
    pub length: Duration,
}

impl Window {
    /// Returns the number of the current window, counted from the origin of the clock. The times at which
    /// windows begin are shifted by `hash_seed`.
    fn number(&self) -> u64 {
        let length = self.length.as_micros().max(1);
        self.now.as_micros().saturating_add(self.hash_seed % length) / length
    }

    /// Returns a uniformly distributed number in `0.0..1.0` that is fixed for this router, host and window.
    ///
    /// ```
    /// use comethitch_fleet::quota::Window;
    /// use comethitch_time::{Duration, Timestamp};
    /// let sample = |hash_seed, now, length| Window { hash_seed, host_key: 77, now, length }.sample();
    /// let (now, length) = (Timestamp::from_millis(1_000), Duration::from_millis(250));
    /// let below = (0..1000).filter(|router| sample(*router * 7_919, now, length) < 0.25).count();
    /// assert!((200..300).contains(&below), "a quarter of all routers are below 0.25");
    /// let length = Duration::from_micros(100);
    /// let later = sample(5, Timestamp::from_micros(90), length);
    /// assert_eq!(sample(5, Timestamp::ZERO, length), later, "the number is constant within a window");
    /// ```
    pub fn sample(&self) -> f64 {
        hash::uniform([self.hash_seed, self.host_key, self.number()])
    }
}

/// The part of its quota at one host that a router has spent in the current window.
#[derive(Clone, Copy, Debug, Default)]
pub struct WindowUsage {
    /// The number of the window that `amount` refers to.
    window: u64,
    amount: f64,
}

impl WindowUsage {
    fn spent_in(&self, window: u64) -> f64 {
        if self.window == window { self.amount } else { 0.0 }
    }

    /// Records that `amount` was spent.
    pub fn add(&mut self, amount: f64, window: &Window) {
        self.amount = amount + self.spent_in(window.number());
        self.window = window.number();
    }

    /// Returns whether an additional `cost` may be spent in this window.
    ///
    /// The budget is rounded up or down to a multiple of `cost`, at random but in the same way for all calls
    /// with the same router, host and window. On average over many windows the budget is spent, even if it is
    /// only a fraction of the cost of one request.
    pub fn admits(&self, cost: f64, budget: f64, window: &Window) -> bool {
        self.spent_in(window.number()) + cost * (1.0 - window.sample()) < budget
    }
}

/// Returns an upper bound on the probability that the number of independent events, with the mean `expected`,
/// reaches `limit`.
///
/// This is the Chernoff bound of a Poisson distribution; it also holds for sums of independent Bernoulli
/// variables.
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
