//! A host's answers and failures, and its ejection.
//!
//! When a host counts as failed, and for how long it is ejected, is decided in [`policy`](crate::policy).

use crate::time::{Duration, Timestamp};

/// A host's signs of life, failures and ejection.
#[derive(Debug, Default)]
pub(crate) struct HostHealth {
    /// The last answer to a request; zero before the first.
    last_answer: Timestamp,
    /// The last answer of any kind, including those to health checks.
    last_sign_of_life: Timestamp,
    /// The first request or health check since then.
    awaiting_since: Timestamp,
    /// Attempts that timed out, or were cancelled late, since the last answer to a request.
    unanswered_attempts: u32,
    unresponsive: bool,
    /// Failed connections, resets, failed health checks and rare errors since the last sign of life.
    consecutive_failures: u32,
    ejected_until: Timestamp,
}

impl HostHealth {
    /// Returns the health of a host that was just listed.
    pub(crate) fn new(now: Timestamp) -> HostHealth {
        HostHealth { last_sign_of_life: now, ..HostHealth::default() }
    }

    /// Returns when the host last answered a request; zero if never.
    pub(crate) fn last_answer(&self) -> Timestamp {
        self.last_answer
    }

    /// Returns whether the host has ever answered a request.
    pub(crate) fn has_answered(&self) -> bool {
        self.last_answer > Timestamp::ZERO
    }

    /// Returns when the host last answered anything, including health checks.
    pub(crate) fn last_sign_of_life(&self) -> Timestamp {
        self.last_sign_of_life
    }

    /// Returns whether the host leaves requests unanswered, whatever its health checks say.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Returns the number of failures since the last sign of life.
    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns whether no requests are sent to the host at present.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns how long the host has left everything unanswered.
    pub(crate) fn silent_for(&self, now: Timestamp) -> Duration {
        if self.awaiting_since > self.last_sign_of_life { now - self.awaiting_since } else { Duration::ZERO }
    }

    /// Records that something was sent to the host.
    pub(crate) fn expect_answer(&mut self, now: Timestamp) {
        if self.awaiting_since <= self.last_sign_of_life {
            self.awaiting_since = now;
        }
    }

    /// Records an answer to a request, which proves that the host is responsive.
    pub(crate) fn record_answer(&mut self, now: Timestamp) {
        self.last_answer = now;
        self.unanswered_attempts = 0;
        self.unresponsive = false;
    }

    /// Records an answer of any kind, and ends the ejection of a host that is not unresponsive.
    pub(crate) fn record_sign_of_life(&mut self, now: Timestamp) {
        self.last_sign_of_life = now;
        self.consecutive_failures = 0;
        if !self.unresponsive {
            self.ejected_until = self.ejected_until.min(now);
        }
    }

    /// Counts a failure, and returns the number of failures since the last sign of life.
    pub(crate) fn count_failure(&mut self) -> u32 {
        self.consecutive_failures += 1;
        self.consecutive_failures
    }

    /// Counts an unanswered attempt, and returns the number of them since the last answer.
    pub(crate) fn count_unanswered(&mut self) -> u32 {
        self.unanswered_attempts += 1;
        self.unanswered_attempts
    }

    /// Marks the host as unresponsive, and ejects it at least until then.
    pub(crate) fn mark_unresponsive(&mut self, eject_until: Timestamp) {
        self.unresponsive = true;
        self.ejected_until = self.ejected_until.max(eject_until);
    }

    /// Ejects the host until then.
    pub(crate) fn eject_until(&mut self, until: Timestamp) {
        self.ejected_until = until;
    }
}
