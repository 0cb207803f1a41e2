//! Clients that send a part of a request and then nothing: routers must close the connection in time, with or
//! without an error.

use super::network::{now, sleep};
use super::state::{SLACK, SharedFleet};
use crate::ledger::Rule;
use async_io::Async;
use comethitch_policy::time::Duration;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand::RngExt;
use std::net::TcpStream;

/// How long a router may keep the connection of an incomplete request open.
const CLOSE_TIME_LIMIT: Duration = Duration::from_secs(3);
/// A startup message and the beginning of a query, of which a random prefix is sent.
const INCOMPLETE_REQUEST: &[u8] =
    b"\0\0\0\x22\0\x03\0\0user\0portal\0database\0crm\0\0Q\0\0\0\x60/* id=1,c=read,d=";

/// Starts this many clients, spread over the trial.
pub(super) async fn start_clients(fleet: SharedFleet, clients: u16) {
    let interval = Duration::from_micros(fleet.trial.seconds * 1_000_000 / u64::from(clients).max(1));
    for _ in 0..clients {
        sleep(interval).await;
        if !fleet.clients_send.get() {
            return;
        }
        fleet.spawn(send_incomplete_request(fleet.clone()));
    }
}

async fn send_incomplete_request(fleet: SharedFleet) {
    let serving = fleet.processes.borrow().serving();
    if serving.is_empty() {
        return;
    }
    let drawn = fleet.rng.borrow_mut().random_range(0..serving.len());
    let router = fleet.processes.borrow().current(serving[drawn]);
    let address = fleet.processes.borrow().client_address(router.router);
    let length = fleet.rng.borrow_mut().random_range(1..INCOMPLETE_REQUEST.len());
    let Ok(mut stream) = Async::<TcpStream>::connect(address).await else { return };
    if stream.write_all(&INCOMPLETE_REQUEST[..length]).await.is_err() {
        return;
    }
    let sent_at = now();
    let closed = async {
        let mut answer = [0; 1024];
        while stream.read(&mut answer).await.is_ok_and(|length| length > 0) {}
        true
    };
    let timed_out = async {
        sleep(CLOSE_TIME_LIMIT + SLACK).await;
        false
    };
    let closed_in_time = future::or(closed, timed_out).await;
    // A router that was restarted, killed or paused in the meantime need not close the connection.
    if !closed_in_time && fleet.processes.borrow().is_current(router) {
        let elapsed = now() - sent_at;
        let description = format!("router {} ignored an incomplete request for {elapsed:?}", router.router);
        fleet.record_violation(Rule::IncompleteRequest, description);
    }
}
