//! TDS 7.4, on both sides: batches and calls of `sp_executesql` and its kin.

mod answer;
mod prepared;
mod send;
mod take_in;
pub mod ways;

use crate::memory::clients::Permit;
use crate::memory::hub::Hub;
use crate::memory::protocol::{Back, Front, Serving};
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_policy::{CommandId, Host};
use std::net::TcpStream;
use std::rc::Rc;
use ways::Ways;

/// Speaks with clients and hosts, in the operator's ways.
#[derive(Clone)]
pub struct Tds(pub Rc<Ways>);

impl Front for Tds {
    fn serve(&self, hub: Rc<Hub>, stream: Async<TcpStream>, permit: Permit) -> Serving {
        Box::pin(take_in::serve(hub, self.0.clone(), stream, permit))
    }
}

impl Back for Tds {
    fn dispatch(&self, hub: &Rc<Hub>, id: CommandId, host: Host, time_out: Duration) -> Option<u16> {
        send::start(hub, &self.0, id, host, time_out)
    }

    fn probe(&self, hub: &Rc<Hub>, host: Host) {
        send::probe(hub, &self.0, host);
    }
}
