//! The send guard: checks every attempt (the first, a retry or a hedged request) right before it is written,
//! and finds violations of the rules after it was written.
//!
//! An attempt may be written long after it was decided on, because its connection is slow to establish, its
//! host reads slowly, or the process stalls.

use super::router::{Handle, Router};
use crate::time::Timestamp;
use crate::{SendRefusal, SendViolation};

impl Handle {
    /// Checks whether an attempt may be written now. Since the attempt was decided on, its request may have
    /// been rejected, its host may have begun to drain or lost the role of the primary, or the host's data may
    /// have become too old.
    ///
    /// # Errors
    ///
    /// Returns the reason if the attempt may not be written.
    pub fn check_send(self, router: &Router, attempt_number: u16, now: Timestamp) -> Result<(), SendRefusal> {
        let request = router.requests.get(self.0).filter(|request| !request.finished);
        let request = request.ok_or(SendRefusal::RequestFinished)?;
        let attempt_number = usize::from(attempt_number);
        let attempt = request.attempts.get(attempt_number).filter(|attempt| attempt.outcome.is_none());
        let index = attempt.ok_or(SendRefusal::AttemptEnded)?.host;
        if now >= request.deadline {
            return Err(SendRefusal::DeadlinePassed);
        }
        let consistency = router.class_of(request).consistency;
        if consistency.needs_primary() && !router.is_acting_primary(index) {
            return Err(SendRefusal::NotPrimary);
        }
        if router.enforces_freshness(request, index) && !router.is_fresh(index, consistency, request, now) {
            return Err(SendRefusal::DataTooOld);
        }
        if router.is_past_drain_grace(index, now) {
            return Err(SendRefusal::HostDrains);
        }
        if !router.is_repeat_allowed(request, attempt_number, index, now) {
            return Err(SendRefusal::MayNotRepeat);
        }
        Ok(())
    }

    /// Returns the rule that is violated by an attempt whose last byte was written at `now`, if any. The
    /// safety margins of [`Handle::check_send`] are meant to prevent violations.
    pub fn send_violation(
        self, router: &Router, attempt_number: u16, now: Timestamp,
    ) -> Option<SendViolation> {
        let request = router.requests.get(self.0)?;
        let attempt_number = usize::from(attempt_number);
        let index = request.attempts.get(attempt_number)?.host;
        let host = &router.hosts[index];
        let drain_grace = router.settings.deployment().drain_grace;
        if now > request.deadline {
            return Some(SendViolation::AfterDeadline);
        }
        if host.listing.draining_since().is_some_and(|since| now > since + drain_grace) {
            return Some(SendViolation::PastDrainGrace);
        }
        let position = host.replication.position();
        let is_too_old = |bound| router.latest_host_time(now).is_none_or(|time| time - position > bound);
        if router.enforced_bound(request, index).is_some_and(is_too_old) {
            return Some(SendViolation::DataTooOld);
        }
        // The rule itself has no safety margin, so the margin of one tick in the check is taken back.
        let is_allowed =
            router.is_repeat_allowed(request, attempt_number, index, now - router.settings.tick_interval());
        (!is_allowed).then_some(SendViolation::Repeated)
    }
}
