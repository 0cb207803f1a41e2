//! The client side of a TDS connection: the login, batches, and decoding of replies.

use super::{CLIENT_PACKET_BYTES, encode, read_message, write_message};
use crate::error::ConnectionError;
use crate::reply::Reply;
use comethitch_tds::login::{Login, Prelogin, TDS_VERSION};
use comethitch_tds::packet::{INITIAL_PACKET_BYTES, MessageKind};
use comethitch_tds::request::Batch;
use comethitch_tds::token::{ParsedToken, ServerMessage, Token, TokenReader, done};
use comethitch_tds::types::Value;
use std::net::TcpStream;

/// Error number of a request that the router sheds.
const THROTTLED: i32 = 49_918;
/// Error number of a statement that the router rejects.
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
        version: TDS_VERSION,
        packet_size: CLIENT_PACKET_BYTES as u32,
        user: "portal".into(),
        database: "crm".into(),
        ..Login::default()
    }
}

/// Returns whether a login response holds a LOGINACK token.
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

/// Encodes a batch of statements.
pub(crate) fn batch(text: &str) -> Vec<u8> {
    let mut payload = Vec::new();
    Batch::put(&mut payload, text);
    encode(MessageKind::Batch, CLIENT_PACKET_BYTES, &payload)
}

/// Reads the next reply, up to its final DONE token.
pub(crate) fn receive(stream: &mut TcpStream) -> Reply {
    let Ok(message) = read_message(stream) else { return Reply::Closed };
    if message.kind != MessageKind::Response {
        return Reply::Closed;
    }
    let answer = message.payload;
    let mut tokens = TokenReader::new();
    let mut position = 0;
    let mut reply = Reply::Closed;
    while position < answer.len() {
        let Ok(ParsedToken { token, length }) = tokens.next(&answer[position..]) else {
            return Reply::Malformed;
        };
        match token {
            Token::Row => {
                if let Some(value) = first_column(&tokens, &answer[position..position + length]) {
                    reply = Reply::Answered(value);
                }
            }
            Token::Error(message) => reply = classify_error(message),
            Token::Done { status, .. } if status & done::ATTENTION != 0 => reply = Reply::Cancelled,
            Token::Done { .. } if reply == Reply::Closed => {
                reply = Reply::Answered(String::new());
            }
            _ => {}
        }
        position += length;
    }
    if tokens.is_complete() { reply } else { Reply::Malformed }
}

/// Returns the first column of a row token if it is a text.
fn first_column(tokens: &TokenReader, row: &[u8]) -> Option<String> {
    let values = tokens.values(row)?;
    match values.first()?.decode() {
        Value::Text(value) => Some(value),
        _ => None,
    }
}

/// Maps an ERROR token to a reply by its number.
fn classify_error(message: ServerMessage) -> Reply {
    match message.number {
        THROTTLED => Reply::Throttled,
        REJECTED => Reply::Rejected(message.text),
        number => Reply::Failed(number.to_string()),
    }
}
