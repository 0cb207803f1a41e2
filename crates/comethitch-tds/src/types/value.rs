//! Values of columns and parameters: their encoded length, and the decoding of those that a router reads.

use super::code::{
    BIT, BITN, CHAR, DECIMALN, FLT4, FLT8, FLTN, INT1, INT2, INT4, INT8, INTN, NCHAR, NTEXT, NUMERICN,
    NVARCHAR, OLD_CHAR, OLD_DECIMAL, OLD_NUMERIC, OLD_VARCHAR, TEXT, VARCHAR,
};
use super::{Length, MAX_BYTES, Type};
use crate::error::ReadError;
use crate::read::Reader;
use crate::text;

/// The total length of a null value in chunks (`PLP_NULL`).
const CHUNKS_NULL: u64 = u64::MAX;
/// The total length of chunks whose sum is unknown (`UNKNOWN_PLP_LEN`).
const CHUNKS_OF_UNKNOWN_TOTAL: u64 = u64::MAX - 1;
/// Lower bound of the size limit of values with a four-byte length, for types that state less: 8000 bytes, and the type
/// description that a variant contains.
const MIN_LONG_LIMIT_BYTES: u32 = 8016;
const TIMESTAMP_BYTES: usize = 8;

const LONGER_THAN_TYPE: ReadError = ReadError::Malformed("a value is longer than its type");

/// An encoded value without its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Raw<'a> {
    /// The value in one piece.
    Whole(&'a [u8]),
    /// Chunks with their lengths, up to and including the empty one.
    Chunks(&'a [u8]),
}

impl Raw<'_> {
    /// Returns the value in one piece.
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Raw::Whole(bytes) => bytes.to_vec(),
            Raw::Chunks(chunks) => join_chunks(chunks),
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
    /// Reads the encoded bytes of a value of this type; `None` if it is null.
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`] if the value is longer than its type allows, or its chunks do not add up to its total
    /// length; [`ReadError::NeedMoreInput`] if it is incomplete.
    pub fn value<'a>(&self, reader: &mut Reader<'a>) -> Result<Option<Raw<'a>>, ReadError> {
        match self.length {
            Length::Fixed(bytes) => Ok(Some(Raw::Whole(reader.take(usize::from(bytes))?))),
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

    /// Decodes a value of this type; `None` is null.
    pub fn decode(&self, raw: Option<Raw<'_>>) -> Value {
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

fn read_whole<'a>(reader: &mut Reader<'a>, bytes: u32, max_bytes: u32) -> Result<Option<Raw<'a>>, ReadError> {
    if bytes > max_bytes {
        return Err(LONGER_THAN_TYPE);
    }
    Ok(Some(Raw::Whole(reader.take(bytes as usize)?)))
}

fn read_chunks<'a>(reader: &mut Reader<'a>) -> Result<Option<Raw<'a>>, ReadError> {
    let total = reader.u64()?;
    if total == CHUNKS_NULL {
        return Ok(None);
    }
    let total_known = total != CHUNKS_OF_UNKNOWN_TOTAL;
    let chunks = reader.remaining();
    let start = reader.position();
    let mut sum = 0_u64;
    loop {
        let chunk_bytes = reader.u32()?;
        if chunk_bytes == 0 {
            break;
        }
        sum += u64::from(chunk_bytes);
        if chunk_bytes > MAX_BYTES || total_known && sum > total {
            return Err(ReadError::Malformed("a value's chunks are longer than it is"));
        }
        reader.take(chunk_bytes as usize)?;
    }
    if total_known && sum != total {
        return Err(ReadError::Malformed("a value's chunks are shorter than it is"));
    }
    Ok(Some(Raw::Chunks(&chunks[..reader.position() - start])))
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

/// Decodes a decimal: a sign byte, 0 for negative numbers, and a little-endian magnitude scaled by a power of ten.
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
