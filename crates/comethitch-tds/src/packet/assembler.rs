//! Joins the packets of a message as their bytes arrive, within a limit on the message's size.

use super::{HEADER_BYTES, Header, MessageKind, status};
use crate::error::{MalformedMessage, ReadError};

/// A message as it arrives. Bytes may be split anywhere.
#[derive(Debug)]
pub struct MessageAssembler {
    max_payload: usize,
    payload: Vec<u8>,
    kind: Option<MessageKind>,
    status: u8,
    /// How many bytes of the current packet have yet to arrive.
    remaining: usize,
    /// The header of the next packet, as far as it has arrived.
    header: Vec<u8>,
    /// The current packet ends the message.
    last: bool,
    over: bool,
}

impl MessageAssembler {
    /// An empty assembly for messages with at most so many bytes of payload.
    pub fn new(max_payload: usize) -> MessageAssembler {
        MessageAssembler {
            max_payload,
            payload: Vec::new(),
            kind: None,
            status: 0,
            remaining: 0,
            header: Vec::with_capacity(HEADER_BYTES),
            last: false,
            over: false,
        }
    }

    /// Takes bytes up to the end of the message, and returns how many those were.
    ///
    /// # Errors
    ///
    /// If a header is invalid, the message is larger than the limit, its packets differ in type, or one is empty and
    /// not the last.
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize, MalformedMessage> {
        let mut position = 0;
        while !self.over && position < bytes.len() {
            if self.remaining == 0 {
                let wanted = (HEADER_BYTES - self.header.len()).min(bytes.len() - position);
                self.header.extend_from_slice(&bytes[position..position + wanted]);
                position += wanted;
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
            self.over = self.remaining == 0 && self.last && self.header.is_empty();
        }
        Ok(position)
    }

    fn begin_packet(&mut self, header: Header) -> Result<(), MalformedMessage> {
        match self.kind {
            None => {
                self.kind = Some(header.kind);
                self.status = header.status;
            }
            // An attention may arrive between the packets of a message that is being abandoned; no other may.
            Some(kind) if kind != header.kind => {
                return Err(MalformedMessage("a packet of another message's type"));
            }
            Some(_) => self.status |= header.status & status::IGNORE,
        }
        self.remaining = header.length - HEADER_BYTES;
        if self.payload.len() + self.remaining > self.max_payload {
            return Err(MalformedMessage("a message is larger than it may be"));
        }
        // A packet that carries nothing and ends nothing would let a peer keep a message open forever.
        if self.remaining == 0 && header.status & status::END == 0 {
            return Err(MalformedMessage("an empty packet within a message"));
        }
        self.last = header.status & status::END != 0;
        self.header.clear();
        Ok(())
    }

    /// Whether the message is complete.
    pub fn is_complete(&self) -> bool {
        self.over
    }

    /// Whether nothing of a message has arrived yet.
    pub fn is_empty(&self) -> bool {
        self.kind.is_none() && self.header.is_empty()
    }

    /// The message's type, once its first header has arrived.
    pub fn kind(&self) -> Option<MessageKind> {
        self.kind
    }

    /// The first packet's status, with [`status::IGNORE`] set if any packet had it.
    pub fn status(&self) -> u8 {
        self.status
    }

    /// The payload that has arrived.
    pub fn payload(&self) -> &[u8] {
        &self.payload
    }

    /// Takes the payload out and resets the assembly for the next message.
    pub fn finish(&mut self) -> Vec<u8> {
        let payload = std::mem::take(&mut self.payload);
        *self = MessageAssembler::new(self.max_payload);
        payload
    }
}
