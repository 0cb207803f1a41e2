//! Wire formats: parsers and serializers as pure functions over bytes.
//!
//! Nothing here touches a socket, a clock or the router's state. TDS has a package of its own, `comethitch-tds`.

pub mod discovery;
pub mod host_report;
pub mod http;
pub mod json_stream;
pub mod postgres;
pub mod statement;

/// Bytes that break the protocol. The framing of the connection is lost, so the connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MalformedMessage(pub &'static str);
