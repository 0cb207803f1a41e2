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
    remaining: usize,
    /// The received part of the next packet's header.
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
            remaining: 0,
            header: Vec::with_capacity(HEADER_BYTES),
            is_last_packet: false,
            is_complete: false,
        }
    }

    /// Consumes input up to the end of the message, and returns how many bytes were consumed.
    ///
    /// # Errors
    ///
    /// If a header is invalid, the message exceeds the limit, its packets differ in type, or a packet other than the last
    /// one is empty.
    pub fn accept(&mut self, bytes: &[u8]) -> Result<usize, MalformedMessage> {
        let mut position = 0;
        while !self.is_complete && position < bytes.len() {
            if self.remaining == 0 {
                let missing = (HEADER_BYTES - self.header.len()).min(bytes.len() - position);
                self.header.extend_from_slice(&bytes[position..position + missing]);
                position += missing;
                match Header::read(&self.header) {
                    Ok(header) => self.begin_packet(header)?,
                    Err(ReadError::NeedMoreInput) => break,
                    Err(ReadError::Malformed(reason)) => return Err(MalformedMessage(reason)),
                }
            }
            let available = self.remaining.min(bytes.len() - position);
            self.payload.extend_from_slice(&bytes[position..position + available]);
            self.remaining -= available;
            position += available;
            self.is_complete = self.remaining == 0 && self.is_last_packet && self.header.is_empty();
        }
        Ok(position)
    }

    fn begin_packet(&mut self, header: Header) -> Result<(), MalformedMessage> {
        match self.kind {
            None => {
                self.kind = Some(header.kind);
                self.status = header.status;
            }
            // A client that abandons a message sends an attention only after the message's last packet.
            Some(kind) if kind != header.kind => {
                return Err(MalformedMessage("a packet of another message's type"));
            }
            Some(_) => self.status |= header.status & status::IGNORE,
        }
        self.remaining = header.length - HEADER_BYTES;
        if self.payload.len() + self.remaining > self.max_payload_bytes {
            return Err(MalformedMessage("a message is larger than it may be"));
        }
        // With empty packets a peer could keep a message open forever.
        if self.remaining == 0 && header.status & status::END == 0 {
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
