//! The client side of a PostgreSQL connection: the login, and decoding of replies.

use super::{message_type, read_message, startup_message};
use crate::error::ConnectionError;
use crate::reply::Reply;
use std::io::Write;
use std::net::TcpStream;

/// Sends a `StartupMessage` and reads until the server is ready.
pub(crate) fn log_in(stream: &mut TcpStream) -> Result<(), ConnectionError> {
    stream.write_all(&startup_message())?;
    while read_message(stream)?.message_type != message_type::READY_FOR_QUERY {}
    Ok(())
}

/// Reads the next reply, up to `ReadyForQuery`.
pub(crate) fn receive(stream: &mut TcpStream) -> Reply {
    let mut reply = Reply::Closed;
    loop {
        let Ok(message) = read_message(stream) else { return Reply::Closed };
        match message.message_type {
            message_type::READY_FOR_QUERY => return reply,
            message_type::DATA_ROW => reply = Reply::Answered(first_column(&message.body)),
            message_type::COMMAND_COMPLETE | message_type::EMPTY_QUERY_RESPONSE if reply == Reply::Closed => {
                reply = Reply::Answered(String::new());
            }
            message_type::ERROR_RESPONSE => reply = classify_error(&message.body),
            _ => {}
        }
    }
}

/// Returns the value of a `DataRow` with one column. The value follows the column count and its own length,
/// which take six bytes.
fn first_column(body: &[u8]) -> String {
    String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned()
}

/// Maps an `ErrorResponse` to a reply by its SQLSTATE.
fn classify_error(body: &[u8]) -> Reply {
    let field = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'C'));
    let code = field.map_or(&b""[..], |field| &field[1..]);
    let code = String::from_utf8_lossy(code).into_owned();
    match code.as_str() {
        "53300" => Reply::Throttled,
        "42601" | "42809" | "0A000" | "22023" | "42710" => Reply::Rejected(code),
        _ => Reply::Failed(code),
    }
}
