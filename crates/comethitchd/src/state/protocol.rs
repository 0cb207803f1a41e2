//! The interface between the router and a wire protocol.
//!
//! A client protocol turns clients' messages into requests and writes their answers; a backend protocol sends
//! attempts to hosts and checks their health. Neither makes decisions.

use crate::state::descriptors::DescriptorPermit;
use crate::state::host_connection::{ConnectionError, attempt_outcome};
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_policy::{AttemptOutcome, Host, LoadReport, RequestId};
use std::future::Future;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;

/// The task that serves one client connection until it ends.
pub type ClientSession = Pin<Box<dyn Future<Output = ()>>>;

/// A protocol spoken with clients. `State` is the state of the router.
pub trait ClientProtocol<State> {
    /// Returns a task that serves a client connection until it ends. The call itself registers the client,
    /// before the task is first polled.
    fn serve(&self, state: Rc<State>, stream: Async<TcpStream>, permit: DescriptorPermit) -> ClientSession;
}

/// A protocol spoken with hosts. `State` is the state of the router.
pub trait BackendProtocol<State> {
    /// Starts the request's next attempt, whose end is reported to
    /// [`crate::stages::policy_driver::attempt_ended`], and returns `None`.
    ///
    /// An attempt whose timeout has already expired, as after a stall of the event loop, is not sent. Its
    /// number is returned instead, so that the caller can end it without counting it against the host.
    fn send_attempt(&self, state: &Rc<State>, id: RequestId, host: Host, timeout: Duration) -> Option<u16>;

    /// Starts a health check of a host, whose outcome and load report are passed to the policy.
    fn check_health(&self, state: &Rc<State>, host: Host);
}

/// How an attempt ended, and the contents of its answer.
pub struct AttemptResult {
    /// `Ok` if a complete answer was received, or else the error that ended the attempt.
    pub completion: Result<(), ConnectionError>,
    /// The response trailer: the role and position that came with the answer.
    pub trailer: LoadReport,
    /// The load report that came with the answer.
    pub report: LoadReport,
    /// The value in the form that the client protocol forwards, or the host's error.
    pub payload: Vec<u8>,
    /// Whether the end was already reported to the policy, which happens when an answer begins to be
    /// streamed.
    pub already_reported: bool,
}

impl AttemptResult {
    /// Returns the result of an attempt without an answer.
    pub fn failed(error: ConnectionError) -> AttemptResult {
        AttemptResult {
            completion: Err(error),
            trailer: LoadReport::default(),
            report: LoadReport::default(),
            payload: Vec::new(),
            already_reported: false,
        }
    }

    /// Returns the outcome that is reported to the policy.
    pub fn outcome(&self) -> AttemptOutcome {
        attempt_outcome(&self.completion)
    }
}
