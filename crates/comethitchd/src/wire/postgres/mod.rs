//! Messages of the PostgreSQL protocol, version 3. The router is a server for its clients, and a client of
//! the hosts.
//!
//! See <https://www.postgresql.org/docs/current/protocol-message-formats.html>.

mod barrier;
mod message;
pub mod message_type;
mod response;
mod write;

pub use barrier::{BarrierQuery, DISTINCT_BARRIERS};
pub use message::{
    CancelTarget, Message, StartupMessage, StartupRequest, cancel_target, message, missing_bytes, query_text,
    startup_message,
};
pub use response::{HostParameters, HostResponse, MAX_RESPONSE_BYTES, ResponseError, ResponseShape};
pub use write::{
    ErrorFields, Severity, put_command_complete, put_empty_query, put_error, put_query, put_ready_for_query,
    put_session_start, put_startup,
};

/// Maximum length of a message, without its type byte: a value of 64 KiB in hexadecimal digits, and 8 KiB for
/// the rest of the statement.
pub const MAX_MESSAGE_BYTES: usize = 2 * 64 * 1024 + 8 * 1024;

/// Version 3.0 of the protocol in a startup message.
const VERSION_3: u32 = 3 << 16;
