//! Packets, and messages made of them.

use crate::read::{MalformedMessage, ReadError, Reader};

pub const HEADER: usize = 8;
/// The size of packets until a login settles another.
pub const FIRST_SIZE: usize = 4096;
pub const LEAST_SIZE: usize = 512;
pub const LARGEST_SIZE: usize = 32_767;

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Batch,
    Rpc,
    Answer,
    Attention,
    BulkLoad,
    Federated,
    Transaction,
    Login,
    Sspi,
    Prelogin,
}

impl Kind {
    const ALL: [(u8, Kind); 10] = [
        (0x01, Kind::Batch),
        (0x03, Kind::Rpc),
        (0x04, Kind::Answer),
        (0x06, Kind::Attention),
        (0x07, Kind::BulkLoad),
        (0x08, Kind::Federated),
        (0x0e, Kind::Transaction),
        (0x10, Kind::Login),
        (0x11, Kind::Sspi),
        (0x12, Kind::Prelogin),
    ];

    pub fn of(code: u8) -> Option<Kind> {
        Kind::ALL.into_iter().find(|(known, _)| *known == code).map(|(_, kind)| kind)
    }

    pub fn code(self) -> u8 {
        Kind::ALL.into_iter().find(|(_, kind)| *kind == self).map_or(0, |(code, _)| code)
    }
}

/// The bits of a packet's status.
pub mod status {
    /// The last packet of its message.
    pub const END: u8 = 0x01;
    /// The sender has given its message up: whoever receives it forgets what came of it.
    pub const IGNORE: u8 = 0x02;
    /// The session is made as new before this message.
    pub const RESET: u8 = 0x08;
    /// The same, but for an open transaction.
    pub const RESET_KEEPING_TRANSACTION: u8 = 0x10;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub kind: Kind,
    pub status: u8,
    /// Of the whole packet, this header included.
    pub length: usize,
    pub spid: u16,
    pub number: u8,
}

impl Header {
    /// The header at the beginning of these bytes. What can't be one is told by its first bytes.
    pub fn read(bytes: &[u8]) -> Result<Header, ReadError> {
        let mut reader = Reader::new(bytes);
        let kind = Kind::of(reader.u8()?).ok_or(MalformedMessage("a packet of unknown type"))?;
        let status = reader.u8()?;
        let length = usize::from(reader.u16_be()?);
        if !(HEADER..=LARGEST_SIZE + 1).contains(&length) {
            return Err(ReadError::Malformed("a packet has an impossible length"));
        }
        let (spid, number, _window) = (reader.u16_be()?, reader.u8()?, reader.u8()?);
        Ok(Header { kind, status, length, spid, number })
    }

    pub fn put(&self, out: &mut Vec<u8>) {
        out.extend([self.kind.code(), self.status]);
        out.extend((self.length as u16).to_be_bytes());
        out.extend(self.spid.to_be_bytes());
        out.extend([self.number, 0]);
    }
}

/// A message as its packets come in, up to a bound. It takes bytes cut anywhere.
#[derive(Debug)]
pub struct Assembly {
    most: usize,
    payload: Vec<u8>,
    kind: Option<Kind>,
    status: u8,
    /// How much of the present packet has still to come.
    left: usize,
    /// The present packet's header, as far as it has come.
    header: Vec<u8>,
    last: bool,
    over: bool,
    packets: usize,
}

impl Assembly {
    /// For messages of so many bytes at most.
    pub fn new(most: usize) -> Assembly {
        Assembly {
            most,
            payload: Vec::new(),
            kind: None,
            status: 0,
            left: 0,
            header: Vec::with_capacity(HEADER),
            last: false,
            over: false,
            packets: 0,
        }
    }

    /// Takes bytes up to the end of the message, and tells how many that were.
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize, MalformedMessage> {
        let mut at = 0;
        while !self.over && at < bytes.len() {
            if self.left == 0 {
                let wanted = (HEADER - self.header.len()).min(bytes.len() - at);
                self.header.extend_from_slice(&bytes[at..at + wanted]);
                at += wanted;
                match Header::read(&self.header) {
                    Ok(header) => self.begin(header)?,
                    Err(ReadError::NeedMoreInput) => break,
                    Err(ReadError::Malformed(why)) => return Err(MalformedMessage(why)),
                }
            }
            let now = self.left.min(bytes.len() - at);
            self.payload.extend_from_slice(&bytes[at..at + now]);
            (self.left, at) = (self.left - now, at + now);
            self.over = self.left == 0 && self.last && self.header.is_empty();
        }
        Ok(at)
    }

    fn begin(&mut self, header: Header) -> Result<(), MalformedMessage> {
        match self.kind {
            None => (self.kind, self.status) = (Some(header.kind), header.status),
            // An attention may come between the packets of a message that is being given up; no other may.
            Some(kind) if kind != header.kind => {
                return Err(MalformedMessage("a packet of another message's type"));
            }
            Some(_) => self.status |= header.status & status::IGNORE,
        }
        self.packets += 1;
        self.left = header.length - HEADER;
        if self.payload.len() + self.left > self.most {
            return Err(MalformedMessage("a message is larger than it may be"));
        }
        // A packet that carries nothing and ends nothing would let a peer keep a message open for ever.
        if self.left == 0 && header.status & status::END == 0 {
            return Err(MalformedMessage("an empty packet within a message"));
        }
        self.last = header.status & status::END != 0;
        self.header.clear();
        Ok(())
    }

    /// The message has come whole.
    pub fn over(&self) -> bool {
        self.over
    }

    /// Nothing of a message has come yet.
    pub fn is_empty(&self) -> bool {
        self.kind.is_none() && self.header.is_empty()
    }

    pub fn kind(&self) -> Option<Kind> {
        self.kind
    }

    /// The first packet's status, and whether any tells that the message was given up.
    pub fn status(&self) -> u8 {
        self.status
    }

    pub fn payload(&self) -> &[u8] {
        &self.payload
    }

    /// Takes the payload out, and is ready for the next message.
    pub fn finish(&mut self) -> Vec<u8> {
        let payload = std::mem::take(&mut self.payload);
        *self = Assembly::new(self.most);
        payload
    }
}

/// Writes a payload as packets of a size; an empty one as one packet.
pub fn put_message(out: &mut Vec<u8>, kind: Kind, size: usize, payload: &[u8]) {
    put_parts(out, kind, size, payload, 0, true);
}

/// Writes a payload as packets of a size, with bits of status in the first one, and ends the message or not. The
/// packets are numbered from 1.
pub fn put_parts(out: &mut Vec<u8>, kind: Kind, size: usize, payload: &[u8], first: u8, ends: bool) {
    let room = size.clamp(LEAST_SIZE, LARGEST_SIZE) - HEADER;
    let mut parts = payload.chunks(room).peekable();
    let mut number: u8 = 1;
    loop {
        let part = parts.next().unwrap_or_default();
        let last = parts.peek().is_none();
        let mut status = if last && ends { status::END } else { 0 };
        if number == 1 {
            status |= first;
        }
        Header { kind, status, length: part.len() + HEADER, spid: 0, number }.put(out);
        out.extend_from_slice(part);
        number = number.wrapping_add(1).max(1);
        if last {
            break;
        }
    }
}
