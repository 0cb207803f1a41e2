//! Splits input into messages, and parses the messages of clients.

use super::{MAX_MESSAGE_BYTES, VERSION_3};
use crate::wire::MalformedMessage;

/// Minimum length of a startup message: its length field, and a protocol version or the code of a request.
const MIN_STARTUP_BYTES: usize = 8;
/// Maximum accepted length of a startup message.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Size of the length field. A message's length includes it.
pub(super) const LENGTH_BYTES: usize = 4;
/// Size of a message's header, which consists of the type byte and the length field.
pub(super) const HEADER_BYTES: usize = 1 + LENGTH_BYTES;
/// Offset of the length field, which follows the type byte.
pub(super) const LENGTH_OFFSET: usize = 1;
/// The bits of a protocol version that hold its major version.
const MAJOR_VERSION_MASK: u32 = 0xffff_0000;
/// The code of a `CancelRequest`, in place of a protocol version.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
/// The code of an `SSLRequest`, in place of a protocol version.
const TLS_REQUEST_CODE: u32 = 80_877_103;
/// The code of a `GSSENCRequest`, in place of a protocol version.
const GSS_REQUEST_CODE: u32 = 80_877_104;
const CANCEL_REQUEST_BYTES: usize = 16;
/// Offset of the number of the connection in a `CancelRequest`.
const CANCEL_CONNECTION_OFFSET: usize = 8;
/// Offset of the secret key in a `CancelRequest`.
const CANCEL_KEY_OFFSET: usize = 12;

/// The first message of a client's connection.
#[derive(Debug, PartialEq, Eq)]
pub struct StartupMessage {
    /// What the client requests.
    pub request: StartupRequest,
    /// Length of the message in bytes.
    pub length: usize,
}

/// What a client requests with its first message.
#[derive(Debug, PartialEq, Eq)]
pub enum StartupRequest {
    /// A session in version 3 of the protocol.
    Session {
        /// The minor version.
        minor: u16,
    },
    /// TLS or GSS encryption.
    Encryption,
    /// Cancellation of another connection's query; see [`cancel_target`].
    Cancel,
}

/// A message as received.
#[derive(Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The type byte; [`super::message_type`] lists the known ones.
    pub kind: u8,
    /// The bytes after the header.
    pub body: &'a [u8],
    /// The whole message.
    pub raw: &'a [u8],
}

/// Returns the 32-bit integer at an offset, or `None` if the bytes end before or within it.
pub(super) fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    bytes.get(offset..)?.first_chunk().map(|four| u32::from_be_bytes(*four))
}

/// Parses the first message of a client. Returns `None` if it is incomplete.
///
/// # Errors
/// If its length is impossible, or it requests another version of the protocol.
pub fn startup_message(bytes: &[u8]) -> Result<Option<StartupMessage>, MalformedMessage> {
    let Some(length) = u32_at(bytes, 0) else { return Ok(None) };
    let length = length as usize;
    if !(MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(MalformedMessage("the startup message has an impossible length"));
    }
    if bytes.len() < length {
        return Ok(None);
    }
    let request = match u32_at(bytes, LENGTH_BYTES) {
        Some(TLS_REQUEST_CODE | GSS_REQUEST_CODE) => StartupRequest::Encryption,
        Some(CANCEL_REQUEST_CODE) => StartupRequest::Cancel,
        Some(version) if version & MAJOR_VERSION_MASK == VERSION_3 => {
            StartupRequest::Session { minor: version as u16 }
        }
        _ => return Err(MalformedMessage("only version 3 of the protocol is spoken")),
    };
    Ok(Some(StartupMessage { request, length }))
}

/// Returns the first message in `bytes`, or `None` if it is incomplete.
///
/// # Errors
/// If its length is impossible.
pub fn message(bytes: &[u8]) -> Result<Option<Message<'_>>, MalformedMessage> {
    let Some(length) = u32_at(bytes, LENGTH_OFFSET) else { return Ok(None) };
    let length = length as usize;
    if !(LENGTH_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(MalformedMessage("a message has an impossible length"));
    }
    let raw = bytes.get(..LENGTH_OFFSET + length);
    Ok(raw.map(|raw| Message { kind: raw[0], body: &raw[HEADER_BYTES..], raw }))
}

/// Returns how many bytes the first message in `bytes` lacks; while its header is incomplete, how many bytes
/// the header lacks.
///
/// ```
/// use comethitchd::wire::postgres::missing_bytes;
/// assert_eq!(missing_bytes(b"Q\0\0"), 2);
/// assert_eq!(missing_bytes(b"Q\0\0\0\x06a"), 1);
/// assert_eq!(missing_bytes(b"Q\0\0\0\x06a\0"), 0);
/// ```
pub fn missing_bytes(bytes: &[u8]) -> usize {
    let length = u32_at(bytes, LENGTH_OFFSET).map_or(HEADER_BYTES, |length| LENGTH_OFFSET + length as usize);
    length.saturating_sub(bytes.len())
}

/// Returns the text in the body of a Query message, which must end with the body's only zero byte.
///
/// # Errors
/// If the zero byte is missing, or not the last byte.
pub fn query_text(body: &[u8]) -> Result<&[u8], MalformedMessage> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(MalformedMessage("a query does not end in its one zero byte")),
    }
}

/// The connection whose query a cancel request refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelTarget {
    /// The connection's number, as sent to it in `BackendKeyData`.
    pub connection: u32,
    /// The secret key sent with it.
    pub key: u32,
}

/// Returns the target of a cancel request, or `None` if the message has another length.
///
/// ```
/// use comethitchd::wire::postgres::{CancelTarget, cancel_target};
/// let message = [16u32, 80_877_102, 7, 99].map(u32::to_be_bytes).concat();
/// assert_eq!(cancel_target(&message), Some(CancelTarget { connection: 7, key: 99 }));
/// assert_eq!(cancel_target(&message[..8]), None);
/// ```
pub fn cancel_target(message: &[u8]) -> Option<CancelTarget> {
    if message.len() != CANCEL_REQUEST_BYTES {
        return None;
    }
    let connection = u32_at(message, CANCEL_CONNECTION_OFFSET)?;
    let key = u32_at(message, CANCEL_KEY_OFFSET)?;
    Some(CancelTarget { connection, key })
}
