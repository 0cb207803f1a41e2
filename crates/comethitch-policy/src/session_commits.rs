//! The latest commit that each session has written, within a bound on how many sessions are remembered.

use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Past this many sessions, the half whose commits are oldest is forgotten.
const MAX_SESSIONS: usize = 4096;

/// Remembers what sessions have written, so that they read it.
///
/// ```
/// use comethitch_policy::{session_commits::SessionCommits, time::Timestamp};
/// let mut commits = SessionCommits::default();
/// for session in 0..100_000 {
///     commits.record(session, Timestamp::from_micros(1_000 + session));
/// }
/// commits.record(99_999, Timestamp::from_micros(5));
/// assert_eq!(commits.latest(99_999), Timestamp::from_micros(100_999), "never going back");
/// // An unknown session may have written any commit that was forgotten.
/// assert!(commits.latest(0) >= Timestamp::from_millis(1));
/// assert!(commits.latest(0) < Timestamp::from_micros(100_999));
/// assert!(commits.len() <= 4096);
/// ```
#[derive(Default)]
pub struct SessionCommits {
    latest: BTreeMap<u64, Timestamp>,
    /// Sessions that are not remembered have written no later one.
    latest_forgotten: Timestamp,
}

impl SessionCommits {
    /// The latest commit that a session may have written.
    pub fn latest(&self, session: u64) -> Timestamp {
        self.latest.get(&session).copied().unwrap_or(self.latest_forgotten)
    }

    /// Records that a session has written a commit.
    pub fn record(&mut self, session: u64, commit: Timestamp) {
        let commit = commit.max(self.latest(session));
        self.latest.insert(session, commit);
        if self.latest.len() > MAX_SESSIONS {
            let mut commits: Vec<Timestamp> = self.latest.values().copied().collect();
            self.latest_forgotten = *commits.select_nth_unstable(MAX_SESSIONS / 2).1;
            self.latest.retain(|_, commit| *commit > self.latest_forgotten);
        }
    }

    /// How many sessions are remembered.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}
