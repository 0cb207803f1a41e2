//! The one check that every attempt passes right before it leaves, be it the first, a retry or a hedged request; and
//! the rules themselves, to which what has left is held.
//!
//! An attempt is decided on, and leaves some time later: its connection may take long to come up, its host may read
//! slowly, the process may be held up.

use super::router::{Handle, Router};
use crate::host_table::HostIndex;
use crate::request_state::RequestState;
use crate::time::{Duration, Timestamp};
use crate::{Consistency, SendRefusal, SendViolation};

impl Handle {
    /// Whether an attempt may leave now. Meanwhile its request may have been rejected, its host begun to drain, or the
    /// data become too old.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check_send(self, router: &Router, nth: u16, now: Timestamp) -> Result<(), SendRefusal> {
        let request = router.requests.get(&self.0).filter(|request| !request.finished);
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
        if router.past_drain_grace(index, now) {
            return Err(SendRefusal::HostDrains);
        }
        if !router.may_follow(request, nth, index, now) {
            return Err(SendRefusal::MayNotRepeat);
        }
        Ok(())
    }

    /// The rule that an attempt breaks whose last byte left now, if it breaks one. The margins of
    /// [`Handle::check_send`] are there so that this finds nothing.
    pub fn violation_of_sent(self, router: &Router, nth: u16, now: Timestamp) -> Option<SendViolation> {
        let request = router.requests.get(&self.0)?;
        let nth = usize::from(nth);
        let index = request.attempts.get(nth)?.host;
        let host = &router.hosts[index];
        let drain_grace = router.settings.deployment().drain_grace;
        if now > request.deadline {
            return Some(SendViolation::AfterDeadline);
        }
        if host.draining_since.is_some_and(|since| now > since + drain_grace) {
            return Some(SendViolation::PastDrainGrace);
        }
        let too_old = |bound| router.latest_host_time(now).is_none_or(|time| time - host.position > bound);
        if router.guarded_bound(request, index).is_some_and(too_old) {
            return Some(SendViolation::DataTooOld);
        }
        // The margin of a tick is the check's, not the rule's.
        let may_follow = router.may_follow(request, nth, index, now - router.settings.tick_interval());
        (!may_follow).then_some(SendViolation::Repeated)
    }
}

impl Router {
    /// The staleness bound of a read that nothing but the position known here guards at this host.
    fn guarded_bound(&self, request: &RequestState, index: HostIndex) -> Option<Duration> {
        let guarded =
            self.settings.positions_guard_reads() && self.shards[&request.shard_id].primary != Some(index);
        match self.class_of(request).consistency {
            Consistency::BoundedStaleness(bound) if guarded => Some(bound),
            _ => None,
        }
    }
}
