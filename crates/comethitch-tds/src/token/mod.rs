//! The tokens of a server's response (\[MS-TDS\], "Packet Data Token Stream Definition"), as far as they matter to a
//! router: their boundaries, errors, changes of the session, and whether the response is complete. [`TokenReader`] reads
//! them one by one; the values of rows are decoded only on request.

pub mod change_type;
pub mod code;
mod decode;
pub mod done;
mod reader;

pub use reader::{ParsedToken, RowValue, TokenReader};

/// The message of an ERROR or an INFO token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The number that identifies the error.
    pub number: i32,
    /// Distinguishes places that raise the same error.
    pub state: u8,
    /// The severity: from 11 on an error, from 20 on one that ends the connection.
    pub class: u8,
    /// The text for people to read.
    pub text: String,
}

/// A change of the session's environment, from an ENVCHANGE token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The current database changed to this one.
    Database(String),
    /// The packet size was negotiated, in bytes.
    PacketSize(usize),
    /// A transaction began.
    TransactionBegan,
    /// A transaction was committed, rolled back, or otherwise ended.
    TransactionEnded,
    /// The session was reset, as the client asked with [`crate::packet::status::RESET`].
    Reset,
    /// The client must connect to another server (ROUTING).
    Routed,
    /// Any other change, by its type; see [`change_type`] for those that are known.
    Other(u8),
}

/// A token, as far as it matters to a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token {
    /// A description of columns, with their number.
    Columns(usize),
    /// A row, with or without a bitmap of null values.
    Row,
    /// The end of a statement or a procedure.
    Done {
        /// [`code::DONE`], [`code::DONE_PROCEDURE`] or [`code::DONE_IN_PROCEDURE`].
        code: u8,
        /// Bits of [`done`].
        status: u16,
        /// The number of rows affected, if the status says that it is valid.
        count: u64,
    },
    /// An error.
    Error(Message),
    /// An informational message.
    Info(Message),
    /// The acknowledgement of a login.
    LoginAck {
        /// The TDS version that the server speaks.
        version: u32,
    },
    /// A change of the session's environment.
    Change(Change),
    /// The status of a procedure.
    ReturnStatus(i32),
    /// An output parameter.
    ReturnValue,
    /// Any other token, by its code.
    Other(u8),
}

impl Token {
    /// Whether the token ends a response: a DONE or DONEPROC after which no more follow.
    pub fn ends(&self) -> bool {
        match self {
            Token::Done { code, status, .. } => {
                matches!(*code, code::DONE | code::DONE_PROCEDURE) && status & done::MORE == 0
            }
            _ => false,
        }
    }
}
