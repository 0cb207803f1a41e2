//! The behaviors of a host, of which a script chooses one for each request.

use std::time::Duration;

/// What a host does with a request. The request is executed unless a variant says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehavior {
    /// Answers with the request's key.
    Answer,
    /// Answers with the key after a delay.
    AnswerAfter(Duration),
    /// Answers with the key, one byte at a time.
    AnswerByteByByte,
    /// Answers with the key and sends surplus bytes after the answer.
    AnswerWithExtraBytes,
    /// Closes the connection without executing or answering the request.
    CloseBeforeExecution,
    /// Executes the request and closes the connection without answering it.
    CloseAfterExecution,
    /// Sends the first half of the answer and closes the connection.
    Truncate,
    /// Sends bytes that the protocol does not allow.
    Malformed,
    /// Neither executes the request nor answers it.
    HangBeforeExecution,
    /// Executes the request and never answers it.
    HangAfterExecution,
    /// Rejects the request for lack of capacity, without executing it.
    Overloaded,
    /// Answers with an error that is not retryable, without executing the request.
    InternalError,
    /// Executes the request and answers with an error on which drivers retry.
    TransientError,
    /// Answers with two megabytes of rows; the last row holds the key.
    LargeAnswer,
    /// Sends three quarters of a [`HostBehavior::LargeAnswer`] and closes the connection.
    TruncateLargeAnswer,
    /// Sends three quarters of a [`HostBehavior::LargeAnswer`] and nothing more.
    HangInLargeAnswer,
    /// Answers with the key and leaves a transaction open on the connection.
    LeaveTransactionOpen,
    /// Answers with a row that has a column of every type. In a protocol that sends all columns as text,
    /// answers with the key.
    AllTypes,
}

impl HostBehavior {
    /// Returns whether the host executes the request before it answers or fails.
    pub(crate) fn executes(self) -> bool {
        !matches!(
            self,
            HostBehavior::CloseBeforeExecution
                | HostBehavior::HangBeforeExecution
                | HostBehavior::Overloaded
                | HostBehavior::InternalError
        )
    }
}
