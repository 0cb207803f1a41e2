//! Shuts a router down gracefully: accepts and answers requests that still arrive, then rejects the remaining
//! ones.
//!
//! The process ends once all client connections are closed. A connection closes only after every request that
//! was read from it is answered, also those that were read behind others. When the time for requests in
//! progress is over, the policy rejects them and all that follow, so that from then on no answer depends on a
//! host; a client that does not read its answers is the only one that may be left without them.

use crate::service::accept_loop::accept_all;
use crate::stages::policy_driver;
use crate::state::clock::after;
use crate::state::metrics_report::log_metrics;
use crate::state::protocol::ClientProtocol;
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use async_io::{Async, Timer};
use comethitch_policy::time::Duration as PolicyDuration;
use futures_lite::FutureExt;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long connections are accepted after the stop signal. New connections arrive for up to 0.4 s after it.
const ACCEPT_TIME_AFTER_STOP: Duration = Duration::from_millis(500);
/// Maximum time that requests in progress are given to finish. The supervisor waits for the longest client
/// timeout, but no longer than this.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);
/// How long a shutdown may take beyond the time that requests in progress are given.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(600);
/// Time reserved at the end of the shutdown for writing the last answers. Clients that do not read them delay
/// the end of the process by no more than this.
const LAST_WRITES_TIME: Duration = Duration::from_millis(150);
/// Maximum time for writing the last answers, for the case that clients keep sending without a pause.
const MAX_LAST_WRITES_TIME: Duration = Duration::from_secs(1);
/// Interval between checks whether all client connections are closed.
const CLIENTS_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Accepts connections for `ACCEPT_TIME_AFTER_STOP`, closes the listeners, and waits until all client
/// connections are closed or the time limit of the shutdown is reached.
pub(crate) async fn shut_down_gracefully(
    state: &Rc<RouterState>, protocol: &Rc<dyn ClientProtocol<RouterState>>,
    listeners: Vec<Async<TcpListener>>,
) {
    let client_connections = state.clients.len();
    log::info!(client_connections, requests_in_progress = requests_in_progress(state); "shutting down");
    // Closing the listeners earlier would reset connections that wait to be accepted.
    accept_all(state, protocol, &listeners).or(after(ACCEPT_TIME_AFTER_STOP, ())).await;
    drop(listeners);
    state.clients.close_all();
    all_clients_closed(state).or(end_drain(state)).await;
    verify_end(state);
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

/// Waits until the time for requests in progress is over, rejects them and all later ones, and completes once
/// their answers are written, or clients do not read them. There may be such requests because a client may set
/// a longer timeout than that of the request class.
async fn end_drain(state: &Rc<RouterState>) {
    let drain_time = state.config.longest_timeout().to_std().min(MAX_DRAIN_TIME);
    let remaining = drain_time + SHUTDOWN_GRACE - ACCEPT_TIME_AFTER_STOP;
    Timer::after(remaining.saturating_sub(LAST_WRITES_TIME)).await;
    policy_driver::call(state, EventLoopStep::ShutDown, |router, actions| router.shut_down(actions));
    state.shut_down.set();
    last_answers_written(state).or(after(MAX_LAST_WRITES_TIME, ())).await;
}

/// Waits for `LAST_WRITES_TIME`, and longer if answers are outstanding that no client delays, as after a stall
/// of the process. Connections with an incomplete request are closed on time meanwhile.
async fn last_answers_written(state: &RouterState) {
    let earliest_end = Instant::now() + LAST_WRITES_TIME;
    loop {
        Timer::after(CLIENTS_CHECK_INTERVAL).await;
        state.clients.close_expired(state.clock.now());
        if Instant::now() >= earliest_end && state.clients.awaiting_answers().is_empty() {
            return;
        }
    }
}

/// Records a violation for each connection whose requests the process leaves without an answer although the
/// client would read it.
fn verify_end(state: &RouterState) {
    for number in state.clients.awaiting_answers() {
        state.record_violation("ended_without_answer", &format!("client {number}"), PolicyDuration::ZERO);
    }
}

#[cfg(test)]
mod tests;
