//! TDS 7.4 as far as hosts and clients of a test need it, on top of the `comethitch-tds` codec: reading and writing
//! messages on a socket. The modules `server` and `client` are the two ends of a connection.

pub(crate) mod client;
mod samples;
pub(crate) mod server;

use crate::error::ConnectionError;
use comethitch_tds::packet::{INITIAL_PACKET_BYTES, MessageAssembler, MessageKind, put_message};
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The largest message that either end reads.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The packet size that clients ask for and send their requests in.
const CLIENT_PACKET_SIZE: usize = 4096;

/// An attention message, which cancels the request in progress.
pub fn attention() -> Vec<u8> {
    encode(MessageKind::Attention, INITIAL_PACKET_BYTES, b"")
}

/// An RPC request with this payload.
pub fn call(payload: &[u8]) -> Vec<u8> {
    encode(MessageKind::Rpc, CLIENT_PACKET_SIZE, payload)
}

/// A message as it was read.
struct Message {
    kind: MessageKind,
    status: u8,
    payload: Vec<u8>,
}

fn read_message(stream: &mut TcpStream) -> Result<Message, ConnectionError> {
    let mut assembler = MessageAssembler::new(MAX_MESSAGE_BYTES);
    while !assembler.is_complete() {
        // Byte by byte, so that nothing of the next message is taken.
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
