//! The latest commit that each session was told of, within a bound on how many are kept.

use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Past this many sessions, those whose commits are oldest are forgotten.
const MOST: usize = 4096;

/// ```
/// use comethitch_policy::{commits::Commits, time::Timestamp};
/// let mut commits = Commits::default();
/// for session in 0..100_000 {
///     commits.tell(session, Timestamp::from_micros(1_000 + session));
/// }
/// commits.tell(99_999, Timestamp::from_micros(5));
/// assert_eq!(commits.of(99_999), Timestamp::from_micros(100_999), "never going back");
/// // An unknown session may have been told of any commit that was forgotten.
/// assert!(commits.of(0) >= Timestamp::from_millis(1) && commits.of(0) < Timestamp::from_micros(100_999) && commits.len() <= 4096);
/// ```
#[derive(Default)]
pub struct Commits {
    latest: BTreeMap<u64, Timestamp>,
    forgotten: Timestamp,
}

impl Commits {
    /// A commit up to which a session was surely told of no other.
    pub fn of(&self, session: u64) -> Timestamp {
        self.latest.get(&session).copied().unwrap_or(self.forgotten)
    }

    pub fn tell(&mut self, session: u64, commit: Timestamp) {
        let commit = commit.max(self.of(session));
        self.latest.insert(session, commit);
        if self.latest.len() > MOST {
            let mut all: Vec<Timestamp> = self.latest.values().copied().collect();
            self.forgotten = *all.select_nth_unstable(MOST / 2).1;
            self.latest.retain(|_, commit| *commit > self.forgotten);
        }
    }

    pub fn len(&self) -> usize {
        self.latest.len()
    }

    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}
