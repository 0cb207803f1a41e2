//! Outliers.

use super::intervals::{HEALTH_CHECK_RETRY_INTERVAL, SILENCE_TIMEOUT};
use crate::host_state::HostState;
use crate::time::{Duration, Timestamp};

/// Attempts in a row, cancelled late or timed out without any answer since, that make a host unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;
/// How often an unresponsive host is tried with a request.
pub(super) const UNRESPONSIVE_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Failures in a row, of connections, attempts and health checks, that make a host unreachable.
const UNREACHABLE_AFTER: u32 = 3;

impl HostState {
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Whether nothing has reached it for a while. One failure is no proof: the host may lack a connection
    /// to spare, or be hard to reach from here alone, and serve all the same.
    pub(super) fn is_unreachable(&self) -> bool {
        self.consecutive_failures >= UNREACHABLE_AFTER
    }

    pub(super) fn record_sign_of_life(&mut self, now: Timestamp) {
        self.last_sign_of_life = now;
        self.consecutive_failures = 0;
        if !self.unresponsive {
            self.ejected_until = self.ejected_until.min(now);
        }
    }

    /// Ejects an unreachable host, for twice as long each time: hundreds of routers try one that is down.
    pub(super) fn record_failure(&mut self, connect_timeout: Duration, now: Timestamp) {
        self.consecutive_failures += 1;
        if self.is_unreachable() {
            let doublings = (self.consecutive_failures - UNREACHABLE_AFTER).min(16);
            self.ejected_until = now + (connect_timeout * (1 << doublings)).min(SILENCE_TIMEOUT);
        }
    }

    /// Hangs, one-way links, hosts too slow to wait for, whatever their health checks say.
    pub(super) fn record_unanswered(&mut self, now: Timestamp) {
        self.unanswered_attempts += 1;
        if self.unanswered_attempts >= UNRESPONSIVE_AFTER && !self.unresponsive {
            self.unresponsive = true;
            self.ejected_until = self.ejected_until.max(now + UNRESPONSIVE_TRIAL_INTERVAL);
        }
    }

    pub(super) fn record_rejection(&mut self, hash_seed: u64, connect_timeout: Duration, now: Timestamp) {
        self.record_sign_of_life(now);
        self.connection_slots.connection_rejected(hash_seed, self.host.number(), connect_timeout, now);
    }

    /// It runs but reports nothing: it has just started, is overloaded, or only its health checks fail.
    pub(super) fn retry_health_check(&mut self, now: Timestamp) {
        let divisor = if self.position == Timestamp::ZERO { 4 } else { 1 };
        self.next_health_check = self.next_health_check.min(now + HEALTH_CHECK_RETRY_INTERVAL / divisor);
    }
}
