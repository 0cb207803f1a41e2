//! Data types of columns and parameters (\[MS-TDS\], "Data Type Definitions"): their descriptions, the length of their
//! values on the wire, and the values that a router reads.

pub mod code;
mod type_info;
mod value;

pub use value::{Raw, Value};

/// How a type's values state their length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// Always so many bytes, without a length.
    Fixed(u8),
    /// A length of one byte (`BYTELEN_TYPE`); 0 is null.
    Byte,
    /// A length of two bytes (`USHORTLEN_TYPE`); 0xffff is null.
    Short,
    /// Partially length-prefixed (PARTLENTYPE, "PLP"): a total length of eight bytes, then chunks behind a length of
    /// four bytes each, up to an empty one.
    Chunks,
    /// A text pointer behind its length, a timestamp, and a length of four bytes; an empty pointer is null.
    Pointer,
    /// A length of four bytes (`LONGLEN_TYPE`); 0 is null.
    Long,
}

/// The type of a column or a parameter, as its `TYPE_INFO` describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Type {
    /// One of [`code`].
    pub code: u8,
    /// How its values state their length.
    pub length: Length,
    /// The most bytes that a value may have.
    pub max_bytes: u32,
    /// Decimal digits after the point, or of a fraction of a second; 0 for other types.
    pub scale: u8,
    /// Decimal digits in total; 0 for types other than decimals.
    pub precision: u8,
}

/// The most bytes of a value of any type.
const MAX_BYTES: u32 = i32::MAX as u32;
/// The most bytes of a value with a length of two bytes.
pub(crate) const MAX_SHORT_BYTES: u16 = 8000;
/// The size in a type's description that makes it partially length-prefixed, such as `nvarchar(max)`.
pub(crate) const UNLIMITED: u16 = u16::MAX;
