//! The subset of TDS 7.4 that scripted hosts and clients use, on top of the `comethitch-tds` codec.
//!
//! The modules `server` and `client` are the two sides of a connection.

pub(crate) mod client;
mod samples;
pub(crate) mod server;

use crate::error::ConnectionError;
use comethitch_tds::packet::{INITIAL_PACKET_BYTES, MessageAssembler, MessageKind, put_message};
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Maximum payload length of a message that either side reads.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Packet size that clients request at login and send requests with.
const CLIENT_PACKET_BYTES: usize = 4096;

/// Encodes an attention message, which cancels the request in progress.
pub fn attention() -> Vec<u8> {
    encode(MessageKind::Attention, INITIAL_PACKET_BYTES, b"")
}

/// Encodes a batch of statements.
pub fn batch(text: &str) -> Vec<u8> {
    client::batch(text)
}

/// Encodes an RPC request with this payload.
pub fn rpc_request(payload: &[u8]) -> Vec<u8> {
    encode(MessageKind::Rpc, CLIENT_PACKET_BYTES, payload)
}

/// A decoded message.
struct Message {
    kind: MessageKind,
    status: u8,
    payload: Vec<u8>,
}

fn read_message(stream: &mut TcpStream) -> Result<Message, ConnectionError> {
    let mut assembler = MessageAssembler::new(MAX_MESSAGE_BYTES);
    while !assembler.is_complete() {
        // Reads byte by byte, so that the next message stays in the socket buffer.
        let mut byte = [0; 1];
        stream.read_exact(&mut byte)?;
        assembler.accept(&byte)?;
    }
    let kind = assembler.kind().unwrap_or(MessageKind::Batch);
    let status = assembler.status();
    Ok(Message { kind, status, payload: assembler.finish() })
}

fn write_message(
    stream: &mut TcpStream, kind: MessageKind, packet_size: usize, payload: &[u8],
) -> io::Result<()> {
    stream.write_all(&encode(kind, packet_size, payload))
}

fn encode(kind: MessageKind, packet_size: usize, payload: &[u8]) -> Vec<u8> {
    let mut wire = Vec::new();
    put_message(&mut wire, kind, packet_size, payload);
    wire
}
