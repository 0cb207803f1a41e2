//! What the policy has its caller do.
//!
//! Every decision leaves the policy through the trait [`Actions`]. A caller that carries actions out after the call has
//! returned passes an [`ActionQueue`] and then processes its [`Action`]s.

use crate::time::{Duration, Timestamp};
use crate::{Host, RejectionReason, RequestId};

/// Carries out the decisions of the policy. An implementation decides nothing itself.
pub trait Actions {
    /// Returns the current time on the caller's clock.
    fn now(&self) -> Timestamp;

    /// Sends an attempt of a request to a host. A request's attempts are numbered from 0 in the order of these calls.
    fn send_attempt(&mut self, request: RequestId, host: Host, timeout: Duration);

    /// Cancels an attempt that has not ended yet.
    fn cancel_attempt(&mut self, request: RequestId, attempt: u16);

    /// Gives the final answer: rejected, and the client may safely retry, after `retry_after` if given.
    fn throttle(&mut self, request: RequestId, retry_after: Option<Duration>, reason: RejectionReason);

    /// Gives the final answer: failed; the request may or may not have taken effect.
    fn fail(&mut self, request: RequestId, reason: RejectionReason);

    /// Sends a health check, whose end is reported to [`Router::health_checked`](crate::Router::health_checked).
    fn check_health(&mut self, host: Host);

    /// Closes the idle connections to a host that is no longer believed to be the primary.
    fn close_idle_connections(&mut self, host: Host);

    /// Schedules a call of [`Router::tick`](crate::Router::tick) after this delay.
    fn wake_after(&mut self, delay: Duration);

    /// Subscribes to changes of the endpoint list.
    fn watch_endpoints(&mut self);
}

/// A call of [`Actions`] to be carried out later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a request's next attempt.
    SendAttempt {
        /// The request.
        request: RequestId,
        /// The host that it is sent to.
        host: Host,
        /// How long the attempt may take.
        timeout: Duration,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// Gives the final answer: rejected, and the client may safely retry.
    Throttle {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries, if given.
        retry_after: Option<Duration>,
        /// Why the request is rejected.
        reason: RejectionReason,
    },
    /// Gives the final answer: failed.
    Fail {
        /// The request.
        request: RequestId,
        /// Why the request is rejected.
        reason: RejectionReason,
    },
    /// Sends a health check.
    CheckHealth(Host),
    /// Closes the idle connections to a host.
    CloseIdleConnections(Host),
    /// Schedules a call of [`Router::tick`](crate::Router::tick) after this delay.
    WakeAfter(Duration),
    /// Subscribes to changes of the endpoint list.
    WatchEndpoints,
}

/// Records actions in the order in which the policy decided them.
#[derive(Debug)]
pub struct ActionQueue {
    now: Timestamp,
    /// The actions to carry out, oldest first.
    pub actions: Vec<Action>,
}

impl ActionQueue {
    /// Returns an empty queue for decisions made at this time.
    pub fn at(now: Timestamp) -> ActionQueue {
        ActionQueue { now, actions: Vec::new() }
    }
}

impl Actions for ActionQueue {
    fn now(&self) -> Timestamp {
        self.now
    }

    fn send_attempt(&mut self, request: RequestId, host: Host, timeout: Duration) {
        self.actions.push(Action::SendAttempt { request, host, timeout });
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: u16) {
        self.actions.push(Action::CancelAttempt { request, attempt });
    }

    fn throttle(&mut self, request: RequestId, retry_after: Option<Duration>, reason: RejectionReason) {
        self.actions.push(Action::Throttle { request, retry_after, reason });
    }

    fn fail(&mut self, request: RequestId, reason: RejectionReason) {
        self.actions.push(Action::Fail { request, reason });
    }

    fn check_health(&mut self, host: Host) {
        self.actions.push(Action::CheckHealth(host));
    }

    fn close_idle_connections(&mut self, host: Host) {
        self.actions.push(Action::CloseIdleConnections(host));
    }

    fn wake_after(&mut self, delay: Duration) {
        self.actions.push(Action::WakeAfter(delay));
    }

    fn watch_endpoints(&mut self) {
        self.actions.push(Action::WatchEndpoints);
    }
}
