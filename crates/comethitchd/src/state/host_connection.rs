//! A connection to a host, the errors that can end its use, and the [`AttemptOutcome`] that is reported to
//! the policy for each of them.

use crate::state::buffer::Buffer;
use crate::state::descriptors::DescriptorPermit;
use crate::state::socket::Socket;
use comethitch_policy::AttemptOutcome;
use std::net::SocketAddr;

/// SQLSTATE of a write in a read-only transaction, which is what a replica answers to a write.
const READ_ONLY_TRANSACTION: &str = "25006";
const SNAPSHOT_TOO_OLD: &str = "72000";
const TOO_MANY_CONNECTIONS: &str = "53300";
/// TDS errors of a database that is read-only, or of a replica that does not accept the request.
const TDS_NOT_PRIMARY: [i32; 7] = [3906, 3908, 976, 978, 979, 982, 983];
/// TDS errors for a lack of resources before anything was executed.
const TDS_OUT_OF_RESOURCES: [i32; 6] = [10_928, 10_929, 17_809, 49_918, 49_919, 49_920];
/// Minimum severity class of TDS errors that end the connection.
const TDS_MIN_FATAL_CLASS: u8 = 20;

/// An established connection to a host, in use or idle in the pool.
pub struct HostConnection {
    /// The socket.
    pub stream: Socket,
    /// The bytes that were read and not consumed yet.
    pub buffer: Buffer,
    /// The address that the connection was opened to.
    pub address: SocketAddr,
    /// The state of the protocol's session.
    pub session: SessionState,
    /// The permit for the connection's descriptor.
    pub permit: DescriptorPermit,
}

/// The state of a protocol's session that outlasts one use of the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionState {
    /// The negotiated packet size in bytes, for protocols with packets.
    pub packet_size: usize,
    /// Whether a request was sent on the connection before, so that the host may still send surplus bytes.
    pub used: bool,
    /// Number of barriers sent on the connection.
    pub barriers_sent: u32,
}

impl HostConnection {
    /// Returns whether nothing was received while the connection was idle. After the end of the stream, an
    /// error or an unexpected message, the connection can't be used again.
    pub fn has_nothing_to_read(&self) -> bool {
        self.buffer.unread().is_empty() && self.stream.has_nothing_to_read()
    }
}

/// The code of a host's error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostErrorCode {
    /// The SQLSTATE of a PostgreSQL error.
    Postgres(String),
    /// A TDS error.
    Tds {
        /// The error number.
        number: i32,
        /// The severity class.
        class: u8,
        /// Whether no row or row count preceded the error.
        first: bool,
    },
}

impl HostErrorCode {
    /// Returns the outcome that is reported to the policy for an attempt that ended with this error.
    fn outcome(&self) -> AttemptOutcome {
        match self {
            HostErrorCode::Postgres(sqlstate) => postgres_outcome(sqlstate),
            HostErrorCode::Tds { number, class, first } => tds_outcome(*number, *class, *first),
        }
    }
}

fn postgres_outcome(sqlstate: &str) -> AttemptOutcome {
    match sqlstate {
        READ_ONLY_TRANSACTION | SNAPSHOT_TOO_OLD => AttemptOutcome::NotPrimary,
        TOO_MANY_CONNECTIONS => AttemptOutcome::Overloaded,
        _ => AttemptOutcome::Error,
    }
}

fn tds_outcome(number: i32, class: u8, first: bool) -> AttemptOutcome {
    // `first` is false if another statement of the batch has already been executed. The attempt must then not
    // be reported as one that had no effect.
    if first && TDS_NOT_PRIMARY.contains(&number) {
        return AttemptOutcome::NotPrimary;
    }
    if first && TDS_OUT_OF_RESOURCES.contains(&number) {
        return AttemptOutcome::Overloaded;
    }
    if class >= TDS_MIN_FATAL_CLASS {
        return AttemptOutcome::ConnectionReset;
    }
    AttemptOutcome::Error
}

/// Why a connection to a host, or its use for one request, ended without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionError {
    /// The host answered with an error.
    #[error("the host answered with the error {0:?}")]
    HostError(HostErrorCode),
    /// The request was not sent, because time or descriptors ran out, the host is unknown, or a check right
    /// before the send refused it.
    #[error("the request was not sent")]
    NotSent,
    /// The host rejected the connection because it has no free connection slot.
    #[error("the host has no free connection slot")]
    NoConnectionSlot,
    /// The connection was refused, or broke before it could be used.
    #[error("no connection could be established")]
    ConnectFailed,
    /// The connection broke, or the timeout expired, before the request's last byte was written.
    #[error("the connection broke before the request was sent")]
    BrokenBeforeSend,
    /// The connection broke or ended after the request's last byte was written.
    #[error("the connection broke after the request was sent")]
    BrokenAfterSend,
    /// The host violated the protocol after the request was sent.
    #[error("the host's answer is malformed")]
    Malformed,
    /// The host sent more than one answer since the request was sent, so any of them may belong to an earlier
    /// request.
    #[error("the host sent surplus bytes, so its answer can't be told from an earlier one")]
    Ambiguous,
    /// The answer exceeds the maximum size or the memory budget.
    #[error("the host's answer is too large")]
    TooLarge,
    /// The answer was not complete when the timeout expired.
    #[error("the host did not answer in time")]
    TimedOut,
    /// The router cancelled the request.
    #[error("the request was cancelled")]
    Cancelled,
}

impl ConnectionError {
    /// Returns the outcome that is reported to the policy for an attempt or a health check that ended with
    /// this error.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            ConnectionError::HostError(code) => code.outcome(),
            ConnectionError::NotSent => AttemptOutcome::NotSent,
            ConnectionError::NoConnectionSlot => AttemptOutcome::NoConnectionSlot,
            ConnectionError::ConnectFailed | ConnectionError::BrokenBeforeSend => {
                AttemptOutcome::ConnectionFailed
            }
            ConnectionError::TooLarge => AttemptOutcome::Error,
            ConnectionError::BrokenAfterSend | ConnectionError::Malformed | ConnectionError::Ambiguous => {
                AttemptOutcome::ConnectionReset
            }
            ConnectionError::TimedOut => AttemptOutcome::TimedOut,
            ConnectionError::Cancelled => AttemptOutcome::Cancelled,
        }
    }
}

/// Returns the outcome that is reported to the policy for an attempt or a health check. Only a complete
/// answer is a success.
pub fn attempt_outcome(completion: &Result<(), ConnectionError>) -> AttemptOutcome {
    match completion {
        Ok(()) => AttemptOutcome::Answered,
        Err(error) => error.outcome(),
    }
}
