//! Limits the CPU time spent on parsing statements of unknown shapes, by token buckets.
//!
//! All clients together have a share of one core's time, and each client a share of that. The time of a parse
//! is estimated from the number of tokens and the average cost of a token, and corrected after the parse.
//! Unused time accumulates for up to one second.

use crate::hashing::bucket_of;
use comethitch_policy::time::{Duration, Timestamp};

/// The time in which an unused bucket fills up.
const BURST: Duration = Duration::from_secs(1);
/// Number of buckets that clients are hashed into; clients with the same bucket share it.
const CLIENT_BUCKETS: usize = 256;
/// Cost of a token that is assumed before the first measurement. It is high, so that parsing does not exceed
/// the budget before then.
const INITIAL_TOKEN_COST_US: f64 = 2.0;
/// The weight of each parse in the moving average of the token cost.
const AVERAGE_WEIGHT: f64 = 1.0 / 16.0;
/// The token cost of one parse counts in the average as at most this many times the average, and at least its
/// reciprocal.
const OUTLIER_FACTOR: f64 = 4.0;
/// Minimum of the average token cost.
const MIN_TOKEN_COST_US: f64 = 1e-3;
/// The fixed cost of a parse, in tokens.
const BASE_TOKENS: usize = 8;

/// Shares of CPU time for parsing, each above 0 and at most 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShares {
    /// The share of one core's time for all parsing.
    pub total: f64,
    /// One client's share of that.
    pub client: f64,
}

impl Default for BudgetShares {
    fn default() -> BudgetShares {
        BudgetShares { total: 1.0 / 16.0, client: 1.0 / 4.0 }
    }
}

/// The result of reserving CPU time for a parse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The statement may be parsed; the estimated time was taken from the budget.
    Reserved(Duration),
    /// The client has exhausted its share.
    ClientExceeded,
    /// All clients together have exhausted the budget.
    TotalExceeded,
}

#[derive(Clone, Copy)]
struct TokenBucket {
    /// Negative after parses that took longer than estimated.
    available_us: f64,
    last_refill: Timestamp,
}

impl TokenBucket {
    fn full(share: f64, now: Timestamp) -> TokenBucket {
        TokenBucket { available_us: capacity_us(share), last_refill: now }
    }

    fn refill(&mut self, share: f64, now: Timestamp) {
        let earned_us = share * (now - self.last_refill).as_micros() as f64;
        self.available_us = (self.available_us + earned_us).min(capacity_us(share));
        self.last_refill = now;
    }
}

fn capacity_us(share: f64) -> f64 {
    share * BURST.as_micros() as f64
}

/// The parsing budget of all clients, and each client's share of it.
pub struct Budget {
    shares: BudgetShares,
    total: TokenBucket,
    clients: Box<[TokenBucket]>,
    /// Moving average of the time to parse one token.
    token_cost_us: f64,
}

impl Budget {
    /// Creates a budget with full buckets.
    pub fn new(shares: BudgetShares, now: Timestamp) -> Budget {
        let client = TokenBucket::full(shares.total * shares.client, now);
        Budget {
            shares,
            total: TokenBucket::full(shares.total, now),
            clients: vec![client; CLIENT_BUCKETS].into_boxed_slice(),
            token_cost_us: INITIAL_TOKEN_COST_US,
        }
    }

    /// Reserves the estimated time for parsing a statement.
    ///
    /// A reservation succeeds while any time is left, even if less than the estimate, so that long statements
    /// are not rejected forever; the bucket then goes negative.
    ///
    /// ```
    /// use comethitch_policy::time::{Duration, Timestamp};
    /// use comethitch_statement::budget::{Budget, BudgetShares, Reservation};
    /// let mut budget = Budget::new(BudgetShares { total: 0.01, client: 0.5 }, Timestamp::ZERO);
    /// // 10 ms per second for all clients, 5 ms for each.
    /// let mut reserve = |client| budget.reserve(client, 42, Timestamp::ZERO);
    /// let mut is_reserved = |client| matches!(reserve(client), Reservation::Reserved(_));
    /// assert_eq!((0..1_000).filter(|_| is_reserved(7)).count(), 50, "of 100 µs each");
    /// assert!(is_reserved(8), "another client has its own share");
    /// ```
    pub fn reserve(&mut self, client: u64, tokens: usize, now: Timestamp) -> Reservation {
        let shares = self.shares;
        let client_bucket = &mut self.clients[bucket_of(client, CLIENT_BUCKETS)];
        self.total.refill(shares.total, now);
        client_bucket.refill(shares.total * shares.client, now);
        if self.total.available_us <= 0.0 {
            return Reservation::TotalExceeded;
        }
        if client_bucket.available_us <= 0.0 {
            return Reservation::ClientExceeded;
        }
        let cost_us = self.token_cost_us * (tokens + BASE_TOKENS) as f64;
        self.total.available_us -= cost_us;
        client_bucket.available_us -= cost_us;
        Reservation::Reserved(Duration::from_micros(cost_us as u64))
    }

    /// Charges the time that a parse took instead of the time reserved for it, and updates the average token
    /// cost.
    pub fn correct(&mut self, client: u64, tokens: usize, reserved: Duration, elapsed: Duration) {
        let excess_us = elapsed.as_micros() as f64 - reserved.as_micros() as f64;
        self.total.available_us -= excess_us;
        self.clients[bucket_of(client, CLIENT_BUCKETS)].available_us -= excess_us;
        let measured_us = elapsed.as_micros() as f64 / (tokens + BASE_TOKENS) as f64;
        // A parse that was preempted must not distort the average.
        let clamped_us = measured_us
            .clamp(self.token_cost_us / OUTLIER_FACTOR, self.token_cost_us * OUTLIER_FACTOR)
            .max(MIN_TOKEN_COST_US);
        self.token_cost_us += (clamped_us - self.token_cost_us) * AVERAGE_WEIGHT;
    }
}
