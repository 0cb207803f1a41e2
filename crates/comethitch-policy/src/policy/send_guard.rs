//! The send guard: the check that every attempt passes right before it is written, whether it is the first, a retry or a
//! hedged request; and the rules that hold for what was written.
//!
//! An attempt is written some time after it was decided on: its connection may take long to establish, its host may read
//! slowly, and the process may stall.

use super::router::{Handle, Router};
use crate::time::Timestamp;
use crate::{SendRefusal, SendViolation};

impl Handle {
    /// Checks whether an attempt may be written now. Meanwhile its request may have been rejected, its host may have
    /// begun to drain, or the host's data may have become too old.
    ///
    /// # Errors
    /// Why it may not be written.
    pub fn check_send(self, router: &Router, nth: u16, now: Timestamp) -> Result<(), SendRefusal> {
        let request = router.requests.get(self.0).filter(|request| !request.finished);
        let request = request.ok_or(SendRefusal::RequestFinished)?;
        let nth = usize::from(nth);
        let attempt = request.attempts.get(nth).filter(|attempt| attempt.outcome.is_none());
        let index = attempt.ok_or(SendRefusal::AttemptEnded)?.host;
        if now >= request.deadline {
            return Err(SendRefusal::DeadlinePassed);
        }
        if router.guarded_bound(request, index).is_some()
            && !router.is_fresh(index, router.class_of(request).consistency, request, now)
        {
            return Err(SendRefusal::DataTooOld);
        }
        if router.is_past_drain_grace(index, now) {
            return Err(SendRefusal::HostDrains);
        }
        if !router.may_follow_earlier(request, nth, index, now) {
            return Err(SendRefusal::MayNotRepeat);
        }
        Ok(())
    }

    /// Returns the rule that an attempt breaks whose last byte was written now, if any. The margins of
    /// [`Handle::check_send`] are there to prevent that.
    pub fn violation_of_sent(self, router: &Router, nth: u16, now: Timestamp) -> Option<SendViolation> {
        let request = router.requests.get(self.0)?;
        let nth = usize::from(nth);
        let index = request.attempts.get(nth)?.host;
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
        if router.guarded_bound(request, index).is_some_and(is_too_old) {
            return Some(SendViolation::DataTooOld);
        }
        // The margin of a tick belongs to the check, not to the rule.
        let may_follow =
            router.may_follow_earlier(request, nth, index, now - router.settings.tick_interval());
        (!may_follow).then_some(SendViolation::Repeated)
    }
}
