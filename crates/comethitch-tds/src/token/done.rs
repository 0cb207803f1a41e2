//! The bits of the status in DONE, DONEPROC and DONEINPROC tokens (\[MS-TDS\], "DONE").

/// `DONE_MORE`: further tokens follow in the response.
pub const MORE: u16 = 0x01;
/// `DONE_ERROR`: the statement failed.
pub const ERROR: u16 = 0x02;
/// `DONE_INXACT`: a transaction is in progress.
pub const IN_TRANSACTION: u16 = 0x04;
/// `DONE_COUNT`: the row count is valid.
pub const COUNT: u16 = 0x10;
/// `DONE_ATTN`: acknowledges an attention.
pub const ATTENTION: u16 = 0x20;
/// `DONE_SRVERROR`: the statement failed so severely that its results are to be discarded.
pub const SERVER_ERROR: u16 = 0x100;
