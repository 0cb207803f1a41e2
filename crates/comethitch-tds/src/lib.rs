//! The TDS protocol (version 7.4, from its public specification, MS-TDS) as far as a router needs it: packets and
//! the messages that they carry, logins, batches and calls of procedures, and the tokens of an answer, which are
//! measured and told apart but not changed.
//!
//! Everything is a function over bytes that have come so far. Where more are needed the answer is [`Short`]; what
//! can't become valid by more bytes is [`Broken`], and says why. No length that a peer tells is believed before
//! it is checked, and nothing is allocated by it.
//!
//! ```
//! use comethitch_tds::packet::{self, Kind};
//! let mut wire = Vec::new();
//! packet::put_message(&mut wire, Kind::Batch, 4096, b"payload");
//! let mut message = packet::Assembly::new(1 << 20);
//! assert_eq!(message.take(&wire).unwrap(), wire.len());
//! assert_eq!((message.kind(), message.payload()), (Some(Kind::Batch), &b"payload"[..]));
//! ```

pub mod login;
pub mod packet;
pub mod read;
pub mod request;
pub mod text;
pub mod token;
pub mod types;
pub mod write;

pub use read::{MalformedMessage, ReadError, Reader, Short};
