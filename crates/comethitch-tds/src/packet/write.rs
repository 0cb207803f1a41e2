//! Splits a payload into packets.

use super::{HEADER_BYTES, Header, MAX_PACKET_BYTES, MIN_PACKET_BYTES, MessageKind, status};

/// Writes a complete message as packets of at most `packet_bytes`. An empty payload takes one packet.
pub fn put_message(out: &mut Vec<u8>, kind: MessageKind, packet_bytes: usize, payload: &[u8]) {
    put_packets(out, kind, packet_bytes, payload, 0, true);
}

/// Writes a message, or a part of one, as packets of at most `packet_bytes`, numbered from 1. The first
/// packet gets `first_status`; the last one gets [`status::END`] if `ends_message`.
pub fn put_packets(
    out: &mut Vec<u8>, kind: MessageKind, packet_bytes: usize, payload: &[u8], first_status: u8,
    ends_message: bool,
) {
    let max_payload = packet_bytes.clamp(MIN_PACKET_BYTES, MAX_PACKET_BYTES) - HEADER_BYTES;
    let mut parts = payload.chunks(max_payload).peekable();
    let mut number: u8 = 1;
    loop {
        let part = parts.next().unwrap_or_default();
        let is_last_part = parts.peek().is_none();
        let mut status = if is_last_part && ends_message { status::END } else { 0 };
        if number == 1 {
            status |= first_status;
        }
        Header { kind, status, length: part.len() + HEADER_BYTES, spid: 0, number }.put(out);
        out.extend_from_slice(part);
        number = number.wrapping_add(1).max(1);
        if is_last_part {
            break;
        }
    }
}
