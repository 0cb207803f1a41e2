//! Sample values of every column type that a client library must be able to read through the router.

use comethitch_tds::types::code;
use comethitch_tds::write::{Cell, Column, put_columns, put_row};

/// Collation in `TYPE_INFO`: four bytes of locale and flags, and one byte of sort order.
const COLLATION: [u8; 5] = [9, 4, 0xd0, 0, 0x34];
/// Maximum length in `TYPE_INFO` that marks types without a maximum length.
const UNLIMITED_LENGTH: u16 = 0xffff;

/// A column with its encoded description and its encoded value.
struct Sample {
    name: &'static str,
    type_info: Vec<u8>,
    value: Vec<u8>,
}

/// Writes the description of all columns and a row with a value in each.
pub(super) fn put_row_of_all_types(tokens: &mut Vec<u8>) {
    let samples: Vec<Sample> = [numbers(), times(), texts_and_bytes()].into_iter().flatten().collect();
    let columns: Vec<(&str, Column)> =
        samples.iter().map(|sample| (sample.name, Column::Raw(sample.type_info.clone()))).collect();
    let cells: Vec<Cell> = samples.iter().map(|sample| Cell::Raw(sample.value.clone())).collect();
    put_columns(tokens, &columns);
    put_row(tokens, &columns, &cells);
}

fn sample(name: &'static str, type_info: impl Into<Vec<u8>>, value: Vec<u8>) -> Sample {
    Sample { name, type_info: type_info.into(), value }
}

fn numbers() -> Vec<Sample> {
    vec![
        sample("tinyint", [code::INT1], vec![200]),
        sample("smallint", [code::INT2], (-2_i16).to_le_bytes().to_vec()),
        sample("int", [code::INTN, 4], with_byte_length(&7_i32.to_le_bytes())),
        sample("bigint", [code::INTN, 8], with_byte_length(&(1_i64 << 40).to_le_bytes())),
        sample("bit", [code::BITN, 1], with_byte_length(&[1])),
        sample("real", [code::FLTN, 4], with_byte_length(&1.5_f32.to_le_bytes())),
        sample("float", [code::FLTN, 8], with_byte_length(&2.5_f64.to_le_bytes())),
        sample("decimal", [code::DECIMALN, 5, 9, 2], with_byte_length(&[1, 0x39, 0x30, 0, 0])),
        sample("money", [code::MONEYN, 8], with_byte_length(&[0, 0, 0, 0, 0x10, 0x27, 0, 0])),
    ]
}

fn times() -> Vec<Sample> {
    vec![
        sample("datetime", [code::DATETIMN, 8], with_byte_length(&[0; 8])),
        sample("date", [code::DATEN], with_byte_length(&[1, 0, 0])),
        sample("time", [code::TIMEN, 0], with_byte_length(&[60, 0, 0])),
        sample("datetime2", [code::DATETIME2N, 0], with_byte_length(&[60, 0, 0, 1, 0, 0])),
        sample("datetimeoffset", [code::DATETIMEOFFSETN, 0], with_byte_length(&[60, 0, 0, 1, 0, 0, 0, 0])),
    ]
}

fn texts_and_bytes() -> Vec<Sample> {
    let long_text = utf16(&"luna".repeat(2_000));
    vec![
        sample("guid", [code::GUID, 16], with_byte_length(&[7; 16])),
        sample("nvarchar", character_type(code::NVARCHAR, 40), with_short_length(&utf16("año"))),
        sample("nchar", character_type(code::NCHAR, 6), with_short_length(&utf16("abc"))),
        sample("varchar", character_type(code::VARCHAR, 40), with_short_length(b"abc")),
        sample("char", character_type(code::CHAR, 3), with_short_length(b"abc")),
        sample("varbinary", [code::VARBINARY, 10, 0], with_short_length(&[1, 2, 3])),
        sample("binary", [code::BINARY, 3, 0], with_short_length(&[1, 2, 3])),
        sample(
            "nvarchar_max",
            character_type(code::NVARCHAR, UNLIMITED_LENGTH),
            partially_length_prefixed(&long_text),
        ),
        sample("varbinary_max", [code::VARBINARY, 0xff, 0xff], partially_length_prefixed(&[9; 3_000])),
        sample("nothing", [code::INTN, 4], with_byte_length(&[])),
    ]
}

fn character_type(code: u8, max_bytes: u16) -> Vec<u8> {
    [&[code][..], &max_bytes.to_le_bytes(), &COLLATION].concat()
}

fn utf16(text: &str) -> Vec<u8> {
    text.encode_utf16().flat_map(u16::to_le_bytes).collect()
}

/// Encodes a value with a length prefix of one byte.
fn with_byte_length(value: &[u8]) -> Vec<u8> {
    [&[value.len() as u8][..], value].concat()
}

/// Encodes a value with a length prefix of two bytes.
fn with_short_length(value: &[u8]) -> Vec<u8> {
    [&(value.len() as u16).to_le_bytes()[..], value].concat()
}

/// Encodes partially length-prefixed (PLP) bytes: the total length, a single chunk and the terminator.
fn partially_length_prefixed(value: &[u8]) -> Vec<u8> {
    let total = (value.len() as u64).to_le_bytes();
    let chunk = (value.len() as u32).to_le_bytes();
    let terminator = [0; 4];
    [&total[..], &chunk, value, &terminator].concat()
}
