//! Runs a router: binds its addresses, serves clients, and shuts down gracefully.

use crate::service::accept_loop::accept_all;
use crate::service::listener::{self, BindError};
use crate::service::protocol::Protocol;
use crate::service::received_signals::ReceivedSignals;
use crate::service::reload::handle_signals;
use crate::service::shutdown::shut_down_gracefully;
use crate::service::{endpoint_watch, maintenance, readiness, startup};
use crate::state::clock::Clock;
use crate::state::config::{Config, ConfigError};
use crate::state::protocol::ClientProtocol;
use crate::state::router_state::RouterState;
use crate::state::signals::OneShotEvent;
use async_io::Async;
use futures_lite::FutureExt;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

/// Why a router can't be started.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The signal handlers can't be registered.
    #[error("signal handlers can't be registered: {0}")]
    Signals(#[source] io::Error),
    /// A listening address can't be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// Serves until SIGTERM or SIGINT is received, and reloads the configuration on SIGHUP.
///
/// # Errors
///
/// If the signal handlers can't be registered, an address can't be bound, or the configuration is invalid.
pub fn run(
    config: Config, clock: Clock, protocol: Protocol,
    load_config: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> Result<(), ServeError> {
    async_io::block_on(async {
        let signals = ReceivedSignals::register().map_err(ServeError::Signals)?;
        let listeners = listener::bind_all(config.listen, &protocol.additional_addresses).await?;
        let state = startup::start(config, clock, protocol.backend)?;
        let stop = OneShotEvent::default();
        state.tasks.spawn(handle_signals(state.clone(), signals, stop.clone(), load_config)).detach();
        serve(state, protocol.client, listeners, stop.wait()).await;
        Ok(())
    })
}

/// Serves until `stop` completes, then shuts down gracefully: requests that were received or still arrive are
/// answered.
pub async fn serve(
    state: Rc<RouterState>, protocol: Rc<dyn ClientProtocol<RouterState>>,
    listeners: Vec<Async<TcpListener>>, stop: impl Future<Output = ()>,
) {
    listener::prepare_all(&listeners, &state.config);
    spawn_background_tasks(&state);
    let serve_until_stopped = async {
        stop.or(accept_all(&state, &protocol, &listeners)).await;
        shut_down_gracefully(&state, &protocol, listeners).await;
    };
    state.tasks.run(serve_until_stopped).await;
}

fn spawn_background_tasks(state: &Rc<RouterState>) {
    state.tasks.spawn(endpoint_watch::follow(state.clone())).detach();
    state.tasks.spawn(maintenance::run_periodically(state.clone())).detach();
    state.tasks.spawn(endpoint_watch::poll_while_silent(state.clone())).detach();
    state.tasks.spawn(readiness::become_ready_after_timeout(state.clone())).detach();
}
