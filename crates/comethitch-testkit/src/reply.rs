//! The replies that clients receive, independent of the protocol.

/// The reply to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request succeeded. Holds the first column of the last row, or an empty text if there was no row.
    Answered(String),
    /// The router shed the request: nothing was executed, and the client may retry.
    Throttled,
    /// The request failed with this SQLSTATE or error number.
    Failed(String),
    /// The router rejected the statement with this code or text, before it became a request.
    Rejected(String),
    /// The server acknowledged the client's cancellation.
    Cancelled,
    /// The reply could not be decoded.
    Malformed,
    /// The connection was closed without a reply.
    Closed,
}
