//! PostgreSQL, version 3 of its protocol, by simple queries.

pub mod send;
pub mod take_in;

use crate::memory::clients::Permit;
use crate::memory::hub::Hub;
use crate::memory::protocol::{Back, Front, Serving};
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_policy::{CommandId, Host};
use std::net::TcpStream;
use std::rc::Rc;

/// Speaks with clients and hosts.
pub struct Postgres;

impl Front for Postgres {
    fn serve(&self, hub: Rc<Hub>, stream: Async<TcpStream>, permit: Permit) -> Serving {
        Box::pin(take_in::serve(hub, stream, permit))
    }
}

impl Back for Postgres {
    fn dispatch(&self, hub: &Rc<Hub>, id: CommandId, host: Host, time_out: Duration) -> Option<u16> {
        send::start(hub, id, host, time_out)
    }

    fn probe(&self, hub: &Rc<Hub>, host: Host) {
        send::probe(hub, host);
    }
}
