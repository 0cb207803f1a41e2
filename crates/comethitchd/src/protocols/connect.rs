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

/// Interval at which a connection that is being opened polls for a free descriptor.
const DESCRIPTOR_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A protocol's parameters for a new connection.
pub(super) struct ConnectionOptions {
    /// Maximum size of the connection's receive buffer.
    pub max_buffer_bytes: usize,
    /// The initial session state.
    pub session: SessionState,
}

/// Waits for a free descriptor within the connect timeout; then connects to a host and runs the protocol's
/// handshake, within the same timeout again.
///
/// # Errors
/// [`ConnectionError::NotSent`] if no descriptor became free or another resource of the router's machine ran
/// short, the handshake's error, or else [`ConnectionError::ConnectFailed`]. After any of them, no request
/// has run.
pub(super) async fn connect(
    state: &RouterState, address: SocketAddr, options: ConnectionOptions,
    handshake: impl AsyncFnOnce(&mut HostConnection) -> Result<(), ConnectionError>,
) -> Result<HostConnection, ConnectionError> {
    let timeout = state.config.deployment.connect_timeout.to_std();
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
    open.or(after(timeout, Err(ConnectionError::ConnectFailed))).await
}

/// Maps an I/O error of connecting. A shortage on the router's own machine must not count against the host.
fn connect_error(error: &io::Error) -> ConnectionError {
    if is_local_shortage(error) { ConnectionError::NotSent } else { ConnectionError::ConnectFailed }
}

/// Waits for a free descriptor within the connect timeout.
async fn acquire_descriptor(state: &RouterState) -> Result<DescriptorPermit, ConnectionError> {
    let permit = async {
        loop {
            if let Some(permit) = state.hosts.acquire_descriptor() {
                return Ok(permit);
            }
            Timer::after(DESCRIPTOR_POLL_INTERVAL).await;
        }
    };
    let timeout = state.config.deployment.connect_timeout.to_std();
    permit.or(after(timeout, Err(ConnectionError::NotSent))).await
}
