//! Data types of columns and parameters (\[MS-TDS\], "Data Type Definitions"): type descriptions, the encoded
//! length of values, and the decoding of those values that a router reads.

pub mod code;
mod type_info;
mod value;

pub use value::{RawValue, Value};

/// How the length of a type's values is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// No length is encoded; every value has this number of bytes.
    Fixed(u8),
    /// One-byte length (`BYTELEN_TYPE`); 0 is null.
    Byte,
    /// Two-byte length (`USHORTLEN_TYPE`); 0xffff is null.
    Short,
    /// Partially length-prefixed (PARTLENTYPE, "PLP"): an eight-byte total length, then chunks with four-byte
    /// lengths, the last of which is empty.
    Chunks,
    /// A text pointer with a one-byte length, a timestamp, and a four-byte length; an empty pointer is null.
    Pointer,
    /// Four-byte length (`LONGLEN_TYPE`); 0 is null.
    Long,
}

/// The type of a column or a parameter, as described by `TYPE_INFO`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Type {
    /// One of [`code`].
    pub code: u8,
    /// How the length of values is encoded.
    pub length: Length,
    /// Maximum size of a value in bytes.
    pub max_bytes: u32,
    /// Number of decimal digits after the decimal point, or of the fraction of a second; 0 for other types.
    pub scale: u8,
    /// Total number of decimal digits; 0 for types other than decimals.
    pub precision: u8,
}

/// Maximum size of a value of any type, in bytes.
const MAX_BYTES: u32 = i32::MAX as u32;
/// Maximum size of a value with a two-byte length, in bytes.
pub(crate) const MAX_SHORT_BYTES: u16 = 8000;
/// The length that a type states if its values are partially length-prefixed, such as `nvarchar(max)`.
pub(crate) const UNLIMITED_LENGTH: u16 = u16::MAX;
