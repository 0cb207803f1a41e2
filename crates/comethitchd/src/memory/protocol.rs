//! The seam between the core and a protocol. A front turns what clients send into commands and hands them their
//! answers; a back sends a command to a host and asks a host how it stands. Neither decides anything.

use crate::memory::clients::Permit;
use crate::memory::connection::ConnectionEnd;
use crate::memory::hub::Hub;
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
pub trait Front {
    /// Serves a client's connection to its end. The client counts as there from this call on.
    fn serve(&self, hub: Rc<Hub>, stream: Async<TcpStream>, permit: Permit) -> Serving;
}

/// What speaks with hosts.
pub trait Back {
    /// Starts the command's next dispatch, whose end is told to `stages::route::ended`. One that is too late
    /// before it begins, as after the router stood still, is not tried, and its number returned: the host has
    /// no part in that.
    fn dispatch(&self, hub: &Rc<Hub>, id: CommandId, host: Host, time_out: Duration) -> Option<u16>;

    /// Asks a host how it stands; the answer goes to the module.
    fn probe(&self, hub: &Rc<Hub>, host: Host);
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
