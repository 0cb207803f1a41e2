//! Opens connections to hosts.

use crate::state::buffer::Buffer;
use crate::state::clock::after;
use crate::state::descriptors::DescriptorPermit;
use crate::state::host_connection::{ConnectionError, HostConnection, SessionState};
use crate::state::router_state::RouterState;
use crate::state::socket::{Socket, is_local_shortage};
use async_io::Timer;
use futures_lite::FutureExt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// While no descriptor is free, a connection waits this long before it looks again.
const DESCRIPTOR_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What a protocol needs of a new connection.
pub(super) struct ConnectionOptions {
    /// The most bytes that the connection's buffer may hold.
    pub max_buffer_bytes: usize,
    /// The state of a session on which nothing was sent yet.
    pub session: SessionState,
}

/// Connects to a host and runs the protocol's handshake, both within the configured time. What breaks until
/// then is known never to have run.
///
/// # Errors
/// [`ConnectionError::NotSent`] if no descriptor became free, the handshake's error, or else
/// [`ConnectionError::ConnectFailed`].
pub(super) async fn connect(
    state: &RouterState, address: SocketAddr, options: ConnectionOptions,
    handshake: impl AsyncFnOnce(&mut HostConnection) -> Result<(), ConnectionError>,
) -> Result<HostConnection, ConnectionError> {
    let limit = state.config.deployment.connect_timeout.to_std();
    let permit = acquire_descriptor(state).await?;
    let open = async {
        let stream = Socket::connect(address).await.map_err(|error| connect_error(&error))?;
        state.metrics.connections_opened.increment();
        stream.limit_send_buffer();
        let mut connection = HostConnection {
            stream,
            buffer: Buffer::new(options.max_buffer_bytes, &state.memory),
            address,
            session: options.session,
            permit,
        };
        handshake(&mut connection).await?;
        Ok(connection)
    };
    open.or(after(limit, Err(ConnectionError::ConnectFailed))).await
}

/// A shortage of this machine is not the host's fault.
fn connect_error(error: &io::Error) -> ConnectionError {
    if is_local_shortage(error) { ConnectionError::NotSent } else { ConnectionError::ConnectFailed }
}

/// Waits for a free descriptor, no longer than a connection may take to open.
async fn acquire_descriptor(state: &RouterState) -> Result<DescriptorPermit, ConnectionError> {
    let permit = async {
        loop {
            if let Some(permit) = state.hosts.acquire_descriptor() {
                return Ok(permit);
            }
            Timer::after(DESCRIPTOR_POLL_INTERVAL).await;
        }
    };
    let limit = state.config.deployment.connect_timeout.to_std();
    permit.or(after(limit, Err(ConnectionError::NotSent))).await
}
