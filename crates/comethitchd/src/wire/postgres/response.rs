//! A host's response to one query, or to the startup message, put together message by message.
//!
//! The order of messages, their lengths and the parts of them that the router depends on are checked as early as their
//! first bytes come in, so that a host that breaks the protocol is not waited for.

use super::MAX_MESSAGE_BYTES;
use super::message::{Message, message, u32_at};
use super::message_type::backend;
use crate::wire::MalformedMessage;
use std::borrow::Cow;
use std::ops::{Range, RangeInclusive};

/// The largest response that is forwarded, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 * MAX_MESSAGE_BYTES;
/// The most that a message may hold besides a value: names, tags, parameters, errors.
const MAX_TEXT_BYTES: usize = 8 * 1024;
/// The type byte, the length and the number of columns: a row's first column follows.
const ROW_HEADER_BYTES: usize = 1 + 4 + 2;
/// A row description holds this behind its column's name.
const COLUMN_TYPE_BYTES: usize = 18;
/// The SQLSTATEs that clients read as the router's own throttling: 53300 `too_many_connections`, 57P03
/// `cannot_connect_now`. Only the policy decides to throttle.
const THROTTLING_CODES: [&str; 2] = ["53300", "57P03"];

/// What a host may respond with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseShape {
    /// One row of one column, as on the platform.
    #[default]
    SingleValue,
    /// Any number of rows and columns, from any number of statements: what ordinary SQL is answered with.
    AnyRows,
}

/// Why a response can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The host broke the protocol.
    #[error(transparent)]
    Malformed(#[from] MalformedMessage),
    /// Nothing is wrong with it, but it is larger than [`MAX_RESPONSE_BYTES`].
    #[error("an answer larger than is passed on")]
    TooLarge,
}

/// The parameters by which a host reports how it stands; see [`crate::wire::host_report`].
#[derive(Debug, Default)]
pub struct HostParameters {
    /// The parameter `rank`: the host's role.
    pub role: Option<String>,
    /// The parameter `as_of`: its replication position.
    pub position: Option<String>,
    /// The parameter `vitals`: a load report.
    pub load_report: Option<String>,
}

/// What a host has sent so far.
#[derive(Debug, Default)]
pub struct HostResponse {
    shape: ResponseShape,
    /// The parameters that came.
    pub parameters: HostParameters,
    /// The SQLSTATE of the error, if one came.
    pub error_code: Option<String>,
    /// `RowDescription`, `DataRow` and `CommandComplete` as they came.
    pub rows: Vec<u8>,
    /// The `ErrorResponse` as it came, where any rows may come.
    pub error: Vec<u8>,
    /// The host holds a transaction open: the connection can't carry another's query.
    pub in_transaction: bool,
    /// Where the body of the last `DataRow` stands in `rows`.
    last_row: Option<Range<usize>>,
    phase: ResponsePhase,
    /// Some of the rows were streamed already.
    rows_taken: bool,
}

/// What came last.
#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum ResponsePhase {
    #[default]
    Started,
    Described,
    Row,
    CommandComplete,
    Ready,
}

/// The lengths that the body of a message of this type can have.
fn body_lengths(kind: u8, shape: ResponseShape) -> Option<RangeInclusive<usize>> {
    let lengths = match kind {
        backend::AUTHENTICATION => 4..=4,
        backend::BACKEND_KEY_DATA => 8..=8,
        backend::READY_FOR_QUERY => 1..=1,
        backend::EMPTY_QUERY => 0..=0,
        backend::ROW_DESCRIPTION | backend::DATA_ROW if shape == ResponseShape::AnyRows => {
            2..=MAX_MESSAGE_BYTES - 4
        }
        backend::ROW_DESCRIPTION => 2 + 1 + COLUMN_TYPE_BYTES..=MAX_TEXT_BYTES,
        backend::DATA_ROW => 6..=MAX_MESSAGE_BYTES,
        backend::PARAMETER_STATUS
        | backend::COMMAND_COMPLETE
        | backend::ERROR
        | backend::NOTICE
        | backend::NOTIFICATION
        | backend::NEGOTIATE_VERSION => 1..=MAX_TEXT_BYTES,
        _ => return None,
    };
    Some(lengths)
}

/// Checks that the first message in `bytes` can still become a valid one, as far as it has come in. What can't shows
/// by its first bytes: the rest might be long in coming, or never come.
fn check_prefix(bytes: &[u8], shape: ResponseShape) -> Result<(), MalformedMessage> {
    let Some(kind) = bytes.first() else { return Ok(()) };
    let lengths = body_lengths(*kind, shape).ok_or(MalformedMessage("a message of unknown type"))?;
    let Some(length) = u32_at(bytes, 1) else { return Ok(()) };
    let length = length as usize;
    if length.checked_sub(4).is_none_or(|length| !lengths.contains(&length)) {
        return Err(MalformedMessage("a message has an impossible length"));
    }
    if *kind == backend::DATA_ROW && shape == ResponseShape::SingleValue {
        return check_single_column(bytes, length);
    }
    Ok(())
}

/// Checks that a row holds one column, which fills it.
fn check_single_column(bytes: &[u8], length: usize) -> Result<(), MalformedMessage> {
    let is_one = bytes.get(5..ROW_HEADER_BYTES).is_none_or(|columns| columns == [0, 1]);
    let fills_row = u32_at(bytes, ROW_HEADER_BYTES).is_none_or(|column| column as usize == length - 10);
    if !is_one || !fills_row {
        return Err(MalformedMessage("a row that does not hold one value"));
    }
    Ok(())
}

/// Texts that each end in a zero byte, with nothing behind the last one.
fn zero_terminated(body: &[u8]) -> Option<impl Iterator<Item = &[u8]>> {
    body.strip_suffix(b"\0").map(|body| body.split(|b| *b == 0))
}

fn is_one_text(body: &[u8]) -> bool {
    zero_terminated(body).is_some_and(|texts| texts.count() == 1)
}

/// Whether a row's description has one column: its name, and the fields of its type.
fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let Some(name_length) = column.len().checked_sub(1 + COLUMN_TYPE_BYTES) else { return false };
    column[name_length] == 0 && !column[..name_length].contains(&0)
}

impl HostResponse {
    /// A response of which nothing has come yet.
    pub fn new(shape: ResponseShape) -> HostResponse {
        HostResponse { shape, ..HostResponse::default() }
    }

    /// Returns the host's next message, or none if it is not complete yet and can still become a valid one.
    ///
    /// # Errors
    /// If it can't become one, whatever may follow.
    pub fn next_message<'a>(&self, bytes: &'a [u8]) -> Result<Option<Message<'a>>, MalformedMessage> {
        check_prefix(bytes, self.shape)?;
        message(bytes)
    }

    /// Takes in the host's next message.
    ///
    /// # Errors
    /// If it must not follow what came before, or makes the response too large.
    pub fn accept(&mut self, message: &Message<'_>) -> Result<(), ResponseError> {
        match message.kind {
            backend::NOTICE
            | backend::NOTIFICATION
            | backend::BACKEND_KEY_DATA
            | backend::NEGOTIATE_VERSION => Ok(()),
            backend::PARAMETER_STATUS => Ok(self.set_parameter(message.body)?),
            backend::AUTHENTICATION => Ok(self.check_authentication(message.body)?),
            backend::ERROR => Ok(self.set_error(message)?),
            _ => {
                let next = self.next_phase(message)?;
                self.enter(next, message)
            }
        }
    }

    fn set_parameter(&mut self, body: &[u8]) -> Result<(), MalformedMessage> {
        let texts: Option<Vec<&[u8]>> = zero_terminated(body).map(|texts| texts.take(3).collect());
        let Some(&[name, value]) = texts.as_deref() else {
            return Err(MalformedMessage("a ParameterStatus that is no name and value"));
        };
        let value = Some(String::from_utf8_lossy(value).into_owned());
        match name {
            b"rank" => self.parameters.role = value,
            b"as_of" => self.parameters.position = value,
            b"vitals" => self.parameters.load_report = value,
            _ => {}
        }
        Ok(())
    }

    /// Only `AuthenticationOk` is supported, and only at the start.
    fn check_authentication(&self, body: &[u8]) -> Result<(), MalformedMessage> {
        if self.phase != ResponsePhase::Started || body != [0; 4] {
            return Err(MalformedMessage("the host asks for a password"));
        }
        Ok(())
    }

    fn set_error(&mut self, message: &Message<'_>) -> Result<(), MalformedMessage> {
        let code = error_code(message.body).ok_or(MalformedMessage("an error without a code"))?;
        let throttles = THROTTLING_CODES.contains(&&*code);
        self.error_code = Some(code.into_owned());
        if self.shape == ResponseShape::AnyRows && !throttles {
            self.error = message.raw.to_vec();
        }
        Ok(())
    }

    /// The phase that a message leads to; an error if it must not come now.
    fn next_phase(&self, message: &Message<'_>) -> Result<ResponsePhase, MalformedMessage> {
        use ResponsePhase::{CommandComplete, Described, Ready, Row, Started};
        let any_rows = self.shape == ResponseShape::AnyRows;
        let next = match (message.kind, &self.phase) {
            (backend::EMPTY_QUERY, Started) => CommandComplete,
            (backend::ROW_DESCRIPTION, Started | CommandComplete) if any_rows => Described,
            (backend::DATA_ROW, Described | Row) if any_rows => Row,
            (backend::EMPTY_QUERY | backend::COMMAND_COMPLETE, phase) if any_rows && *phase < Ready => {
                CommandComplete
            }
            (backend::ROW_DESCRIPTION, Started) if describes_one_column(message.body) => Described,
            (backend::DATA_ROW, Described) => Row,
            (backend::COMMAND_COMPLETE, Started | Row) if is_one_text(message.body) => CommandComplete,
            (backend::READY_FOR_QUERY, _) if !matches!(message.body, [b'I' | b'T' | b'E', ..]) => {
                return Err(MalformedMessage("an unknown state"));
            }
            (backend::READY_FOR_QUERY, phase) if *phase == CommandComplete || self.error_code.is_some() => {
                Ready
            }
            (backend::READY_FOR_QUERY, Started) => Ready,
            _ => return Err(MalformedMessage("a message out of its order")),
        };
        Ok(next)
    }

    fn enter(&mut self, next: ResponsePhase, message: &Message<'_>) -> Result<(), ResponseError> {
        if message.kind == backend::READY_FOR_QUERY {
            self.in_transaction |= message.body != b"I";
        }
        if next == ResponsePhase::Row {
            let body_start = self.rows.len() + 5;
            self.last_row = Some(body_start..self.rows.len() + message.raw.len());
        }
        if next != ResponsePhase::Ready {
            self.check_size(message.raw.len())?;
            self.rows.extend(message.raw);
        }
        self.phase = next;
        Ok(())
    }

    /// Checks that this many more bytes may come. Rows that are streamed in time never reach the limit.
    fn check_size(&self, more: usize) -> Result<(), ResponseError> {
        let length = self.rows.len() + more;
        match self.shape {
            ResponseShape::AnyRows if length > MAX_RESPONSE_BYTES => Err(ResponseError::TooLarge),
            ResponseShape::SingleValue if length > MAX_MESSAGE_BYTES => {
                Err(MalformedMessage("a value larger than it may be").into())
            }
            _ => Ok(()),
        }
    }

    /// Takes out the rows that have come so far, to be forwarded before the rest.
    pub fn take_rows(&mut self) -> Vec<u8> {
        self.rows_taken = true;
        std::mem::take(&mut self.rows)
    }

    /// Whether the host has ended the response, and the connection can carry the next query.
    pub fn is_ready(&self) -> bool {
        self.phase == ResponsePhase::Ready
    }

    /// Whether all rows have come and no error, whether or not anything follows.
    pub fn is_complete(&self) -> bool {
        let has_any_rows = self.shape == ResponseShape::AnyRows && (self.rows_taken || !self.rows.is_empty());
        let has_rows = has_any_rows || self.last_row.is_some();
        has_rows && self.phase >= ResponsePhase::CommandComplete && self.error_code.is_none()
    }

    /// The text of the row's one column.
    pub fn single_value(&self) -> Option<Cow<'_, str>> {
        let row = &self.rows[self.last_row.clone()?];
        let length = u32_at(row, 2)? as usize;
        row.get(6..)?.get(..length).map(String::from_utf8_lossy)
    }
}

/// The SQLSTATE of an `ErrorResponse` whose fields are well formed.
fn error_code(body: &[u8]) -> Option<Cow<'_, str>> {
    let mut fields = zero_terminated(body.strip_suffix(b"\0")?)?.filter_map(|field| field.split_first());
    let code = fields.find(|(name, _)| **name == b'C').map(|(_, code)| code);
    let is_sqlstate = |code: &&[u8]| code.len() == 5 && code.iter().all(u8::is_ascii_alphanumeric);
    code.filter(is_sqlstate).map(String::from_utf8_lossy)
}
