//! Encodes answers to clients as tokens and packets.

use crate::protocols::tds::packet_buffer;
use crate::protocols::tds::settings::{ErrorNumbers, RETRIED_BY_DRIVERS};
use crate::state::pending_requests::Reply;
use comethitch_tds::packet::{MessageKind, put_message};
use comethitch_tds::token::{ParsedToken, ServerMessage, Token, TokenReader, code, done};
use comethitch_tds::write::{put_done, put_return_value, put_server_message};

/// The server name that is sent to clients.
pub(super) const SERVER_NAME: &str = "comethitch";
/// The length of a DONE token, which ends every answer.
pub(super) const DONE_TOKEN_BYTES: usize = 13;
/// The output parameter that returns a prepared statement's handle.
const HANDLE_PARAMETER: &str = "@handle";
/// The error state sent with all errors. The router does not use it to distinguish them.
const ERROR_STATE: u8 = 1;

/// The severity classes of the router's errors.
pub(super) mod class {
    /// A login failed.
    pub(crate) const LOGIN_FAILED: u8 = 14;
    /// A statement failed.
    pub(crate) const ERROR: u8 = 16;
    /// The connection ends.
    pub(crate) const FATAL: u8 = 20;
}

/// The types of ENVCHANGE tokens.
pub(super) mod env_change_type {
    /// The session's database.
    pub(crate) const DATABASE: u8 = 1;
    /// The session's language.
    pub(crate) const LANGUAGE: u8 = 2;
    /// The packet size.
    pub(crate) const PACKET_SIZE: u8 = 4;
    /// The collation.
    pub(crate) const COLLATION: u8 = 7;
    /// The session was reset.
    pub(crate) const SESSION_RESET: u8 = 18;
}

/// How the answer to a request is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyFraming {
    /// As the answer to a batch.
    Batch,
    /// As the answer to a procedure call.
    Call,
    /// As the answer to a procedure call that also returns the handle of a prepared statement.
    CallReturningHandle(i32),
}

impl ReplyFraming {
    /// Returns the code of the token that ends the answer.
    pub(super) fn done_code(self) -> u8 {
        if self == ReplyFraming::Batch { code::DONE } else { code::DONE_PROCEDURE }
    }
}

/// Encodes a complete response of these tokens.
pub(super) fn encode_packets(packet_size: usize, tokens: &[u8]) -> Vec<u8> {
    let mut packets = packet_buffer(tokens.len());
    put_message(&mut packets, MessageKind::Response, packet_size, tokens);
    packets
}

/// Writes an error, and the token that ends the answer.
pub(super) fn put_failure(tokens: &mut Vec<u8>, number: i32, class: u8, text: &str, done_code: u8) {
    put_server_message(
        tokens,
        &ServerMessage { number, state: ERROR_STATE, class, text: text.into() },
        SERVER_NAME,
    );
    put_done(tokens, done_code, done::ERROR, 0);
}

/// Writes the acknowledgement of an attention.
pub(super) fn put_attention_acknowledgement(tokens: &mut Vec<u8>) {
    put_done(tokens, code::DONE, done::ATTENTION, 0);
}

/// Writes the output parameter for the handle of a prepared statement.
pub(super) fn put_handle(tokens: &mut Vec<u8>, handle: i32) {
    put_return_value(tokens, 0, HANDLE_PARAMETER, handle);
}

/// Writes an answer with the handle of a prepared statement inserted before the last token.
pub(super) fn put_with_handle(tokens: &mut Vec<u8>, answer: &[u8], handle: i32) {
    let (before, last) = answer.split_at(answer.len().saturating_sub(DONE_TOKEN_BYTES));
    tokens.extend(before);
    put_handle(tokens, handle);
    tokens.extend(last);
}

/// Encodes the final answer to a request.
pub(super) struct ReplyEncoder {
    /// The numbers of the router's own errors.
    pub numbers: ErrorNumbers,
    /// How the answer is framed.
    pub framing: ReplyFraming,
    /// Whether the statement is idempotent, so that drivers may retry it even if it has run.
    pub is_idempotent: bool,
}

impl ReplyEncoder {
    /// Writes the answer.
    pub(super) fn put(&self, tokens: &mut Vec<u8>, reply: Reply) {
        match reply {
            // Unreachable: `stream_value` handles it.
            Reply::Streaming(first, _) => tokens.extend(first),
            Reply::Value(value) => self.put_value(tokens, value),
            Reply::Throttled(None) => {
                self.put_error(tokens, self.numbers.throttled, "not now; trying again is harmless");
            }
            Reply::Throttled(Some(after)) => {
                let after_ms = after.as_micros().div_ceil(1_000);
                let text = format!("not now; trying again after {after_ms} ms is harmless");
                self.put_error(tokens, self.numbers.throttled, &text);
            }
            // `Cancelled` does not occur: a TDS client cancels by an attention, which is acknowledged
            // instead.
            Reply::Failed | Reply::Cancelled => {
                self.put_error(tokens, self.numbers.failed, "failed; nothing is known of its effect");
            }
            Reply::FailedWithHostError(answer) => self.put_host_error(tokens, answer),
        }
    }

    fn put_error(&self, tokens: &mut Vec<u8>, number: i32, text: &str) {
        put_failure(tokens, number, class::ERROR, text, self.framing.done_code());
    }

    fn put_value(&self, tokens: &mut Vec<u8>, value: Vec<u8>) {
        match self.framing {
            ReplyFraming::CallReturningHandle(handle) => put_with_handle(tokens, &value, handle),
            ReplyFraming::Batch | ReplyFraming::Call => tokens.extend(value),
        }
    }

    /// Writes a host's answer that contains an error. If drivers would retry on the error, the answer is
    /// replaced by an error that they do not retry on, because the statement may have run. The answer to an
    /// idempotent statement is kept.
    fn put_host_error(&self, tokens: &mut Vec<u8>, answer: Vec<u8>) {
        match error_retried_by_drivers(&answer).filter(|_| !self.is_idempotent) {
            Some(error) => {
                let text = format!("failed by error {}: {}", error.number, error.text);
                self.put_error(tokens, self.numbers.failed, &text);
            }
            None => tokens.extend(answer),
        }
    }
}

/// Returns the first error in an answer that drivers retry on.
fn error_retried_by_drivers(answer: &[u8]) -> Option<ServerMessage> {
    let mut parser = TokenReader::new();
    let mut parsed = 0;
    while let Ok(ParsedToken { token, length }) = parser.next(&answer[parsed..]) {
        parsed += length;
        match token {
            Token::Error(message) if RETRIED_BY_DRIVERS.contains(&message.number) => return Some(message),
            _ => {}
        }
    }
    None
}
