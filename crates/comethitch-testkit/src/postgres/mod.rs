//! The subset of the PostgreSQL frontend/backend protocol, version 3, that scripted hosts and clients use.
//!
//! The modules `server` and `client` are the two sides of a connection.

pub(crate) mod client;
pub mod message_type;
pub(crate) mod server;

use std::io::{self, Read};
use std::net::TcpStream;

/// Version 3.0 of the protocol, as encoded in a `StartupMessage`.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// Parameters of a `StartupMessage`.
const STARTUP_PARAMETERS: &[u8] = b"user\0portal\0database\0crm\0\0";

/// Transaction status in a `ReadyForQuery` message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStatus {
    /// Outside of a transaction.
    Idle,
    /// Within a transaction.
    InTransaction,
}

/// Encodes a message: its type byte, its length and its body.
pub fn message(message_type: u8, body: &[u8]) -> Vec<u8> {
    [&[message_type], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// Encodes the `StartupMessage` of a client.
pub fn startup_message() -> Vec<u8> {
    let body = [&PROTOCOL_VERSION.to_be_bytes()[..], STARTUP_PARAMETERS].concat();
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&length[..], &body].concat()
}

/// Encodes a `ParameterStatus` message.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(message_type::PARAMETER_STATUS, format!("{name}\0{value}\0").as_bytes())
}

/// Encodes an answer of one row with one column, up to `CommandComplete`. `ReadyForQuery` must follow.
pub fn one_row_answer(value: &[u8]) -> Vec<u8> {
    [row_description(), data_row(value), command_complete()].concat()
}

/// Encodes an `ErrorResponse` with an SQLSTATE. `ReadyForQuery` must follow.
pub fn error(code: &str) -> Vec<u8> {
    message(message_type::ERROR_RESPONSE, format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Encodes a simple query.
pub fn query(text: &str) -> Vec<u8> {
    message(message_type::QUERY, format!("{text}\0").as_bytes())
}

/// Encodes the answer to an empty query, or to one that sets nothing but the name of the application. Returns
/// `None` for other queries. `ReadyForQuery` must follow.
pub fn answer_without_effect(text: &str) -> Option<Vec<u8>> {
    if text.is_empty() {
        return Some(message(message_type::EMPTY_QUERY_RESPONSE, b""));
    }
    let sets_name = text.starts_with("SET application_name ");
    sets_name.then(|| message(message_type::COMMAND_COMPLETE, b"SET\0"))
}

fn row_description() -> Vec<u8> {
    let one_column = [0, 1];
    let column_attributes = [0; 18];
    message(message_type::ROW_DESCRIPTION, &[&one_column[..], b"data\0", &column_attributes].concat())
}

fn data_row(value: &[u8]) -> Vec<u8> {
    let one_column = [0, 1];
    let length = (value.len() as u32).to_be_bytes();
    message(message_type::DATA_ROW, &[&one_column[..], &length, value].concat())
}

fn command_complete() -> Vec<u8> {
    message(message_type::COMMAND_COMPLETE, b"SELECT 1\0")
}

/// Encodes a `ReadyForQuery` message.
pub fn ready_for_query(status: TransactionStatus) -> Vec<u8> {
    let code = match status {
        TransactionStatus::Idle => b"I",
        TransactionStatus::InTransaction => b"T",
    };
    message(message_type::READY_FOR_QUERY, code)
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Type byte, one of the constants in [`message_type`].
    pub message_type: u8,
    /// Content after the length.
    pub body: Vec<u8>,
}

/// Reads the next message.
///
/// # Errors
///
/// Returns an error if the connection fails or ends.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Message> {
    let mut header = [0; 5];
    stream.read_exact(&mut header)?;
    let [message_type, length @ ..] = header;
    let length = u32::from_be_bytes(length) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok(Message { message_type, body })
}
