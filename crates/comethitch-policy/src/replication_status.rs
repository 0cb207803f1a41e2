//! The role and replication position of a host, according to its load reports and response trailers.

use crate::time::{Duration, Timestamp};
use crate::{LoadReport, Role};

/// Resolution of the positions in response trailers.
const TRAILER_RESOLUTION: Duration = Duration::from_millis(1);

/// The role of a host and the position up to which it has applied commits.
#[derive(Debug, Default)]
pub(crate) struct ReplicationStatus {
    role: Option<Role>,
    /// When the host was last confirmed as primary; zero if it never was.
    last_seen_primary: Timestamp,
    /// When an answer of the host last showed that it is a replica; zero if none ever did.
    last_seen_replica: Timestamp,
    position: Timestamp,
    /// The replication lag at the last report of the position.
    lag: Duration,
    lag_reported_at: Timestamp,
}

impl ReplicationStatus {
    /// Returns the role that the host last reported; `None` if it never reported one.
    pub(crate) fn role(&self) -> Option<Role> {
        self.role
    }

    /// Records a role that was reported in an answer that arrived at `now`.
    pub(crate) fn record_role(&mut self, role: Role, now: Timestamp) {
        self.role = Some(role);
        if role == Role::Replica {
            self.last_seen_replica = now;
        }
    }

    /// Records that the host rejected a write because it is not the primary.
    pub(crate) fn record_rejected_write(&mut self, now: Timestamp) {
        self.last_seen_replica = now;
    }

    /// Returns when an answer of the host last showed that it is a replica; zero if none ever did.
    pub(crate) fn last_seen_replica(&self) -> Timestamp {
        self.last_seen_replica
    }

    /// Returns when the host was last confirmed as primary; zero if it never was.
    pub(crate) fn last_seen_primary(&self) -> Timestamp {
        self.last_seen_primary
    }

    /// Records that the host was confirmed as primary.
    pub(crate) fn confirm_primary(&mut self, now: Timestamp) {
        self.last_seen_primary = now;
    }

    /// Returns the position up to which the host has applied all commits, on the hosts' clock. It never
    /// decreases.
    pub(crate) fn position(&self) -> Timestamp {
        self.position
    }

    /// Returns whether a position of the host is known.
    pub(crate) fn has_position(&self) -> bool {
        self.position > Timestamp::ZERO
    }

    /// Returns the replication lag at the last report of the position.
    pub(crate) fn lag(&self) -> Duration {
        self.lag
    }

    /// Returns when the host last reported its position; zero if it never has.
    pub(crate) fn lag_reported_at(&self) -> Timestamp {
        self.lag_reported_at
    }

    /// Records a reported position and the replication lag estimated from it.
    pub(crate) fn record_position(&mut self, position: Timestamp, lag: Duration, now: Timestamp) {
        self.position = self.position.max(position);
        self.lag = lag;
        self.lag_reported_at = now;
    }

    /// Applies a response trailer. `sent_at` is when the request was sent, on the hosts' clock; `None` if the
    /// offset of that clock is unknown.
    ///
    /// A primary has all commits when it answers, so its position is at least `sent_at`.
    pub(crate) fn apply_trailer(&mut self, trailer: &LoadReport, sent_at: Option<Timestamp>) {
        if trailer.role == Some(Role::Primary) {
            let reported = trailer.position.map(|position| position - TRAILER_RESOLUTION);
            self.position = self.position.max(reported.max(sent_at).unwrap_or_default());
        }
    }
}
