//! Reads the tokens of a response one by one, from input that may end at any byte.

use super::{Token, code, decode};
use crate::error::ReadError;
use crate::read::Reader;
use crate::types::{RawValue, Type, Value};

/// A token and its length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedToken {
    /// The token.
    pub token: Token,
    /// Length of the encoded token in bytes.
    pub length: usize,
}

/// A value of a row, with the type of its column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowValue<'a> {
    /// The type of the column.
    pub column_type: Type,
    /// The encoded value; `None` if it is null.
    pub raw: Option<RawValue<'a>>,
}

impl RowValue<'_> {
    /// Decodes the value.
    pub fn decode(&self) -> Value {
        self.column_type.decode(self.raw)
    }
}

/// Reads the tokens of one response. Keeps the last description of columns, which determines the length of
/// rows.
#[derive(Clone, Debug, Default)]
pub struct TokenReader {
    columns: Vec<Type>,
    is_complete: bool,
}

impl TokenReader {
    /// Creates a reader for a new response.
    pub fn new() -> TokenReader {
        TokenReader::default()
    }

    /// Returns whether the response is complete.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Reads the token at the start of `bytes`.
    ///
    /// # Errors
    ///
    /// [`ReadError::NeedMoreInput`] if the token is incomplete: the caller must retry from the token's first
    /// byte. [`ReadError::Malformed`] for an unknown or invalid token, and for any token after the end of the
    /// response.
    pub fn next(&mut self, bytes: &[u8]) -> Result<ParsedToken, ReadError> {
        if self.is_complete {
            return Err(ReadError::Malformed("a token follows the end of the response"));
        }
        let mut reader = Reader::new(bytes);
        let token = self.read_token(&mut reader)?;
        self.is_complete = token.ends_response();
        Ok(ParsedToken { token, length: reader.position() })
    }

    fn read_token(&mut self, reader: &mut Reader<'_>) -> Result<Token, ReadError> {
        let code = reader.u8()?;
        match code {
            code::COLUMNS => self.read_columns(reader),
            code::ROW => self.skip_row(reader),
            code::ROW_WITH_NULLS => self.skip_row_with_nulls(reader),
            code::DONE | code::DONE_PROCEDURE | code::DONE_IN_PROCEDURE => decode::done(code, reader),
            code::ERROR => decode::server_message(reader).map(Token::Error),
            code::INFO => decode::server_message(reader).map(Token::Info),
            code::LOGIN_ACK => decode::login_ack(reader),
            code::ENV_CHANGE => decode::env_change(reader).map(Token::EnvChange),
            code::RETURN_STATUS => Ok(Token::ReturnStatus(reader.i32()?)),
            code::RETURN_VALUE => decode::return_value(reader),
            code::TABLE_NAMES | code::COLUMN_INFO | code::ORDER | code::SSPI => {
                decode::short_body(reader)?;
                Ok(Token::Other(code))
            }
            code::SESSION_STATE | code::FEDERATED => {
                decode::long_body(reader)?;
                Ok(Token::Other(code))
            }
            code::FEATURE_ACK => {
                decode::skip_features(reader)?;
                Ok(Token::Other(code))
            }
            _ => Err(ReadError::Malformed("a token of unknown type")),
        }
    }

    fn read_columns(&mut self, reader: &mut Reader<'_>) -> Result<Token, ReadError> {
        if let Some(columns) = decode::columns(reader)? {
            self.columns = columns;
        }
        Ok(Token::Columns(self.columns.len()))
    }

    fn skip_row(&self, reader: &mut Reader<'_>) -> Result<Token, ReadError> {
        self.check_columns_known()?;
        for column in &self.columns {
            column.read_value(reader)?;
        }
        Ok(Token::Row)
    }

    fn skip_row_with_nulls(&self, reader: &mut Reader<'_>) -> Result<Token, ReadError> {
        self.check_columns_known()?;
        let null_bitmap = reader.take(self.null_bitmap_bytes())?;
        for (index, column) in self.columns.iter().enumerate() {
            if !is_marked_null(null_bitmap, index) {
                column.read_value(reader)?;
            }
        }
        Ok(Token::Row)
    }

    fn check_columns_known(&self) -> Result<(), ReadError> {
        if self.columns.is_empty() {
            return Err(ReadError::Malformed("a row without a preceding COLMETADATA"));
        }
        Ok(())
    }

    fn null_bitmap_bytes(&self) -> usize {
        self.columns.len().div_ceil(8)
    }

    /// Returns the values of a row token, which must match the last description of columns. Returns
    /// `None` if it does not, or if the token is of another type.
    pub fn values<'a>(&self, token: &'a [u8]) -> Option<Vec<RowValue<'a>>> {
        let mut reader = Reader::new(token);
        let null_bitmap = match reader.u8().ok()? {
            code::ROW => None,
            code::ROW_WITH_NULLS => Some(reader.take(self.null_bitmap_bytes()).ok()?),
            _ => return None,
        };
        let mut values = Vec::new();
        for (index, column) in self.columns.iter().enumerate() {
            let is_null = null_bitmap.is_some_and(|null_bitmap| is_marked_null(null_bitmap, index));
            let raw = if is_null { None } else { column.read_value(&mut reader).ok()? };
            values.push(RowValue { column_type: *column, raw });
        }
        Some(values)
    }
}

/// Returns whether a bitmap of null values marks the column as null.
fn is_marked_null(null_bitmap: &[u8], column: usize) -> bool {
    null_bitmap[column / 8] >> (column % 8) & 1 == 1
}
