//! Why a client's connection ends, and the error that is sent to the client.

use crate::wire::MalformedMessage;
use std::io;

/// Why a client's connection ends.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Disconnect {
    /// The client has closed the connection, or is to be treated as if it had.
    #[error("the client has disconnected")]
    ClientGone,
    /// The router closes the connection while nothing is owed to the client.
    #[error("closed between two commands")]
    Closing,
    /// The end of an answer that was being streamed did not come: that the connection ends tells the client so.
    #[error("closed within an answer")]
    BrokenAnswer,
    /// The client has broken the protocol.
    #[error("{0}")]
    ProtocolViolation(&'static str),
    /// The connection or its buffer failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<MalformedMessage> for Disconnect {
    fn from(malformed: MalformedMessage) -> Disconnect {
        Disconnect::ProtocolViolation(malformed.0)
    }
}

/// The error that is sent to a client before its connection is closed. Each protocol has its own codes for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ClosingError {
    /// The client has broken the protocol.
    #[error("{0}")]
    ProtocolViolation(&'static str),
    /// There is no memory for what the client sends.
    #[error("no room for this now")]
    OutOfMemory,
}
