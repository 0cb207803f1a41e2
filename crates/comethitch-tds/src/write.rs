//! Writing the tokens that a server sends: for the router's own answers, and for stand-ins.

use crate::text;
use crate::token::{Message, code};
use crate::types::code as kind;

/// A token's body behind its length in two bytes.
fn sized(out: &mut Vec<u8>, code: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(code);
    let at = out.len();
    out.extend([0; 2]);
    body(out);
    let length = (out.len() - at - 2) as u16;
    out[at..at + 2].copy_from_slice(&length.to_le_bytes());
}

/// An ERROR token, or an INFO where the class is below 11.
pub fn put_message(out: &mut Vec<u8>, message: &Message, server: &str) {
    let code = if message.class > 10 { code::ERROR } else { code::INFO };
    // The token's length has two bytes: the text is cut to what surely fits.
    let text: String = message.text.chars().take(4000).collect();
    sized(out, code, |out| {
        out.extend(message.number.to_le_bytes());
        out.extend([message.state, message.class]);
        text::put_us(out, &text);
        text::put_b(out, server);
        text::put_b(out, "");
        out.extend(1_u32.to_le_bytes());
    });
}

pub fn put_done(out: &mut Vec<u8>, code: u8, status: u16, count: u64) {
    out.push(code);
    out.extend(status.to_le_bytes());
    out.extend([0; 2]);
    out.extend(count.to_le_bytes());
}

pub fn put_login_ack(out: &mut Vec<u8>, version: u32, program: &str) {
    sized(out, code::LOGIN_ACK, |out| {
        out.push(1);
        out.extend(version.to_be_bytes());
        text::put_b(out, program);
        out.extend([16, 0, 0, 0]);
    });
}

/// A change whose values are texts: 1 the database, 2 the language, 4 the size of packets.
pub fn put_change(out: &mut Vec<u8>, change: u8, new: &str, old: &str) {
    sized(out, code::CHANGE, |out| {
        out.push(change);
        text::put_b(out, new);
        text::put_b(out, old);
    });
}

/// A change whose values are bytes: 7 the collation, 8 a transaction begun, 18 the session made as new.
pub fn put_change_bytes(out: &mut Vec<u8>, change: u8, new: &[u8], old: &[u8]) {
    sized(out, code::CHANGE, |out| {
        out.push(change);
        for bytes in [new, old] {
            out.push(bytes.len() as u8);
            out.extend_from_slice(bytes);
        }
    });
}

/// A column, as far as stand-ins and the router's own rows have them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Column {
    /// Integers of eight bytes that may be null.
    Integer,
    /// Texts of up to 4,000 characters.
    Text,
    /// Texts of any length.
    LongText,
    /// A description of a type's own, as it stands behind the flags.
    Raw(Vec<u8>),
}

/// A value of a column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cell {
    Null,
    Integer(i64),
    Text(String),
    /// The value's bytes with their length, as the type has it.
    Raw(Vec<u8>),
}

pub fn put_columns(out: &mut Vec<u8>, columns: &[(&str, Column)]) {
    out.push(code::COLUMNS);
    out.extend((columns.len() as u16).to_le_bytes());
    for (name, column) in columns {
        out.extend([0, 0, 0, 0, 9, 0]);
        match column {
            Column::Integer => out.extend([kind::INTN, 8]),
            Column::Text => out.extend([kind::NVARCHAR, 0x40, 0x1f, 9, 4, 0xd0, 0, 0x34]),
            Column::LongText => out.extend([kind::NVARCHAR, 0xff, 0xff, 9, 4, 0xd0, 0, 0x34]),
            Column::Raw(bytes) => out.extend_from_slice(bytes),
        }
        text::put_b(out, name);
    }
}

pub fn put_row(out: &mut Vec<u8>, columns: &[(&str, Column)], cells: &[Cell]) {
    out.push(code::ROW);
    for ((_, column), cell) in columns.iter().zip(cells) {
        match (column, cell) {
            (_, Cell::Raw(bytes)) => out.extend_from_slice(bytes),
            (Column::Integer, Cell::Integer(value)) => {
                out.push(8);
                out.extend(value.to_le_bytes());
            }
            (Column::Text, Cell::Text(value)) => {
                out.extend((value.encode_utf16().count() as u16 * 2).to_le_bytes());
                text::put(out, value);
            }
            (Column::LongText, Cell::Text(value)) => {
                let bytes = value.encode_utf16().count() * 2;
                out.extend((bytes as u64).to_le_bytes());
                if bytes > 0 {
                    out.extend((bytes as u32).to_le_bytes());
                    text::put(out, value);
                }
                out.extend([0; 4]);
            }
            (Column::Text, _) => out.extend([0xff; 2]),
            (Column::LongText, _) => out.extend([0xff; 8]),
            _ => out.push(0),
        }
    }
}

pub fn put_return_status(out: &mut Vec<u8>, status: i32) {
    out.push(code::RETURN_STATUS);
    out.extend(status.to_le_bytes());
}

/// An integer that a call gives back.
pub fn put_return_value(out: &mut Vec<u8>, ordinal: u16, name: &str, value: i32) {
    out.push(code::RETURN_VALUE);
    out.extend(ordinal.to_le_bytes());
    text::put_b(out, name);
    out.push(1);
    out.extend([0; 4 + 2]);
    out.extend([kind::INTN, 4, 4]);
    out.extend(value.to_le_bytes());
}
