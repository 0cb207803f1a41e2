//! The answers and failures of a host, and its ejection.
//!
//! The module [`policy`](crate::policy) decides when a host counts as failed and for how long it is ejected.

use crate::time::{Duration, Timestamp};

/// The last answers of a host, its failures since, and its ejection.
#[derive(Debug, Default)]
pub(crate) struct HostHealth {
    /// When the host last answered a request; zero if it never has.
    last_answer: Timestamp,
    /// When the host last answered a request or a health check, or rejected a connection for lack of slots.
    /// Error answers that count as failures are not included.
    last_seen: Timestamp,
    /// When the first request or health check after `last_seen` was sent. If this is not later than
    /// `last_seen`, none has been sent since.
    awaiting_since: Timestamp,
    /// Number of attempts that timed out or were cancelled late since the host last answered a request.
    unanswered_attempts: u32,
    unresponsive: bool,
    /// Number of failed connections, connection resets, failed health checks and error answers since
    /// `last_seen`. Error answers do not count while errors are widespread.
    consecutive_failures: u32,
    ejected_until: Timestamp,
}

impl HostHealth {
    /// Returns the health of a host that was first listed at `now`.
    pub(crate) fn new(now: Timestamp) -> HostHealth {
        HostHealth { last_seen: now, ..HostHealth::default() }
    }

    /// Returns when the host last answered a request; zero if it never has.
    pub(crate) fn last_answer(&self) -> Timestamp {
        self.last_answer
    }

    /// Returns whether the host has ever answered a request.
    pub(crate) fn has_answered(&self) -> bool {
        self.last_answer > Timestamp::ZERO
    }

    /// Returns when the host last answered a request or a health check, or rejected a connection for lack of
    /// slots.
    pub(crate) fn last_seen(&self) -> Timestamp {
        self.last_seen
    }

    /// Returns whether the host leaves requests unanswered, even if it answers health checks.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Returns the number of failures since the host was last seen.
    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns whether the host is ejected, so that it receives no requests.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns the time since the first request or health check after `last_seen` was sent; zero if none was
    /// sent.
    pub(crate) fn silent_for(&self, now: Timestamp) -> Duration {
        if self.awaiting_since > self.last_seen { now - self.awaiting_since } else { Duration::ZERO }
    }

    /// Records that a request or a health check was sent to the host.
    pub(crate) fn expect_answer(&mut self, now: Timestamp) {
        if self.awaiting_since <= self.last_seen {
            self.awaiting_since = now;
        }
    }

    /// Records an answer to a request, which proves that the host is responsive.
    pub(crate) fn record_answer(&mut self, now: Timestamp) {
        self.last_answer = now;
        self.unanswered_attempts = 0;
        self.unresponsive = false;
    }

    /// Records that the host answered or rejected something. Ends the ejection of the host unless it is
    /// unresponsive.
    pub(crate) fn record_seen(&mut self, now: Timestamp) {
        self.last_seen = now;
        self.consecutive_failures = 0;
        if !self.unresponsive {
            self.ejected_until = self.ejected_until.min(now);
        }
    }

    /// Counts a failure, and returns the number of failures since the host was last seen.
    pub(crate) fn count_failure(&mut self) -> u32 {
        self.consecutive_failures += 1;
        self.consecutive_failures
    }

    /// Counts an unanswered attempt, and returns the number of them since the last answer.
    pub(crate) fn count_unanswered(&mut self) -> u32 {
        self.unanswered_attempts += 1;
        self.unanswered_attempts
    }

    /// Marks the host as unresponsive, and ejects it at least until `eject_until`.
    pub(crate) fn mark_unresponsive(&mut self, eject_until: Timestamp) {
        self.unresponsive = true;
        self.ejected_until = self.ejected_until.max(eject_until);
    }

    /// Ejects the host until `until`, which replaces the end of an earlier ejection.
    pub(crate) fn eject_until(&mut self, until: Timestamp) {
        self.ejected_until = until;
    }
}
