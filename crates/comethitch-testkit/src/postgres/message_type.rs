//! Type bytes of PostgreSQL messages, named as in the section "Message Formats" of the protocol
//! documentation.

/// Authentication request of a host.
pub const AUTHENTICATION: u8 = b'R';
/// Completion of a statement.
pub const COMMAND_COMPLETE: u8 = b'C';
/// One row of an answer.
pub const DATA_ROW: u8 = b'D';
/// Answer to an empty query.
pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
/// An error.
pub const ERROR_RESPONSE: u8 = b'E';
/// Run-time parameter of the host.
pub const PARAMETER_STATUS: u8 = b'S';
/// Simple query of a client.
pub const QUERY: u8 = b'Q';
/// Readiness of the host for the next query.
pub const READY_FOR_QUERY: u8 = b'Z';
/// Description of the columns of the rows that follow.
pub const ROW_DESCRIPTION: u8 = b'T';
