//! Actions that the policy asks its caller to carry out.
//!
//! The policy reports every decision through the trait [`Actions`]. A caller that carries out actions only
//! after a call has returned passes an [`ActionQueue`] and then processes its [`Action`]s.

use crate::time::{Duration, Timestamp};
use crate::{Host, RejectionReason, RequestId};

/// Carries out the decisions of the policy. Implementations make no decisions of their own.
pub trait Actions {
    /// Returns the current time on the caller's clock.
    fn now(&self) -> Timestamp;

    /// Sends an attempt of a request to a host. The attempts of a request are numbered from 0 in the order of
    /// these calls. `timeout` is the time until the deadline of the request.
    fn send_attempt(&mut self, request: RequestId, host: Host, timeout: Duration);

    /// Cancels an attempt that is in flight.
    fn cancel_attempt(&mut self, request: RequestId, attempt: u16);

    /// Sends the final answer to a request: it is rejected, and the client may safely retry it. `retry_after`
    /// is the time that the client should wait first; `None` if clients are not told a time.
    fn throttle(&mut self, request: RequestId, retry_after: Option<Duration>, reason: RejectionReason);

    /// Sends the final answer to a request: it has failed, and may or may not have taken effect.
    fn fail(&mut self, request: RequestId, reason: RejectionReason);

    /// Sends a health check. The caller reports its end to
    /// [`Router::health_checked`](crate::Router::health_checked).
    fn check_health(&mut self, host: Host);

    /// Closes the idle connections to a host that is no longer considered the primary.
    fn close_idle_connections(&mut self, host: Host);

    /// Schedules a call of [`Router::tick`](crate::Router::tick) after this delay.
    fn wake_after(&mut self, delay: Duration);

    /// Subscribes to changes of the endpoint list.
    fn watch_endpoints(&mut self);
}

/// An action that is carried out later; each variant corresponds to a method of [`Actions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends the next attempt of a request.
    SendAttempt {
        /// The request.
        request: RequestId,
        /// The host that the attempt is sent to.
        host: Host,
        /// The maximum duration of the attempt.
        timeout: Duration,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// Sends the final answer to a request: it is rejected, and the client may safely retry it.
    Throttle {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries; `None` if clients are not told a time.
        retry_after: Option<Duration>,
        /// Why the request is rejected.
        reason: RejectionReason,
    },
    /// Sends the final answer to a request: it has failed, and may or may not have taken effect.
    Fail {
        /// The request.
        request: RequestId,
        /// Why the request fails.
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

/// An implementation of [`Actions`] that records actions in the order in which the policy decides on them.
#[derive(Debug)]
pub struct ActionQueue {
    now: Timestamp,
    /// The actions to carry out, oldest first.
    pub actions: Vec<Action>,
}

impl ActionQueue {
    /// Returns an empty queue for decisions made at `now`.
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
