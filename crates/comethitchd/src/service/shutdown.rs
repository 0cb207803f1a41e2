//! Shuts a router down gracefully: accepts and answers requests that are still arriving, then rejects what is left.

use crate::service::accept_loop::accept_all;
use crate::stages::policy_driver;
use crate::state::clock::after;
use crate::state::metrics_report::log_metrics;
use crate::state::protocol::ClientProtocol;
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// How long connections are still accepted after the signal to stop: new ones arrive for up to 0.4 s after it.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// Upper bound of the time granted to requests in progress. The supervisor waits for the longest client timeout, but
/// no longer than this.
const MAX_TIMEOUT_GRANTED: Duration = Duration::from_secs(3);
/// How long a shutdown may take beyond the granted time.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(600);
/// Final part of the shutdown, reserved for writing the last answers.
const LAST_WRITES: Duration = Duration::from_millis(150);
/// Interval at which the number of open client connections is checked.
const CLIENTS_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Accepts connections for `ACCEPT_AFTER_STOP`, closes the listeners, and waits until all clients are closed or the
/// time to shut down is over.
pub(crate) async fn shut_down_gracefully(
    state: &Rc<RouterState>, protocol: &Rc<dyn ClientProtocol<RouterState>>,
    listeners: Vec<Async<TcpListener>>,
) {
    let client_connections = state.clients.len();
    log::info!(client_connections, requests_in_progress = requests_in_progress(state); "shutting down");
    // Closing the listeners earlier would reset connections that wait to be accepted.
    accept_all(state, protocol, &listeners).or(after(ACCEPT_AFTER_STOP, ())).await;
    drop(listeners);
    state.clients.close_all();
    all_clients_closed(state).or(reject_remaining_requests(state)).await;
    log_metrics(state);
    log::info!(requests_in_progress = requests_in_progress(state); "stopped");
}

fn requests_in_progress(state: &RouterState) -> usize {
    state.requests.len()
}

async fn all_clients_closed(state: &RouterState) {
    while !state.clients.is_empty() {
        Timer::after(CLIENTS_CHECK_INTERVAL).await;
    }
}

/// Rejects the requests that are still in progress shortly before the time to shut down is over, and leaves
/// `LAST_WRITES` for their answers. Clients may wait longer than the timeout of their request class.
async fn reject_remaining_requests(state: &Rc<RouterState>) {
    let granted = state.config.longest_timeout().to_std().min(MAX_TIMEOUT_GRANTED);
    let limit = granted + SHUTDOWN_GRACE - ACCEPT_AFTER_STOP;
    Timer::after(limit.saturating_sub(LAST_WRITES)).await;
    policy_driver::call(state, EventLoopStep::ShutDown, |router, actions| router.shut_down(actions));
    Timer::after(LAST_WRITES).await;
}
