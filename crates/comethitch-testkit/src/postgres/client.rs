//! The client's end of a PostgreSQL connection: the login, and how an answer is read.

use super::{message_type, read_message};
use crate::error::ConnectionError;
use crate::received::Received;
use std::io::Write;
use std::net::TcpStream;

/// Protocol version 3.0, as a `StartupMessage` has it.
const PROTOCOL_VERSION: u32 = 3 << 16;

/// Sends a `StartupMessage` and reads until the server is ready.
pub(crate) fn log_in(stream: &mut TcpStream) -> Result<(), ConnectionError> {
    let parameters = b"user\0portal\0database\0crm\0\0";
    let body = [&PROTOCOL_VERSION.to_be_bytes()[..], parameters].concat();
    let length = (body.len() as u32 + 4).to_be_bytes();
    stream.write_all(&[&length[..], &body].concat())?;
    while read_message(stream)?.message_type != message_type::READY_FOR_QUERY {}
    Ok(())
}

/// Reads the next answer, up to `ReadyForQuery`.
pub(crate) fn receive(stream: &mut TcpStream) -> Received {
    let mut received = Received::Closed;
    loop {
        let Ok(message) = read_message(stream) else { return Received::Closed };
        match message.message_type {
            message_type::READY_FOR_QUERY => return received,
            message_type::DATA_ROW => received = Received::Answered(first_column(&message.body)),
            message_type::COMMAND_COMPLETE | message_type::EMPTY_QUERY_RESPONSE
                if received == Received::Closed =>
            {
                received = Received::Answered(String::new());
            }
            message_type::ERROR_RESPONSE => received = classify_error(&message.body),
            _ => {}
        }
    }
}

/// The first column of a `DataRow` of one column, behind the column count and the value's length.
fn first_column(body: &[u8]) -> String {
    String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned()
}

/// What an `ErrorResponse` means, by its SQLSTATE.
fn classify_error(body: &[u8]) -> Received {
    let field = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'C'));
    let code = field.map_or(&b""[..], |field| &field[1..]);
    let code = String::from_utf8_lossy(code).into_owned();
    match code.as_str() {
        "53300" => Received::Throttled,
        "42601" | "42809" | "0A000" | "22023" | "42710" => Received::Rejected(code),
        _ => Received::Failed(code),
    }
}
