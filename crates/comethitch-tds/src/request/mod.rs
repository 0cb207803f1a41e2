//! The requests of clients: [`Batch`] for SQL text, and [`Call`] for remote procedure calls, among them those by which
//! drivers send and prepare parameterized statements.

mod batch;
mod call;
mod call_writer;
mod declarations;
mod headers;
mod procedure;

pub use batch::Batch;
pub use call::{Call, Parameter};
pub use call_writer::CallWriter;
pub use declarations::declared;
pub use headers::Headers;
pub use procedure::{Procedure, SystemProcedure};

/// The name length that announces a procedure's id in place of its name.
const PROCEDURE_ID_FOLLOWS: u16 = u16::MAX;
/// The status bit of a parameter that the server returns (fByRefValue).
const BY_REFERENCE: u8 = 1;
