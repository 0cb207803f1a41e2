//! Values of columns and parameters: their encoded length, and the decoding of those that a router reads.

use super::code::{
    BIT, BITN, CHAR, DECIMALN, FLT4, FLT8, FLTN, INT1, INT2, INT4, INT8, INTN, NCHAR, NTEXT, NUMERICN,
    NVARCHAR, OLD_CHAR, OLD_DECIMAL, OLD_NUMERIC, OLD_VARCHAR, TEXT, VARCHAR,
};
use super::{Length, MAX_BYTES, Type};
use crate::error::ReadError;
use crate::read::Reader;
use crate::text;

/// The total length that marks a partially length-prefixed value as null.
const PLP_NULL: u64 = u64::MAX;
/// The total length of a partially length-prefixed value that states only the lengths of its chunks
/// (`UNKNOWN_PLP_LEN`).
const UNKNOWN_PLP_LENGTH: u64 = u64::MAX - 1;
/// Size limit of a value with a four-byte length if its type states a smaller one: a variant holds up to 8000
/// bytes of data and its own type description.
const MIN_LONG_LIMIT_BYTES: u32 = 8016;
const TIMESTAMP_BYTES: usize = 8;

const LONGER_THAN_TYPE: ReadError = ReadError::Malformed("a value is longer than its type");

/// An encoded value without its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawValue<'a> {
    /// The value as one contiguous slice.
    Whole(&'a [u8]),
    /// The chunks with their lengths, up to and including the empty chunk that ends the value.
    Chunks(&'a [u8]),
}

impl RawValue<'_> {
    /// Returns a copy of the value, with its chunks joined.
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            RawValue::Whole(bytes) => bytes.to_vec(),
            RawValue::Chunks(chunks) => join_chunks(chunks),
        }
    }
}

fn join_chunks(chunks: &[u8]) -> Vec<u8> {
    let mut reader = Reader::new(chunks);
    let mut joined = Vec::new();
    while let Ok(length) = reader.u32()
        && let Ok(chunk) = reader.take(length as usize)
    {
        joined.extend_from_slice(chunk);
    }
    joined
}

/// A decoded value, such as a shard key in a statement or the result of a health check.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Null, of any type.
    Null,
    /// An integer or a bit.
    Integer(i64),
    /// A floating-point number or a decimal.
    Float(f64),
    /// A text.
    Text(String),
    /// A value of a type that a router does not decode, or an invalid text.
    Other,
}

impl Type {
    /// Reads the encoded bytes of a value of this type, or `None` if the value is null.
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`] if the value is longer than its type allows, or its chunks do not add up to
    /// its total length; [`ReadError::NeedMoreInput`] if it is incomplete.
    pub fn read_value<'a>(&self, reader: &mut Reader<'a>) -> Result<Option<RawValue<'a>>, ReadError> {
        match self.length {
            Length::Fixed(bytes) => Ok(Some(RawValue::Whole(reader.take(usize::from(bytes))?))),
            Length::Byte => match reader.u8()? {
                0 => Ok(None),
                bytes => read_whole(reader, u32::from(bytes), self.max_bytes),
            },
            Length::Short => match reader.u16()? {
                u16::MAX => Ok(None),
                bytes => read_whole(reader, u32::from(bytes), self.max_bytes),
            },
            Length::Long => match reader.u32()? {
                0 => Ok(None),
                bytes => read_whole(reader, bytes, self.max_bytes.max(MIN_LONG_LIMIT_BYTES)),
            },
            Length::Pointer => match reader.u8()? {
                0 => Ok(None),
                pointer_bytes => {
                    reader.take(usize::from(pointer_bytes))?;
                    reader.take(TIMESTAMP_BYTES)?;
                    let bytes = reader.u32()?;
                    read_whole(reader, bytes, MAX_BYTES)
                }
            },
            Length::Chunks => read_chunks(reader),
        }
    }

    /// Decodes a value of this type, as returned by [`Type::read_value`]. `None` decodes to [`Value::Null`].
    pub fn decode(&self, raw: Option<RawValue<'_>>) -> Value {
        let Some(raw) = raw else { return Value::Null };
        let bytes = raw.bytes();
        let decoded = match self.code {
            INT1 | BIT | INT2 | INT4 | INT8 | INTN | BITN => decode_integer(&bytes).map(Value::Integer),
            FLT4 | FLT8 | FLTN => decode_float(&bytes).map(Value::Float),
            DECIMALN | NUMERICN | OLD_DECIMAL | OLD_NUMERIC => {
                decode_decimal(&bytes, self.scale).map(Value::Float)
            }
            NVARCHAR | NCHAR | NTEXT => text::decode(&bytes).map(Value::Text),
            VARCHAR | CHAR | TEXT | OLD_VARCHAR | OLD_CHAR => decode_ascii(bytes).map(Value::Text),
            _ => None,
        };
        decoded.unwrap_or(Value::Other)
    }
}

fn read_whole<'a>(
    reader: &mut Reader<'a>, bytes: u32, max_bytes: u32,
) -> Result<Option<RawValue<'a>>, ReadError> {
    if bytes > max_bytes {
        return Err(LONGER_THAN_TYPE);
    }
    Ok(Some(RawValue::Whole(reader.take(bytes as usize)?)))
}

fn read_chunks<'a>(reader: &mut Reader<'a>) -> Result<Option<RawValue<'a>>, ReadError> {
    let total = reader.u64()?;
    if total == PLP_NULL {
        return Ok(None);
    }
    let is_total_known = total != UNKNOWN_PLP_LENGTH;
    let chunks = reader.remaining();
    let start = reader.position();
    let mut sum = 0_u64;
    loop {
        let chunk_bytes = reader.u32()?;
        if chunk_bytes == 0 {
            break;
        }
        sum += u64::from(chunk_bytes);
        if chunk_bytes > MAX_BYTES || is_total_known && sum > total {
            return Err(ReadError::Malformed("a value's chunks are longer than it is"));
        }
        reader.take(chunk_bytes as usize)?;
    }
    if is_total_known && sum != total {
        return Err(ReadError::Malformed("a value's chunks are shorter than it is"));
    }
    Ok(Some(RawValue::Chunks(&chunks[..reader.position() - start])))
}

/// Decodes an integer of 1, 2, 4 or 8 bytes. Only the one-byte integer is unsigned.
fn decode_integer(bytes: &[u8]) -> Option<i64> {
    match bytes {
        [byte] => Some(i64::from(*byte)),
        [low, high] => Some(i64::from(i16::from_le_bytes([*low, *high]))),
        bytes if bytes.len() == 4 => bytes.first_chunk().map(|four| i64::from(i32::from_le_bytes(*four))),
        bytes => bytes.first_chunk().map(|eight| i64::from_le_bytes(*eight)),
    }
}

fn decode_float(bytes: &[u8]) -> Option<f64> {
    if bytes.len() == 4 {
        return bytes.first_chunk().map(|four| f64::from(f32::from_le_bytes(*four)));
    }
    bytes.first_chunk().map(|eight| f64::from_le_bytes(*eight))
}

/// Decodes a decimal: a sign byte, 0 for negative numbers, and a little-endian magnitude scaled by a power of
/// ten.
fn decode_decimal(bytes: &[u8], scale: u8) -> Option<f64> {
    let (sign, magnitude) = bytes.split_first()?;
    let unscaled = magnitude.iter().rev().fold(0.0, |sum, byte| sum * 256.0 + f64::from(*byte));
    let value = unscaled / 10_f64.powi(i32::from(scale));
    Some(if *sign == 0 { -value } else { value })
}

/// Decodes text of any code page if it is ASCII, which all code pages share.
fn decode_ascii(bytes: Vec<u8>) -> Option<String> {
    String::from_utf8(bytes).ok().filter(|text| text.is_ascii())
}
