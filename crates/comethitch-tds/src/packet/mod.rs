//! Packets and their headers (\[MS-TDS\], "Packet Header"). A message consists of one or more packets of the
//! same type: [`MessageAssembler`] joins received packets, [`put_message`] splits a payload into packets.

mod assembler;
mod write;

pub use assembler::MessageAssembler;
pub use write::{put_message, put_packets};

use crate::error::{MalformedMessage, ReadError};
use crate::read::Reader;

/// Size of a packet header in bytes.
pub const HEADER_BYTES: usize = 8;
/// Packet size in bytes until the login has negotiated another one.
pub const INITIAL_PACKET_BYTES: usize = 4096;
/// Minimum packet size in bytes that can be negotiated.
pub const MIN_PACKET_BYTES: usize = 512;
/// Maximum packet size in bytes that can be negotiated.
pub const MAX_PACKET_BYTES: usize = 32_767;

/// The type of a message, stated in the header of each of its packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A batch of SQL statements.
    Batch,
    /// A remote procedure call.
    Rpc,
    /// A server's response: a stream of tokens, or the answer to a PRELOGIN.
    Response,
    /// A client's request to cancel the operation in progress.
    Attention,
    /// Rows of a bulk load.
    BulkLoad,
    /// A federated authentication token.
    Federated,
    /// A transaction manager request.
    Transaction,
    /// A LOGIN7 message.
    Login,
    /// An SSPI authentication message.
    Sspi,
    /// A PRELOGIN message.
    Prelogin,
}

impl MessageKind {
    const CODES: [(u8, MessageKind); 10] = [
        (0x01, MessageKind::Batch),
        (0x03, MessageKind::Rpc),
        (0x04, MessageKind::Response),
        (0x06, MessageKind::Attention),
        (0x07, MessageKind::BulkLoad),
        (0x08, MessageKind::Federated),
        (0x0e, MessageKind::Transaction),
        (0x10, MessageKind::Login),
        (0x11, MessageKind::Sspi),
        (0x12, MessageKind::Prelogin),
    ];

    /// Returns the type with this code, or `None` if the code is unknown.
    pub fn from_code(code: u8) -> Option<MessageKind> {
        MessageKind::CODES.into_iter().find(|(known, _)| *known == code).map(|(_, kind)| kind)
    }

    /// Returns the type's code in a packet header.
    pub fn code(self) -> u8 {
        MessageKind::CODES.into_iter().find(|(_, kind)| *kind == self).map_or(0, |(code, _)| code)
    }
}

/// The bits of a packet's status ("Packet Header", Status).
pub mod status {
    /// `END_OF_MESSAGE`: the last packet of its message.
    pub const END: u8 = 0x01;
    /// IGNORE: the sender has abandoned its message, and the receiver must discard it.
    pub const IGNORE: u8 = 0x02;
    /// RESETCONNECTION: the server resets the session before it reads this message.
    pub const RESET: u8 = 0x08;
    /// RESETCONNECTIONSKIPTRAN: the same, except that an open transaction stays open.
    pub const RESET_KEEPING_TRANSACTION: u8 = 0x10;
}

/// The header of a packet. Its fields are big-endian on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The type of the message.
    pub kind: MessageKind,
    /// Bits of [`status`].
    pub status: u8,
    /// Length of the packet in bytes, including this header.
    pub length: usize,
    /// Process id of the session at the server, or 0.
    pub spid: u16,
    /// The packet's number in its message, modulo 256.
    pub number: u8,
}

impl Header {
    /// Reads the header at the start of `bytes`.
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`] if the bytes cannot be the start of a header; [`ReadError::NeedMoreInput`] if
    /// the header is incomplete.
    pub fn read(bytes: &[u8]) -> Result<Header, ReadError> {
        let mut reader = Reader::new(bytes);
        let kind =
            MessageKind::from_code(reader.u8()?).ok_or(MalformedMessage("a packet of unknown type"))?;
        let status = reader.u8()?;
        let length = usize::from(reader.u16_be()?);
        if !(HEADER_BYTES..=MAX_PACKET_BYTES + 1).contains(&length) {
            return Err(ReadError::Malformed("a packet has an impossible length"));
        }
        let spid = reader.u16_be()?;
        let number = reader.u8()?;
        let _window = reader.u8()?;
        Ok(Header { kind, status, length, spid, number })
    }

    /// Writes the header.
    pub fn put(&self, out: &mut Vec<u8>) {
        let window = 0;
        out.extend([self.kind.code(), self.status]);
        out.extend((self.length as u16).to_be_bytes());
        out.extend(self.spid.to_be_bytes());
        out.extend([self.number, window]);
    }
}
