//! Parses a host's response to one message incrementally.
//!
//! Packets are split into tokens. Tokens that concern only the session between router and host are not
//! forwarded to the client.

use crate::state::host_connection::HostErrorCode;
use comethitch_tds::packet::{HEADER_BYTES, Header, MessageKind, status};
use comethitch_tds::token::{EnvChange, ParsedToken, RowValue, Token, TokenReader, code, done};
use comethitch_tds::types::Value;
use comethitch_tds::{MalformedMessage, ReadError};

/// Maximum size of a token that is forwarded.
pub(super) const MAX_TOKEN_BYTES: usize = 1 << 20;
/// Maximum size of the tokens of a response that are not forwarded. If the response is streamed, it applies
/// between two parts.
const MAX_SESSION_TOKEN_BYTES: usize = 64 * 1024;
/// The highest severity class of an informational message. Messages of higher classes are errors.
const MAX_INFORMATION_CLASS: u8 = 10;

/// The received part of a host's response.
pub struct HostResponse {
    parser: TokenReader,
    /// Payload bytes that were received and are not parsed yet.
    unparsed: Vec<u8>,
    /// Number of payload bytes of the current packet that are not received yet.
    packet_remaining: usize,
    is_last_packet: bool,
    /// The encoded tokens to forward to the client.
    pub tokens: Vec<u8>,
    /// The first error.
    pub error: Option<HostErrorCode>,
    /// The first two values of the first row, for health checks.
    pub first_row: Option<FirstRow>,
    /// Whether the host has accepted the login.
    pub login_accepted: bool,
    /// The packet size in bytes that the host has chosen.
    pub packet_size: Option<usize>,
    /// Whether a transaction is open, so that the connection cannot be reused.
    pub in_transaction: bool,
    /// Whether bytes follow the last token in its message, so that the connection cannot be reused.
    pub has_surplus: bool,
    /// Whether a row or a row count was received.
    has_results: bool,
    /// Size of the tokens that are not forwarded, since tokens were last taken.
    session_token_bytes: usize,
}

/// The first two values of a response's first row.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstRow {
    /// The first column's value.
    pub first: Value,
    /// The second column's value, or [`Value::Null`] if there is no second column.
    pub second: Value,
}

impl HostResponse {
    /// Creates an empty response.
    pub fn new() -> HostResponse {
        HostResponse {
            parser: TokenReader::new(),
            unparsed: Vec::new(),
            packet_remaining: 0,
            is_last_packet: false,
            tokens: Vec::new(),
            error: None,
            first_row: None,
            login_accepted: false,
            packet_size: None,
            in_transaction: false,
            has_surplus: false,
            has_results: false,
            session_token_bytes: 0,
        }
    }

    /// Parses received bytes, and returns how many were consumed. Bytes after the end of the response are not
    /// consumed.
    ///
    /// # Errors
    /// If the host violates the protocol.
    pub fn accept(&mut self, bytes: &[u8]) -> Result<usize, MalformedMessage> {
        let mut consumed = 0;
        while !self.is_ended() && consumed < bytes.len() {
            if self.packet_remaining == 0 {
                let Some(header) = read_header(&bytes[consumed..])? else { break };
                self.begin_packet(&header)?;
                consumed += HEADER_BYTES;
            }
            let length = self.packet_remaining.min(bytes.len() - consumed);
            self.unparsed.extend_from_slice(&bytes[consumed..consumed + length]);
            self.packet_remaining -= length;
            consumed += length;
            self.parse_tokens()?;
            if self.packet_remaining == 0 && self.is_last_packet && !self.is_complete() {
                return Err(MalformedMessage("the response ends before its last token"));
            }
        }
        Ok(consumed)
    }

    fn begin_packet(&mut self, header: &Header) -> Result<(), MalformedMessage> {
        if header.kind != MessageKind::Response {
            return Err(MalformedMessage("the packet is not part of a response"));
        }
        self.packet_remaining = header.length - HEADER_BYTES;
        self.is_last_packet = header.status & status::END != 0;
        if self.packet_remaining == 0 && !self.is_last_packet {
            return Err(MalformedMessage("the response contains an empty packet before its last one"));
        }
        Ok(())
    }

    /// Returns whether the last packet was received to its end, so that the connection can carry the next
    /// message.
    pub fn is_ended(&self) -> bool {
        self.is_complete() && self.packet_remaining == 0 && self.is_last_packet
    }

    /// Returns whether the last token was received, even if its packet is incomplete.
    pub fn is_complete(&self) -> bool {
        self.parser.is_complete()
    }

    /// Returns whether neither an open transaction nor surplus prevents the reuse of the connection.
    pub fn leaves_session_clean(&self) -> bool {
        !self.in_transaction && !self.has_surplus
    }

    /// Returns the number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.unparsed.len() + self.tokens.len()
    }

    fn parse_tokens(&mut self) -> Result<(), MalformedMessage> {
        let mut parsed = 0;
        while parsed < self.unparsed.len() && !self.is_complete() {
            match self.parser.next(&self.unparsed[parsed..]) {
                Ok(ParsedToken { token, length }) => {
                    self.add_token(&token, parsed..parsed + length)?;
                    parsed += length;
                    self.record(token);
                }
                Err(ReadError::NeedMoreInput) => break,
                Err(ReadError::Malformed(reason)) => return Err(MalformedMessage(reason)),
            }
        }
        self.unparsed.drain(..parsed);
        if self.is_complete() && !self.unparsed.is_empty() {
            self.has_surplus = true;
            self.unparsed.clear();
        }
        Ok(())
    }

    /// Appends the token at `range` of the unparsed bytes to the forwarded tokens, and keeps the first row's
    /// values.
    ///
    /// # Errors
    /// If there were too many tokens that are not forwarded, because a host could send them without end.
    fn add_token(&mut self, token: &Token, range: std::ops::Range<usize>) -> Result<(), MalformedMessage> {
        let bytes = &self.unparsed[range];
        if self.first_row.is_none() && *token == Token::Row {
            self.first_row = first_row(&self.parser, bytes);
        }
        if is_forwarded(token) {
            self.tokens.extend_from_slice(bytes);
            return Ok(());
        }
        self.session_token_bytes += bytes.len();
        if self.session_token_bytes > MAX_SESSION_TOKEN_BYTES {
            return Err(MalformedMessage("the response contains too many tokens that are not forwarded"));
        }
        Ok(())
    }

    /// Removes and returns the tokens received so far, to be streamed.
    pub fn take_tokens(&mut self) -> Vec<u8> {
        self.session_token_bytes = 0;
        std::mem::take(&mut self.tokens)
    }

    /// Updates the state of the session and of the response by a token.
    fn record(&mut self, token: Token) {
        match token {
            Token::Error(message) if message.class > MAX_INFORMATION_CLASS => {
                let first = !self.has_results;
                let code = HostErrorCode::Tds { number: message.number, class: message.class, first };
                self.error.get_or_insert(code);
            }
            Token::LoginAck { .. } => self.login_accepted = true,
            Token::EnvChange(EnvChange::PacketSize(size)) => self.packet_size = Some(size),
            Token::EnvChange(EnvChange::TransactionBegan) => self.in_transaction = true,
            Token::EnvChange(EnvChange::TransactionEnded) => self.in_transaction = false,
            Token::Row => self.has_results = true,
            Token::Done { status, .. } => {
                self.has_results = true;
                self.in_transaction |= status & done::IN_TRANSACTION != 0;
            }
            _ => {}
        }
    }
}

/// Reads the packet header at the start of the bytes. Returns `None` if it is incomplete.
fn read_header(bytes: &[u8]) -> Result<Option<Header>, MalformedMessage> {
    match Header::read(bytes) {
        Ok(header) => Ok(Some(header)),
        Err(ReadError::NeedMoreInput) => Ok(None),
        Err(ReadError::Malformed(reason)) => Err(MalformedMessage(reason)),
    }
}

fn first_row(parser: &TokenReader, row: &[u8]) -> Option<FirstRow> {
    let values = parser.values(row)?;
    let value = |column: usize| values.get(column).map(RowValue::decode);
    Some(FirstRow { first: value(0)?, second: value(1).unwrap_or(Value::Null) })
}

/// Returns whether a token is forwarded to the client. Tokens that concern only the session with the host are
/// not.
fn is_forwarded(token: &Token) -> bool {
    match token {
        Token::EnvChange(
            EnvChange::Reset | EnvChange::PacketSize(_) | EnvChange::Database(_) | EnvChange::Other(_),
        ) => false,
        Token::Other(code) => *code != code::SESSION_STATE,
        _ => true,
    }
}

#[cfg(test)]
mod tests;
