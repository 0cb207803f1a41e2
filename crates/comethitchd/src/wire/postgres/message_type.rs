//! The type byte at the start of each message.

/// Messages that a client sends.
pub mod frontend {
    /// Bind.
    pub const BIND: u8 = b'B';
    /// Close.
    pub const CLOSE: u8 = b'C';
    /// `CopyData`.
    pub const COPY_DATA: u8 = b'd';
    /// `CopyDone`.
    pub const COPY_DONE: u8 = b'c';
    /// `CopyFail`.
    pub const COPY_FAIL: u8 = b'f';
    /// Describe.
    pub const DESCRIBE: u8 = b'D';
    /// Execute.
    pub const EXECUTE: u8 = b'E';
    /// Flush.
    pub const FLUSH: u8 = b'H';
    /// `FunctionCall`.
    pub const FUNCTION_CALL: u8 = b'F';
    /// Parse.
    pub const PARSE: u8 = b'P';
    /// Query of the simple query protocol.
    pub const QUERY: u8 = b'Q';
    /// Sync.
    pub const SYNC: u8 = b'S';
    /// Terminate.
    pub const TERMINATE: u8 = b'X';
}

/// Messages that a server sends.
pub mod backend {
    /// `AuthenticationOk` and the other authentication messages.
    pub const AUTHENTICATION: u8 = b'R';
    /// `BackendKeyData`.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// `CommandComplete`.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// `DataRow`.
    pub const DATA_ROW: u8 = b'D';
    /// `EmptyQueryResponse`.
    pub const EMPTY_QUERY: u8 = b'I';
    /// `ErrorResponse`.
    pub const ERROR: u8 = b'E';
    /// `NegotiateProtocolVersion`.
    pub const NEGOTIATE_VERSION: u8 = b'v';
    /// `NoticeResponse`.
    pub const NOTICE: u8 = b'N';
    /// `NotificationResponse`.
    pub const NOTIFICATION: u8 = b'A';
    /// `ParameterStatus`.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// `ReadyForQuery`.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// `RowDescription`.
    pub const ROW_DESCRIPTION: u8 = b'T';
}
