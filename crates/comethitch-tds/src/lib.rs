//! A codec for TDS 7.4, the protocol of SQL Server, as far as a router needs it: packets and the messages in them,
//! logins, batches and procedure calls, and the tokens of a response. Written from the public specification
//! (\[MS-TDS\]: Tabular Data Stream Protocol), whose section titles and names the modules cite.
//!
//! There is no I/O and no clock: everything is a function over the bytes received so far. While more are needed the
//! error is [`Incomplete`] or [`ReadError::NeedMoreInput`]; bytes that no continuation can make valid are a
//! [`MalformedMessage`], which says why. No length that a peer states is trusted before it is checked, and no memory is
//! allocated by it.
//!
//! ```
//! use comethitch_tds::packet::{self, MessageKind};
//! let mut wire = Vec::new();
//! packet::put_message(&mut wire, MessageKind::Batch, 4096, b"payload");
//! let mut message = packet::MessageAssembler::new(1 << 20);
//! assert_eq!(message.take(&wire).unwrap(), wire.len());
//! assert_eq!((message.kind(), message.payload()), (Some(MessageKind::Batch), &b"payload"[..]));
//! ```

mod error;
pub mod login;
pub mod packet;
pub mod read;
pub mod request;
pub mod text;
pub mod token;
pub mod types;
pub mod write;

pub use error::{Incomplete, MalformedMessage, ReadError};
pub use read::Reader;
