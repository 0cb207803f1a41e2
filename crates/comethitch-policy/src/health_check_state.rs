//! The state of a host's health checks: the one in flight, and when the next ones are due.

use crate::time::Timestamp;

/// The health check in flight to a host, and when the next ones are due.
#[derive(Debug, Default)]
pub(crate) struct HealthCheckState {
    /// When the health check in flight was sent; `None` if none is in flight.
    sent_at: Option<Timestamp>,
    /// When the next periodic health check is due.
    next_at: Timestamp,
    /// The earliest time at which a request may trigger a refresh of the host's position.
    next_position_refresh: Timestamp,
}

impl HealthCheckState {
    /// Returns the state for a host that was first listed at `now`: a health check is due immediately.
    pub(crate) fn new(now: Timestamp) -> HealthCheckState {
        HealthCheckState { next_at: now, ..HealthCheckState::default() }
    }

    /// Returns when the health check in flight was sent; `None` if none is in flight.
    pub(crate) fn sent_at(&self) -> Option<Timestamp> {
        self.sent_at
    }

    /// Returns whether a health check is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.sent_at.is_some()
    }

    /// Records that a health check was sent.
    pub(crate) fn record_sent(&mut self, now: Timestamp) {
        self.sent_at = Some(now);
    }

    /// Records that the health check in flight has ended, and returns when it was sent; `None` if none was in
    /// flight.
    pub(crate) fn record_end(&mut self) -> Option<Timestamp> {
        self.sent_at.take()
    }

    /// Returns when the next periodic health check is due.
    pub(crate) fn next_at(&self) -> Timestamp {
        self.next_at
    }

    /// Sets when the next periodic health check is due.
    pub(crate) fn schedule_next(&mut self, at: Timestamp) {
        self.next_at = at;
    }

    /// Moves the next periodic health check forward to `at`, unless it is due earlier.
    pub(crate) fn bring_forward(&mut self, at: Timestamp) {
        self.next_at = self.next_at.min(at);
    }

    /// Returns whether a request may trigger a refresh of the host's position now.
    pub(crate) fn may_refresh_position(&self, now: Timestamp) -> bool {
        !self.is_in_flight() && now >= self.next_position_refresh
    }

    /// Prevents refreshes of the host's position that requests trigger before `until`.
    pub(crate) fn delay_position_refresh(&mut self, until: Timestamp) {
        self.next_position_refresh = until;
    }
}
