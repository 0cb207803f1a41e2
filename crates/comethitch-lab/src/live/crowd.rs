//! A crowd of clients that connect all at once and send nothing more: they fill the routers' descriptors until the
//! routers end them.

use super::network::sleep;
use super::processes;
use super::state::SharedFleet;
use async_io::Async;
use comethitch_policy::time::Duration;
use futures_lite::{AsyncReadExt, StreamExt};
use std::net::TcpStream;

/// Clients that connect to a router at the same time; the next ones follow these.
const CONNECTING_AT_ONCE: usize = 16;

/// Lets so many clients come to each router that serves in the middle of the trial.
pub(super) async fn come(fleet: SharedFleet, number: u16) {
    sleep(Duration::from_millis(fleet.trial.seconds * 500)).await;
    let serving = fleet.processes.borrow().serving();
    for router in serving.into_iter().filter(|_| number > 0) {
        for _ in 0..CONNECTING_AT_ONCE {
            let share = usize::from(number) / CONNECTING_AT_ONCE;
            fleet.spawn(connect_one_after_another(fleet.clone(), router, share));
        }
    }
}

async fn connect_one_after_another(fleet: SharedFleet, router: usize, number: usize) {
    let address = fleet.processes.borrow().client_address(router);
    for _ in 0..number {
        // One that is shut out while the descriptors are full just leaves.
        if let Ok(stream) = processes::connect(address).await {
            fleet.spawn(rest(stream));
        }
    }
}

/// Waits until the router ends the connection.
async fn rest(stream: Async<TcpStream>) {
    let mut bytes = stream.bytes();
    while let Some(Ok(_)) = bytes.next().await {}
}
