//! What the policy tells its caller to do.
//!
//! Every decision leaves the policy through the trait [`Actions`]. A caller that carries actions out only after the
//! call has returned passes an [`ActionQueue`] and works through its [`Action`]s.

use crate::time::{Duration, Timestamp};
use crate::{Host, RejectionReason, RequestId};

/// What the policy acts through. An implementation carries each call out; it decides nothing.
pub trait Actions {
    /// The present, on the caller's clock.
    fn now(&self) -> Timestamp;

    /// Sends the request to a host. The attempts of a request are numbered from 0 in the order of these calls.
    fn send_attempt(&mut self, request: RequestId, host: Host, timeout: Duration);

    /// Withdraws an attempt that has not ended yet.
    fn cancel_attempt(&mut self, request: RequestId, attempt: u16);

    /// Final answer: rejected, and trying again is harmless, best after `retry_after` where one is given.
    fn throttle(&mut self, request: RequestId, retry_after: Option<Duration>, reason: RejectionReason);

    /// Final answer: failed, with nothing said of its effect.
    fn fail(&mut self, request: RequestId, reason: RejectionReason);

    /// Asks a host for its report; [`Router::health_checked`](crate::Router::health_checked) takes its end.
    fn check_health(&mut self, host: Host);

    /// Closes the idle connections to a host, as it is not taken for the primary any more.
    fn close_idle_connections(&mut self, host: Host);

    /// Asks for a call of [`Router::tick`](crate::Router::tick) after this long.
    fn wake_after(&mut self, delay: Duration);

    /// Asks to be notified of every change of the endpoint list from now on.
    fn watch_endpoints(&mut self);
}

/// One call of [`Actions`], to be carried out later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request's next attempt.
    SendAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        host: Host,
        /// How long the attempt may take.
        timeout: Duration,
    },
    /// Withdraw an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// Answer finally: rejected, trying again is harmless.
    Throttle {
        /// The request.
        request: RequestId,
        /// When the client should try again, where one is given.
        retry_after: Option<Duration>,
        /// Which check rejected it.
        reason: RejectionReason,
    },
    /// Answer finally: failed.
    Fail {
        /// The request.
        request: RequestId,
        /// Which check gave it up.
        reason: RejectionReason,
    },
    /// Ask a host for its report.
    CheckHealth(Host),
    /// Close the idle connections to a host.
    CloseIdleConnections(Host),
    /// Call [`Router::tick`](crate::Router::tick) after this long.
    WakeAfter(Duration),
    /// Report every change of the endpoint list from now on.
    WatchEndpoints,
}

/// Actions in the order in which the policy decided them.
#[derive(Debug)]
pub struct ActionQueue {
    now: Timestamp,
    /// What is to be carried out, oldest first.
    pub actions: Vec<Action>,
}

impl ActionQueue {
    /// An empty queue for decisions made at this time.
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
