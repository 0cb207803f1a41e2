//! Wire formats: parsers and serializers as pure functions over bytes, without I/O, clock or access to the
//! router's state.
//!
//! The codec of TDS is the package `comethitch-tds`.

pub mod discovery;
pub mod host_report;
pub mod http;
pub mod json_stream;
pub mod postgres;
pub mod statement;

/// A violation of the protocol. The connection must be closed, because its framing is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MalformedMessage(pub &'static str);
