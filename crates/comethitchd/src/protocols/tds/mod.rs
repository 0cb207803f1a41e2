//! The TDS protocol, version 7.4: batches, and calls of procedures such as `sp_executesql`.
//!
//! Packets and tokens are parsed and written by the package `comethitch-tds`.

mod backend;
mod client;
mod host_login;
mod pending_response;
mod prepared;
mod response;
pub mod settings;

use crate::state::descriptors::DescriptorPermit;
use crate::state::protocol::{BackendProtocol, ClientProtocol, ClientSession};
use crate::state::router_state::RouterState;
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_policy::{Host, RequestId};
use settings::TdsSettings;
use std::net::TcpStream;
use std::rc::Rc;

/// The TDS protocol, on both sides, with the operator's settings.
#[derive(Clone)]
pub struct Tds(pub Rc<TdsSettings>);

impl ClientProtocol<RouterState> for Tds {
    fn serve(
        &self, state: Rc<RouterState>, stream: Async<TcpStream>, permit: DescriptorPermit,
    ) -> ClientSession {
        Box::pin(client::serve(state, self.0.clone(), stream, permit))
    }
}

impl BackendProtocol<RouterState> for Tds {
    fn send_attempt(
        &self, state: &Rc<RouterState>, id: RequestId, host: Host, timeout: Duration,
    ) -> Option<u16> {
        backend::start_attempt(state, &self.0, id, host, timeout)
    }

    fn check_health(&self, state: &Rc<RouterState>, host: Host) {
        backend::start_health_check(state, &self.0, host);
    }
}
