//! The type bytes of PostgreSQL's messages, by the names of its protocol ("Message Formats").

/// Authentication request, from a host.
pub const AUTHENTICATION: u8 = b'R';
/// A statement is complete.
pub const COMMAND_COMPLETE: u8 = b'C';
/// One row of an answer.
pub const DATA_ROW: u8 = b'D';
/// The answer to an empty query.
pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
/// An error.
pub const ERROR_RESPONSE: u8 = b'E';
/// A parameter that the host reports.
pub const PARAMETER_STATUS: u8 = b'S';
/// A simple query, from a client.
pub const QUERY: u8 = b'Q';
/// The host is ready for the next query.
pub const READY_FOR_QUERY: u8 = b'Z';
/// The columns of the rows that follow.
pub const ROW_DESCRIPTION: u8 = b'T';
