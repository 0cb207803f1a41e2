//! Parses a host's response to a query or a startup message incrementally, message by message.
//!
//! The order of the messages, their lengths and the fields that the router depends on are checked as soon as
//! their first bytes arrive, so that a host that violates the protocol fails at once instead of timing out.

use super::MAX_MESSAGE_BYTES;
use super::message::{HEADER_BYTES, LENGTH_BYTES, LENGTH_OFFSET, Message, message, u32_at};
use super::message_type::backend;
use crate::wire::MalformedMessage;
use std::borrow::Cow;
use std::ops::{Range, RangeInclusive};

/// Maximum size of a response or, if it is streamed, of the part that is not sent yet.
pub const MAX_RESPONSE_BYTES: usize = 8 * MAX_MESSAGE_BYTES;
/// Maximum size of the body of a message that contains no values, such as a description, tag, parameter or
/// error.
const MAX_TEXT_BYTES: usize = 8 * 1024;
/// Maximum size of the messages of a response that are neither rows nor tags, such as notices and parameters. If
/// the response is streamed, it applies between two parts.
const MAX_STATUS_BYTES: usize = MAX_MESSAGE_BYTES;
/// Size of the message header and the number of columns, which precede a row's first column.
const ROW_HEADER_BYTES: usize = HEADER_BYTES + COLUMN_COUNT_BYTES;
/// Size of the number of columns at the start of the body of a row or a row description.
const COLUMN_COUNT_BYTES: usize = 2;
/// Size of the length before each column's value in a row.
const COLUMN_LENGTH_BYTES: usize = 4;
/// Size of the fields after a column's name in a row description.
const COLUMN_TYPE_BYTES: usize = 18;
/// The SQLSTATEs that clients interpret as throttling: `too_many_connections` and `cannot_connect_now`. They
/// are not forwarded from hosts, because only the policy decides to throttle.
const THROTTLING_CODES: [&str; 2] = ["53300", "57P03"];

/// The rows that a response may contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseShape {
    /// One row of one column.
    #[default]
    SingleValue,
    /// Any number of rows and columns from any number of statements, as with ordinary SQL.
    AnyRows,
}

/// Reasons why a response is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The host violated the protocol.
    #[error(transparent)]
    Malformed(#[from] MalformedMessage),
    /// The response is valid, but larger than [`MAX_RESPONSE_BYTES`].
    #[error("the response is larger than {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
}

/// The parameters that carry a host's load report; see [`crate::wire::host_report`].
#[derive(Debug, Default)]
pub struct HostParameters {
    /// The host's role, parameter `rank`.
    pub role: Option<String>,
    /// The replication position, parameter `as_of`.
    pub position: Option<String>,
    /// A load report as text, parameter `vitals`.
    pub load_report: Option<String>,
}

/// The received part of a host's response.
#[derive(Debug, Default)]
pub struct HostResponse {
    shape: ResponseShape,
    /// The received parameters.
    pub parameters: HostParameters,
    /// The SQLSTATE of the error, if there was one.
    pub error_code: Option<String>,
    /// The messages `RowDescription`, `DataRow` and `CommandComplete` as received.
    pub rows: Vec<u8>,
    /// The `ErrorResponse` as received, if it may be forwarded: only with [`ResponseShape::AnyRows`].
    pub error: Vec<u8>,
    /// Whether a transaction is open, so that the connection cannot be reused.
    pub in_transaction: bool,
    /// Byte range in `rows` of the body of the last `DataRow`.
    last_row: Option<Range<usize>>,
    /// Offset in `rows` of the last message.
    last_message_start: usize,
    phase: ResponsePhase,
    /// Whether rows were already taken to be streamed.
    rows_taken: bool,
    /// Size of the messages that are neither rows nor tags, since rows were last taken.
    status_bytes: usize,
}

/// The kind of the last message that was received, apart from those that may come at any time. `Started` if
/// there was none.
#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum ResponsePhase {
    #[default]
    Started,
    Described,
    Row,
    CommandComplete,
    Ready,
}

/// Returns the possible body lengths of a message type, or `None` if the type is unknown.
fn body_lengths(kind: u8, shape: ResponseShape) -> Option<RangeInclusive<usize>> {
    let lengths = match kind {
        backend::AUTHENTICATION => 4..=4,
        backend::BACKEND_KEY_DATA => 8..=8,
        backend::READY_FOR_QUERY => 1..=1,
        backend::EMPTY_QUERY => 0..=0,
        backend::ROW_DESCRIPTION | backend::DATA_ROW if shape == ResponseShape::AnyRows => {
            COLUMN_COUNT_BYTES..=MAX_MESSAGE_BYTES - LENGTH_BYTES
        }
        backend::ROW_DESCRIPTION => COLUMN_COUNT_BYTES + 1 + COLUMN_TYPE_BYTES..=MAX_TEXT_BYTES,
        backend::DATA_ROW => COLUMN_COUNT_BYTES + COLUMN_LENGTH_BYTES..=MAX_MESSAGE_BYTES,
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

/// Checks the received part of the first message in `bytes`, because the rest of an invalid one may never
/// arrive.
fn check_prefix(bytes: &[u8], shape: ResponseShape) -> Result<(), MalformedMessage> {
    let Some(kind) = bytes.first() else { return Ok(()) };
    let lengths =
        body_lengths(*kind, shape).ok_or(MalformedMessage("the host sent a message of unknown type"))?;
    let Some(length) = u32_at(bytes, LENGTH_OFFSET) else { return Ok(()) };
    let length = length as usize;
    if length.checked_sub(LENGTH_BYTES).is_none_or(|length| !lengths.contains(&length)) {
        return Err(MalformedMessage("the host sent a message of invalid length"));
    }
    if *kind == backend::DATA_ROW && shape == ResponseShape::SingleValue {
        return check_single_column(bytes, length);
    }
    Ok(())
}

/// Checks that a row consists of a single column.
fn check_single_column(bytes: &[u8], length: usize) -> Result<(), MalformedMessage> {
    let is_one = bytes.get(HEADER_BYTES..ROW_HEADER_BYTES).is_none_or(|columns| columns == [0, 1]);
    let preceding_bytes = LENGTH_BYTES + COLUMN_COUNT_BYTES + COLUMN_LENGTH_BYTES;
    let fills_row =
        u32_at(bytes, ROW_HEADER_BYTES).is_none_or(|column| column as usize == length - preceding_bytes);
    if !is_one || !fills_row {
        return Err(MalformedMessage("the host sent a row that is not a single value"));
    }
    Ok(())
}

/// Splits a body into zero-terminated texts. Returns `None` if the body does not end with a zero byte.
fn zero_terminated(body: &[u8]) -> Option<impl Iterator<Item = &[u8]>> {
    body.strip_suffix(b"\0").map(|body| body.split(|b| *b == 0))
}

fn is_one_text(body: &[u8]) -> bool {
    zero_terminated(body).is_some_and(|texts| texts.count() == 1)
}

/// Returns whether a row description consists of a single column.
fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let Some(name_length) = column.len().checked_sub(1 + COLUMN_TYPE_BYTES) else { return false };
    column[name_length] == 0 && !column[..name_length].contains(&0)
}

impl HostResponse {
    /// Creates an empty response.
    pub fn new(shape: ResponseShape) -> HostResponse {
        HostResponse { shape, ..HostResponse::default() }
    }

    /// Returns the first message in `bytes`, or `None` if it is incomplete.
    ///
    /// # Errors
    /// If the message is invalid, as far as its received part shows.
    pub fn next_message<'a>(&self, bytes: &'a [u8]) -> Result<Option<Message<'a>>, MalformedMessage> {
        check_prefix(bytes, self.shape)?;
        message(bytes)
    }

    /// Adds the next message to the response.
    ///
    /// # Errors
    /// If the message is out of order, or makes the response too large.
    pub fn accept(&mut self, message: &Message<'_>) -> Result<(), ResponseError> {
        match message.kind {
            backend::NOTICE
            | backend::NOTIFICATION
            | backend::BACKEND_KEY_DATA
            | backend::NEGOTIATE_VERSION => Ok(self.add_status(message)?),
            backend::PARAMETER_STATUS => {
                self.add_status(message)?;
                Ok(self.set_parameter(message.body)?)
            }
            backend::AUTHENTICATION => {
                self.add_status(message)?;
                Ok(self.check_authentication(message.body)?)
            }
            backend::ERROR => {
                self.add_status(message)?;
                Ok(self.set_error(message)?)
            }
            _ => {
                let next = self.next_phase(message)?;
                self.enter(next, message)
            }
        }
    }

    /// Counts a message that is neither a row nor a tag.
    ///
    /// # Errors
    /// If there were too many, because a host could send them without end.
    fn add_status(&mut self, message: &Message<'_>) -> Result<(), MalformedMessage> {
        self.status_bytes += message.raw.len();
        if self.status_bytes > MAX_STATUS_BYTES {
            return Err(MalformedMessage("the host sent too many messages with an answer"));
        }
        Ok(())
    }

    fn set_parameter(&mut self, body: &[u8]) -> Result<(), MalformedMessage> {
        let texts: Option<Vec<&[u8]>> = zero_terminated(body).map(|texts| texts.take(3).collect());
        let Some(&[name, value]) = texts.as_deref() else {
            return Err(MalformedMessage("the host sent a ParameterStatus that is not a name and a value"));
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

    /// Checks that an authentication message is `AuthenticationOk`, which is supported only at the start of a
    /// response.
    fn check_authentication(&self, body: &[u8]) -> Result<(), MalformedMessage> {
        if self.phase != ResponsePhase::Started || body != [0; 4] {
            return Err(MalformedMessage(
                "the host sent an unexpected or unsupported authentication request",
            ));
        }
        Ok(())
    }

    fn set_error(&mut self, message: &Message<'_>) -> Result<(), MalformedMessage> {
        let code = error_code(message.body)
            .ok_or(MalformedMessage("the host sent an error without a valid SQLSTATE"))?;
        let throttles = THROTTLING_CODES.contains(&&*code);
        self.error_code = Some(code.into_owned());
        if self.shape == ResponseShape::AnyRows && !throttles {
            self.error = message.raw.to_vec();
        }
        Ok(())
    }

    /// Returns the phase that a message leads to.
    ///
    /// # Errors
    /// If the message is out of order.
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
                return Err(MalformedMessage("the host sent an unknown transaction status"));
            }
            (backend::READY_FOR_QUERY, phase) if *phase == CommandComplete || self.error_code.is_some() => {
                Ready
            }
            (backend::READY_FOR_QUERY, Started) => Ready,
            _ => return Err(MalformedMessage("the host sent a message out of order")),
        };
        Ok(next)
    }

    fn enter(&mut self, next: ResponsePhase, message: &Message<'_>) -> Result<(), ResponseError> {
        if message.kind == backend::READY_FOR_QUERY {
            self.in_transaction |= message.body != b"I";
        }
        if next == ResponsePhase::Row {
            let body_start = self.rows.len() + HEADER_BYTES;
            self.last_row = Some(body_start..self.rows.len() + message.raw.len());
        }
        if next != ResponsePhase::Ready {
            self.check_size(message.raw.len())?;
            self.last_message_start = self.rows.len();
            self.rows.extend(message.raw);
        }
        self.phase = next;
        Ok(())
    }

    /// Checks that the response may grow by `added_bytes`. Rows that were taken to be streamed do not count.
    fn check_size(&self, added_bytes: usize) -> Result<(), ResponseError> {
        let length = self.rows.len() + added_bytes;
        match self.shape {
            ResponseShape::AnyRows if length > MAX_RESPONSE_BYTES => Err(ResponseError::TooLarge),
            ResponseShape::SingleValue if length > MAX_MESSAGE_BYTES => {
                Err(MalformedMessage("the host sent a value that is too large").into())
            }
            _ => Ok(()),
        }
    }

    /// Removes and returns the rows received so far, to be streamed.
    pub fn take_rows(&mut self) -> Vec<u8> {
        self.rows_taken = true;
        self.status_bytes = 0;
        std::mem::take(&mut self.rows)
    }

    /// Returns whether `ReadyForQuery` was received, so that the connection can carry the next query.
    pub fn is_ready(&self) -> bool {
        self.phase == ResponsePhase::Ready
    }

    /// Returns whether all rows were received without an error. `ReadyForQuery` may still be missing.
    pub fn is_complete(&self) -> bool {
        let has_any_rows = self.shape == ResponseShape::AnyRows && (self.rows_taken || !self.rows.is_empty());
        let has_rows = has_any_rows || self.last_row.is_some();
        has_rows && self.phase >= ResponsePhase::CommandComplete && self.error_code.is_none()
    }

    /// Returns the last message of `rows` as received.
    pub fn last_message(&self) -> &[u8] {
        self.rows.get(self.last_message_start..).unwrap_or_default()
    }

    /// Returns the text of the first column of the last row, or `None` if there is no row.
    pub fn single_value(&self) -> Option<Cow<'_, str>> {
        let row = &self.rows[self.last_row.clone()?];
        let length = u32_at(row, COLUMN_COUNT_BYTES)? as usize;
        row.get(COLUMN_COUNT_BYTES + COLUMN_LENGTH_BYTES..)?.get(..length).map(String::from_utf8_lossy)
    }
}

/// Returns the SQLSTATE of an `ErrorResponse`, or `None` if it is malformed.
fn error_code(body: &[u8]) -> Option<Cow<'_, str>> {
    let mut fields = zero_terminated(body.strip_suffix(b"\0")?)?.filter_map(|field| field.split_first());
    let code = fields.find(|(name, _)| **name == b'C').map(|(_, code)| code);
    let is_sqlstate = |code: &&[u8]| code.len() == 5 && code.iter().all(u8::is_ascii_alphanumeric);
    code.filter(is_sqlstate).map(String::from_utf8_lossy)
}
