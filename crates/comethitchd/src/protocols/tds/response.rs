//! A host's response to one message, put together as its bytes come in.
//!
//! Packets are taken apart into tokens, and the tokens that concern the session between router and host alone are left
//! out of what the client gets.

use crate::state::host_connection::HostErrorCode;
use comethitch_tds::packet::{HEADER_BYTES, Header, MessageKind, status};
use comethitch_tds::token::{Change, ParsedToken, RowValue, Token, TokenReader, code, done};
use comethitch_tds::types::Value;
use comethitch_tds::{MalformedMessage, ReadError};

/// The largest token that is forwarded.
pub(super) const MAX_TOKEN_BYTES: usize = 1 << 20;
/// Messages of a higher class are errors, the others are information.
const MAX_INFORMATION_CLASS: u8 = 10;

/// What a host has sent so far.
pub struct HostResponse {
    parser: TokenReader,
    /// Payload that is not parsed yet.
    unparsed: Vec<u8>,
    /// How much of the present packet's payload is still to come.
    packet_remaining: usize,
    is_last_packet: bool,
    /// Tokens as the client gets them.
    pub tokens: Vec<u8>,
    /// The first error.
    pub error: Option<HostErrorCode>,
    /// The first two values of the first row, for health checks.
    pub first_row: Option<FirstRow>,
    /// The host has accepted a login.
    pub login_accepted: bool,
    /// The size of packets that the host has settled on.
    pub packet_size: Option<usize>,
    /// The host holds a transaction open: the connection can't carry another's statement.
    pub in_transaction: bool,
    /// Rows or counts came before any error.
    has_results: bool,
}

/// The first two values of a response's first row.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstRow {
    /// The first column's value.
    pub first: Value,
    /// The second column's value; null without one.
    pub second: Value,
}

impl HostResponse {
    /// A response of which nothing has come yet.
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
            has_results: false,
        }
    }

    /// Takes bytes as they come, and returns how many were consumed: none behind the response's end.
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
                return Err(MalformedMessage("an answer that ends within its tokens"));
            }
        }
        Ok(consumed)
    }

    fn begin_packet(&mut self, header: &Header) -> Result<(), MalformedMessage> {
        if header.kind != MessageKind::Response {
            return Err(MalformedMessage("a packet that is no answer"));
        }
        self.packet_remaining = header.length - HEADER_BYTES;
        self.is_last_packet = header.status & status::END != 0;
        if self.packet_remaining == 0 && !self.is_last_packet {
            return Err(MalformedMessage("an empty packet within an answer"));
        }
        Ok(())
    }

    /// Whether the last token has come, in the last packet, to its end: the connection can carry the next message.
    pub fn is_ended(&self) -> bool {
        self.is_complete() && self.packet_remaining == 0 && self.is_last_packet
    }

    /// Whether the last token has come, whatever may follow.
    pub fn is_complete(&self) -> bool {
        self.parser.is_complete()
    }

    /// How many bytes are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.unparsed.len() + self.tokens.len()
    }

    fn parse_tokens(&mut self) -> Result<(), MalformedMessage> {
        let mut parsed = 0;
        while parsed < self.unparsed.len() {
            match self.parser.next(&self.unparsed[parsed..]) {
                Ok(ParsedToken { token, length }) => {
                    self.add_token(&token, parsed..parsed + length);
                    parsed += length;
                    self.record(token);
                }
                Err(ReadError::NeedMoreInput) => break,
                Err(ReadError::Malformed(why)) => return Err(MalformedMessage(why)),
            }
        }
        self.unparsed.drain(..parsed);
        Ok(())
    }

    /// Adds the token that stands at this place to what the client gets.
    fn add_token(&mut self, token: &Token, range: std::ops::Range<usize>) {
        let bytes = &self.unparsed[range];
        if self.first_row.is_none() && *token == Token::Row {
            self.first_row = first_row(&self.parser, bytes);
        }
        if is_forwarded(token) {
            self.tokens.extend_from_slice(bytes);
        }
    }

    /// Records what a token says of the session or the statement.
    fn record(&mut self, token: Token) {
        match token {
            Token::Error(message) if message.class > MAX_INFORMATION_CLASS => {
                let first = !self.has_results;
                let code = HostErrorCode::Tds { number: message.number, class: message.class, first };
                self.error.get_or_insert(code);
            }
            Token::LoginAck { .. } => self.login_accepted = true,
            Token::Change(Change::PacketSize(size)) => self.packet_size = Some(size),
            Token::Change(Change::TransactionBegan) => self.in_transaction = true,
            Token::Change(Change::TransactionEnded) => self.in_transaction = false,
            Token::Row => self.has_results = true,
            Token::Done { status, .. } => {
                self.has_results = true;
                self.in_transaction |= status & done::IN_TRANSACTION != 0;
            }
            _ => {}
        }
    }
}

/// The header at the beginning of the bytes, or none if it is not complete yet.
fn read_header(bytes: &[u8]) -> Result<Option<Header>, MalformedMessage> {
    match Header::read(bytes) {
        Ok(header) => Ok(Some(header)),
        Err(ReadError::NeedMoreInput) => Ok(None),
        Err(ReadError::Malformed(why)) => Err(MalformedMessage(why)),
    }
}

fn first_row(parser: &TokenReader, row: &[u8]) -> Option<FirstRow> {
    let values = parser.values(row)?;
    let value = |column: usize| values.get(column).map(RowValue::decode);
    Some(FirstRow { first: value(0)?, second: value(1).unwrap_or(Value::Null) })
}

/// Whether a client gets the token: not what concerns the session between router and host alone.
fn is_forwarded(token: &Token) -> bool {
    match token {
        Token::Change(Change::Reset | Change::PacketSize(_) | Change::Database(_) | Change::Other(_)) => {
            false
        }
        Token::Other(code) => *code != code::SESSION_STATE,
        _ => true,
    }
}
