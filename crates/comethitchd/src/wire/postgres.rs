//! Framing of the PostgreSQL protocol, version 3, as a server to clients and as a client to hosts.

use crate::wire::Malformed;
use std::borrow::Cow;

/// A value is at most 64 KiB; written as hexadecimal text it takes twice that, and the statement some more.
pub const LARGEST_MESSAGE: usize = 2 * 64 * 1024 + 8 * 1024;
const LARGEST_STARTUP: usize = 10_000;

const VERSION_3: u32 = 3 << 16;
const CANCEL: u32 = 80_877_102;
const TLS: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

/// What a client opens a connection with.
#[derive(Debug, PartialEq, Eq)]
pub enum Opening {
    Startup {
        minor: u16,
    },
    /// It asks for encryption, which is declined.
    Encryption,
    Cancel,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Message<'a> {
    pub kind: u8,
    pub body: &'a [u8],
    /// The whole message as it came.
    pub raw: &'a [u8],
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..)?.first_chunk().map(|four| u32::from_be_bytes(*four))
}

/// The first message of a client, and its length; nothing if it is not whole yet.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(length) = u32_at(bytes, 0) else { return Ok(None) };
    let length = length as usize;
    if !(8..=LARGEST_STARTUP).contains(&length) {
        return Err(Malformed("the startup message has an impossible length"));
    }
    if bytes.len() < length {
        return Ok(None);
    }
    let opening = match u32_at(bytes, 4) {
        Some(TLS | GSS) => Opening::Encryption,
        Some(CANCEL) => Opening::Cancel,
        Some(version) if version & 0xffff_0000 == VERSION_3 => Opening::Startup { minor: version as u16 },
        _ => return Err(Malformed("only version 3 of the protocol is spoken")),
    };
    Ok(Some((opening, length)))
}

/// The next message; nothing if it is not whole yet.
pub fn message(bytes: &[u8]) -> Result<Option<Message<'_>>, Malformed> {
    let Some(length) = u32_at(bytes, 1) else { return Ok(None) };
    let length = length as usize;
    if !(4..=LARGEST_MESSAGE).contains(&length) {
        return Err(Malformed("a message has an impossible length"));
    }
    let raw = bytes.get(..length + 1);
    Ok(raw.map(|raw| Message { kind: raw[0], body: &raw[5..], raw }))
}

/// The text of a query: up to its zero byte, with nothing behind it.
pub fn query_text(body: &[u8]) -> Result<&[u8], Malformed> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(Malformed("a query does not end in its one zero byte")),
    }
}

/// A message of this kind whose body the caller writes.
fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    put_sized(out, body);
}

/// A body behind its length.
fn put_sized(out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
    let at = out.len();
    out.extend([0; 4]);
    body(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_pair(out: &mut Vec<u8>, (name, value): (&str, &str)) {
    put_text(out, name);
    put_text(out, value);
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    put_sized(out, |out| {
        out.extend(VERSION_3.to_be_bytes());
        put_pair(out, ("user", user));
        put_pair(out, ("database", database));
        out.push(0);
    });
}

/// The connection, and its key, whose command a cancel request is to end.
///
/// ```
/// let request = [16u32, 80_877_102, 7, 99].map(u32::to_be_bytes).concat();
/// assert_eq!(comethitchd::wire::postgres::cancels(&request), Some((7, 99)));
/// assert_eq!(comethitchd::wire::postgres::cancels(&request[..8]), None);
/// ```
pub fn cancels(request: &[u8]) -> Option<(u32, u32)> {
    let word = |at: usize| Some(u32::from_be_bytes(request.get(at..at + 4)?.try_into().ok()?));
    word(8).zip(word(12)).filter(|_| request.len() == 16)
}

/// Lets a client in, and tells it that it may ask.
pub fn put_welcome(out: &mut Vec<u8>, minor: u16, number: u32, key: u32) {
    if minor > 0 {
        put(out, b'v', |out| out.extend([VERSION_3.to_be_bytes(), [0; 4]].concat()));
    }
    put(out, b'R', |out| out.extend([0; 4]));
    let told = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
        ("integer_datetimes", "on"),
    ];
    told.into_iter().for_each(|pair| put(out, b'S', |out| put_pair(out, pair)));
    put(out, b'K', |out| out.extend([number.to_be_bytes(), key.to_be_bytes()].concat()));
    put_ready(out);
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

pub fn put_empty(out: &mut Vec<u8>) {
    put(out, b'I', |_| ());
}

pub fn put_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', |out| put_text(out, tag));
}

pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str, text: &str, detail: Option<&str>) {
    put(out, b'E', |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', text)];
        for (field, value) in fields.into_iter().chain(detail.map(|detail| (b'D', detail))) {
            out.push(field);
            put_text(out, value);
        }
        out.push(0);
    });
}

/// A query from parts that are written one behind the other.
pub fn put_query(out: &mut Vec<u8>, parts: &[&[u8]]) {
    put(out, b'Q', |out| {
        parts.iter().for_each(|part| out.extend(*part));
        out.push(0);
    });
}

/// What a host may answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// One row of one column, as on the platform.
    #[default]
    OneValue,
    /// Any number of rows and columns, from any number of statements: what ordinary SQL is answered with.
    Any,
}

/// An answer that is larger than what is passed on, though nothing is wrong with it.
pub const TOO_LARGE: Malformed = Malformed("an answer larger than is passed on");
/// The largest answer that is passed on, in bytes.
pub const LARGEST_ANSWER: usize = 8 * LARGEST_MESSAGE;

/// What a host has answered so far to one query, or to the startup message.
#[derive(Debug, Default)]
pub struct Answer {
    form: Form,
    pub rank: Option<String>,
    pub as_of: Option<String>,
    pub vitals: Option<String>,
    pub code: Option<String>,
    /// RowDescription, DataRow and CommandComplete as they came.
    pub value: Vec<u8>,
    /// The error as it came, where any answer may come.
    pub error: Vec<u8>,
    /// The host holds a transaction open: the connection can't carry another's query.
    pub in_transaction: bool,
    row: Option<std::ops::Range<usize>>,
    stage: ConnectionPhase,
    /// Some of the value was taken out already.
    passed: bool,
}

#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionPhase {
    #[default]
    Begun,
    Described,
    Row,
    Complete,
    Ready,
}

/// The most that a host's message of each kind may hold besides a value: names, tags, parameters, errors.
const LARGEST_TEXT: usize = 8 * 1024;

/// Whether a host's message can still become one that is spoken, as far as it has come in. What can't is told
/// by its first bytes: the rest might be long in coming, or never come.
fn may_become(bytes: &[u8], form: Form) -> Result<(), Malformed> {
    let Some(kind) = bytes.first() else { return Ok(()) };
    let body = match kind {
        b'R' => 4..=4,
        b'K' => 8..=8,
        b'Z' => 1..=1,
        b'I' => 0..=0,
        b'T' if form == Form::Any => 2..=LARGEST_MESSAGE - 4,
        b'D' if form == Form::Any => 2..=LARGEST_MESSAGE - 4,
        b'T' => 2 + 1 + 18..=LARGEST_TEXT,
        b'D' => 6..=LARGEST_MESSAGE,
        b'S' | b'C' | b'E' | b'N' | b'A' | b'v' => 1..=LARGEST_TEXT,
        _ => return Err(Malformed("a message of unknown type")),
    };
    let Some(length) = u32_at(bytes, 1) else { return Ok(()) };
    let length = length as usize;
    if length.checked_sub(4).is_none_or(|length| !body.contains(&length)) {
        return Err(Malformed("a message has an impossible length"));
    }
    if *kind == b'D' && form == Form::OneValue {
        // A row of one column, which fills it.
        let columns = bytes.get(5..7).is_none_or(|columns| columns == [0, 1]);
        if !columns || u32_at(bytes, 7).is_some_and(|column| column as usize != length - 10) {
            return Err(Malformed("a row that does not hold one value"));
        }
    }
    Ok(())
}

/// A host's next message; nothing if it is not whole yet and can still become one.
pub fn host_message(bytes: &[u8]) -> Result<Option<Message<'_>>, Malformed> {
    may_become(bytes, Form::OneValue)?;
    message(bytes)
}

/// Texts that each end in a zero byte, with nothing behind the last one.
fn texts(body: &[u8]) -> Option<impl Iterator<Item = &[u8]>> {
    body.strip_suffix(b"\0").map(|body| body.split(|b| *b == 0))
}

/// A row's description: one column, its name and what is told of its type.
fn describes_one(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).and_then(|rest| rest.len().checked_sub(19).map(|end| (rest, end)));
    name.is_some_and(|(rest, end)| rest[end] == 0 && !rest[..end].contains(&0))
}

impl Answer {
    pub fn of(form: Form) -> Answer {
        Answer { form, ..Answer::default() }
    }

    /// The host's next message; nothing if it is not whole yet and can still become one of this answer's form.
    pub fn next<'a>(&self, bytes: &'a [u8]) -> Result<Option<Message<'a>>, Malformed> {
        may_become(bytes, self.form)?;
        message(bytes)
    }

    /// Takes in the host's next message; what it means must follow what came before.
    pub fn take(&mut self, message: &Message<'_>) -> Result<(), Malformed> {
        let one_text =
            || texts(message.body).is_some_and(|mut all| all.next().is_some() && all.next().is_none());
        let next = match (message.kind, &self.stage) {
            (b'N' | b'A' | b'K' | b'v', _) => return Ok(()),
            (b'S', _) => return self.told(message.body),
            (b'R', ConnectionPhase::Begun) if message.body == [0; 4] => return Ok(()),
            (b'R', _) => return Err(Malformed("the host asks for a password")),
            (b'E', _) => {
                let code = error_code(message.body).ok_or(Malformed("an error without a code"))?;
                let refuses = matches!(&*code, "53300" | "57P03");
                self.code = Some(code.into_owned());
                // A client takes these two for a refusal, which only the module gives.
                if self.form == Form::Any && !refuses {
                    self.error = message.raw.to_vec();
                }
                return Ok(());
            }
            (b'I', ConnectionPhase::Begun) => ConnectionPhase::Complete,
            (b'T', ConnectionPhase::Begun | ConnectionPhase::Complete) if self.form == Form::Any => {
                ConnectionPhase::Described
            }
            (b'D', ConnectionPhase::Described | ConnectionPhase::Row) if self.form == Form::Any => {
                ConnectionPhase::Row
            }
            (b'I' | b'C', stage) if self.form == Form::Any && *stage < ConnectionPhase::Ready => {
                ConnectionPhase::Complete
            }
            (b'T', ConnectionPhase::Begun) if describes_one(message.body) => ConnectionPhase::Described,
            (b'D', ConnectionPhase::Described) => ConnectionPhase::Row,
            (b'C', ConnectionPhase::Begun | ConnectionPhase::Row) if one_text() => ConnectionPhase::Complete,
            (b'Z', _) if !b"ITE".contains(&message.body[0]) => return Err(Malformed("an unknown state")),
            (b'Z', stage) if *stage == ConnectionPhase::Complete || self.code.is_some() => {
                ConnectionPhase::Ready
            }
            (b'Z', ConnectionPhase::Begun) => ConnectionPhase::Ready,
            _ => return Err(Malformed("a message out of its order")),
        };
        self.in_transaction |= message.kind == b'Z' && message.body != b"I";
        if next == ConnectionPhase::Row {
            self.row = Some(self.value.len() + 5..self.value.len() + message.raw.len());
        }
        if next != ConnectionPhase::Ready {
            let most = if self.form == Form::Any { LARGEST_ANSWER } else { LARGEST_MESSAGE };
            // What is taken out in time never reaches the bound.
            if self.value.len() + message.raw.len() > most {
                return Err(if self.form == Form::Any {
                    TOO_LARGE
                } else {
                    Malformed("a value larger than it may be")
                });
            }
            self.value.extend(message.raw);
        }
        self.stage = next;
        Ok(())
    }

    fn told(&mut self, body: &[u8]) -> Result<(), Malformed> {
        let pair: Option<Vec<&[u8]>> = texts(body).map(|texts| texts.take(3).collect());
        let Some(&[name, value]) = pair.as_deref() else {
            return Err(Malformed("a ParameterStatus that is no name and value"));
        };
        let value = Some(String::from_utf8_lossy(value).into_owned());
        match name {
            b"rank" => self.rank = value,
            b"as_of" => self.as_of = value,
            b"vitals" => self.vitals = value,
            _ => {}
        }
        Ok(())
    }

    /// Takes out what has come of the value so far.
    pub fn pass(&mut self) -> Vec<u8> {
        self.passed = true;
        std::mem::take(&mut self.value)
    }

    /// The host has nothing more to say, and the connection can carry the next query.
    pub fn ready(&self) -> bool {
        self.stage == ConnectionPhase::Ready
    }

    /// The value is whole, whether or not anything follows it.
    pub fn whole(&self) -> bool {
        let any = self.form == Form::Any && (self.passed || !self.value.is_empty());
        (any || self.row.is_some()) && self.stage >= ConnectionPhase::Complete && self.code.is_none()
    }

    /// The text of the row's one column.
    pub fn column(&self) -> Option<Cow<'_, str>> {
        let row = &self.value[self.row.clone()?];
        let length = u32_at(row, 2)? as usize;
        row.get(6..)?.get(..length).map(String::from_utf8_lossy)
    }
}

/// The code of an error whose fields are well formed.
fn error_code(body: &[u8]) -> Option<Cow<'_, str>> {
    let mut fields = texts(body.strip_suffix(b"\0")?)?.filter_map(|field| field.split_first());
    let code = fields.find(|(name, _)| **name == b'C').map(|(_, code)| code);
    let known = |code: &&[u8]| code.len() == 5 && code.iter().all(u8::is_ascii_alphanumeric);
    code.filter(known).map(String::from_utf8_lossy)
}
