//! The tokens of a server's response (\[MS-TDS\], "Packet Data Token Stream Definition"). A router needs
//! their boundaries, errors, changes of the session, and the end of the response. [`TokenReader`] reads the
//! tokens one by one; the values of rows are decoded only on request.

pub mod code;
mod decode;
pub mod done;
pub mod env_change_type;
mod reader;

pub use reader::{ParsedToken, RowValue, TokenReader};

/// The message of an ERROR or an INFO token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerMessage {
    /// The number that identifies the error.
    pub number: i32,
    /// The state, which distinguishes the sources of the same error.
    pub state: u8,
    /// The severity class: 11 or higher for errors, and 20 or higher for errors that end the connection.
    pub class: u8,
    /// The human-readable text.
    pub text: String,
}

/// A change of the session's environment, from an ENVCHANGE token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnvChange {
    /// The current database changed; holds its name.
    Database(String),
    /// The packet size was negotiated; holds the size in bytes.
    PacketSize(usize),
    /// A transaction began.
    TransactionBegan,
    /// A transaction was committed, rolled back, or otherwise ended.
    TransactionEnded,
    /// The session was reset, as requested with [`crate::packet::status::RESET`].
    Reset,
    /// The client must connect to another server (ROUTING).
    Routed,
    /// Any other change, by its type; see [`env_change_type`] for those that are known.
    Other(u8),
}

/// A token, with the contents that a router needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token {
    /// A description of columns; holds their number.
    Columns(usize),
    /// A row, with or without a bitmap of null values; see [`TokenReader::values`].
    Row,
    /// The end of a statement or a procedure.
    Done {
        /// [`code::DONE`], [`code::DONE_PROCEDURE`] or [`code::DONE_IN_PROCEDURE`].
        code: u8,
        /// Bits of [`done`].
        status: u16,
        /// Number of rows affected, valid if the status has [`done::COUNT`].
        count: u64,
    },
    /// An error.
    Error(ServerMessage),
    /// An informational message.
    Info(ServerMessage),
    /// The acknowledgement of a login.
    LoginAck {
        /// The server's TDS version.
        version: u32,
    },
    /// A change of the session's environment.
    EnvChange(EnvChange),
    /// The status of a procedure.
    ReturnStatus(i32),
    /// The value of an output parameter.
    ReturnValue,
    /// Any other token, by its code.
    Other(u8),
}

impl Token {
    /// Returns whether the token ends a response: a DONE or DONEPROC without [`done::MORE`].
    pub fn ends_response(&self) -> bool {
        match self {
            Token::Done { code, status, .. } => {
                matches!(*code, code::DONE | code::DONE_PROCEDURE) && status & done::MORE == 0
            }
            _ => false,
        }
    }
}
