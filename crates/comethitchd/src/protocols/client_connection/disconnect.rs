//! Reasons for closing a client's connection, and the errors that are sent to the client before that.

use crate::wire::MalformedMessage;
use std::io;

/// Reasons for closing a client's connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Disconnect {
    /// The client has closed the connection, or the session ends in a way that needs no further message to
    /// the client.
    #[error("the client has disconnected")]
    ClientGone,
    /// The router closes the connection while no answer is outstanding.
    #[error("closed between two requests")]
    Closing,
    /// The end of a streamed answer did not arrive. Closing the connection tells the client that the answer
    /// is incomplete.
    #[error("closed within a streamed answer")]
    BrokenAnswer,
    /// The client has violated the protocol.
    #[error("{0}")]
    ProtocolViolation(&'static str),
    /// The connection failed, or there was no memory for its buffer.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<MalformedMessage> for Disconnect {
    fn from(malformed: MalformedMessage) -> Disconnect {
        Disconnect::ProtocolViolation(malformed.0)
    }
}

/// Errors that are sent to a client before its connection is closed. Each protocol maps them to its own
/// codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ClosingError {
    /// The client has violated the protocol.
    #[error("{0}")]
    ProtocolViolation(&'static str),
    /// There is no memory for the client's input.
    #[error("no room for this now")]
    OutOfMemory,
}
