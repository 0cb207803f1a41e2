//! The replies that clients receive, independently of the protocol.

/// The reply to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request succeeded. Holds the first column of the last row, or an empty string if there was no row.
    Answered(String),
    /// The router shed the request: nothing was executed, and the client may retry.
    Throttled,
    /// The request failed with this SQLSTATE or error number.
    Failed(String),
    /// The router rejected the statement with this SQLSTATE or error text, without treating it as a request.
    Rejected(String),
    /// The server acknowledged the client's cancellation.
    Cancelled,
    /// The reply could not be decoded.
    Malformed,
    /// The connection was closed without a reply.
    Closed,
}
