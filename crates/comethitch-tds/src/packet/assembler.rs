//! Joins the packets of a message as they arrive, within a limit on the size of the message.

use super::{HEADER_BYTES, Header, MessageKind, status};
use crate::error::{MalformedMessage, ReadError};

/// Assembles a message from its packets. The input may be split at any byte.
#[derive(Debug)]
pub struct MessageAssembler {
    max_payload_bytes: usize,
    payload: Vec<u8>,
    kind: Option<MessageKind>,
    status: u8,
    /// Number of payload bytes of the current packet that have not arrived yet.
    packet_remaining: usize,
    /// The part of the next packet's header that has arrived.
    header: Vec<u8>,
    is_last_packet: bool,
    is_complete: bool,
}

impl MessageAssembler {
    /// Creates an assembler for messages with a payload of at most `max_payload_bytes`.
    pub fn new(max_payload_bytes: usize) -> MessageAssembler {
        MessageAssembler {
            max_payload_bytes,
            payload: Vec::new(),
            kind: None,
            status: 0,
            packet_remaining: 0,
            header: Vec::with_capacity(HEADER_BYTES),
            is_last_packet: false,
            is_complete: false,
        }
    }

    /// Consumes input up to the end of the message, and returns how many bytes were consumed.
    ///
    /// # Errors
    ///
    /// If a header is invalid, the message exceeds the limit, its packets differ in type, or a packet other
    /// than the last one is empty.
    pub fn accept(&mut self, bytes: &[u8]) -> Result<usize, MalformedMessage> {
        let mut position = 0;
        while !self.is_complete && position < bytes.len() {
            if self.packet_remaining == 0 {
                let header_part = (HEADER_BYTES - self.header.len()).min(bytes.len() - position);
                self.header.extend_from_slice(&bytes[position..position + header_part]);
                position += header_part;
                match Header::read(&self.header) {
                    Ok(header) => self.begin_packet(header)?,
                    Err(ReadError::NeedMoreInput) => break,
                    Err(ReadError::Malformed(reason)) => return Err(MalformedMessage(reason)),
                }
            }
            let payload_part = self.packet_remaining.min(bytes.len() - position);
            self.payload.extend_from_slice(&bytes[position..position + payload_part]);
            self.packet_remaining -= payload_part;
            position += payload_part;
            self.is_complete = self.packet_remaining == 0 && self.is_last_packet && self.header.is_empty();
        }
        Ok(position)
    }

    fn begin_packet(&mut self, header: Header) -> Result<(), MalformedMessage> {
        match self.kind {
            None => {
                self.kind = Some(header.kind);
                self.status = header.status;
            }
            // Not even an attention may interrupt a message: a client that abandons one sends its attention
            // after the message's last packet.
            Some(kind) if kind != header.kind => {
                return Err(MalformedMessage("a packet of another message's type"));
            }
            Some(_) => self.status |= header.status & status::IGNORE,
        }
        self.packet_remaining = header.length - HEADER_BYTES;
        if self.payload.len() + self.packet_remaining > self.max_payload_bytes {
            return Err(MalformedMessage("a message is larger than it may be"));
        }
        // Empty packets never reach the size limit, so a peer could keep a message open forever with them.
        if self.packet_remaining == 0 && header.status & status::END == 0 {
            return Err(MalformedMessage("an empty packet within a message"));
        }
        self.is_last_packet = header.status & status::END != 0;
        self.header.clear();
        Ok(())
    }

    /// Returns whether the message is complete.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether no byte of a message has arrived yet.
    pub fn is_empty(&self) -> bool {
        self.kind.is_none() && self.header.is_empty()
    }

    /// Returns how many bytes the message's current packet lacks; while the packet's header is incomplete, how
    /// many bytes the header lacks. The message may have further packets.
    pub fn missing_packet_bytes(&self) -> usize {
        if self.is_complete {
            return 0;
        }
        if self.packet_remaining > 0 { self.packet_remaining } else { HEADER_BYTES - self.header.len() }
    }

    /// Returns the type of the message, once its first header has arrived.
    pub fn kind(&self) -> Option<MessageKind> {
        self.kind
    }

    /// Returns the status bits of the first packet, with [`status::IGNORE`] set if any packet had it.
    pub fn status(&self) -> u8 {
        self.status
    }

    /// Returns the payload received so far.
    pub fn payload(&self) -> &[u8] {
        &self.payload
    }

    /// Returns the payload, and resets the assembler for the next message.
    pub fn finish(&mut self) -> Vec<u8> {
        let payload = std::mem::take(&mut self.payload);
        *self = MessageAssembler::new(self.max_payload_bytes);
        payload
    }
}
