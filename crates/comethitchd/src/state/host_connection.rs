//! A connection to a host, the errors it can end with, and the policy's [`AttemptOutcome`] for each of them.

use crate::state::buffer::Buffer;
use crate::state::descriptors::DescriptorPermit;
use crate::state::socket::Socket;
use comethitch_policy::AttemptOutcome;
use std::net::SocketAddr;

/// An established connection to a host, in use or idle in the pool.
pub struct HostConnection {
    /// The socket.
    pub stream: Socket,
    /// What was read and not consumed.
    pub buffer: Buffer,
    /// The address that it was opened to.
    pub address: SocketAddr,
    /// What its protocol remembers of it.
    pub session: SessionState,
    /// Its descriptor.
    pub permit: DescriptorPermit,
}

/// What a protocol remembers of a connection from one use to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionState {
    /// The negotiated packet size in bytes, in protocols with packets.
    pub packet_size: usize,
    /// It was used before: the session must be reset before the next request.
    pub reused: bool,
}

impl HostConnection {
    /// Whether nothing came while it was idle. An end of stream, an error or a stray message make it unusable.
    pub fn is_quiet(&self) -> bool {
        self.buffer.unread().is_empty() && self.stream.is_quiet()
    }
}

/// The code of an error that a host answered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostErrorCode {
    /// An SQLSTATE of PostgreSQL.
    Postgres(String),
    /// An error of TDS.
    Tds {
        /// Its number.
        number: i32,
        /// Its severity class; from 20 on the connection ends.
        class: u8,
        /// No row or row count came before it.
        first: bool,
    },
}

impl HostErrorCode {
    /// The outcome that the policy gets for an attempt that ended with this error.
    fn outcome(&self) -> AttemptOutcome {
        match self {
            HostErrorCode::Postgres(code) => match code.as_str() {
                "25006" | "72000" => AttemptOutcome::NotPrimary,
                "53300" => AttemptOutcome::Overloaded,
                _ => AttemptOutcome::Error,
            },
            // The database is read-only, or this replica takes no such requests. Behind another statement of
            // the batch it would say nothing of that one.
            HostErrorCode::Tds { number: 3906 | 3908 | 976 | 978 | 979 | 982 | 983, first: true, .. } => {
                AttemptOutcome::NotPrimary
            }
            // Out of resources before anything was begun.
            HostErrorCode::Tds {
                number: 10_928 | 10_929 | 17_809 | 49_918..=49_920, first: true, ..
            } => AttemptOutcome::Overloaded,
            // The connection ends with such an error.
            HostErrorCode::Tds { class: 20.., .. } => AttemptOutcome::ConnectionReset,
            HostErrorCode::Tds { .. } => AttemptOutcome::Error,
        }
    }
}

/// Why a connection to a host, or its use for one query, brought no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionError {
    /// The host answered with an error.
    #[error("the host answered with the error {0:?}")]
    HostError(HostErrorCode),
    /// There was no time, descriptor or such host, or the query was no longer wanted once the connection was up.
    #[error("the query was not sent")]
    NotSent,
    /// The host has no slot for one more connection.
    #[error("the host has no free connection slot")]
    NoConnectionSlot,
    /// The connection was refused, or broke before it could be used.
    #[error("no connection could be established")]
    ConnectFailed,
    /// The connection broke, or time ran out, before the query's last byte was written.
    #[error("the connection broke before the query was sent")]
    BrokenBeforeSend,
    /// The connection broke or ended after that.
    #[error("the connection broke after the query was sent")]
    BrokenAfterSend,
    /// What the host sent after that could not be understood.
    #[error("the host's answer is malformed")]
    Malformed,
    /// The answer is larger than what is passed on, or than the memory budget allows.
    #[error("the host's answer is too large")]
    TooLarge,
    /// Nothing more came until the router stopped waiting.
    #[error("the host did not answer in time")]
    TimedOut,
    /// The router cancelled the query.
    #[error("the query was cancelled")]
    Cancelled,
}

impl ConnectionError {
    /// The outcome that the policy gets for an attempt or a health check that ended with this error.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            ConnectionError::HostError(code) => code.outcome(),
            ConnectionError::NotSent => AttemptOutcome::NotSent,
            ConnectionError::NoConnectionSlot => AttemptOutcome::NoConnectionSlot,
            ConnectionError::ConnectFailed | ConnectionError::BrokenBeforeSend => {
                AttemptOutcome::ConnectionFailed
            }
            ConnectionError::TooLarge => AttemptOutcome::Error,
            ConnectionError::BrokenAfterSend | ConnectionError::Malformed => AttemptOutcome::ConnectionReset,
            ConnectionError::TimedOut => AttemptOutcome::TimedOut,
            ConnectionError::Cancelled => AttemptOutcome::Cancelled,
        }
    }
}

/// The outcome that the policy gets for an attempt or a health check; a complete answer is the only success.
pub fn attempt_outcome(completion: &Result<(), ConnectionError>) -> AttemptOutcome {
    match completion {
        Ok(()) => AttemptOutcome::Answered,
        Err(error) => error.outcome(),
    }
}
