//! Types of columns and parameters, and how long their values are.

use crate::read::{ReadError, Reader};
use crate::text;

/// How a value's length is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// Always so many bytes.
    Fixed(u8),
    /// One byte; 0 is null.
    Byte,
    /// Two bytes; 0xffff is null.
    Short,
    /// Eight bytes, then chunks behind four bytes each, up to an empty one.
    Chunks,
    /// A pointer and a time-stamp, then four bytes.
    Pointer,
    /// Four bytes; 0 is null.
    Long,
}

/// A type as a column or a parameter has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Type {
    pub code: u8,
    pub length: Length,
    /// The most bytes of a value, where the type tells it.
    pub most: u32,
    /// Digits behind the point, or of a second.
    pub scale: u8,
    pub precision: u8,
}

/// The codes of types.
pub mod code {
    pub const NULL: u8 = 0x1f;
    pub const IMAGE: u8 = 0x22;
    pub const TEXT: u8 = 0x23;
    pub const GUID: u8 = 0x24;
    pub const OLD_VARBINARY: u8 = 0x25;
    pub const INTN: u8 = 0x26;
    pub const OLD_VARCHAR: u8 = 0x27;
    pub const DATEN: u8 = 0x28;
    pub const TIMEN: u8 = 0x29;
    pub const DATETIME2N: u8 = 0x2a;
    pub const DATETIMEOFFSETN: u8 = 0x2b;
    pub const OLD_BINARY: u8 = 0x2d;
    pub const OLD_CHAR: u8 = 0x2f;
    pub const INT1: u8 = 0x30;
    pub const BIT: u8 = 0x32;
    pub const INT2: u8 = 0x34;
    pub const OLD_DECIMAL: u8 = 0x37;
    pub const INT4: u8 = 0x38;
    pub const DATETIM4: u8 = 0x3a;
    pub const FLT4: u8 = 0x3b;
    pub const MONEY: u8 = 0x3c;
    pub const DATETIME: u8 = 0x3d;
    pub const FLT8: u8 = 0x3e;
    pub const OLD_NUMERIC: u8 = 0x3f;
    pub const VARIANT: u8 = 0x62;
    pub const NTEXT: u8 = 0x63;
    pub const BITN: u8 = 0x68;
    pub const DECIMALN: u8 = 0x6a;
    pub const NUMERICN: u8 = 0x6c;
    pub const FLTN: u8 = 0x6d;
    pub const MONEYN: u8 = 0x6e;
    pub const DATETIMN: u8 = 0x6f;
    pub const MONEY4: u8 = 0x7a;
    pub const INT8: u8 = 0x7f;
    pub const VARBINARY: u8 = 0xa5;
    pub const VARCHAR: u8 = 0xa7;
    pub const BINARY: u8 = 0xad;
    pub const CHAR: u8 = 0xaf;
    pub const NVARCHAR: u8 = 0xe7;
    pub const NCHAR: u8 = 0xef;
    pub const UDT: u8 = 0xf0;
    pub const XML: u8 = 0xf1;
}

/// The most bytes of a long type.
const MOST: u32 = i32::MAX as u32;
/// A value of chunks that is null, and one whose length is not told.
const CHUNKS_NULL: u64 = u64::MAX;
const CHUNKS_UNTOLD: u64 = u64::MAX - 1;

impl Type {
    /// A type whose values all have one length or tell it in a byte.
    fn plain(code: u8, length: Length, most: u32) -> Type {
        Type { code, length, most, scale: 0, precision: 0 }
    }

    /// Reads a type as it stands in the description of columns, or before a parameter.
    pub fn read(reader: &mut Reader<'_>) -> Result<Type, ReadError> {
        use Length::{Byte, Chunks, Fixed, Long, Pointer, Short};
        use code::*;
        let code = reader.u8()?;
        let fixed = |bytes: u8| Type::plain(code, Fixed(bytes), u32::from(bytes));
        Ok(match code {
            NULL => fixed(0),
            INT1 | BIT => fixed(1),
            INT2 => fixed(2),
            INT4 | DATETIM4 | FLT4 | MONEY4 => fixed(4),
            MONEY | DATETIME | FLT8 | INT8 => fixed(8),
            GUID | INTN | BITN | FLTN | MONEYN | DATETIMN => {
                let most = reader.u8()?;
                let fits = match code {
                    GUID => most == 16 || most == 0,
                    BITN => most == 1,
                    INTN => matches!(most, 1 | 2 | 4 | 8),
                    _ => matches!(most, 4 | 8),
                };
                if !fits {
                    return Err(ReadError::Malformed("a type has an impossible length"));
                }
                Type::plain(code, Byte, u32::from(most))
            }
            OLD_VARBINARY | OLD_BINARY => Type::plain(code, Byte, u32::from(reader.u8()?)),
            OLD_VARCHAR | OLD_CHAR => Type::plain(code, Byte, u32::from(reader.u8()?)),
            DATEN => Type::plain(code, Byte, 3),
            TIMEN | DATETIME2N | DATETIMEOFFSETN => {
                let scale = reader.u8()?;
                if scale > 7 {
                    return Err(ReadError::Malformed("a type has an impossible scale"));
                }
                let time = match scale {
                    0..=2 => 3,
                    3 | 4 => 4,
                    _ => 5,
                };
                let more = match code {
                    TIMEN => 0,
                    DATETIME2N => 3,
                    _ => 5,
                };
                Type { scale, ..Type::plain(code, Byte, time + more) }
            }
            DECIMALN | NUMERICN | OLD_DECIMAL | OLD_NUMERIC => {
                let (most, precision, scale) = (reader.u8()?, reader.u8()?, reader.u8()?);
                if most > 17 || precision > 38 || scale > precision {
                    return Err(ReadError::Malformed("a decimal type with impossible digits"));
                }
                Type { precision, scale, ..Type::plain(code, Byte, u32::from(most)) }
            }
            VARBINARY | BINARY | VARCHAR | CHAR | NVARCHAR | NCHAR => {
                let most = reader.u16()?;
                if matches!(code, VARCHAR | CHAR | NVARCHAR | NCHAR) {
                    reader.take(5)?;
                }
                match most {
                    u16::MAX => Type::plain(code, Chunks, MOST),
                    most if most > 8000 => {
                        return Err(ReadError::Malformed("a type has an impossible length"));
                    }
                    most => Type::plain(code, Short, u32::from(most)),
                }
            }
            XML => {
                if reader.u8()? != 0 {
                    reader.b_varchar()?;
                    reader.b_varchar()?;
                    reader.us_varchar()?;
                }
                Type::plain(code, Chunks, MOST)
            }
            UDT => {
                reader.u16()?;
                reader.b_varchar()?;
                reader.b_varchar()?;
                reader.b_varchar()?;
                reader.us_varchar()?;
                Type::plain(code, Chunks, MOST)
            }
            TEXT | NTEXT => {
                let most = reader.u32()?;
                reader.take(5)?;
                Type::plain(code, Pointer, most.min(MOST))
            }
            IMAGE => Type::plain(code, Pointer, reader.u32()?.min(MOST)),
            VARIANT => Type::plain(code, Long, reader.u32()?.min(MOST)),
            _ => return Err(ReadError::Malformed("a type that is not spoken")),
        })
    }

    /// Reads a value of this type; none if it is null.
    pub fn value<'a>(&self, reader: &mut Reader<'a>) -> Result<Option<Raw<'a>>, ReadError> {
        Ok(match self.length {
            Length::Fixed(bytes) => Some(Raw::Whole(reader.take(usize::from(bytes))?)),
            Length::Byte => match reader.u8()? {
                0 => None,
                bytes if u32::from(bytes) > self.most => {
                    return Err(ReadError::Malformed("a value is longer than its type"));
                }
                bytes => Some(Raw::Whole(reader.take(usize::from(bytes))?)),
            },
            Length::Short => match reader.u16()? {
                u16::MAX => None,
                bytes if u32::from(bytes) > self.most => {
                    return Err(ReadError::Malformed("a value is longer than its type"));
                }
                bytes => Some(Raw::Whole(reader.take(usize::from(bytes))?)),
            },
            Length::Long => match reader.u32()? {
                0 => None,
                bytes if bytes > self.most.max(8016) => {
                    return Err(ReadError::Malformed("a value is longer than its type"));
                }
                bytes => Some(Raw::Whole(reader.take(bytes as usize)?)),
            },
            Length::Pointer => match reader.u8()? {
                0 => None,
                pointer => {
                    reader.take(usize::from(pointer))?;
                    reader.take(8)?;
                    let bytes = reader.u32()?;
                    if bytes > MOST {
                        return Err(ReadError::Malformed("a value is longer than its type"));
                    }
                    Some(Raw::Whole(reader.take(bytes as usize)?))
                }
            },
            Length::Chunks => {
                let told = reader.u64()?;
                if told == CHUNKS_NULL {
                    return Ok(None);
                }
                let from = reader.left();
                let before = reader.at();
                let mut sum = 0_u64;
                loop {
                    let chunk = reader.u32()?;
                    if chunk == 0 {
                        break;
                    }
                    sum += u64::from(chunk);
                    if chunk > MOST || told != CHUNKS_UNTOLD && sum > told {
                        return Err(ReadError::Malformed("a value's chunks are longer than it is"));
                    }
                    reader.take(chunk as usize)?;
                }
                if told != CHUNKS_UNTOLD && sum != told {
                    return Err(ReadError::Malformed("a value's chunks are shorter than it is"));
                }
                Some(Raw::Chunks(&from[..reader.at() - before]))
            }
        })
    }
}

/// The bytes of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Raw<'a> {
    Whole(&'a [u8]),
    /// Chunks behind their lengths, up to the empty one.
    Chunks(&'a [u8]),
}

impl Raw<'_> {
    /// The bytes in one piece.
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Raw::Whole(bytes) => bytes.to_vec(),
            Raw::Chunks(chunks) => {
                let (mut reader, mut all) = (Reader::new(chunks), Vec::new());
                while let Ok(length) = reader.u32()
                    && let Ok(chunk) = reader.take(length as usize)
                {
                    all.extend_from_slice(chunk);
                }
                all
            }
        }
    }
}

/// A value as far as a router reads it: keys of statements, and what probes tell.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Integer(i64),
    Float(f64),
    Text(String),
    /// A type whose values are passed on and not read.
    Other,
}

impl Type {
    /// What a raw value says.
    pub fn told(&self, raw: Option<Raw<'_>>) -> Value {
        use code::*;
        let Some(raw) = raw else { return Value::Null };
        let bytes = raw.bytes();
        let integer = |bytes: &[u8]| match bytes {
            // The one integer without a sign.
            [a] => Some(i64::from(*a)),
            [a, b] => Some(i64::from(i16::from_le_bytes([*a, *b]))),
            bytes if bytes.len() == 4 => bytes.first_chunk().map(|b| i64::from(i32::from_le_bytes(*b))),
            bytes => bytes.first_chunk().map(|b| i64::from_le_bytes(*b)),
        };
        let read = match self.code {
            INT1 | BIT | INT2 | INT4 | INT8 | INTN | BITN => integer(&bytes).map(Value::Integer),
            FLT4 | FLT8 | FLTN => match bytes.len() {
                4 => bytes.first_chunk().map(|b| Value::Float(f64::from(f32::from_le_bytes(*b)))),
                _ => bytes.first_chunk().map(|b| Value::Float(f64::from_le_bytes(*b))),
            },
            DECIMALN | NUMERICN | OLD_DECIMAL | OLD_NUMERIC => bytes.split_first().map(|(sign, digits)| {
                let sum = digits.iter().rev().fold(0.0, |sum, byte| sum * 256.0 + f64::from(*byte));
                let value = sum / 10_f64.powi(i32::from(self.scale));
                Value::Float(if *sign == 0 { -value } else { value })
            }),
            NVARCHAR | NCHAR | NTEXT => text::decoded(&bytes).map(Value::Text),
            // Of code pages ASCII is the part that all share.
            VARCHAR | CHAR | TEXT | OLD_VARCHAR | OLD_CHAR => {
                String::from_utf8(bytes).ok().filter(|text| text.is_ascii()).map(Value::Text)
            }
            _ => None,
        };
        read.unwrap_or(Value::Other)
    }
}
