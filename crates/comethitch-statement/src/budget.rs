//! How much may be spent on parsing statements that are not known yet.
//!
//! All clients together have a part of one core's time, and each of them a part of that. What a parse will take
//! is guessed from the number of tokens, by what the last ones took, and settled once it is known. What is not
//! used is saved up for a second at most.

use comethitch_policy::time::{Duration, Timestamp};

/// Saved up at most: what is allowed in this span.
const SAVED: Duration = Duration::from_secs(1);
/// Clients are told apart by so many numbers; two that share one share its part.
const CLIENTS: usize = 256;
/// What a token is taken to cost before any was measured, in microseconds: on the safe side.
const FIRST_PACE: f64 = 2.0;
/// The part that each measured parse has in the pace.
const NEWEST_PART: f64 = 1.0 / 16.0;
/// A parse costs as much as this many tokens besides.
const BASE: usize = 8;

/// The parts of one core's time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parts {
    /// Of one core, for all parsing.
    pub all: f64,
    /// Of that, for one client.
    pub client: f64,
}

impl Default for Parts {
    fn default() -> Parts {
        Parts { all: 1.0 / 16.0, client: 1.0 / 4.0 }
    }
}

/// Whether a statement may be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It may, and this was taken for it.
    Granted(Duration),
    /// This client has spent its part.
    ClientSpent,
    /// All clients together have spent theirs.
    AllSpent,
}

#[derive(Clone, Copy)]
struct Account {
    /// In microseconds; below nothing after a parse that took longer than guessed.
    saved: f64,
    filled: Timestamp,
}

impl Account {
    fn fill(&mut self, part: f64, now: Timestamp) {
        let most = part * SAVED.as_micros() as f64;
        self.saved = (self.saved + part * (now - self.filled).as_micros() as f64).min(most);
        self.filled = now;
    }
}

pub struct Budget {
    parts: Parts,
    all: Account,
    clients: Box<[Account]>,
    /// Microseconds for a token.
    pace: f64,
}

impl Budget {
    pub fn new(parts: Parts, now: Timestamp) -> Budget {
        let full = |part: f64| Account { saved: part * SAVED.as_micros() as f64, filled: now };
        Budget {
            parts,
            all: full(parts.all),
            clients: vec![full(parts.all * parts.client); CLIENTS].into_boxed_slice(),
            pace: FIRST_PACE,
        }
    }

    fn client(client: u64) -> usize {
        (client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as usize
    }

    /// Asks for leave to parse a statement of so many tokens. It is given as long as anything is saved, so that a
    /// long statement is not kept out for ever; what it takes beyond that is owed.
    ///
    /// ```
    /// use comethitch_policy::time::{Duration, Timestamp};
    /// use comethitch_statement::budget::{Budget, Grant, Parts};
    /// let mut budget = Budget::new(Parts { all: 0.01, client: 0.5 }, Timestamp::ZERO);
    /// // 10 ms a second for all, 5 ms for one client.
    /// let granted = (0..1_000).filter(|_| matches!(budget.ask(7, 42, Timestamp::ZERO), Grant::Granted(_))).count();
    /// assert_eq!(granted, 50, "of 100 µs each");
    /// assert!(matches!(budget.ask(8, 42, Timestamp::ZERO), Grant::Granted(_)), "another client has its own part");
    /// ```
    pub fn ask(&mut self, client: u64, tokens: usize, now: Timestamp) -> Grant {
        let Parts { all, client: part } = self.parts;
        let own = &mut self.clients[Self::client(client)];
        self.all.fill(all, now);
        own.fill(all * part, now);
        if self.all.saved <= 0.0 {
            return Grant::AllSpent;
        }
        if own.saved <= 0.0 {
            return Grant::ClientSpent;
        }
        let cost = self.pace * (tokens + BASE) as f64;
        self.all.saved -= cost;
        own.saved -= cost;
        Grant::Granted(Duration::from_micros(cost as u64))
    }

    /// Settles what a parse took instead of what was taken for it.
    pub fn settle(&mut self, client: u64, tokens: usize, taken: Duration, took: Duration) {
        let more = took.as_micros() as f64 - taken.as_micros() as f64;
        self.all.saved -= more;
        self.clients[Self::client(client)].saved -= more;
        let pace = took.as_micros() as f64 / (tokens + BASE) as f64;
        // No single parse, as one that was interrupted, moves the pace far.
        let pace = pace.clamp(self.pace / 4.0, self.pace * 4.0).max(1e-3);
        self.pace += (pace - self.pace) * NEWEST_PART;
    }
}
