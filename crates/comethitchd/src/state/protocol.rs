//! The interface between the router and a wire protocol. A client protocol turns what clients send into requests and
//! writes their answers; a backend protocol sends attempts to hosts and checks their health. Neither makes decisions.

use crate::state::descriptors::DescriptorPermit;
use crate::state::host_connection::{ConnectionError, attempt_outcome};
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_policy::{AttemptOutcome, Host, LoadReport, RequestId};
use std::future::Future;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;

/// Serves one client's connection to its end.
pub type ClientSession = Pin<Box<dyn Future<Output = ()>>>;

/// The protocol spoken with clients, in a router of this state.
pub trait ClientProtocol<State> {
    /// Serves a client's connection to its end. The client is registered by this call, before the first poll.
    fn serve(&self, state: Rc<State>, stream: Async<TcpStream>, permit: DescriptorPermit) -> ClientSession;
}

/// The protocol spoken with hosts, in a router of this state.
pub trait BackendProtocol<State> {
    /// Starts the request's next attempt; its end is reported to [`crate::stages::policy_driver::attempt_ended`]. An
    /// attempt whose timeout has already passed, as after a stall of the event loop, is not sent, and its number is
    /// returned: the host is not to blame for it.
    fn send_attempt(&self, state: &Rc<State>, id: RequestId, host: Host, timeout: Duration) -> Option<u16>;

    /// Sends a health check to a host; its outcome and the host's report go to the policy.
    fn check_health(&self, state: &Rc<State>, host: Host);
}

/// How an attempt ended, and what its answer reported.
pub struct AttemptResult {
    /// Whether a complete answer came, or why not.
    pub completion: Result<(), ConnectionError>,
    /// The role and position that came with the answer.
    pub trailer: LoadReport,
    /// The load report that came with the answer.
    pub report: LoadReport,
    /// The value as the client protocol passes it on, or the host's error.
    pub payload: Vec<u8>,
    /// Its end was reported to the policy already, as the answer began to be streamed.
    pub already_reported: bool,
}

impl AttemptResult {
    /// An attempt that brought no answer.
    pub fn failed(error: ConnectionError) -> AttemptResult {
        AttemptResult {
            completion: Err(error),
            trailer: LoadReport::default(),
            report: LoadReport::default(),
            payload: Vec::new(),
            already_reported: false,
        }
    }

    /// The outcome that the policy gets.
    pub fn outcome(&self) -> AttemptOutcome {
        attempt_outcome(&self.completion)
    }
}
