//! Binds the addresses that clients connect to. What hinders that may pass, so it is tried again for a while.

use crate::service::listen::ServeError;
use crate::state::socket::is_local_shortage;
use async_io::{Async, Timer};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// For so long an address is tried again that can't be listened on as this machine is short of something, or as the
/// process before this one still holds it.
const BIND_PATIENCE: Duration = Duration::from_secs(5);
/// The wait between two of these tries.
const BIND_RETRY_WAIT: Duration = Duration::from_millis(50);

/// Binds all addresses.
///
/// # Errors
/// If one can't be bound, and that does not pass.
pub async fn bind_all(
    listen: SocketAddr, also_listen: &[SocketAddr],
) -> Result<Vec<Async<TcpListener>>, ServeError> {
    let give_up_at = Instant::now() + BIND_PATIENCE;
    let mut listeners = Vec::new();
    for address in std::iter::once(&listen).chain(also_listen) {
        listeners.push(bind(*address, give_up_at).await?);
    }
    Ok(listeners)
}

/// Binds an address, and tries again while what hinders it may pass.
async fn bind(address: SocketAddr, give_up_at: Instant) -> Result<Async<TcpListener>, ServeError> {
    loop {
        match Async::<TcpListener>::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(source) if may_pass(&source) && Instant::now() < give_up_at => {
                log::warn!("can't listen on {address} yet: {source}");
                Timer::after(BIND_RETRY_WAIT).await;
            }
            Err(source) => return Err(ServeError::Bind { address, source }),
        }
    }
}

fn may_pass(error: &io::Error) -> bool {
    is_local_shortage(error) || error.kind() == io::ErrorKind::AddrInUse
}
