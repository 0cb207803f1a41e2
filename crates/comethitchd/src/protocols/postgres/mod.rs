//! The PostgreSQL protocol, version 3: simple queries.
//!
//! Messages are parsed and written by [`crate::wire::postgres`].

mod backend;
mod client;

use crate::state::descriptors::DescriptorPermit;
use crate::state::protocol::{BackendProtocol, ClientProtocol, ClientSession};
use crate::state::router_state::RouterState;
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_policy::{Host, RequestId};
use std::net::TcpStream;
use std::rc::Rc;

/// The PostgreSQL protocol, for clients and hosts.
pub struct Postgres;

impl ClientProtocol<RouterState> for Postgres {
    fn serve(
        &self, state: Rc<RouterState>, stream: Async<TcpStream>, permit: DescriptorPermit,
    ) -> ClientSession {
        Box::pin(client::serve(state, stream, permit))
    }
}

impl BackendProtocol<RouterState> for Postgres {
    fn send_attempt(
        &self, state: &Rc<RouterState>, id: RequestId, host: Host, timeout: Duration,
    ) -> Option<u16> {
        backend::start_attempt(state, id, host, timeout)
    }

    fn check_health(&self, state: &Rc<RouterState>, host: Host) {
        backend::start_health_check(state, host);
    }
}
