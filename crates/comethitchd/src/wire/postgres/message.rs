//! Splits bytes into messages, and parses those that clients send.

use super::{MAX_MESSAGE_BYTES, VERSION_3};
use crate::wire::MalformedMessage;

const MIN_STARTUP_BYTES: usize = 8;
const MAX_STARTUP_BYTES: usize = 10_000;
/// A message's length counts its own field.
const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = 1 + LENGTH_BYTES;
const MAJOR_VERSION_MASK: u32 = 0xffff_0000;
const CANCEL_CODE: u32 = 80_877_102;
const TLS_CODE: u32 = 80_877_103;
const GSS_CODE: u32 = 80_877_104;
const CANCEL_REQUEST_BYTES: usize = 16;

/// The first message of a client's connection.
#[derive(Debug, PartialEq, Eq)]
pub struct StartupMessage {
    /// What the client asks for.
    pub request: StartupRequest,
    /// Length of the message in bytes.
    pub length: usize,
}

/// What a client asks for with its first message.
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

/// A message as it came.
#[derive(Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Its type byte, one of [`super::message_type`].
    pub kind: u8,
    /// What stands behind its length.
    pub body: &'a [u8],
    /// All of its bytes.
    pub raw: &'a [u8],
}

/// The number of 32 bits at this place, if the bytes reach that far.
pub(super) fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..)?.first_chunk().map(|four| u32::from_be_bytes(*four))
}

/// Parses the first message of a client. Returns `None` if it is incomplete.
///
/// # Errors
/// If its length is impossible, or it asks for another version of the protocol.
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
        Some(TLS_CODE | GSS_CODE) => StartupRequest::Encryption,
        Some(CANCEL_CODE) => StartupRequest::Cancel,
        Some(version) if version & MAJOR_VERSION_MASK == VERSION_3 => {
            StartupRequest::Session { minor: version as u16 }
        }
        _ => return Err(MalformedMessage("only version 3 of the protocol is spoken")),
    };
    Ok(Some(StartupMessage { request, length }))
}

/// Returns the next message, or none if it is not complete yet.
///
/// # Errors
/// If its length is impossible.
pub fn message(bytes: &[u8]) -> Result<Option<Message<'_>>, MalformedMessage> {
    let Some(length) = u32_at(bytes, 1) else { return Ok(None) };
    let length = length as usize;
    if !(LENGTH_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(MalformedMessage("a message has an impossible length"));
    }
    let raw = bytes.get(..1 + length);
    Ok(raw.map(|raw| Message { kind: raw[0], body: &raw[HEADER_BYTES..], raw }))
}

/// The text of a Query message's body: up to its zero byte, with nothing behind it.
///
/// # Errors
/// If the zero byte is missing, or stands elsewhere.
pub fn query_text(body: &[u8]) -> Result<&[u8], MalformedMessage> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(MalformedMessage("a query does not end in its one zero byte")),
    }
}

/// The connection whose query a cancel request is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelTarget {
    /// The connection's number, as sent to it in `BackendKeyData`.
    pub connection: u32,
    /// The secret key sent with it.
    pub key: u32,
}

/// The target of a cancel request; none if the request is of another length.
///
/// ```
/// use comethitchd::wire::postgres::{CancelTarget, cancel_target};
/// let request = [16u32, 80_877_102, 7, 99].map(u32::to_be_bytes).concat();
/// assert_eq!(cancel_target(&request), Some(CancelTarget { connection: 7, key: 99 }));
/// assert_eq!(cancel_target(&request[..8]), None);
/// ```
pub fn cancel_target(request: &[u8]) -> Option<CancelTarget> {
    if request.len() != CANCEL_REQUEST_BYTES {
        return None;
    }
    Some(CancelTarget { connection: u32_at(request, 8)?, key: u32_at(request, 12)? })
}
