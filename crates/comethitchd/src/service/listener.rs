//! Binds the addresses that clients connect to, and configures the listeners.

use crate::state::config::Config;
use crate::state::socket::is_local_shortage;
use async_io::{Async, Timer};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// How long to retry binding an address that is still in use, for example by the previous process, or that
/// can't be bound for lack of local resources.
const BIND_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between attempts to bind an address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of connections that wait to be accepted. The standard library's default is too low if
/// hundreds of clients connect at once.
const LISTEN_BACKLOG: i32 = 1024;

/// A listening address that can't be bound.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address}: {source}")]
pub struct BindError {
    /// The address.
    pub address: SocketAddr,
    /// The error of the last attempt.
    pub source: io::Error,
}

/// Binds all addresses, retrying after transient errors.
///
/// # Errors
///
/// If an address can't be bound for a permanent reason, or not within `BIND_RETRY_TIMEOUT`.
pub(crate) async fn bind_all(
    listen: SocketAddr, additional_addresses: &[SocketAddr],
) -> Result<Vec<Async<TcpListener>>, BindError> {
    let give_up_at = Instant::now() + BIND_RETRY_TIMEOUT;
    let mut listeners = Vec::new();
    for address in std::iter::once(&listen).chain(additional_addresses) {
        listeners.push(bind(*address, give_up_at).await?);
    }
    Ok(listeners)
}

async fn bind(address: SocketAddr, give_up_at: Instant) -> Result<Async<TcpListener>, BindError> {
    loop {
        match Async::<TcpListener>::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if is_transient(&error) && Instant::now() < give_up_at => {
                log::warn!(address:%, error:%; "listen failed, retrying");
                Timer::after(BIND_RETRY_INTERVAL).await;
            }
            Err(source) => return Err(BindError { address, source }),
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    is_local_shortage(error) || error.kind() == io::ErrorKind::AddrInUse
}

/// Raises the backlog of all listeners, and logs their addresses.
pub(crate) fn prepare_all(listeners: &[Async<TcpListener>], config: &Config) {
    for listener in listeners {
        let address = listener.get_ref().local_addr().unwrap_or(config.listen);
        if let Err(error) = rustix::net::listen(listener.get_ref(), LISTEN_BACKLOG) {
            log::warn!(address:%, error:%; "raising listen backlog failed");
        }
        log::info!(router = config.name.as_str(), address:%; "listening");
    }
}
