//! Barriers: queries without effect that show which request a host's response belongs to.
//!
//! Neither protocol numbers its responses: what arrives first after a request counts as the response to it. A
//! host may send more than it was asked for, such as a second copy of a response. If that surplus arrives
//! after the next request on the connection was written, however long it takes, it would be served to the
//! wrong client, and each later response would be taken for the one before it.
//!
//! Hosts respond in order. A response on a reused connection is therefore held back until the response to a
//! barrier has followed it, which is sent once the response has arrived. If the host has sent any other response
//! since the request, one of the two is surplus, and the exchange fails as
//! [`Ambiguous`](ConnectionError::Ambiguous): the request may have run. This holds however late the surplus
//! arrives, as it depends on the order of bytes alone.
//!
//! The barrier is not sent together with the request: a host that does not read while it executes would not see
//! that the connection was closed to cancel the request.
//!
//! Successive barriers of a connection have different responses, so that a late copy of an earlier barrier's
//! response does not pass for the expected one. The first request on a connection needs no barrier, as there
//! is no earlier response. Before the first reuse of a connection to a host, the host is [verified](verify) on
//! it: one that does not answer barriers correctly gets a new connection for each request, and no request fails
//! because of that. After any unexpected response, the host is verified again.

use crate::state::host_connection::{ConnectionError, HostConnection};
use futures_lite::AsyncWriteExt;
use std::net::SocketAddr;

/// A protocol's part of the exchange of one message with a host.
pub(super) trait HostProtocol {
    /// Number of successive barriers whose responses all differ. [`verify`] sends this many.
    const DISTINCT_BARRIERS: u32;

    /// Opens a connection to a host.
    ///
    /// # Errors
    /// If no session could be started; no request has run then.
    async fn connect(&self, address: SocketAddr) -> Result<HostConnection, ConnectionError>;

    /// Encodes the message for a connection.
    fn encode(&self, connection: &HostConnection) -> Vec<u8>;

    /// Encodes the barrier with this number within its connection, counted from 0.
    fn encode_barrier(&self, connection: &HostConnection, number: u32) -> Vec<u8>;

    /// Reads one response, and compares it with that of the barrier with this number.
    ///
    /// # Errors
    /// If the connection breaks, or the host violates the protocol.
    async fn read_barrier(
        &self, connection: &mut HostConnection, number: u32,
    ) -> Result<BarrierResponse, ConnectionError>;
}

/// A response that was read where that of a barrier was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BarrierResponse {
    /// The response of the barrier.
    Expected,
    /// The response of the barrier, preceded by surplus that has no end of its own.
    ExpectedAfterSurplus,
    /// Another complete response.
    Surplus,
}

/// Whether a connection can carry the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// All responses have been read.
    Possible,
    /// The host sent surplus bytes, or broke the connection after the response.
    Impossible,
}

/// Encodes the next barrier of a connection, and counts it as sent.
fn encode_next<P: HostProtocol>(protocol: &P, connection: &mut HostConnection) -> Vec<u8> {
    let number = connection.session.barriers_sent;
    connection.session.barriers_sent += 1;
    protocol.encode_barrier(connection, number)
}

/// Checks that a host answers barriers correctly, on a connection that awaits no response.
///
/// # Errors
/// [`ConnectionError::Ambiguous`] if the host answers in any other way, or that the connection broke.
pub(super) async fn verify<P: HostProtocol>(
    protocol: &P, connection: &mut HostConnection,
) -> Result<(), ConnectionError> {
    let first = connection.session.barriers_sent;
    let mut barriers = Vec::new();
    for _ in 0..P::DISTINCT_BARRIERS {
        barriers.extend(encode_next(protocol, connection));
    }
    write(connection, &barriers).await?;
    for number in first..connection.session.barriers_sent {
        expect(protocol, connection, number).await?;
    }
    Ok(())
}

/// Sends a barrier, and reads its response, which must follow the response that was read last.
///
/// # Errors
/// [`ConnectionError::Ambiguous`] if another response or malformed bytes follow, or that the connection broke.
pub(super) async fn confirm<P: HostProtocol>(
    protocol: &P, connection: &mut HostConnection,
) -> Result<Reuse, ConnectionError> {
    let number = connection.session.barriers_sent;
    let barrier = encode_next(protocol, connection);
    write(connection, &barrier).await?;
    match protocol.read_barrier(connection, number).await {
        Ok(BarrierResponse::Expected) => Ok(Reuse::Possible),
        // Only a complete response could be that of the request.
        Ok(BarrierResponse::ExpectedAfterSurplus) => Ok(Reuse::Impossible),
        Ok(BarrierResponse::Surplus) | Err(ConnectionError::Malformed) => Err(ConnectionError::Ambiguous),
        Err(error) => Err(error),
    }
}

async fn write(connection: &HostConnection, barriers: &[u8]) -> Result<(), ConnectionError> {
    (&connection.stream).write_all(barriers).await.map_err(|_| ConnectionError::BrokenAfterSend)
}

async fn expect<P: HostProtocol>(
    protocol: &P, connection: &mut HostConnection, number: u32,
) -> Result<(), ConnectionError> {
    match protocol.read_barrier(connection, number).await {
        Ok(BarrierResponse::Expected) => Ok(()),
        Ok(_) | Err(ConnectionError::Malformed) => Err(ConnectionError::Ambiguous),
        Err(error) => Err(error),
    }
}
