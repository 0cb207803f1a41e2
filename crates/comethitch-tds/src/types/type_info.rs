//! Reads `TYPE_INFO`, the description of a parameter's or a column's type.

use super::code::{
    BINARY, BIT, BITN, CHAR, DATEN, DATETIM4, DATETIME, DATETIME2N, DATETIMEOFFSETN, DATETIMN, DECIMALN,
    FLT4, FLT8, FLTN, GUID, IMAGE, INT1, INT2, INT4, INT8, INTN, MONEY, MONEY4, MONEYN, NCHAR, NTEXT, NULL,
    NUMERICN, NVARCHAR, OLD_BINARY, OLD_CHAR, OLD_DECIMAL, OLD_NUMERIC, OLD_VARBINARY, OLD_VARCHAR, TEXT,
    TIMEN, UDT, VARBINARY, VARCHAR, VARIANT, XML,
};
use super::{Length, MAX_BYTES, MAX_SHORT_BYTES, Type, UNLIMITED_LENGTH};
use crate::error::{Incomplete, ReadError};
use crate::read::Reader;

const COLLATION_BYTES: usize = 5;
const MAX_TIME_SCALE: u8 = 7;
const MAX_DECIMAL_BYTES: u8 = 17;
const MAX_DECIMAL_PRECISION: u8 = 38;

const IMPOSSIBLE_LENGTH: ReadError = ReadError::Malformed("a type has an impossible length");

impl Type {
    /// Creates a type without scale and precision.
    fn plain(code: u8, length: Length, max_bytes: u32) -> Type {
        Type { code, length, max_bytes, scale: 0, precision: 0 }
    }

    fn fixed(code: u8, bytes: u8) -> Type {
        Type::plain(code, Length::Fixed(bytes), u32::from(bytes))
    }

    /// Reads a type description.
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`] for an unknown type and for an impossible size, scale or precision;
    /// [`ReadError::NeedMoreInput`] if the description is incomplete.
    pub fn read(reader: &mut Reader<'_>) -> Result<Type, ReadError> {
        let code = reader.u8()?;
        Ok(match code {
            NULL => Type::fixed(code, 0),
            INT1 | BIT => Type::fixed(code, 1),
            INT2 => Type::fixed(code, 2),
            INT4 | DATETIM4 | FLT4 | MONEY4 => Type::fixed(code, 4),
            MONEY | DATETIME | FLT8 | INT8 => Type::fixed(code, 8),
            GUID | INTN | BITN | FLTN | MONEYN | DATETIMN => read_nullable(code, reader)?,
            OLD_VARBINARY | OLD_BINARY | OLD_VARCHAR | OLD_CHAR => {
                Type::plain(code, Length::Byte, u32::from(reader.u8()?))
            }
            DATEN => Type::plain(code, Length::Byte, 3),
            TIMEN | DATETIME2N | DATETIMEOFFSETN => read_time(code, reader)?,
            DECIMALN | NUMERICN | OLD_DECIMAL | OLD_NUMERIC => read_decimal(code, reader)?,
            VARBINARY | BINARY => short_or_unlimited(code, reader.u16()?)?,
            VARCHAR | CHAR | NVARCHAR | NCHAR => {
                let max_bytes = reader.u16()?;
                reader.take(COLLATION_BYTES)?;
                short_or_unlimited(code, max_bytes)?
            }
            XML => {
                skip_xml_schema(reader)?;
                Type::plain(code, Length::Chunks, MAX_BYTES)
            }
            UDT => {
                skip_udt_names(reader)?;
                Type::plain(code, Length::Chunks, MAX_BYTES)
            }
            TEXT | NTEXT => {
                let max_bytes = reader.u32()?;
                reader.take(COLLATION_BYTES)?;
                Type::plain(code, Length::Pointer, max_bytes.min(MAX_BYTES))
            }
            IMAGE => Type::plain(code, Length::Pointer, reader.u32()?.min(MAX_BYTES)),
            VARIANT => Type::plain(code, Length::Long, reader.u32()?.min(MAX_BYTES)),
            _ => return Err(ReadError::Malformed("a type that is not spoken")),
        })
    }
}

/// Reads a nullable type with a few possible sizes.
fn read_nullable(code: u8, reader: &mut Reader<'_>) -> Result<Type, ReadError> {
    let bytes = reader.u8()?;
    let is_valid_size = match code {
        GUID => bytes == 16 || bytes == 0,
        BITN => bytes == 1,
        INTN => matches!(bytes, 1 | 2 | 4 | 8),
        _ => matches!(bytes, 4 | 8),
    };
    if !is_valid_size {
        return Err(IMPOSSIBLE_LENGTH);
    }
    Ok(Type::plain(code, Length::Byte, u32::from(bytes)))
}

/// Reads a type with a time of day, whose scale determines the size of its values.
fn read_time(code: u8, reader: &mut Reader<'_>) -> Result<Type, ReadError> {
    let scale = reader.u8()?;
    if scale > MAX_TIME_SCALE {
        return Err(ReadError::Malformed("a type has an impossible scale"));
    }
    let time_bytes = match scale {
        0..=2 => 3,
        3 | 4 => 4,
        _ => 5,
    };
    let date_and_offset_bytes = match code {
        TIMEN => 0,
        DATETIME2N => 3,
        _ => 5,
    };
    Ok(Type { scale, ..Type::plain(code, Length::Byte, time_bytes + date_and_offset_bytes) })
}

fn read_decimal(code: u8, reader: &mut Reader<'_>) -> Result<Type, ReadError> {
    let max_bytes = reader.u8()?;
    let precision = reader.u8()?;
    let scale = reader.u8()?;
    if max_bytes > MAX_DECIMAL_BYTES || precision > MAX_DECIMAL_PRECISION || scale > precision {
        return Err(ReadError::Malformed("a decimal type with impossible digits"));
    }
    Ok(Type { precision, scale, ..Type::plain(code, Length::Byte, u32::from(max_bytes)) })
}

/// Returns a type whose values have a two-byte length, or are partially length-prefixed if `max_bytes` is
/// [`UNLIMITED_LENGTH`].
fn short_or_unlimited(code: u8, max_bytes: u16) -> Result<Type, ReadError> {
    match max_bytes {
        UNLIMITED_LENGTH => Ok(Type::plain(code, Length::Chunks, MAX_BYTES)),
        too_large if too_large > MAX_SHORT_BYTES => Err(IMPOSSIBLE_LENGTH),
        max_bytes => Ok(Type::plain(code, Length::Short, u32::from(max_bytes))),
    }
}

/// Skips the database, owner and collection names of the optional schema collection.
fn skip_xml_schema(reader: &mut Reader<'_>) -> Result<(), Incomplete> {
    let has_schema = reader.u8()? != 0;
    if has_schema {
        reader.b_varchar()?;
        reader.b_varchar()?;
        reader.us_varchar()?;
    }
    Ok(())
}

/// Skips the size of a user-defined type, its database, schema and type names, and its assembly-qualified
/// name.
fn skip_udt_names(reader: &mut Reader<'_>) -> Result<(), Incomplete> {
    reader.u16()?;
    reader.b_varchar()?;
    reader.b_varchar()?;
    reader.b_varchar()?;
    reader.us_varchar()?;
    Ok(())
}
