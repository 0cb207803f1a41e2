//! The tokens of an answer, told apart as they come in: where each ends, and what matters of it to a router.

use crate::read::{MalformedMessage, ReadError, Reader};
use crate::text;
use crate::types::{Raw, Type};

/// The most columns of a row, as servers have it.
const MOST_COLUMNS: u16 = 4096;
/// A token that tells its length in four bytes is not longer than this.
const LONGEST: u32 = 1 << 20;

/// The codes of tokens.
pub mod code {
    pub const RETURN_STATUS: u8 = 0x79;
    pub const COLUMNS: u8 = 0x81;
    pub const TABLE_NAMES: u8 = 0xa4;
    pub const COLUMN_INFO: u8 = 0xa5;
    pub const ORDER: u8 = 0xa9;
    pub const ERROR: u8 = 0xaa;
    pub const INFO: u8 = 0xab;
    pub const RETURN_VALUE: u8 = 0xac;
    pub const LOGIN_ACK: u8 = 0xad;
    pub const FEATURE_ACK: u8 = 0xae;
    pub const ROW: u8 = 0xd1;
    pub const ROW_WITH_NULLS: u8 = 0xd2;
    pub const CHANGE: u8 = 0xe3;
    pub const SESSION_STATE: u8 = 0xe4;
    pub const SSPI: u8 = 0xed;
    pub const FEDERATED: u8 = 0xee;
    pub const DONE: u8 = 0xfd;
    pub const DONE_PROCEDURE: u8 = 0xfe;
    pub const DONE_IN_PROCEDURE: u8 = 0xff;
}

/// The bits of a DONE token's status.
pub mod done {
    pub const MORE: u16 = 0x01;
    pub const ERROR: u16 = 0x02;
    pub const IN_TRANSACTION: u16 = 0x04;
    pub const COUNT: u16 = 0x10;
    pub const ATTENTION: u16 = 0x20;
    pub const SERVER_ERROR: u16 = 0x100;
}

/// A server's message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub number: i32,
    pub state: u8,
    /// From 11 on an error, from 20 on one that ends the connection.
    pub class: u8,
    pub text: String,
}

/// What changes in a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Database(String),
    PacketSize(usize),
    /// A transaction has begun, or ended.
    Began,
    Ended,
    /// The session was made as new.
    Reset,
    /// The client is to go elsewhere.
    Routed,
    Other(u8),
}

/// A token, as far as it matters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token {
    Columns(usize),
    Row,
    Done { code: u8, status: u16, count: u64 },
    Error(Message),
    Info(Message),
    LoginAck { version: u32 },
    Change(Change),
    ReturnStatus(i32),
    ReturnValue,
    Other(u8),
}

impl Token {
    /// Whether it ends an answer: a DONE, or one of a procedure, with no more behind it.
    pub fn ends(&self) -> bool {
        let whole = [code::DONE, code::DONE_PROCEDURE];
        matches!(self, Token::Done { code, status, .. } if whole.contains(code) && status & done::MORE == 0)
    }
}

/// Tells the tokens of one answer apart. Columns are kept, as rows can't be measured without them.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    columns: Vec<Type>,
    /// The values of the row read last, as places in the bytes given.
    over: bool,
}

impl Tokens {
    pub fn new() -> Tokens {
        Tokens::default()
    }

    /// The answer has come to its end.
    pub fn over(&self) -> bool {
        self.over
    }

    /// The next token of these bytes, and its length; [`ReadError::NeedMoreInput`] while it has not come whole.
    pub fn next(&mut self, bytes: &[u8]) -> Result<(Token, usize), ReadError> {
        if self.over {
            return Err(ReadError::Malformed("a token behind the end of an answer"));
        }
        let mut reader = Reader::new(bytes);
        let token = self.token(&mut reader)?;
        self.over = token.ends();
        Ok((token, reader.at()))
    }

    fn token(&mut self, reader: &mut Reader<'_>) -> Result<Token, ReadError> {
        let code = reader.u8()?;
        Ok(match code {
            code::COLUMNS => {
                let columns = columns(reader)?;
                if let Some(columns) = columns {
                    self.columns = columns;
                }
                Token::Columns(self.columns.len())
            }
            code::ROW => {
                self.in_columns()?;
                for column in &self.columns {
                    column.value(reader)?;
                }
                Token::Row
            }
            code::ROW_WITH_NULLS => {
                self.in_columns()?;
                let nulls = reader.take(self.columns.len().div_ceil(8))?;
                for (nth, column) in self.columns.iter().enumerate() {
                    if nulls[nth / 8] >> (nth % 8) & 1 == 0 {
                        column.value(reader)?;
                    }
                }
                Token::Row
            }
            code::DONE | code::DONE_PROCEDURE | code::DONE_IN_PROCEDURE => {
                let (status, _command, count) = (reader.u16()?, reader.u16()?, reader.u64()?);
                Token::Done { code, status, count }
            }
            code::ERROR | code::INFO => {
                let message = message(&mut sized(reader)?);
                let message = message.map_err(|unread| unread.at_end("a message shorter than it says"))?;
                if code == code::ERROR { Token::Error(message) } else { Token::Info(message) }
            }
            code::LOGIN_ACK => {
                let mut body = sized(reader)?;
                let version = (|| {
                    body.u8()?;
                    let version = body.take(4)?;
                    Ok(version.first_chunk().map_or(0, |bytes| u32::from_be_bytes(*bytes)))
                })();
                let version = version
                    .map_err(|_: crate::Short| MalformedMessage("a login's answer shorter than it says"))?;
                Token::LoginAck { version }
            }
            code::CHANGE => {
                let change = change(&mut sized(reader)?);
                Token::Change(change.map_err(|unread| unread.at_end("a change shorter than it says"))?)
            }
            code::RETURN_STATUS => Token::ReturnStatus(reader.i32()?),
            code::RETURN_VALUE => {
                reader.u16()?;
                reader.b_varchar()?;
                reader.take(1 + 4 + 2)?;
                let kind = Type::read(reader)?;
                kind.value(reader)?;
                Token::ReturnValue
            }
            code::TABLE_NAMES | code::COLUMN_INFO | code::ORDER | code::SSPI => {
                sized(reader)?;
                Token::Other(code)
            }
            code::SESSION_STATE | code::FEDERATED => {
                long(reader)?;
                Token::Other(code)
            }
            code::FEATURE_ACK => {
                while reader.u8()? != 0xff {
                    long(reader)?;
                }
                Token::Other(code)
            }
            _ => return Err(ReadError::Malformed("a token that is not spoken")),
        })
    }

    fn in_columns(&self) -> Result<(), ReadError> {
        match self.columns.is_empty() {
            true => Err(ReadError::Malformed("a row without a description of its columns")),
            false => Ok(()),
        }
    }

    /// The values of a row token, by the columns described before it; none for any other token.
    pub fn values<'a>(&self, token: &'a [u8]) -> Option<Vec<(Type, Option<Raw<'a>>)>> {
        let mut reader = Reader::new(token);
        let nulls = match reader.u8().ok()? {
            code::ROW => None,
            code::ROW_WITH_NULLS => Some(reader.take(self.columns.len().div_ceil(8)).ok()?),
            _ => return None,
        };
        let mut values = Vec::new();
        for (nth, column) in self.columns.iter().enumerate() {
            let null = nulls.is_some_and(|nulls| nulls[nth / 8] >> (nth % 8) & 1 == 1);
            values.push((*column, if null { None } else { column.value(&mut reader).ok()? }));
        }
        Some(values)
    }
}

/// The body of a token behind its length in two bytes.
fn sized<'a>(reader: &mut Reader<'a>) -> Result<Reader<'a>, ReadError> {
    let length = reader.u16()?;
    Ok(Reader::new(reader.take(usize::from(length))?))
}

/// The same with a length of four.
fn long<'a>(reader: &mut Reader<'a>) -> Result<Reader<'a>, ReadError> {
    let length = reader.u32()?;
    if length > LONGEST {
        return Err(ReadError::Malformed("a token longer than it may be"));
    }
    Ok(Reader::new(reader.take(length as usize)?))
}

/// The description of columns; none where it says that there is nothing new.
fn columns(reader: &mut Reader<'_>) -> Result<Option<Vec<Type>>, ReadError> {
    let count = reader.u16()?;
    if count == u16::MAX {
        return Ok(None);
    }
    if count > MOST_COLUMNS {
        return Err(ReadError::Malformed("more columns than there may be"));
    }
    let mut columns = Vec::new();
    for _ in 0..count {
        reader.take(4 + 2)?;
        let kind = Type::read(reader)?;
        if kind.length == crate::types::Length::Pointer {
            let parts = reader.u8()?;
            for _ in 0..parts {
                reader.us_varchar()?;
            }
        }
        reader.b_varchar()?;
        columns.push(kind);
    }
    Ok(Some(columns))
}

fn message(body: &mut Reader<'_>) -> Result<Message, ReadError> {
    let (number, state, class) = (body.i32()?, body.u8()?, body.u8()?);
    let text = text::shown(body.us_varchar()?);
    body.b_varchar()?;
    body.b_varchar()?;
    body.u32()?;
    Ok(Message { number, state, class, text })
}

fn change(body: &mut Reader<'_>) -> Result<Change, ReadError> {
    Ok(match body.u8()? {
        1 => Change::Database(text::shown(body.b_varchar()?)),
        4 => {
            let size = text::shown(body.b_varchar()?).parse::<usize>();
            let size = size.map_err(|_| MalformedMessage("a size of packets that is no number"))?;
            if !(crate::packet::LEAST_SIZE..=crate::packet::LARGEST_SIZE).contains(&size) {
                return Err(ReadError::Malformed("an impossible size of packets"));
            }
            Change::PacketSize(size)
        }
        8 => Change::Began,
        9 | 10 | 12 | 17 => Change::Ended,
        18 => Change::Reset,
        20 => Change::Routed,
        other => Change::Other(other),
    })
}
