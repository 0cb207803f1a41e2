//! Splits a payload into packets.

use super::{HEADER_BYTES, Header, MAX_PACKET_BYTES, MIN_PACKET_BYTES, MessageKind, status};

/// Writes a message as packets of at most `size` bytes; an empty payload takes one packet.
pub fn put_message(out: &mut Vec<u8>, kind: MessageKind, size: usize, payload: &[u8]) {
    put_parts(out, kind, size, payload, 0, true);
}

/// Writes a message or a part of one as packets of at most `size` bytes, numbered from 1. `first` holds status bits
/// for the first packet; the last one has [`status::END`] if `ends`.
pub fn put_parts(out: &mut Vec<u8>, kind: MessageKind, size: usize, payload: &[u8], first: u8, ends: bool) {
    let max_payload = size.clamp(MIN_PACKET_BYTES, MAX_PACKET_BYTES) - HEADER_BYTES;
    let mut parts = payload.chunks(max_payload).peekable();
    let mut number: u8 = 1;
    loop {
        let part = parts.next().unwrap_or_default();
        let last = parts.peek().is_none();
        let mut status = if last && ends { status::END } else { 0 };
        if number == 1 {
            status |= first;
        }
        Header { kind, status, length: part.len() + HEADER_BYTES, spid: 0, number }.put(out);
        out.extend_from_slice(part);
        number = number.wrapping_add(1).max(1);
        if last {
            break;
        }
    }
}
