//! RPC requests (\[MS-TDS\], "RPC Request"): a call of a procedure with parameters, and the statement within those
//! calls that carry one.

use super::{BY_REFERENCE, Headers, PROCEDURE_ID_FOLLOWS, Procedure, SystemProcedure};
use crate::error::{MalformedMessage, ReadError};
use crate::read::Reader;
use crate::text;
use crate::types::{Type, Value};
use std::ops::Range;

/// The most parameters of a call that servers allow.
const MAX_PARAMETERS: usize = 2100;
/// The bytes that separate calls of one message: `BatchFlag` of older and current versions, and `NoExecFlag`. No parameter
/// has a name as long as one of them would state.
const CALL_SEPARATORS: [u8; 3] = [0x80, 0xff, 0xfe];

/// The names by which servers bind the parameters of the system procedures themselves.
const STATEMENT_NAMES: [&str; 2] = ["stmt", "statement"];
const DECLARATIONS_NAMES: [&str; 2] = ["params", "parameters"];
const HANDLE_NAMES: [&str; 1] = ["handle"];

/// A parameter of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameter {
    /// Its name with the leading `@`, or an empty text if it is bound by position.
    pub name: String,
    /// The server returns its value.
    pub by_reference: bool,
    /// Its type.
    pub kind: Type,
    /// Its value.
    pub value: Value,
    /// Where it stands in the message.
    pub range: Range<usize>,
}

/// A call of a procedure.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// What stands before the call.
    pub headers: Headers,
    /// What is called.
    pub procedure: Procedure,
    /// The parameters in order.
    pub parameters: Vec<Parameter>,
    /// Further calls follow in the same message.
    pub more: bool,
}

impl Call {
    /// Decodes a complete message; of several calls in it only the first.
    ///
    /// # Errors
    ///
    /// If the headers, the procedure's id or a parameter's type are invalid, a name is not well-formed UTF-16, there
    /// are too many parameters, or the message is cut off.
    pub fn read(payload: &[u8]) -> Result<Call, MalformedMessage> {
        let headers = Headers::read(payload)?;
        let mut reader = Reader::new(&payload[headers.length..]);
        Call::read_after(headers, &mut reader).map_err(|error| error.at_end("a call that is cut off"))
    }

    fn read_after(headers: Headers, reader: &mut Reader<'_>) -> Result<Call, ReadError> {
        let procedure = read_procedure(reader)?;
        let _flags = reader.u16()?;
        let mut parameters = Vec::new();
        let mut more = false;
        while let Some(&first) = reader.remaining().first() {
            if CALL_SEPARATORS.contains(&first) {
                reader.u8()?;
                more = !reader.is_empty();
                break;
            }
            if parameters.len() == MAX_PARAMETERS {
                return Err(ReadError::Malformed("a call of too many parameters"));
            }
            parameters.push(read_parameter(headers.length, reader)?);
        }
        Ok(Call { headers, procedure, parameters, more })
    }

    /// The statement that a call of `sp_executesql`, `sp_prepare` or `sp_prepexec` carries. Servers bind parameters by
    /// name before position: if a name says that the statement is elsewhere, there is none.
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

    /// Whether no name moves the statement, its declarations or its handle away from their positions.
    fn binds_by_position(&self, statement: usize) -> bool {
        let handle_fits = statement == 0 || self.may_be_named(0, &HANDLE_NAMES);
        self.may_be_named(statement, &STATEMENT_NAMES)
            && self.may_be_named(1, &DECLARATIONS_NAMES)
            && handle_fits
            && self.no_argument_is_named_as_the_procedures_own(statement)
    }

    /// Whether the parameter at a position has no name or one of these. There may be no such parameter.
    fn may_be_named(&self, position: usize, names: &[&str]) -> bool {
        self.parameters.get(position).is_none_or(|parameter| {
            let name = parameter.name.trim_start_matches('@');
            name.is_empty() || is_one_of(name, names)
        })
    }

    fn no_argument_is_named_as_the_procedures_own(&self, statement: usize) -> bool {
        let first = self.first_argument().max(statement + 1);
        self.parameters.iter().skip(first).all(|parameter| {
            let name = parameter.name.trim_start_matches('@');
            // A name of nothing but `@` is not known to be harmless.
            parameter.name.is_empty()
                || !(name.is_empty()
                    || is_one_of(name, &STATEMENT_NAMES)
                    || is_one_of(name, &DECLARATIONS_NAMES)
                    || is_one_of(name, &HANDLE_NAMES))
        })
    }

    /// The declarations of the statement's parameters, if the call carries them.
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

    /// The arguments of the statement itself, by name without the leading `@`.
    pub fn arguments(&self) -> impl Iterator<Item = (&str, &Value)> {
        let arguments = self.parameters.iter().skip(self.first_argument());
        arguments.map(|parameter| (parameter.name.trim_start_matches('@'), &parameter.value))
    }

    /// The bytes of the statement's arguments in `payload`, the message that this call was read from.
    pub fn raw_arguments<'a>(&self, payload: &'a [u8]) -> &'a [u8] {
        let arguments = self.parameters.get(self.first_argument()..).unwrap_or_default();
        match (arguments.first(), arguments.last()) {
            (Some(first), Some(last)) => payload.get(first.range.start..last.range.end).unwrap_or_default(),
            _ => &[],
        }
    }

    /// The position of the first parameter that belongs to the statement and not to the system procedure.
    fn first_argument(&self) -> usize {
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
        let known = SystemProcedure::from_number(reader.u16()?);
        let known = known.ok_or(MalformedMessage("a procedure of an unknown number"))?;
        return Ok(Procedure::System(known));
    }
    let name = text::decode(reader.take(usize::from(name_units) * 2)?);
    let name = name.ok_or(MalformedMessage("a procedure's name that is no UTF-16"))?;
    Ok(SystemProcedure::from_name(&name).map_or(Procedure::Named(name), Procedure::System))
}

/// Reads a parameter; the reader begins behind so many bytes of headers.
fn read_parameter(header_bytes: usize, reader: &mut Reader<'_>) -> Result<Parameter, ReadError> {
    let start = header_bytes + reader.position();
    let name = text::decode(reader.b_varchar()?);
    let name = name.ok_or(MalformedMessage("a parameter's name that is no UTF-16"))?;
    let status = reader.u8()?;
    let kind = Type::read(reader)?;
    let value = kind.decode(kind.value(reader)?);
    let range = start..header_bytes + reader.position();
    Ok(Parameter { name, by_reference: status & BY_REFERENCE != 0, kind, value, range })
}

fn is_one_of(name: &str, names: &[&str]) -> bool {
    names.iter().any(|known| name.eq_ignore_ascii_case(known))
}
