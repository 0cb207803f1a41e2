//! Idle clients that connect all at once and exhaust the file descriptors of the routers.

use super::network::{connect_client, sleep};
use super::state::SharedFleet;
use async_io::Async;
use comethitch_policy::time::Duration;
use futures_lite::{AsyncReadExt, StreamExt};
use std::net::TcpStream;

/// Number of clients of a router that connect concurrently.
const CONCURRENT_CONNECTS: usize = 16;

/// Connects this many clients to each serving router in the middle of the trial.
pub(super) async fn connect_to_all_routers(fleet: SharedFleet, clients_per_router: u16) {
    sleep(Duration::from_millis(fleet.trial.seconds * 500)).await;
    let serving = fleet.processes.borrow().serving();
    for router in serving.into_iter().filter(|_| clients_per_router > 0) {
        for _ in 0..CONCURRENT_CONNECTS {
            let clients = usize::from(clients_per_router) / CONCURRENT_CONNECTS;
            fleet.spawn(connect_in_sequence(fleet.clone(), router, clients));
        }
    }
}

async fn connect_in_sequence(fleet: SharedFleet, router: usize, clients: usize) {
    let address = fleet.processes.borrow().client_address(router);
    for _ in 0..clients {
        // A router without free file descriptors closes the connection, and this client gives up.
        if let Ok(stream) = connect_client(address).await {
            fleet.spawn(wait_until_closed(stream));
        }
    }
}

async fn wait_until_closed(stream: Async<TcpStream>) {
    let mut bytes = stream.bytes();
    while let Some(Ok(_)) = bytes.next().await {}
}
