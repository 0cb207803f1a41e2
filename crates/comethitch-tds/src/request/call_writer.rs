//! Writes procedure calls as clients do.

use super::{BY_REFERENCE, Headers, PROCEDURE_ID_FOLLOWS, SystemProcedure};
use crate::text;
use crate::types::{MAX_SHORT_BYTES, UNLIMITED_LENGTH, code};
use crate::write::put_chunked_text;

const OPTION_FLAGS: [u8; 2] = [0; 2];
/// The status of a parameter that the server does not return.
const BY_VALUE: u8 = 0;
const NO_COLLATION: [u8; 5] = [0; 5];
const INTEGER_BYTES: u8 = 4;

/// Appends a procedure call to a buffer, parameter by parameter. Parameters with an empty name are bound by
/// position.
pub struct CallWriter<'a>(&'a mut Vec<u8>);

impl<'a> CallWriter<'a> {
    /// Begins a call of a system procedure by its id.
    pub fn system(out: &'a mut Vec<u8>, procedure: SystemProcedure) -> CallWriter<'a> {
        Headers::put(out, 0);
        out.extend(PROCEDURE_ID_FOLLOWS.to_le_bytes());
        out.extend(procedure.id().to_le_bytes());
        out.extend(OPTION_FLAGS);
        CallWriter(out)
    }

    /// Begins a call of a procedure by its name.
    pub fn named(out: &'a mut Vec<u8>, name: &str) -> CallWriter<'a> {
        Headers::put(out, 0);
        text::put_us_varchar(out, name);
        out.extend(OPTION_FLAGS);
        CallWriter(out)
    }

    /// Appends a text as an `nvarchar`.
    pub fn text(mut self, name: &str, value: &str) -> CallWriter<'a> {
        let out = self.begin_parameter(name, BY_VALUE, code::NVARCHAR);
        let bytes = value.encode_utf16().count() * 2;
        if bytes > usize::from(MAX_SHORT_BYTES) {
            out.extend(UNLIMITED_LENGTH.to_le_bytes());
            out.extend(NO_COLLATION);
            put_chunked_text(out, value);
        } else {
            out.extend(MAX_SHORT_BYTES.to_le_bytes());
            out.extend(NO_COLLATION);
            out.extend((bytes as u16).to_le_bytes());
            text::put(out, value);
        }
        self
    }

    /// Appends a nullable four-byte integer.
    pub fn integer(mut self, name: &str, value: Option<i32>) -> CallWriter<'a> {
        let out = self.begin_parameter(name, BY_VALUE, code::INTN);
        out.push(INTEGER_BYTES);
        match value {
            Some(value) => {
                out.push(INTEGER_BYTES);
                out.extend(value.to_le_bytes());
            }
            None => out.push(0),
        }
        self
    }

    /// Appends encoded parameters, as [`super::Call::raw_arguments`] returns them.
    pub fn raw(self, bytes: &[u8]) -> CallWriter<'a> {
        self.0.extend_from_slice(bytes);
        self
    }

    /// Appends an output parameter: a nullable four-byte integer, passed as null.
    pub fn output_integer(mut self, name: &str) -> CallWriter<'a> {
        let out = self.begin_parameter(name, BY_REFERENCE, code::INTN);
        let null = 0;
        out.extend([INTEGER_BYTES, null]);
        self
    }

    /// Appends the start of a parameter: its name, its status and the code of its type.
    fn begin_parameter(&mut self, name: &str, status: u8, type_code: u8) -> &mut Vec<u8> {
        text::put_b_varchar(self.0, name);
        self.0.extend([status, type_code]);
        self.0
    }
}
