//! A host's role and replication position, as its reports show them.

use crate::time::{Duration, Timestamp};
use crate::{LoadReport, Role};

/// Resolution of the positions in response trailers.
const TRAILER_RESOLUTION: Duration = Duration::from_millis(1);

/// A host's role and how far its data reach.
#[derive(Debug, Default)]
pub(crate) struct ReplicationStatus {
    role: Option<Role>,
    last_seen_primary: Timestamp,
    position: Timestamp,
    lag: Duration,
    lag_reported_at: Timestamp,
}

impl ReplicationStatus {
    /// Returns the role that the host reported last.
    pub(crate) fn role(&self) -> Option<Role> {
        self.role
    }

    /// Records a reported role.
    pub(crate) fn set_role(&mut self, role: Role) {
        self.role = Some(role);
    }

    /// Returns when the host was last confirmed as primary.
    pub(crate) fn last_seen_primary(&self) -> Timestamp {
        self.last_seen_primary
    }

    /// Records that the host was confirmed as primary.
    pub(crate) fn confirm_primary(&mut self, now: Timestamp) {
        self.last_seen_primary = now;
    }

    /// Returns the position up to which all commits are applied, on the hosts' clock; it never decreases.
    pub(crate) fn position(&self) -> Timestamp {
        self.position
    }

    /// Returns whether the host has ever shown a position.
    pub(crate) fn has_position(&self) -> bool {
        self.position > Timestamp::ZERO
    }

    /// Returns how far the host's position was behind at its last report.
    pub(crate) fn lag(&self) -> Duration {
        self.lag
    }

    /// Returns when the host last reported its position.
    pub(crate) fn lag_reported_at(&self) -> Timestamp {
        self.lag_reported_at
    }

    /// Records a reported position and how far behind it seemed.
    pub(crate) fn record_position(&mut self, position: Timestamp, lag: Duration, now: Timestamp) {
        self.position = self.position.max(position);
        self.lag = lag;
        self.lag_reported_at = now;
    }

    /// Records a response trailer. `sent_at` is when the request was sent, on the hosts' clock, if known.
    ///
    /// A primary has all commits when it answers, so at least those up to `sent_at`.
    pub(crate) fn apply_trailer(&mut self, trailer: &LoadReport, sent_at: Option<Timestamp>) {
        if trailer.role == Some(Role::Primary) {
            let reported = trailer.position.map(|position| position - TRAILER_RESOLUTION);
            self.position = self.position.max(reported.max(sent_at).unwrap_or_default());
        }
    }
}
