//! A router's share of what a host bears from all routers together.
//!
//! A host that has just started falls over if all routers together send it more than it bears. Each router spends
//! its share by itself: the fleet's budget over the number of routers that use the host ([`sharers`]). Where that
//! is less than one command, sending nothing would leave the host idle, and rounding up would multiply it: the
//! share is rounded by chance ([`admits`]), so that over all routers just the budget is spent, give or take the
//! spread of a Poisson draw, whose chance of going over is [`chance_over`].

use crate::drawn;
use comethitch_time::{Duration, Timestamp};

/// How many routers use a host that `reach` of them (0 to 1) have in their subsets: one standard deviation above
/// the mean, as the draw of subsets can fall that way.
///
/// ```
/// use comethitch_fleet::share::sharers;
/// assert_eq!(sharers(300, 1.0), 300.0, "all use a primary");
/// assert_eq!(sharers(300, 3.0 / 9.0), 110.0);
/// assert_eq!(sharers(1, 0.2), 1.0);
/// ```
pub fn sharers(routers: u32, reach: f64) -> f64 {
    let mean = f64::from(routers) * reach;
    (mean + mean.sqrt()).clamp(1.0, f64::from(routers).max(1.0))
}

/// The part of warm peers' load that a cold host's budget is reckoned from; the rest is left to chance, and to
/// peers that are sent more than they can do.
const PEERS_SHARE: f64 = 0.4;

/// The part of what a host surely bears that its budget is reckoned from when it is the host's own answers that
/// prove it; the rest is left to chance.
const BORNE_SHARE: f64 = 0.5;

/// What the settings say of hosts that have just started, and how many routers there are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    pub routers: u32,
    /// A host falls that is sent more than this many times what it can do, for so long.
    pub overload_multiple: f64,
    pub window: Duration,
    /// It starts with this part of its power at the least, and has all of it within this time.
    pub initial_capacity: f64,
    pub warmup: Duration,
}

impl SlowStart {
    /// The part of a host's power that it surely has by now, if it started lately.
    pub fn warmth(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let passed = |at: Timestamp| (now - at).ratio(self.warmup).min(1.0);
        started.map_or(1.0, |at| self.initial_capacity + (1.0 - self.initial_capacity) * passed(at))
    }

    /// What one router may send to a cold host in a span, in the unit of `peers`: its part of what the ramp surely
    /// allows. That is reckoned from `peers`, what this router sends in a span to a warm host of its power on the
    /// mean over all warm hosts, as these bear the like from all routers; or from one core's time, if that is more.
    /// Or from what the host itself has `borne` in the span before, whatever its warmth: it can answer no more than it
    /// can do, and answers each router its part of that. Budgets so grow from span to span, where a multiple of over
    /// two allows it, for as long as what is sent is answered.
    pub fn budget(&self, warmth: f64, reach: f64, peers: f64, borne: f64) -> f64 {
        let sharers = sharers(self.routers, reach);
        let alike = peers * f64::from(self.routers) / sharers;
        let ramp = warmth * (alike * PEERS_SHARE).max(self.window.as_micros() as f64 / sharers);
        self.overload_multiple * ramp.max(borne * BORNE_SHARE)
    }
}

/// What a router has spent of its budget at one host, in its present round. Each router's rounds begin at a moment
/// of its own, so that shares are not all spent at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    round: u64,
    amount: f64,
}

impl Spent {
    fn round(salt: u64, now: Timestamp, span: Duration) -> u64 {
        let span = span.as_micros().max(1);
        now.as_micros().saturating_add(salt % span) / span
    }

    pub fn add(&mut self, amount: f64, salt: u64, now: Timestamp, span: Duration) {
        let round = Spent::round(salt, now, span);
        self.amount = amount + if self.round == round { self.amount } else { 0.0 };
        self.round = round;
    }

    /// Whether `cost` more may be spent in this round. The budget is rounded by chance, drawn once for router, host
    /// and round: over many rounds as much is allowed as the budget says, be it a small part of one command or
    /// several.
    pub fn admits(
        &self, cost: f64, budget: f64, salt: u64, key: u64, now: Timestamp, span: Duration,
    ) -> bool {
        let round = Spent::round(salt, now, span);
        let spent = if self.round == round { self.amount } else { 0.0 };
        spent + cost * (1.0 - turn(salt, key, now, span)) < budget
    }
}

/// The draw, from 0 up to 1, of a router for a host: it holds for a `span`, and each router's spans begin at a moment of
/// its own.
///
/// ```
/// use comethitch_fleet::share::turn;
/// use comethitch_time::{Duration, Timestamp};
/// let open = |at: Timestamp| (0..1000).filter(|salt| turn(*salt * 7_919, 77, at, Duration::from_millis(250)) < 0.25).count();
/// assert!((200..300).contains(&open(Timestamp::from_millis(1_000))), "a quarter of all routers has its turn");
/// assert_eq!(turn(5, 77, Timestamp::ZERO, Duration::from_micros(100)), turn(5, 77, Timestamp::from_micros(90), Duration::from_micros(100)), "while a span lasts it stays");
/// ```
pub fn turn(salt: u64, key: u64, now: Timestamp, span: Duration) -> f64 {
    drawn([salt, key, Spent::round(salt, now, span)])
}

/// A bound on the chance that as many independent draws as are `expected` on the mean come to `most` or more (the
/// Chernoff bound of a Poisson sum, which also holds for any sum of independent draws of one or none).
///
/// ```
/// use comethitch_fleet::share::chance_over;
/// assert!(chance_over(36.0, 90.0) < 1e-12);
/// assert!(chance_over(4.0, 10.0) < 0.05);
/// assert_eq!(chance_over(4.0, 3.0), 1.0);
/// ```
pub fn chance_over(expected: f64, most: f64) -> f64 {
    if most <= expected {
        return 1.0;
    }
    (most - expected - most * (most / expected).ln()).exp()
}

#[cfg(test)]
mod tests;
