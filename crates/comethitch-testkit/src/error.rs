//! Errors of connections between a scripted host or client and its peer.

use comethitch_tds::{MalformedMessage, ReadError};
use std::io;

/// Why a connection ended early.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    /// The socket failed or was closed.
    #[error("the connection failed")]
    Io(#[from] io::Error),
    /// The peer sent a TDS message that cannot be decoded.
    #[error("the peer sent a malformed TDS message")]
    MalformedMessage(#[from] MalformedMessage),
    /// The server's login response contains a token that cannot be decoded, or ends within a token.
    #[error("the server's login response contains a malformed or incomplete token")]
    MalformedLoginResponse(#[from] ReadError),
    /// The server's login response contains no LOGINACK token.
    #[error("the server did not acknowledge the login")]
    LoginNotAcknowledged,
}
