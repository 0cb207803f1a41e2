//! A codec for the parts of TDS 7.4, the protocol of SQL Server, that a router needs: packets and messages,
//! logins, batches, procedure calls, and the tokens of a response. It follows the public specification
//! (\[MS-TDS\]: Tabular Data Stream Protocol); the modules cite its section titles and names.
//!
//! The codec performs no I/O and reads no clock. Decoders are functions over the bytes received so far: if
//! more bytes are needed they return [`Incomplete`] or [`ReadError::NeedMoreInput`], and if no further bytes
//! can make the input valid, [`MalformedMessage`] with the reason. Lengths stated by a peer are checked
//! before use and never determine the size of an allocation.
//!
//! ```
//! use comethitch_tds::packet::{self, MessageKind};
//! let mut wire = Vec::new();
//! packet::put_message(&mut wire, MessageKind::Batch, 4096, b"payload");
//! let mut assembler = packet::MessageAssembler::new(1 << 20);
//! assert_eq!(assembler.accept(&wire).unwrap(), wire.len());
//! assert_eq!((assembler.kind(), assembler.payload()), (Some(MessageKind::Batch), &b"payload"[..]));
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
