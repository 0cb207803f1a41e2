//! Serializes messages to clients and hosts. Each function appends one message, or a fixed sequence of
//! messages.

use super::VERSION_3;
use super::message::LENGTH_BYTES;
use super::message_type::{backend, frontend};

const AUTHENTICATION_OK: [u8; 4] = [0; 4];
const NO_UNKNOWN_OPTIONS: [u8; 4] = [0; 4];
/// The transaction status of `ReadyForQuery` outside of a transaction.
const IDLE: u8 = b'I';
/// The parameters sent to clients at the start of a session.
const SESSION_PARAMETERS: [(&str, &str); 5] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
    ("integer_datetimes", "on"),
];

/// The severity of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The statement failed.
    Error,
    /// The server closes the connection.
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
    /// The severity.
    pub severity: Severity,
    /// The SQLSTATE.
    pub code: &'a str,
    /// The primary message.
    pub message: &'a str,
    /// The optional detail.
    pub detail: Option<&'a str>,
}

impl<'a> ErrorFields<'a> {
    /// Creates an error that ends the statement, without a detail.
    pub fn error(code: &'a str, message: &'a str) -> ErrorFields<'a> {
        ErrorFields { severity: Severity::Error, code, message, detail: None }
    }

    /// Creates an error that ends the connection, without a detail.
    pub fn fatal(code: &'a str, message: &'a str) -> ErrorFields<'a> {
        ErrorFields { severity: Severity::Fatal, code, message, detail: None }
    }
}

/// Appends a message of type `kind` with the body that `body` appends.
fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    put_sized(out, body);
}

/// Appends the length of a body, then the body.
fn put_sized(out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; LENGTH_BYTES]);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

fn put_pair(out: &mut Vec<u8>, name: &str, value: &str) {
    put_text(out, name);
    put_text(out, value);
}

/// Appends a text and its terminating zero byte. Zero bytes within the text are omitted.
fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

/// Appends a `StartupMessage` to a host.
pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    put_sized(out, |out| {
        out.extend(VERSION_3.to_be_bytes());
        put_pair(out, "user", user);
        put_pair(out, "database", database);
        out.push(0);
    });
}

/// Appends a Query to a host. Its text is the concatenation of `parts`.
pub fn put_query(out: &mut Vec<u8>, parts: &[&[u8]]) {
    put(out, frontend::QUERY, |out| {
        parts.iter().for_each(|part| out.extend(*part));
        out.push(0);
    });
}

/// Appends the messages that start a client's session: `AuthenticationOk`, the parameters, the key for cancel
/// requests and `ReadyForQuery`.
pub fn put_session_start(out: &mut Vec<u8>, minor_version: u16, connection: u32, key: u32) {
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

/// Appends `ReadyForQuery` outside of a transaction.
pub fn put_ready_for_query(out: &mut Vec<u8>) {
    put(out, backend::READY_FOR_QUERY, |out| out.push(IDLE));
}

/// Appends `EmptyQueryResponse`.
pub fn put_empty_query(out: &mut Vec<u8>) {
    put(out, backend::EMPTY_QUERY, |_| ());
}

/// Appends `CommandComplete` with a tag.
pub fn put_command_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, backend::COMMAND_COMPLETE, |out| put_text(out, tag));
}

/// Appends `ErrorResponse`.
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
