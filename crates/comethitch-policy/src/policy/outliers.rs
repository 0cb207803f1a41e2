//! Outlier ejection: when a host counts as unreachable or unresponsive, and for how long it is ejected.

use super::intervals::SILENCE_TIMEOUT;
use crate::host_health::HostHealth;
use crate::time::{Duration, Timestamp};

/// Number of consecutive failures, of connections, attempts and health checks, that make a host unreachable.
const UNREACHABLE_AFTER: u32 = 3;
/// Number of consecutive attempts, cancelled late or timed out, that make a host unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;
/// How often an unresponsive host is tried with a request.
const UNRESPONSIVE_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of times that the ejection of an unreachable host doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 16;

impl HostHealth {
    /// Returns whether the host cannot be reached.
    ///
    /// Fewer failures prove nothing: the host may lack a free connection slot, or be hard to reach from here alone.
    pub(super) fn is_unreachable(&self) -> bool {
        self.consecutive_failures() >= UNREACHABLE_AFTER
    }

    /// Records a failure, and ejects an unreachable host for twice as long each time: hundreds of routers try one that
    /// is down.
    pub(super) fn record_failure(&mut self, connect_timeout: Duration, now: Timestamp) {
        let failures = self.count_failure();
        if self.is_unreachable() {
            let doublings = (failures - UNREACHABLE_AFTER).min(MAX_EJECTION_DOUBLINGS);
            self.eject_until(now + (connect_timeout * (1 << doublings)).min(SILENCE_TIMEOUT));
        }
    }

    /// Records an unanswered attempt, and ejects a host that becomes unresponsive, whatever its health checks say: it
    /// hangs, its link works in one direction only, or it is too slow to wait for.
    pub(super) fn record_unanswered(&mut self, now: Timestamp) {
        let unanswered = self.count_unanswered();
        if unanswered >= UNRESPONSIVE_AFTER && !self.is_unresponsive() {
            self.mark_unresponsive(now + UNRESPONSIVE_TRIAL_INTERVAL);
        }
    }

    /// Records that a request is sent to the host: an unresponsive one gets the next after an interval.
    pub(super) fn record_trial(&mut self, now: Timestamp) {
        if self.is_unresponsive() {
            self.eject_until(now + UNRESPONSIVE_TRIAL_INTERVAL);
        }
    }
}
