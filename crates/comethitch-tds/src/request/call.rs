//! Procedure calls (\[MS-TDS\], "RPC Request"): the procedure, its parameters, and the statement in calls
//! that contain one.

use super::{BY_REFERENCE, Headers, PROCEDURE_ID_FOLLOWS, Procedure, SystemProcedure};
use crate::error::{MalformedMessage, ReadError};
use crate::read::Reader;
use crate::text;
use crate::types::{Type, Value};
use std::ops::Range;

/// Maximum number of parameters that servers allow.
const MAX_PARAMETERS: usize = 2100;
/// The bytes that separate the calls of one message: `BatchFlag` of older and current versions, and
/// `NoExecFlag`. They cannot be the length of a parameter's name, because no name is that long.
const CALL_SEPARATORS: [u8; 3] = [0x80, 0xff, 0xfe];

/// Names of the system procedures' statement parameter. Servers bind parameters by name before they bind by
/// position.
const STATEMENT_NAMES: [&str; 2] = ["stmt", "statement"];
/// Names of the system procedures' parameter that declares the statement's parameters.
const DECLARATIONS_NAMES: [&str; 2] = ["params", "parameters"];
/// Names of the system procedures' parameter for the handle of a prepared statement.
const HANDLE_NAMES: [&str; 1] = ["handle"];

/// A parameter of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameter {
    /// The name with the leading `@`; empty if the parameter is bound by position.
    pub name: String,
    /// Whether the server returns the parameter (an output parameter).
    pub by_reference: bool,
    /// The type of the value.
    pub value_type: Type,
    /// The value.
    pub value: Value,
    /// Byte range of the encoded parameter in the message.
    pub range: Range<usize>,
}

/// An argument of the statement that a call executes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallArgument<'a> {
    /// The name without the leading `@`; empty if the argument is bound by position.
    pub name: &'a str,
    /// The value.
    pub value: &'a Value,
}

/// A call of a procedure.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The headers before the call.
    pub headers: Headers,
    /// The procedure.
    pub procedure: Procedure,
    /// The parameters in order.
    pub parameters: Vec<Parameter>,
    /// Whether further calls follow in the same message.
    pub has_more_calls: bool,
}

impl Call {
    /// Decodes the first call of a complete message.
    ///
    /// # Errors
    ///
    /// If the headers, the procedure id or a parameter's type are invalid, a name is not well-formed UTF-16,
    /// there are too many parameters, or the message is incomplete.
    pub fn read(payload: &[u8]) -> Result<Call, MalformedMessage> {
        let headers = Headers::read(payload)?;
        let mut reader = Reader::new(&payload[headers.length..]);
        Call::read_after_headers(headers, &mut reader)
            .map_err(|error| error.at_end_of_input("a call that is cut off"))
    }

    fn read_after_headers(headers: Headers, reader: &mut Reader<'_>) -> Result<Call, ReadError> {
        let procedure = read_procedure(reader)?;
        let _flags = reader.u16()?;
        let mut parameters = Vec::new();
        let mut has_more_calls = false;
        while let Some(&first) = reader.remaining().first() {
            if CALL_SEPARATORS.contains(&first) {
                reader.u8()?;
                has_more_calls = !reader.is_empty();
                break;
            }
            if parameters.len() == MAX_PARAMETERS {
                return Err(ReadError::Malformed("a call of too many parameters"));
            }
            parameters.push(read_parameter(headers.length, reader)?);
        }
        Ok(Call { headers, procedure, parameters, has_more_calls })
    }

    /// Returns the statement of a call of `sp_executesql`, `sp_prepare` or `sp_prepexec`. Returns `None` for
    /// other procedures, and if a parameter's name contradicts its position, because servers bind by name
    /// before position.
    pub fn statement(&self) -> Option<&str> {
        let position = match self.procedure {
            Procedure::System(SystemProcedure::ExecuteSql) => 0,
            Procedure::System(SystemProcedure::Prepare | SystemProcedure::PrepareExecute) => 2,
            _ => return None,
        };
        match &self.parameters.get(position)?.value {
            Value::Text(text) if self.binds_by_position(position) => Some(text),
            _ => None,
        }
    }

    /// Returns whether no parameter's name binds the statement, its declarations or its handle to another
    /// position. `statement` is the position of the statement.
    fn binds_by_position(&self, statement: usize) -> bool {
        let is_handle_in_position = statement == 0 || self.is_unnamed_or_named(0, &HANDLE_NAMES);
        self.is_unnamed_or_named(statement, &STATEMENT_NAMES)
            && self.is_unnamed_or_named(1, &DECLARATIONS_NAMES)
            && is_handle_in_position
            && self.no_argument_has_reserved_name(statement)
    }

    /// Returns whether the parameter at `position` is absent, has no name, or has one of `names`.
    fn is_unnamed_or_named(&self, position: usize, names: &[&str]) -> bool {
        self.parameters.get(position).is_none_or(|parameter| {
            let name = parameter.name.trim_start_matches('@');
            name.is_empty() || is_one_of(name, names)
        })
    }

    /// Returns whether none of the statement's arguments has the name of a parameter of the system procedure
    /// itself, to which servers would bind it.
    fn no_argument_has_reserved_name(&self, statement: usize) -> bool {
        let first = self.first_argument_position().max(statement + 1);
        self.parameters.iter().skip(first).all(|parameter| {
            let name = parameter.name.trim_start_matches('@');
            // How servers bind the name `@` is not known, so it counts as reserved.
            parameter.name.is_empty()
                || !(name.is_empty()
                    || is_one_of(name, &STATEMENT_NAMES)
                    || is_one_of(name, &DECLARATIONS_NAMES)
                    || is_one_of(name, &HANDLE_NAMES))
        })
    }

    /// Returns the declarations of the statement's parameters, or `None` if the call contains none.
    pub fn declarations(&self) -> Option<&str> {
        let Procedure::System(
            SystemProcedure::ExecuteSql | SystemProcedure::Prepare | SystemProcedure::PrepareExecute,
        ) = self.procedure
        else {
            return None;
        };
        match &self.parameters.get(1)?.value {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the arguments of the statement itself.
    pub fn arguments(&self) -> impl Iterator<Item = CallArgument<'_>> {
        let arguments = self.parameters.iter().skip(self.first_argument_position());
        arguments.map(|parameter| CallArgument {
            name: parameter.name.trim_start_matches('@'),
            value: &parameter.value,
        })
    }

    /// Returns the encoded arguments of the statement, given the `payload` that this call was read from.
    pub fn raw_arguments<'a>(&self, payload: &'a [u8]) -> &'a [u8] {
        let arguments = self.parameters.get(self.first_argument_position()..).unwrap_or_default();
        match (arguments.first(), arguments.last()) {
            (Some(first), Some(last)) => payload.get(first.range.start..last.range.end).unwrap_or_default(),
            _ => &[],
        }
    }

    /// Returns the position of the first parameter that belongs to the statement rather than to the system
    /// procedure; 0 for procedures that do not execute a statement with arguments.
    fn first_argument_position(&self) -> usize {
        match self.procedure {
            Procedure::System(SystemProcedure::ExecuteSql) => 2,
            Procedure::System(SystemProcedure::PrepareExecute) => 3,
            Procedure::System(SystemProcedure::Execute) => 1,
            _ => 0,
        }
    }
}

fn read_procedure(reader: &mut Reader<'_>) -> Result<Procedure, ReadError> {
    let name_units = reader.u16()?;
    if name_units == PROCEDURE_ID_FOLLOWS {
        let procedure = SystemProcedure::from_id(reader.u16()?);
        let procedure = procedure.ok_or(MalformedMessage("a procedure of an unknown number"))?;
        return Ok(Procedure::System(procedure));
    }
    let name = text::decode(reader.take(usize::from(name_units) * 2)?);
    let name = name.ok_or(MalformedMessage("a procedure's name that is no UTF-16"))?;
    Ok(SystemProcedure::from_name(&name).map_or(Procedure::Named(name), Procedure::System))
}

/// Reads a parameter. `reader_offset` is the offset in the message at which the reader starts.
fn read_parameter(reader_offset: usize, reader: &mut Reader<'_>) -> Result<Parameter, ReadError> {
    let start = reader_offset + reader.position();
    let name = text::decode(reader.b_varchar()?);
    let name = name.ok_or(MalformedMessage("a parameter's name that is no UTF-16"))?;
    let status = reader.u8()?;
    let value_type = Type::read(reader)?;
    let value = value_type.decode(value_type.read_value(reader)?);
    let range = start..reader_offset + reader.position();
    Ok(Parameter { name, by_reference: status & BY_REFERENCE != 0, value_type, value, range })
}

fn is_one_of(name: &str, names: &[&str]) -> bool {
    names.iter().any(|known| name.eq_ignore_ascii_case(known))
}
