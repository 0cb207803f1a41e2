//! PostgreSQL messages, and the text of requests in the platform's form.

use super::{message, query};
use std::io::Read;
use std::net::TcpStream;

/// Encodes a `ParameterStatus`, by which hosts report their role and position.
pub(crate) fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Encodes a `ReadyForQuery` outside of a transaction.
pub(crate) fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// Encodes `AuthenticationOk` and `ReadyForQuery`, a host's answer to the startup message.
pub(crate) fn greeting() -> Vec<u8> {
    [message(b'R', &[0; 4]), ready()].concat()
}

/// Encodes a startup message.
pub(crate) fn startup() -> Vec<u8> {
    let body = [&(3u32 << 16).to_be_bytes()[..], b"user\0portal\0database\0crm\0\0"].concat();
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

/// Reads a message's type and body, or nothing if the connection ends.
pub(crate) fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header).ok()?;
    let [message_type, length @ ..] = header;
    let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((message_type, body))
}

/// Returns the text of a read with this id and timeout.
pub(crate) fn read_request(id: u32, timeout_ms: u32) -> String {
    format!("/* id={id},c=read,d={timeout_ms},cluster=0 */ SELECT data FROM facts WHERE code = 'k{id}'")
}

/// Returns the text of a write with this id and timeout.
pub(crate) fn write_request(id: u32, timeout_ms: u32) -> String {
    format!(
        "/* id={id},c=write,d={timeout_ms},cluster=0 */ INSERT INTO facts (code, data) VALUES ('k', '\\x9f') RETURNING data"
    )
}

/// Encodes enough pipelined writes, with ids from this one on, that the router stops reading before it can see the end of
/// the connection.
pub(crate) fn pipelined_writes(first_id: u32) -> Vec<u8> {
    (first_id..first_id + 400).flat_map(|id| query(&write_request(id, 5_000))).collect()
}
