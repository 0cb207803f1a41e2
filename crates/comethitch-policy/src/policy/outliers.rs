//! Outlier ejection: when a host counts as unreachable or unresponsive, and how long it is ejected.

use super::intervals::SILENCE_TIMEOUT;
use crate::host_health::HostHealth;
use crate::time::{Duration, Timestamp};

/// Number of consecutive failures (of connections, attempts or health checks) after which a host counts as
/// unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// Number of consecutive attempts, timed out or cancelled late, after which a host counts as unresponsive. An
/// answer of the host to any request starts the count anew.
const UNRESPONSIVE_AFTER_ATTEMPTS: u32 = 2;
/// Minimum time between two trial requests to an unresponsive host.
const UNRESPONSIVE_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of times that the ejection time of an unreachable host doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 16;

impl HostHealth {
    /// Returns whether the host counts as unreachable.
    ///
    /// Fewer failures are not sufficient evidence: the host may have no free connection slot, or only this
    /// router may have difficulty in reaching it.
    pub(super) fn is_unreachable(&self) -> bool {
        self.consecutive_failures() >= UNREACHABLE_AFTER_FAILURES
    }

    /// Records a failure, and ejects the host if it is unreachable.
    ///
    /// The ejection time doubles with each further failure, up to [`SILENCE_TIMEOUT`], because hundreds of
    /// routers try to reach a host that is down.
    pub(super) fn record_failure(&mut self, connect_timeout: Duration, now: Timestamp) {
        let failures = self.count_failure();
        if self.is_unreachable() {
            let doublings = (failures - UNREACHABLE_AFTER_FAILURES).min(MAX_EJECTION_DOUBLINGS);
            self.eject_until(now + (connect_timeout * (1 << doublings)).min(SILENCE_TIMEOUT));
        }
    }

    /// Records an unanswered attempt, and ejects the host if it becomes unresponsive, even if it answers
    /// health checks: it may hang, be reachable in one direction only, or be too slow to be used.
    pub(super) fn record_unanswered(&mut self, now: Timestamp) {
        let unanswered = self.count_unanswered();
        if unanswered >= UNRESPONSIVE_AFTER_ATTEMPTS && !self.is_unresponsive() {
            self.mark_unresponsive(now + UNRESPONSIVE_TRIAL_INTERVAL);
        }
    }

    /// Records that a request is sent to the host. An unresponsive host is then ejected until its next trial
    /// request.
    pub(super) fn record_trial(&mut self, now: Timestamp) {
        if self.is_unresponsive() {
            self.eject_until(now + UNRESPONSIVE_TRIAL_INTERVAL);
        }
    }
}
