//! Framing of the PostgreSQL protocol, version 3, as a server to clients and as a client to hosts.
//!
//! <https://www.postgresql.org/docs/current/protocol-message-formats.html> describes the messages.

mod message;
pub mod message_type;
mod response;
mod write;

pub use message::{
    CancelTarget, Message, StartupMessage, StartupRequest, cancel_target, message, query_text,
    startup_message,
};
pub use response::{HostParameters, HostResponse, MAX_RESPONSE_BYTES, ResponseError, ResponseShape};
pub use write::{
    ErrorFields, Severity, put_command_complete, put_empty_query, put_error, put_query, put_ready_for_query,
    put_startup, put_welcome,
};

/// The largest message. A value is at most 64 KiB; written as hexadecimal text it takes twice that, and the statement
/// some more.
pub const MAX_MESSAGE_BYTES: usize = 2 * 64 * 1024 + 8 * 1024;

/// Version 3.0 of the protocol, as startup messages tell it.
const VERSION_3: u32 = 3 << 16;
