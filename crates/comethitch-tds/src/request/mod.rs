//! The requests of clients: [`Batch`] for SQL text, and [`Call`] for remote procedure calls, which drivers
//! also use to prepare and run parameterized statements.

mod batch;
mod call;
mod call_writer;
mod declarations;
mod headers;
mod procedure;

pub use batch::Batch;
pub use call::{Call, CallArgument, Parameter};
pub use call_writer::CallWriter;
pub use declarations::declared_names;
pub use headers::Headers;
pub use procedure::{Procedure, SystemProcedure};

/// The length of a procedure's name that announces a procedure id in place of the name.
const PROCEDURE_ID_FOLLOWS: u16 = u16::MAX;
/// The status bit of a parameter that the server returns (fByRefValue).
const BY_REFERENCE: u8 = 1;
