//! What clients ask: batches of statements, and calls of procedures.

use crate::read::{MalformedMessage, ReadError, Reader};
use crate::text;
use crate::types::{Type, Value};
use std::ops::Range;

/// The most parameters of a call, as servers have it.
const MOST_PARAMETERS: usize = 2100;

/// The headers before a batch or a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    /// The transaction that the client is in, or 0.
    pub transaction: u64,
    /// Their length in bytes.
    pub length: usize,
}

impl Headers {
    pub fn read(payload: &[u8]) -> Result<Headers, MalformedMessage> {
        let short = |_| MalformedMessage("headers that are cut off");
        let mut reader = Reader::new(payload);
        let length = reader.u32().map_err(short)? as usize;
        if length < 4 || length > payload.len() {
            return Err(MalformedMessage("headers of an impossible length"));
        }
        let mut headers = Headers { transaction: 0, length };
        while reader.at() < length {
            let from = reader.at();
            let one = reader.u32().map_err(short)? as usize;
            if one < 6 || from + one > length {
                return Err(MalformedMessage("a header of an impossible length"));
            }
            let kind = reader.u16().map_err(short)?;
            let data = reader.take(one - 6).map_err(short)?;
            if kind == 2 {
                headers.transaction = Reader::new(data).u64().map_err(short)?;
            }
        }
        Ok(headers)
    }

    /// Headers with a transaction, as clients put them.
    pub fn put(out: &mut Vec<u8>, transaction: u64) {
        out.extend(22_u32.to_le_bytes());
        out.extend(18_u32.to_le_bytes());
        out.extend(2_u16.to_le_bytes());
        out.extend(transaction.to_le_bytes());
        out.extend(1_u32.to_le_bytes());
    }
}

/// A batch of statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    pub headers: Headers,
    pub text: String,
}

impl Batch {
    pub fn read(payload: &[u8]) -> Result<Batch, MalformedMessage> {
        let headers = Headers::read(payload)?;
        let text =
            text::decoded(&payload[headers.length..]).ok_or(MalformedMessage("a batch that is no UTF-16"))?;
        Ok(Batch { headers, text })
    }

    pub fn put(out: &mut Vec<u8>, text: &str) {
        Headers::put(out, 0);
        text::put(out, text);
    }
}

/// The procedures that have numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    ExecuteSql,
    Prepare,
    Execute,
    PrepareExecute,
    Unprepare,
    /// Those of cursors, which keep what belongs to one session.
    Cursor,
}

impl Known {
    fn numbered(number: u16) -> Option<Known> {
        Some(match number {
            1..=9 => Known::Cursor,
            10 => Known::ExecuteSql,
            11 => Known::Prepare,
            12 => Known::Execute,
            13 | 14 => Known::PrepareExecute,
            15 => Known::Unprepare,
            _ => return None,
        })
    }

    /// By its name as the server's own: a procedure of the same name in somebody's schema is another.
    fn named(name: &str) -> Option<Known> {
        let name = name.to_ascii_lowercase();
        let bare = name.strip_prefix("sys.").or_else(|| name.strip_prefix("[sys].")).unwrap_or(&name);
        let bare = bare.strip_prefix('[').and_then(|bare| bare.strip_suffix(']')).unwrap_or(bare).to_string();
        Some(match bare.as_str() {
            "sp_executesql" => Known::ExecuteSql,
            "sp_prepare" => Known::Prepare,
            "sp_execute" => Known::Execute,
            "sp_prepexec" | "sp_prepexecrpc" => Known::PrepareExecute,
            "sp_unprepare" => Known::Unprepare,
            name if name.starts_with("sp_cursor") => Known::Cursor,
            _ => return None,
        })
    }

    pub fn number(self) -> u16 {
        match self {
            Known::Cursor => 1,
            Known::ExecuteSql => 10,
            Known::Prepare => 11,
            Known::Execute => 12,
            Known::PrepareExecute => 13,
            Known::Unprepare => 15,
        }
    }
}

/// What is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Procedure {
    Known(Known),
    Named(String),
}

/// A parameter of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameter {
    pub name: String,
    /// Its value is given back.
    pub by_reference: bool,
    pub kind: Type,
    pub value: Value,
    /// Where it stands in the message.
    pub at: Range<usize>,
}

/// A call of a procedure.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub headers: Headers,
    pub procedure: Procedure,
    pub parameters: Vec<Parameter>,
    /// Further calls follow in the same message.
    pub more: bool,
}

/// What stands between calls of one message.
const NEXT: [u8; 3] = [0x80, 0xff, 0xfe];

impl Call {
    /// Reads a whole message; of several calls in it the first.
    pub fn read(payload: &[u8]) -> Result<Call, MalformedMessage> {
        let headers = Headers::read(payload)?;
        let mut reader = Reader::new(&payload[headers.length..]);
        Call::from(headers, &mut reader).map_err(|unread| unread.at_end("a call that is cut off"))
    }

    fn from(headers: Headers, reader: &mut Reader<'_>) -> Result<Call, ReadError> {
        let length = reader.u16()?;
        let procedure = match length {
            u16::MAX => {
                let number = reader.u16()?;
                let known =
                    Known::numbered(number).ok_or(MalformedMessage("a procedure of an unknown number"))?;
                Procedure::Known(known)
            }
            length => {
                let name = text::decoded(reader.take(usize::from(length) * 2)?);
                let name = name.ok_or(MalformedMessage("a procedure's name that is no UTF-16"))?;
                Known::named(&name).map_or(Procedure::Named(name), Procedure::Known)
            }
        };
        let _flags = reader.u16()?;
        let mut parameters = Vec::new();
        let mut more = false;
        while !reader.is_empty() {
            // A parameter's name is never as long as this byte would say.
            if NEXT.contains(&reader.left()[0]) {
                reader.u8()?;
                more = !reader.is_empty();
                break;
            }
            if parameters.len() == MOST_PARAMETERS {
                return Err(ReadError::Malformed("a call of too many parameters"));
            }
            let from = headers.length + reader.at();
            let name = text::decoded(reader.b_varchar()?)
                .ok_or(MalformedMessage("a parameter's name that is no UTF-16"))?;
            let status = reader.u8()?;
            let kind = Type::read(reader)?;
            let value = kind.told(kind.value(reader)?);
            let at = from..headers.length + reader.at();
            parameters.push(Parameter { name, by_reference: status & 1 != 0, kind, value, at });
        }
        Ok(Call { headers, procedure, parameters, more })
    }

    /// The statement that a call of `sp_executesql`, `sp_prepare` or `sp_prepexec` carries. Servers bind parameters
    /// by name before place: where a name says that it stands elsewhere, there is none.
    pub fn statement(&self) -> Option<&str> {
        let nth = match self.procedure {
            Procedure::Known(Known::ExecuteSql) => 0,
            Procedure::Known(Known::Prepare | Known::PrepareExecute) => 2,
            _ => return None,
        };
        let named = |at: usize, names: &[&str]| {
            let name = self.parameters.get(at).map_or("", |parameter| parameter.name.trim_start_matches('@'));
            name.is_empty() || names.iter().any(|known| name.eq_ignore_ascii_case(known))
        };
        let own = ["stmt", "statement", "params", "parameters", "handle"];
        let first = self.first_argument().max(nth + 1);
        let in_place = named(nth, &["stmt", "statement"])
            && named(1, &["params", "parameters"])
            && (nth == 0 || named(0, &["handle"]))
            && (first..self.parameters.len())
                .all(|at| self.parameters[at].name.is_empty() || !named(at, &own));
        match &self.parameters.get(nth)?.value {
            Value::Text(text) if in_place => Some(text),
            _ => None,
        }
    }

    /// The declarations of the statement's parameters, where the call carries them.
    pub fn declarations(&self) -> Option<&str> {
        let parameter = match self.procedure {
            Procedure::Known(Known::ExecuteSql | Known::Prepare | Known::PrepareExecute) => {
                self.parameters.get(1)?
            }
            _ => return None,
        };
        match &parameter.value {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The parameters of the statement itself, by name without the sign before it.
    pub fn arguments(&self) -> impl Iterator<Item = (&str, &Value)> {
        let own = self.parameters.iter().skip(self.first_argument());
        own.map(|parameter| (parameter.name.trim_start_matches('@'), &parameter.value))
    }

    /// The bytes of the statement's own parameters, as they came in `payload`.
    pub fn raw_arguments<'a>(&self, payload: &'a [u8]) -> &'a [u8] {
        let own = self.parameters.get(self.first_argument()..).unwrap_or_default();
        match (own.first(), own.last()) {
            (Some(first), Some(last)) => payload.get(first.at.start..last.at.end).unwrap_or_default(),
            _ => &[],
        }
    }

    fn first_argument(&self) -> usize {
        match self.procedure {
            Procedure::Known(Known::ExecuteSql) => 2,
            Procedure::Known(Known::PrepareExecute) => 3,
            Procedure::Known(Known::Execute) => 1,
            _ => 0,
        }
    }
}

/// Writes calls as clients do.
pub struct CallWriter<'a>(&'a mut Vec<u8>);

impl<'a> CallWriter<'a> {
    pub fn known(out: &'a mut Vec<u8>, known: Known) -> CallWriter<'a> {
        Headers::put(out, 0);
        out.extend(u16::MAX.to_le_bytes());
        out.extend(known.number().to_le_bytes());
        out.extend([0; 2]);
        CallWriter(out)
    }

    pub fn named(out: &'a mut Vec<u8>, name: &str) -> CallWriter<'a> {
        Headers::put(out, 0);
        text::put_us(out, name);
        out.extend([0; 2]);
        CallWriter(out)
    }

    pub fn text(self, name: &str, value: &str) -> CallWriter<'a> {
        text::put_b(self.0, name);
        let units = value.encode_utf16().count() * 2;
        self.0.extend([0, crate::types::code::NVARCHAR]);
        if units > 8000 {
            self.0.extend([0xff, 0xff, 0, 0, 0, 0, 0]);
            self.0.extend((units as u64).to_le_bytes());
            self.0.extend((units as u32).to_le_bytes());
            text::put(self.0, value);
            self.0.extend([0; 4]);
        } else {
            self.0.extend([0x40, 0x1f, 0, 0, 0, 0, 0]);
            self.0.extend((units as u16).to_le_bytes());
            text::put(self.0, value);
        }
        self
    }

    pub fn integer(self, name: &str, value: Option<i32>) -> CallWriter<'a> {
        text::put_b(self.0, name);
        self.0.extend([0, crate::types::code::INTN, 4]);
        match value {
            Some(value) => {
                self.0.push(4);
                self.0.extend(value.to_le_bytes());
            }
            None => self.0.push(0),
        }
        self
    }

    /// Parameters as they came in another message.
    pub fn raw(self, bytes: &[u8]) -> CallWriter<'a> {
        self.0.extend_from_slice(bytes);
        self
    }

    /// An integer that is given back.
    pub fn out(self, name: &str) -> CallWriter<'a> {
        text::put_b(self.0, name);
        self.0.extend([1, crate::types::code::INTN, 4, 0]);
        self
    }
}

/// The names of declared parameters in order, without the sign before them: `@a int, @b decimal(9, 2) output`.
///
/// ```
/// let names = comethitch_tds::request::declared("@a int, @B decimal(9, 2) output");
/// assert_eq!(names, ["a", "b"]);
/// ```
pub fn declared(declarations: &str) -> Vec<String> {
    let (mut depth, mut names, mut begins) = (0_usize, Vec::new(), true);
    for (at, c) in declarations.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            ',' if depth == 0 => begins = true,
            '@' if begins => {
                let name = declarations[at + 1..].split(|c: char| c.is_whitespace() || c == ',').next();
                names.push(name.unwrap_or_default().to_lowercase());
                begins = false;
            }
            _ => {}
        }
    }
    names
}
