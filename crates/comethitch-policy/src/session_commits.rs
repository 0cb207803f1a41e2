//! The latest commit of each session, for a bounded number of sessions.

use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Maximum number of sessions kept. Once it is exceeded, the half with the oldest commits is dropped.
const MAX_SESSIONS: usize = 4096;

/// Tracks the latest commit of each session, so that sessions read their own writes.
///
/// ```
/// use comethitch_policy::{session_commits::SessionCommits, time::Timestamp};
/// let mut commits = SessionCommits::default();
/// for session in 0..100_000 {
///     commits.record(session, Timestamp::from_micros(1_000 + session));
/// }
/// commits.record(99_999, Timestamp::from_micros(5));
/// assert_eq!(commits.latest(99_999), Timestamp::from_micros(100_999), "it never decreases");
/// // An unknown session may have written any commit that was dropped.
/// assert!(commits.latest(0) >= Timestamp::from_millis(1));
/// assert!(commits.latest(0) < Timestamp::from_micros(100_999));
/// assert!(commits.len() <= 4096);
/// ```
#[derive(Default)]
pub struct SessionCommits {
    latest: BTreeMap<u64, Timestamp>,
    /// Upper bound on the latest commits of the sessions that were dropped.
    latest_dropped: Timestamp,
}

impl SessionCommits {
    /// Returns the latest commit that a session may have written. For a session that is not kept, this is an
    /// upper bound.
    pub fn latest(&self, session: u64) -> Timestamp {
        self.latest.get(&session).copied().unwrap_or(self.latest_dropped)
    }

    /// Records a commit that a session has written.
    pub fn record(&mut self, session: u64, commit: Timestamp) {
        let commit = commit.max(self.latest(session));
        self.latest.insert(session, commit);
        if self.latest.len() > MAX_SESSIONS {
            let mut commits: Vec<Timestamp> = self.latest.values().copied().collect();
            self.latest_dropped = *commits.select_nth_unstable(MAX_SESSIONS / 2).1;
            self.latest.retain(|_, commit| *commit > self.latest_dropped);
        }
    }

    /// Returns the number of sessions kept.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Returns whether no session is kept.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}
