//! Records the actions that the policy decides on.

use super::notation::host_letter;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Actions, Host, RejectionReason, RequestId};

/// The 64-bit prime of FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The numbers that identify the kinds of actions in the digest.
mod kind {
    pub(super) const SEND_ATTEMPT: u64 = 80;
    pub(super) const CHECK_HEALTH: u64 = 81;
    pub(super) const WAKE_AFTER: u64 = 82;
    pub(super) const WATCH_ENDPOINTS: u64 = 83;
    pub(super) const THROTTLE: u64 = 84;
    pub(super) const CLOSE_IDLE_CONNECTIONS: u64 = 85;
    pub(super) const FAIL: u64 = 86;
    pub(super) const CANCEL_ATTEMPT: u64 = 90;
}

/// Records actions as text, and computes a digest of them by which the decisions of two versions of the
/// policy can be compared.
pub(super) struct RecordedActions {
    pub(super) now: Timestamp,
    pub(super) actions: Vec<String>,
    pub(super) digest: u64,
    /// Delay with which each tick runs.
    pub(super) event_loop_lag: Duration,
    ticks: Vec<Timestamp>,
}

impl RecordedActions {
    pub(super) fn at(now: Timestamp) -> RecordedActions {
        RecordedActions {
            now,
            actions: Vec::new(),
            digest: 0,
            event_loop_lag: Duration::ZERO,
            ticks: Vec::new(),
        }
    }

    /// Removes and returns the earliest tick that is due by this time.
    pub(super) fn next_tick(&mut self, time: Timestamp) -> Option<Timestamp> {
        let next = self.ticks.iter().copied().filter(|tick| *tick <= time).min()?;
        self.ticks.retain(|other| *other != next);
        Some(next)
    }

    /// Adds an action, encoded as numbers, and its time to the FNV-1a digest.
    fn add_to_digest(&mut self, action: [u64; 4]) {
        for byte in action.into_iter().chain([self.now.as_micros()]).flat_map(u64::to_le_bytes) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

impl Actions for RecordedActions {
    fn now(&self) -> Timestamp {
        self.now
    }

    fn send_attempt(&mut self, request: RequestId, host: Host, timeout: Duration) {
        self.add_to_digest([kind::SEND_ATTEMPT, request.into(), host.as_u64(), timeout.as_micros()]);
        self.actions.push(format!("attempt {request} {}", host_letter(host)));
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: u16) {
        self.add_to_digest([kind::CANCEL_ATTEMPT, request.into(), attempt.into(), 0]);
        self.actions.push(format!("cancel {request}.{attempt}"));
    }

    fn throttle(&mut self, request: RequestId, retry_after: Option<Duration>, reason: RejectionReason) {
        let digested_retry_after = retry_after.map_or(0, |after| after.as_micros() + 1);
        self.add_to_digest([kind::THROTTLE, request.into(), digested_retry_after, 0]);
        let retry_after = retry_after
            .map_or("no_retry_after".into(), |after| format!("retry_after {}ms", after.as_micros() / 1000));
        self.actions.push(format!("throttle {request} {} {retry_after}", reason.name()));
    }

    fn fail(&mut self, request: RequestId, reason: RejectionReason) {
        self.add_to_digest([kind::FAIL, request.into(), 0, 0]);
        self.actions.push(format!("fail {request} {}", reason.name()));
    }

    fn check_health(&mut self, host: Host) {
        self.add_to_digest([kind::CHECK_HEALTH, host.as_u64(), 0, 0]);
        self.actions.push(format!("health_check {}", host_letter(host)));
    }

    fn close_idle_connections(&mut self, host: Host) {
        self.add_to_digest([kind::CLOSE_IDLE_CONNECTIONS, host.as_u64(), 0, 0]);
        self.actions.push(format!("close_idle {}", host_letter(host)));
    }

    fn wake_after(&mut self, delay: Duration) {
        self.add_to_digest([kind::WAKE_AFTER, delay.as_micros(), 0, 0]);
        self.ticks.push(self.now + delay + self.event_loop_lag);
    }

    fn watch_endpoints(&mut self) {
        self.add_to_digest([kind::WATCH_ENDPOINTS, 0, 0, 0]);
        self.actions.push("watch_endpoints".into());
    }
}
