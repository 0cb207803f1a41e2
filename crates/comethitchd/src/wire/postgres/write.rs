//! Serializes messages, to clients and to hosts. Each function appends one message, or a fixed row of them.

use super::VERSION_3;
use super::message_type::{backend, frontend};

const LENGTH_BYTES: usize = 4;
const AUTHENTICATION_OK: [u8; 4] = [0; 4];
const NO_UNKNOWN_OPTIONS: [u8; 4] = [0; 4];
/// The transaction status of `ReadyForQuery` outside of any transaction.
const IDLE: u8 = b'I';
/// The parameters that are reported to clients at the start of a session.
const SESSION_PARAMETERS: [(&str, &str); 5] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
    ("integer_datetimes", "on"),
];

/// How severe an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The statement has failed.
    Error,
    /// The connection ends.
    Fatal,
}

impl Severity {
    fn name(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// The fields of an `ErrorResponse`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorFields<'a> {
    /// How severe the error is.
    pub severity: Severity,
    /// The SQLSTATE.
    pub code: &'a str,
    /// What is wrong.
    pub message: &'a str,
    /// The field `D`.
    pub detail: Option<&'a str>,
}

impl<'a> ErrorFields<'a> {
    /// An error that ends its statement alone, without a detail.
    pub fn error(code: &'a str, message: &'a str) -> ErrorFields<'a> {
        ErrorFields { severity: Severity::Error, code, message, detail: None }
    }

    /// An error that ends the connection, without a detail.
    pub fn fatal(code: &'a str, message: &'a str) -> ErrorFields<'a> {
        ErrorFields { severity: Severity::Fatal, code, message, detail: None }
    }
}

/// Appends a message of this type whose body the caller writes.
fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    put_sized(out, body);
}

/// Appends a body behind its length.
fn put_sized(out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
    let at = out.len();
    out.extend([0; LENGTH_BYTES]);
    body(out);
    let length = (out.len() - at) as u32;
    out[at..at + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

fn put_pair(out: &mut Vec<u8>, name: &str, value: &str) {
    put_text(out, name);
    put_text(out, value);
}

/// Appends a text and its zero byte; zero bytes within are left out.
fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

/// `StartupMessage`, to a host.
pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    put_sized(out, |out| {
        out.extend(VERSION_3.to_be_bytes());
        put_pair(out, "user", user);
        put_pair(out, "database", database);
        out.push(0);
    });
}

/// Query, to a host, with the parts of the text written one behind the other.
pub fn put_query(out: &mut Vec<u8>, parts: &[&[u8]]) {
    put(out, frontend::QUERY, |out| {
        parts.iter().for_each(|part| out.extend(*part));
        out.push(0);
    });
}

/// Admits a client: `AuthenticationOk`, the session's parameters, the key for cancel requests, and `ReadyForQuery`.
pub fn put_welcome(out: &mut Vec<u8>, minor_version: u16, connection: u32, key: u32) {
    if minor_version > 0 {
        let version_3_0 = [VERSION_3.to_be_bytes(), NO_UNKNOWN_OPTIONS].concat();
        put(out, backend::NEGOTIATE_VERSION, |out| out.extend(version_3_0));
    }
    put(out, backend::AUTHENTICATION, |out| out.extend(AUTHENTICATION_OK));
    for (name, value) in SESSION_PARAMETERS {
        put(out, backend::PARAMETER_STATUS, |out| put_pair(out, name, value));
    }
    put(out, backend::BACKEND_KEY_DATA, |out| {
        out.extend(connection.to_be_bytes());
        out.extend(key.to_be_bytes());
    });
    put_ready_for_query(out);
}

/// `ReadyForQuery`, outside of any transaction.
pub fn put_ready_for_query(out: &mut Vec<u8>) {
    put(out, backend::READY_FOR_QUERY, |out| out.push(IDLE));
}

/// `EmptyQueryResponse`.
pub fn put_empty_query(out: &mut Vec<u8>) {
    put(out, backend::EMPTY_QUERY, |_| ());
}

/// `CommandComplete` with this tag.
pub fn put_command_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, backend::COMMAND_COMPLETE, |out| put_text(out, tag));
}

/// `ErrorResponse`.
pub fn put_error(out: &mut Vec<u8>, error: &ErrorFields<'_>) {
    let severity = error.severity.name();
    let fields = [(b'S', severity), (b'V', severity), (b'C', error.code), (b'M', error.message)];
    let detail = error.detail.map(|detail| (b'D', detail));
    put(out, backend::ERROR, |out| {
        for (field, value) in fields.into_iter().chain(detail) {
            out.push(field);
            put_text(out, value);
        }
        out.push(0);
    });
}
