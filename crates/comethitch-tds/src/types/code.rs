//! The codes of data types (\[MS-TDS\], "Data Type Definitions"), each documented with its name there.

/// NULLTYPE: always null.
pub const NULL: u8 = 0x1f;
/// IMAGETYPE: long binary data, preceded by a text pointer.
pub const IMAGE: u8 = 0x22;
/// TEXTTYPE: long text of a code page, preceded by a text pointer.
pub const TEXT: u8 = 0x23;
/// GUIDTYPE: a GUID or null.
pub const GUID: u8 = 0x24;
/// VARBINARYTYPE: the legacy varbinary.
pub const OLD_VARBINARY: u8 = 0x25;
/// INTNTYPE: an integer of 1, 2, 4 or 8 bytes, or null.
pub const INTN: u8 = 0x26;
/// VARCHARTYPE: the legacy varchar.
pub const OLD_VARCHAR: u8 = 0x27;
/// DATENTYPE: a date or null.
pub const DATEN: u8 = 0x28;
/// TIMENTYPE: a time of day or null.
pub const TIMEN: u8 = 0x29;
/// DATETIME2NTYPE: a date and a time of day, or null.
pub const DATETIME2N: u8 = 0x2a;
/// DATETIMEOFFSETNTYPE: a date, a time of day and a time zone offset, or null.
pub const DATETIMEOFFSETN: u8 = 0x2b;
/// BINARYTYPE: the legacy binary.
pub const OLD_BINARY: u8 = 0x2d;
/// CHARTYPE: the legacy char.
pub const OLD_CHAR: u8 = 0x2f;
/// INT1TYPE: an unsigned integer of one byte.
pub const INT1: u8 = 0x30;
/// BITTYPE: a bit.
pub const BIT: u8 = 0x32;
/// INT2TYPE: a signed integer of two bytes.
pub const INT2: u8 = 0x34;
/// DECIMALTYPE: the legacy decimal.
pub const OLD_DECIMAL: u8 = 0x37;
/// INT4TYPE: a signed integer of four bytes.
pub const INT4: u8 = 0x38;
/// DATETIM4TYPE: a smalldatetime.
pub const DATETIM4: u8 = 0x3a;
/// FLT4TYPE: a floating-point number of four bytes.
pub const FLT4: u8 = 0x3b;
/// MONEYTYPE: money in eight bytes.
pub const MONEY: u8 = 0x3c;
/// DATETIMETYPE: a datetime.
pub const DATETIME: u8 = 0x3d;
/// FLT8TYPE: a floating-point number of eight bytes.
pub const FLT8: u8 = 0x3e;
/// NUMERICTYPE: the legacy numeric.
pub const OLD_NUMERIC: u8 = 0x3f;
/// SSVARIANTTYPE: a value that contains its own type description.
pub const VARIANT: u8 = 0x62;
/// NTEXTTYPE: long UTF-16 text, preceded by a text pointer.
pub const NTEXT: u8 = 0x63;
/// BITNTYPE: a bit or null.
pub const BITN: u8 = 0x68;
/// DECIMALNTYPE: a decimal or null.
pub const DECIMALN: u8 = 0x6a;
/// NUMERICNTYPE: a numeric or null.
pub const NUMERICN: u8 = 0x6c;
/// FLTNTYPE: a floating-point number of 4 or 8 bytes, or null.
pub const FLTN: u8 = 0x6d;
/// MONEYNTYPE: money in 4 or 8 bytes, or null.
pub const MONEYN: u8 = 0x6e;
/// DATETIMNTYPE: a smalldatetime, a datetime or null.
pub const DATETIMN: u8 = 0x6f;
/// MONEY4TYPE: money in four bytes.
pub const MONEY4: u8 = 0x7a;
/// INT8TYPE: a signed integer of eight bytes.
pub const INT8: u8 = 0x7f;
/// BIGVARBINARYTYPE: variable-length binary data.
pub const VARBINARY: u8 = 0xa5;
/// BIGVARCHARTYPE: variable-length text of a code page.
pub const VARCHAR: u8 = 0xa7;
/// BIGBINARYTYPE: fixed-length binary data.
pub const BINARY: u8 = 0xad;
/// BIGCHARTYPE: fixed-length text of a code page.
pub const CHAR: u8 = 0xaf;
/// NVARCHARTYPE: variable-length UTF-16 text.
pub const NVARCHAR: u8 = 0xe7;
/// NCHARTYPE: fixed-length UTF-16 text.
pub const NCHAR: u8 = 0xef;
/// UDTTYPE: a user-defined CLR type.
pub const UDT: u8 = 0xf0;
/// XMLTYPE: an XML document.
pub const XML: u8 = 0xf1;
