//! The seam between the core and a protocol. A front turns what clients send into commands and hands them their
//! answers; a back sends a command to a host and asks a host how it stands. Neither decides anything.

use crate::state::client_registry::DescriptorPermit;
use crate::state::host_connection::ConnectionEnd;
use crate::state::router_state::RouterState;
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_policy::{CommandId, Host, HostReport};
use std::future::Future;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;

/// A client served to its end.
pub type Serving = Pin<Box<dyn Future<Output = ()>>>;

/// What speaks with clients.
pub trait ClientProtocol {
    /// Serves a client's connection to its end. The client counts as there from this call on.
    fn serve(&self, state: Rc<RouterState>, stream: Async<TcpStream>, permit: DescriptorPermit) -> Serving;
}

/// What speaks with hosts.
pub trait BackendProtocol {
    /// Starts the command's next dispatch, whose end is told to `stages::route::ended`. One that is too late
    /// before it begins, as after the router stood still, is not tried, and its number returned: the host has
    /// no part in that.
    fn dispatch(&self, state: &Rc<RouterState>, id: CommandId, host: Host, time_out: Duration)
    -> Option<u16>;

    /// Asks a host how it stands; the answer goes to the module.
    fn probe(&self, state: &Rc<RouterState>, host: Host);
}

/// How a dispatch ended, and what its answer told.
pub struct Outcome {
    pub end: ConnectionEnd,
    pub noted: HostReport,
    pub reported: HostReport,
    /// The value as the front passes it on, or a host's error.
    pub value: Vec<u8>,
    /// The module was told as the answer began.
    pub told: bool,
}
