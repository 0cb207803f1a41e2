//! How much CPU time may go into parsing statements whose shape is not known yet: token buckets, one for all clients
//! and one for each.
//!
//! All clients together have a share of one core's time, and each of them a share of that. What a parse will take
//! is estimated from the number of tokens, by what the last ones took, and corrected once it is known. What is not
//! used is saved up for a second at most.

use comethitch_policy::time::{Duration, Timestamp};

/// A bucket holds what is allowed in this span at most.
const BURST: Duration = Duration::from_secs(1);
/// Clients are hashed into so many buckets; two that meet in one share it.
const CLIENT_BUCKETS: usize = 256;
/// The bits of a hash that choose among [`CLIENT_BUCKETS`].
const CLIENT_HASH_SHIFT: u32 = u64::BITS - CLIENT_BUCKETS.ilog2();
/// What a token is taken to cost before any was measured, in microseconds: on the safe side.
const INITIAL_TOKEN_COST: f64 = 2.0;
/// The weight of each measured parse in the moving average.
const AVERAGE_WEIGHT: f64 = 1.0 / 16.0;
/// A measured parse counts as at most this many times the average, and at least its reciprocal.
const OUTLIER_FACTOR: f64 = 4.0;
/// The average never falls below this, in microseconds.
const MIN_TOKEN_COST: f64 = 1e-3;
/// A parse costs as much as this many tokens besides.
const BASE_TOKENS: usize = 8;

/// Shares of one core's time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShares {
    /// Of one core, for all parsing.
    pub total: f64,
    /// Of that, for one client.
    pub client: f64,
}

impl Default for BudgetShares {
    fn default() -> BudgetShares {
        BudgetShares { total: 1.0 / 16.0, client: 1.0 / 4.0 }
    }
}

/// Whether a statement may be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// It may, and this estimate was taken from the budget.
    Reserved(Duration),
    /// This client has exceeded its share.
    ClientExceeded,
    /// All clients together have exceeded the budget.
    TotalExceeded,
}

#[derive(Clone, Copy)]
struct TokenBucket {
    /// In microseconds; negative after a parse that took longer than estimated.
    available: f64,
    refilled: Timestamp,
}

impl TokenBucket {
    fn full(share: f64, now: Timestamp) -> TokenBucket {
        TokenBucket { available: capacity(share), refilled: now }
    }

    fn refill(&mut self, share: f64, now: Timestamp) {
        let earned = share * (now - self.refilled).as_micros() as f64;
        self.available = (self.available + earned).min(capacity(share));
        self.refilled = now;
    }
}

fn capacity(share: f64) -> f64 {
    share * BURST.as_micros() as f64
}

/// The budget of all clients, and each client's part of it.
pub struct Budget {
    shares: BudgetShares,
    total: TokenBucket,
    clients: Box<[TokenBucket]>,
    /// The average cost of a token, in microseconds.
    token_cost: f64,
}

impl Budget {
    /// A budget with full buckets.
    pub fn new(shares: BudgetShares, now: Timestamp) -> Budget {
        let client = TokenBucket::full(shares.total * shares.client, now);
        Budget {
            shares,
            total: TokenBucket::full(shares.total, now),
            clients: vec![client; CLIENT_BUCKETS].into_boxed_slice(),
            token_cost: INITIAL_TOKEN_COST,
        }
    }

    /// The bucket of a client, by Fibonacci hashing.
    fn bucket(client: u64) -> usize {
        (client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> CLIENT_HASH_SHIFT) as usize
    }

    /// Reserves what parsing a statement of so many tokens is estimated to take. It is granted as long as anything
    /// is available, so that a long statement is not kept out for ever; what it takes beyond that is owed.
    ///
    /// ```
    /// use comethitch_policy::time::{Duration, Timestamp};
    /// use comethitch_statement::budget::{Budget, BudgetShares, Reservation};
    /// let mut budget = Budget::new(BudgetShares { total: 0.01, client: 0.5 }, Timestamp::ZERO);
    /// // 10 ms a second for all, 5 ms for one client.
    /// let mut is_reserved = |client| matches!(budget.reserve(client, 42, Timestamp::ZERO), Reservation::Reserved(_));
    /// assert_eq!((0..1_000).filter(|_| is_reserved(7)).count(), 50, "of 100 µs each");
    /// assert!(is_reserved(8), "another client has its own share");
    /// ```
    pub fn reserve(&mut self, client: u64, tokens: usize, now: Timestamp) -> Reservation {
        let BudgetShares { total, client: share } = self.shares;
        let own = &mut self.clients[Self::bucket(client)];
        self.total.refill(total, now);
        own.refill(total * share, now);
        if self.total.available <= 0.0 {
            return Reservation::TotalExceeded;
        }
        if own.available <= 0.0 {
            return Reservation::ClientExceeded;
        }
        let cost = self.token_cost * (tokens + BASE_TOKENS) as f64;
        self.total.available -= cost;
        own.available -= cost;
        Reservation::Reserved(Duration::from_micros(cost as u64))
    }

    /// Replaces what was reserved for a parse by what it took.
    pub fn correct(&mut self, client: u64, tokens: usize, reserved: Duration, took: Duration) {
        let more = took.as_micros() as f64 - reserved.as_micros() as f64;
        self.total.available -= more;
        self.clients[Self::bucket(client)].available -= more;
        let measured = took.as_micros() as f64 / (tokens + BASE_TOKENS) as f64;
        // No single parse, as one that was interrupted, moves the average far.
        let measured = measured
            .clamp(self.token_cost / OUTLIER_FACTOR, self.token_cost * OUTLIER_FACTOR)
            .max(MIN_TOKEN_COST);
        self.token_cost += (measured - self.token_cost) * AVERAGE_WEIGHT;
    }
}
