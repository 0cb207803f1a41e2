//! Listens for clients from the start of a router to its graceful shutdown.

use crate::service::bind::bind_all;
use crate::service::protocol::Protocol;
use crate::service::received_signals::ReceivedSignals;
use crate::service::reload::handle_signals;
use crate::service::{endpoint_watch, startup};
use crate::stages::policy_driver;
use crate::state::clock::{Clock, after};
use crate::state::config::{Config, ConfigError};
use crate::state::metrics_report::log_metrics;
use crate::state::protocol::ClientProtocol;
use crate::state::router_state::RouterState;
use crate::state::signals::OneShotEvent;
use crate::state::step_times::EventLoopStep;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, StreamExt};
use std::future::{Future, poll_fn};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// With an endpoint list from its configuration a router waits this long for discovery's own, then serves with that.
const KNOWN_LIST_WAIT: Duration = Duration::from_secs(1);
/// Without one it waits longer, and is then ready all the same: it throttles requests until a list comes. A router
/// counts as restarted well only if it is ready within ten seconds, and discovery may be down for longer.
const FIRST_LIST_WAIT: Duration = Duration::from_secs(5);
/// New connections still come for up to 0.4 s after the signal to stop, and are accepted for this long.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// Whoever kills the router waits for its longest timeout, and no longer than this for a longer one.
const LONGEST_TIMEOUT_GRANTED: Duration = Duration::from_secs(3);
/// How much longer than that a shutdown may take.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(600);
/// The last part of that, in which the last answers are written.
const LAST_WRITES: Duration = Duration::from_millis(150);
/// The wait before a condition is checked again: a free descriptor, or no client left.
const RETRY_WAIT: Duration = Duration::from_millis(1);
/// The interval at which expired connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Counts are logged after so many sweeps: every ten seconds.
const SWEEPS_PER_REPORT: u32 = 40;
/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Why a router can't serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The process can't handle signals.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The configuration has a fault.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// Serves until SIGTERM or SIGINT; at SIGHUP the configuration is reloaded.
///
/// # Errors
///
/// If signals can't be handled, an address can't be listened on, or the configuration has a fault.
pub fn run(
    config: Config, clock: Clock, protocol: Protocol,
    load_config: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> Result<(), ServeError> {
    async_io::block_on(async {
        let signals = ReceivedSignals::register().map_err(ServeError::Signals)?;
        let listeners = bind_all(config.listen, &protocol.also_listen).await?;
        let state = startup::start(config, clock, protocol.backend)?;
        let stop = OneShotEvent::default();
        state.tasks.spawn(handle_signals(state.clone(), signals, stop.clone(), load_config)).detach();
        serve(state, protocol.client, listeners, stop.wait()).await;
        Ok(())
    })
}

/// Serves until `stop` is complete, then shuts down gracefully: what was received or is still coming is answered.
pub async fn serve(
    state: Rc<RouterState>, protocol: Rc<dyn ClientProtocol<RouterState>>,
    listeners: Vec<Async<TcpListener>>, stop: impl Future<Output = ()>,
) {
    start_listening(&state, &listeners);
    spawn_background_tasks(&state);
    let work = async {
        stop.or(accept_all(&state, &protocol, &listeners)).await;
        let connections = state.clients.len();
        log::info!("shutting down: {connections} connections, {} commands", requests_in_progress(&state));
        // The listeners close only after this: connections that wait to be accepted would be reset.
        accept_all(&state, &protocol, &listeners).or(after(ACCEPT_AFTER_STOP, ())).await;
        drop(listeners);
        state.clients.close_all();
        all_clients_closed(&state).or(reject_remaining_requests(&state)).await;
        log_metrics(&state);
        log::info!("stopped with {} commands in progress", requests_in_progress(&state));
    };
    state.tasks.run(work).await;
}

fn start_listening(state: &RouterState, listeners: &[Async<TcpListener>]) {
    for listener in listeners {
        let address = listener.get_ref().local_addr().unwrap_or(state.config.listen);
        // The standard library's backlog is too short for clients that connect by the hundred.
        if let Err(error) = rustix::net::listen(listener.get_ref(), BACKLOG) {
            log::warn!("the backlog of {address} can't be raised: {error}");
        }
        log::info!("{} listens on {address}", state.config.name);
    }
}

fn spawn_background_tasks(state: &Rc<RouterState>) {
    state.tasks.spawn(endpoint_watch::follow(state.clone())).detach();
    state.tasks.spawn(sweep(state.clone())).detach();
    state.tasks.spawn(endpoint_watch::poll_while_silent(state.clone())).detach();
    let has_list = !state.hosts.directory().is_empty();
    let wait = if has_list { KNOWN_LIST_WAIT } else { FIRST_LIST_WAIT };
    let waiting_state = state.clone();
    let ready = async move {
        Timer::after(wait).await;
        waiting_state.discovery.set_ready();
    };
    state.tasks.spawn(ready).detach();
}

fn requests_in_progress(state: &RouterState) -> usize {
    state.requests.len()
}

async fn all_clients_closed(state: &RouterState) {
    while !state.clients.is_empty() {
        Timer::after(RETRY_WAIT).await;
    }
}

/// Rejects what is still in progress as the time to shut down ends, and leaves a moment for the answers. A client may
/// wait longer than its request class says: it is answered while there is time to.
async fn reject_remaining_requests(state: &Rc<RouterState>) {
    let granted = state.config.longest_timeout().to_std().min(LONGEST_TIMEOUT_GRANTED);
    let limit = granted + SHUTDOWN_GRACE - ACCEPT_AFTER_STOP;
    Timer::after(limit.saturating_sub(LAST_WRITES)).await;
    policy_driver::call(state, EventLoopStep::ShutDown, |router, actions| router.shut_down(actions));
    Timer::after(LAST_WRITES).await;
}

/// Accepts at all listeners for ever.
async fn accept_all(
    state: &Rc<RouterState>, protocol: &Rc<dyn ClientProtocol<RouterState>>, listeners: &[Async<TcpListener>],
) {
    let mut acceptors: Vec<_> =
        listeners.iter().map(|listener| Box::pin(accept(state, protocol, listener))).collect();
    poll_fn(|context| -> Poll<()> {
        for acceptor in &mut acceptors {
            let _ = acceptor.as_mut().poll(context);
        }
        Poll::Pending
    })
    .await;
}

/// Accepts for ever. Clients count from the moment they connect, so they may wait only briefly to be accepted.
async fn accept(
    state: &Rc<RouterState>, protocol: &Rc<dyn ClientProtocol<RouterState>>, listener: &Async<TcpListener>,
) {
    let mut incoming = std::pin::pin!(listener.incoming());
    let mut failures_in_row = 0;
    loop {
        let Some(permit) = state.clients.acquire_descriptor(state.clock.now()) else {
            // Nobody is closed that may yet send a request, unless somebody waits for the place.
            if listener.readable().await.is_ok() {
                state.clients.make_room_for_waiting_client(state.clock.now());
            }
            Timer::after(RETRY_WAIT).await;
            continue;
        };
        match incoming.next().await {
            Some(Ok(stream)) => {
                failures_in_row = 0;
                state.tasks.spawn(protocol.serve(state.clone(), stream, permit)).detach();
            }
            failed => {
                // Logged once, as a shortage may last for many tries.
                if failures_in_row == 0 {
                    let error = failed.and_then(Result::err);
                    log::warn!("a connection could not be accepted: {error:?}");
                }
                failures_in_row += 1;
                state.metrics.accepts_failed.increment();
                Timer::after(RETRY_WAIT).await;
            }
        }
    }
}

fn sweep_once(state: &RouterState) {
    let now = state.clock.now();
    state.hosts.close_expired(now);
    state.clients.close_expired(now);
    state.log_transitions();
}

/// Closes connections that have been idle too long, logs what changed and, at longer intervals, the counts.
async fn sweep(state: Rc<RouterState>) {
    for round in 1.. {
        Timer::after(SWEEP_INTERVAL).await;
        state.metrics.steps.measure(EventLoopStep::Sweep, || sweep_once(&state));
        if round % SWEEPS_PER_REPORT == 0 {
            log_metrics(&state);
        }
    }
}
