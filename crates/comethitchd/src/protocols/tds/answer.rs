//! What a host has answered so far: packets are taken off, tokens told apart, and what concerns the router's own
//! session left out.

use crate::state::host_connection::HostErrorCode;
use comethitch_tds::packet::{Header, Kind, status};
use comethitch_tds::token::{Change, Token, Tokens, code, done};
use comethitch_tds::types::Value;
use comethitch_tds::{MalformedMessage, ReadError};

/// A token of more bytes is not passed on.
pub const LARGEST_TOKEN: usize = 1 << 20;

pub struct Answer {
    tokens: Tokens,
    /// Payload that is not yet a whole token.
    raw: Vec<u8>,
    /// Of the present packet: what has still to come, and whether it is the last.
    left: usize,
    last: bool,
    /// Tokens as the client gets them.
    pub value: Vec<u8>,
    /// The first error.
    pub error: Option<HostErrorCode>,
    /// The first row's first two values, for probes.
    pub row: Option<(Value, Value)>,
    pub acknowledged: bool,
    pub packet: Option<usize>,
    pub in_transaction: bool,
    /// Rows or counts came before any error.
    begun: bool,
}

impl Answer {
    pub fn new() -> Answer {
        Answer {
            tokens: Tokens::new(),
            raw: Vec::new(),
            left: 0,
            last: false,
            value: Vec::new(),
            error: None,
            row: None,
            acknowledged: false,
            packet: None,
            in_transaction: false,
            begun: false,
        }
    }

    /// Takes bytes as they come, and tells how many were taken: none that stand behind the answer's end.
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize, MalformedMessage> {
        let mut at = 0;
        while !self.over() && at < bytes.len() {
            if self.left == 0 {
                let header = match Header::read(&bytes[at..]) {
                    Ok(header) => header,
                    Err(ReadError::NeedMoreInput) => break,
                    Err(ReadError::Malformed(why)) => return Err(MalformedMessage(why)),
                };
                if header.kind != Kind::Answer {
                    return Err(MalformedMessage("a packet that is no answer"));
                }
                self.left = header.length - comethitch_tds::packet::HEADER;
                self.last = header.status & status::END != 0;
                at += comethitch_tds::packet::HEADER;
                if self.left == 0 && !self.last {
                    return Err(MalformedMessage("an empty packet within an answer"));
                }
            }
            let now = self.left.min(bytes.len() - at);
            self.raw.extend_from_slice(&bytes[at..at + now]);
            (self.left, at) = (self.left - now, at + now);
            self.read()?;
            if self.left == 0 && self.last && !self.tokens.over() {
                return Err(MalformedMessage("an answer that ends within its tokens"));
            }
        }
        Ok(at)
    }

    /// Whether the answer has come whole: its last token, in its last packet.
    pub fn over(&self) -> bool {
        self.tokens.over() && self.left == 0 && self.last
    }

    /// The tokens have come to their end, whatever may follow.
    pub fn whole(&self) -> bool {
        self.tokens.over()
    }

    pub fn held(&self) -> usize {
        self.raw.len() + self.value.len()
    }

    fn read(&mut self) -> Result<(), MalformedMessage> {
        let mut at = 0;
        while at < self.raw.len() {
            match self.tokens.next(&self.raw[at..]) {
                Ok((token, length)) => {
                    let bytes = &self.raw[at..at + length];
                    if self.row.is_none() && token == Token::Row {
                        self.row = self.tokens.values(bytes).and_then(|values| {
                            let told = |nth: usize| values.get(nth).map(|(kind, raw)| kind.decode(*raw));
                            Some((told(0)?, told(1).unwrap_or(Value::Null)))
                        });
                    }
                    if passes(&token) {
                        self.value.extend_from_slice(bytes);
                    }
                    at += length;
                    self.note(token);
                }
                Err(ReadError::NeedMoreInput) => break,
                Err(ReadError::Malformed(why)) => return Err(MalformedMessage(why)),
            }
        }
        self.raw.drain(..at);
        Ok(())
    }

    fn note(&mut self, token: Token) {
        match token {
            Token::Error(message) if message.class > 10 => {
                let first = !self.begun;
                let code = HostErrorCode::Tds { number: message.number, class: message.class, first };
                self.error.get_or_insert(code);
            }
            Token::LoginAck { .. } => self.acknowledged = true,
            Token::Change(Change::PacketSize(size)) => self.packet = Some(size),
            Token::Change(Change::TransactionBegan) => self.in_transaction = true,
            Token::Change(Change::TransactionEnded) => self.in_transaction = false,
            Token::Row => self.begun = true,
            Token::Done { status, .. } => {
                self.begun = true;
                self.in_transaction |= status & done::IN_TRANSACTION != 0;
            }
            _ => {}
        }
    }
}

/// Whether a client gets the token: not what concerns the session between router and host alone.
fn passes(token: &Token) -> bool {
    match token {
        Token::Change(Change::Reset | Change::PacketSize(_) | Change::Database(_) | Change::Other(_)) => {
            false
        }
        Token::Other(code) => *code != code::SESSION_STATE,
        _ => true,
    }
}
