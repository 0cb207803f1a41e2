//! The TDS protocol, version 7.4: batches, and calls of procedures such as `sp_executesql`.
//!
//! The package `comethitch-tds` parses and writes packets and tokens.

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
use comethitch_tds::packet::HEADER_BYTES;
use settings::TdsSettings;
use std::net::TcpStream;
use std::rc::Rc;

/// Returns an empty buffer with about the capacity that the packets of a payload need. Packet headers take at
/// most 1/64 of a packet.
fn packet_buffer(payload_bytes: usize) -> Vec<u8> {
    Vec::with_capacity(payload_bytes + payload_bytes / 64 + HEADER_BYTES)
}

/// The TDS protocol, for clients and hosts, with the operator's settings.
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
