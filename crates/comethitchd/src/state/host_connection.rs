//! Connections to hosts, and the ways in which they can end.

use crate::state::buffer::Buffer;
use crate::state::client_registry::DescriptorPermit;
use async_io::Async;
use comethitch_policy::AttemptOutcome;
use comethitch_policy::time::Timestamp;
use std::net::{SocketAddr, TcpStream};

pub struct HostConnection {
    pub stream: Async<TcpStream>,
    pub buffer: Buffer,
    pub dial: SocketAddr,
    pub idle_since: Timestamp,
    /// What its protocol keeps of it.
    pub kept: Kept,
    pub permit: DescriptorPermit,
}

/// What a protocol keeps of a connection from one use to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// The size of packets that was settled, where there are packets.
    pub packet: usize,
    /// It was used before: the session must be made as new.
    pub used: bool,
}

impl HostConnection {
    /// Whether nothing has come while it was idle: the end, an error or a stray message make it useless.
    pub fn is_quiet(&self) -> bool {
        let met = self.stream.get_ref().peek(&mut [0; 1]);
        self.buffer.unread().is_empty() && met.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// The code of a host's error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Code {
    /// An SQLSTATE.
    Postgres(String),
    /// The number and class of an error of TDS, and whether the answer held anything before it.
    Tds { number: i32, class: u8, first: bool },
}

impl Code {
    fn ending(&self) -> AttemptOutcome {
        match self {
            Code::Postgres(code) => match code.as_str() {
                "25006" | "72000" => AttemptOutcome::NotPrimary,
                "53300" => AttemptOutcome::Overloaded,
                _ => AttemptOutcome::Error,
            },
            // The database is read-only, or this replica takes no such commands. Behind another statement of
            // the batch it would say nothing of that one.
            Code::Tds { number: 3906 | 3908 | 976 | 978 | 979 | 982 | 983, first: true, .. } => {
                AttemptOutcome::NotPrimary
            }
            // Out of room before anything was begun.
            Code::Tds { number: 10_928 | 10_929 | 17_809 | 49_918..=49_920, first: true, .. } => {
                AttemptOutcome::Overloaded
            }
            // The connection ends with such an error.
            Code::Tds { class: 20.., .. } => AttemptOutcome::ConnectionReset,
            Code::Tds { .. } => AttemptOutcome::Error,
        }
    }
}

/// Every way in which a connection to a host, or its use for one query, can end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The value came whole.
    Whole,
    /// The host answered with an error.
    HostError(Code),
    /// There was no time, descriptor or such host, or no use for it any more once it was up: never sent.
    NotTried,
    /// The host has no place for one more connection.
    NoSlot,
    /// It was refused, or broke before it could be used.
    NeverUp,
    /// It broke, or time ran out, before the query's last byte was written.
    Unsent,
    /// It broke or ended after that.
    Broken,
    /// What the host sent after that could not be understood.
    Malformed,
    /// The answer is larger than what is passed on, or than there is room for.
    TooLarge,
    /// Nothing more came until the router stopped waiting.
    Silent,
    /// The router gave the query up.
    Cancelled,
}

impl ConnectionEnd {
    /// What the module is told: the table in the protocol's page.
    pub fn ending(&self) -> AttemptOutcome {
        match self {
            ConnectionEnd::Whole => AttemptOutcome::Answered,
            ConnectionEnd::HostError(code) => code.ending(),
            ConnectionEnd::NotTried => AttemptOutcome::NotSent,
            ConnectionEnd::NoSlot => AttemptOutcome::NoConnectionSlot,
            ConnectionEnd::NeverUp | ConnectionEnd::Unsent => AttemptOutcome::ConnectionFailed,
            ConnectionEnd::TooLarge => AttemptOutcome::Error,
            ConnectionEnd::Broken | ConnectionEnd::Malformed => AttemptOutcome::ConnectionReset,
            ConnectionEnd::Silent => AttemptOutcome::TimedOut,
            ConnectionEnd::Cancelled => AttemptOutcome::Cancelled,
        }
    }
}
