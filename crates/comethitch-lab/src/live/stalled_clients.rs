//! Clients that send a part of a request and stay: each must get its error, or be closed, within three seconds.

use super::network::{now, sleep};
use super::state::{SLACK, SharedFleet};
use crate::ledger::Rule;
use async_io::Async;
use comethitch_policy::time::Duration;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand::RngExt;
use std::net::TcpStream;

/// How long a router may leave such a client without an error or a close.
const LIMIT: Duration = Duration::from_secs(3);
/// What is sent of a startup message or a query: as many of the bytes as are drawn.
const BEGINNING: &[u8] = b"\0\0\0\x22\0\x03\0\0user\0portal\0database\0crm\0\0Q\0\0\0\x60/* id=1,c=read,d=";

/// Lets so many such clients come, spread over the trial.
pub(super) async fn come(fleet: SharedFleet, number: u16) {
    let interval = Duration::from_micros(fleet.trial.seconds * 1_000_000 / u64::from(number).max(1));
    for _ in 0..number {
        sleep(interval).await;
        if !fleet.clients_send.get() {
            return;
        }
        fleet.spawn(stall(fleet.clone()));
    }
}

async fn stall(fleet: SharedFleet) {
    let serving = fleet.processes.borrow().serving();
    if serving.is_empty() {
        return;
    }
    let drawn = fleet.rng.borrow_mut().random_range(0..serving.len());
    let router = fleet.processes.borrow().current(serving[drawn]);
    let address = fleet.processes.borrow().client_address(router.router);
    let length = fleet.rng.borrow_mut().random_range(1..BEGINNING.len());
    let Ok(mut stream) = Async::<TcpStream>::connect(address).await else { return };
    if stream.write_all(&BEGINNING[..length]).await.is_err() {
        return;
    }
    let since = now();
    let ended = async {
        let mut answer = [0; 1024];
        while stream.read(&mut answer).await.is_ok_and(|length| length > 0) {}
        true
    };
    let late = async {
        sleep(LIMIT + SLACK).await;
        false
    };
    let in_time = future::or(ended, late).await;
    // A router that was killed or stopped meanwhile owes nothing.
    if !in_time && fleet.processes.borrow().is_current(router) {
        let description =
            format!("router {} left a client that stopped for {:?}", router.router, now() - since);
        fleet.record_violation(Rule::StalledClient, description);
    }
}
