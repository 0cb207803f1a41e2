//! The client's end of a TDS connection: the login, batches, and how an answer is read.

use super::{CLIENT_PACKET_SIZE, encode, read_message, write_message};
use crate::error::ConnectionError;
use crate::received::Received;
use comethitch_tds::login::{Login, Prelogin, VERSION};
use comethitch_tds::packet::{INITIAL_PACKET_BYTES, MessageKind};
use comethitch_tds::request::Batch;
use comethitch_tds::token::{Message, ParsedToken, Token, TokenReader, done};
use comethitch_tds::types::Value;
use std::net::TcpStream;

/// The error numbers with which a router sheds a request, and rejects what became none.
const THROTTLED: i32 = 49_918;
const REJECTED: i32 = 50_001;

/// Sends PRELOGIN and LOGIN7, and checks that the server acknowledges the login.
pub(crate) fn log_in(stream: &mut TcpStream) -> Result<(), ConnectionError> {
    let mut payload = Vec::new();
    Prelogin::default().put(&mut payload);
    write_message(stream, MessageKind::Prelogin, INITIAL_PACKET_BYTES, &payload)?;
    read_message(stream)?;
    payload.clear();
    login().put(&mut payload);
    write_message(stream, MessageKind::Login, INITIAL_PACKET_BYTES, &payload)?;
    let response = read_message(stream)?.payload;
    if acknowledges_login(&response)? { Ok(()) } else { Err(ConnectionError::LoginNotAcknowledged) }
}

fn login() -> Login {
    Login {
        version: VERSION,
        packet_size: CLIENT_PACKET_SIZE as u32,
        user: "portal".into(),
        database: "crm".into(),
        ..Login::default()
    }
}

/// Whether a login response holds a LOGINACK token.
fn acknowledges_login(response: &[u8]) -> Result<bool, ConnectionError> {
    let mut tokens = TokenReader::new();
    let mut position = 0;
    let mut acknowledged = false;
    while !tokens.is_complete() {
        let ParsedToken { token, length } = tokens.next(&response[position..])?;
        acknowledged |= matches!(token, Token::LoginAck { .. });
        position += length;
    }
    Ok(acknowledged)
}

/// A batch of statements as a message.
pub(crate) fn batch(text: &str) -> Vec<u8> {
    let mut payload = Vec::new();
    Batch::put(&mut payload, text);
    encode(MessageKind::Batch, CLIENT_PACKET_SIZE, &payload)
}

/// Reads the next answer, up to its final DONE token.
pub(crate) fn receive(stream: &mut TcpStream) -> Received {
    let Ok(message) = read_message(stream) else { return Received::Closed };
    if message.kind != MessageKind::Response {
        return Received::Closed;
    }
    let answer = message.payload;
    let mut tokens = TokenReader::new();
    let mut position = 0;
    let mut received = Received::Closed;
    while position < answer.len() {
        let Ok(ParsedToken { token, length }) = tokens.next(&answer[position..]) else {
            return Received::Malformed;
        };
        match token {
            Token::Row => {
                if let Some(value) = first_column(&tokens, &answer[position..position + length]) {
                    received = Received::Answered(value);
                }
            }
            Token::Error(message) => received = classify_error(message),
            Token::Done { status, .. } if status & done::ATTENTION != 0 => received = Received::Cancelled,
            Token::Done { .. } if received == Received::Closed => {
                received = Received::Answered(String::new());
            }
            _ => {}
        }
        position += length;
    }
    if tokens.is_complete() { received } else { Received::Malformed }
}

/// The first column of a row token, if it is a text.
fn first_column(tokens: &TokenReader, row: &[u8]) -> Option<String> {
    let values = tokens.values(row)?;
    match values.first()?.decode() {
        Value::Text(value) => Some(value),
        _ => None,
    }
}

/// What an ERROR token means, by its number.
fn classify_error(message: Message) -> Received {
    match message.number {
        THROTTLED => Received::Throttled,
        REJECTED => Received::Rejected(message.text),
        number => Received::Failed(number.to_string()),
    }
}
