//! What a client received in answer to a request, the same for both protocols.

/// The answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The request succeeded: the first column of the last row, or an empty text if there was no row.
    Answered(String),
    /// The router shed the request: nothing ran and the client may retry.
    Throttled,
    /// The request failed with this SQLSTATE or error number.
    Failed(String),
    /// The router rejected the request before it became a request.
    Rejected(String),
    /// The server acknowledged the client's cancellation.
    Cancelled,
    /// The answer could not be read to its end.
    Malformed,
    /// The connection was closed in place of an answer.
    Closed,
}
