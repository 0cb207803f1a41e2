//! What is spoken on the wire: pure functions over bytes, without sockets.

pub mod discovery;
pub mod host_report;
pub mod http;
pub mod postgres;
pub mod statement;

/// Why bytes are not what is spoken: the framing is lost, and with it the connection.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);
