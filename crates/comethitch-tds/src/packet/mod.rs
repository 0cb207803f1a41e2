//! Packets and their headers (\[MS-TDS\], "Packet Header"). A message is one packet or several of the same type:
//! [`Assembly`] joins received packets, [`put_message`] splits a payload into packets.

mod assembly;
mod write;

pub use assembly::Assembly;
pub use write::{put_message, put_parts};

use crate::error::{MalformedMessage, ReadError};
use crate::read::Reader;

/// The length of a packet header in bytes.
pub const HEADER: usize = 8;
/// The packet size in bytes until a login has negotiated another.
pub const FIRST_SIZE: usize = 4096;
/// The smallest packet size in bytes that can be negotiated.
pub const LEAST_SIZE: usize = 512;
/// The largest packet size in bytes that can be negotiated.
pub const LARGEST_SIZE: usize = 32_767;

/// The type of a message, stated in the header of each of its packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A batch of SQL statements.
    Batch,
    /// A remote procedure call.
    Rpc,
    /// A server's response: a stream of tokens, or the answer to a PRELOGIN.
    Answer,
    /// A client's request to cancel the command in progress.
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

impl Kind {
    const CODES: [(u8, Kind); 10] = [
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

    /// The type that this code stands for, if it is known.
    pub fn of(code: u8) -> Option<Kind> {
        Kind::CODES.into_iter().find(|(known, _)| *known == code).map(|(_, kind)| kind)
    }

    /// The type's code in a packet header.
    pub fn code(self) -> u8 {
        Kind::CODES.into_iter().find(|(_, kind)| *kind == self).map_or(0, |(code, _)| code)
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
    pub kind: Kind,
    /// Bits of [`status`].
    pub status: u8,
    /// The length in bytes of the packet, this header included.
    pub length: usize,
    /// The server's process id of the session, or 0.
    pub spid: u16,
    /// The packet's number in its message, modulo 256.
    pub number: u8,
}

impl Header {
    /// Reads the header at the beginning of these bytes.
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`] as soon as the bytes that have arrived cannot begin a header;
    /// [`ReadError::NeedMoreInput`] while the header is not complete.
    pub fn read(bytes: &[u8]) -> Result<Header, ReadError> {
        let mut reader = Reader::new(bytes);
        let kind = Kind::of(reader.u8()?).ok_or(MalformedMessage("a packet of unknown type"))?;
        let status = reader.u8()?;
        let length = usize::from(reader.u16_be()?);
        if !(HEADER..=LARGEST_SIZE + 1).contains(&length) {
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
