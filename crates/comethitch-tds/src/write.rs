//! Writes the tokens of a server's response, for a router's own responses and for scripted servers in tests.

use crate::text;
use crate::token::{ServerMessage, code};
use crate::types::{MAX_SHORT_BYTES, UNLIMITED_LENGTH, code as type_code};

/// The highest severity class of an informational message.
const MAX_INFO_CLASS: u8 = 10;
/// Maximum length of a message's text in characters, so that the token's length fits in two bytes.
const MAX_MESSAGE_CHARACTERS: usize = 4000;
/// The interface stated in LOGINACK: T-SQL.
const SQL_TSQL: u8 = 1;
/// The version of the server program stated in LOGINACK.
const PROGRAM_VERSION: [u8; 4] = [16, 0, 0, 0];
/// A column's user type and flags in COLMETADATA: no user type, nullable, not known to be updatable.
const USER_TYPE_AND_FLAGS: [u8; 6] = [0, 0, 0, 0, 9, 0];
/// The collation of text columns: locale 0x0409, comparison flags, and sort order 52
/// (`SQL_Latin1_General_CP1_CI_AS`).
const COLLATION: [u8; 5] = [9, 4, 0xd0, 0, 0x34];
/// The length that marks a value with a two-byte length as null (`CHARBIN_NULL`).
const CHARBIN_NULL: u16 = u16::MAX;
/// The total length that marks a partially length-prefixed value as null.
const PLP_NULL: u64 = u64::MAX;
/// The length of the empty chunk that ends a partially length-prefixed value.
const PLP_TERMINATOR: [u8; 4] = [0; 4];
/// The status in RETURNVALUE that marks an output parameter.
const OUTPUT_PARAMETER: u8 = 1;

/// Writes a token's code, a two-byte length and the body.
fn put_with_length(out: &mut Vec<u8>, code: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(code);
    let start = out.len();
    let length_placeholder = [0; 2];
    out.extend(length_placeholder);
    body(out);
    let length = (out.len() - start - 2) as u16;
    out[start..start + 2].copy_from_slice(&length.to_le_bytes());
}

/// Writes an ERROR token, or an INFO token if the message's class is at most 10. A text of more than 4000
/// characters is truncated.
pub fn put_server_message(out: &mut Vec<u8>, message: &ServerMessage, server: &str) {
    let code = if message.class > MAX_INFO_CLASS { code::ERROR } else { code::INFO };
    let text: String = message.text.chars().take(MAX_MESSAGE_CHARACTERS).collect();
    let procedure = "";
    let line = 1_u32;
    put_with_length(out, code, |out| {
        out.extend(message.number.to_le_bytes());
        out.extend([message.state, message.class]);
        text::put_us_varchar(out, &text);
        text::put_b_varchar(out, server);
        text::put_b_varchar(out, procedure);
        out.extend(line.to_le_bytes());
    });
}

/// Writes the DONE, DONEPROC or DONEINPROC token that has this `code`. `status` holds bits of
/// [`crate::token::done`], and `count` is the number of affected rows.
pub fn put_done(out: &mut Vec<u8>, code: u8, status: u16, count: u64) {
    let current_command = [0; 2];
    out.push(code);
    out.extend(status.to_le_bytes());
    out.extend(current_command);
    out.extend(count.to_le_bytes());
}

/// Writes a LOGINACK token with the TDS version and the name of the server program.
pub fn put_login_ack(out: &mut Vec<u8>, version: u32, program: &str) {
    put_with_length(out, code::LOGIN_ACK, |out| {
        out.push(SQL_TSQL);
        out.extend(version.to_be_bytes());
        text::put_b_varchar(out, program);
        out.extend(PROGRAM_VERSION);
    });
}

/// Writes an ENVCHANGE token with text values, for the types 2 (language),
/// [`crate::token::env_change_type::DATABASE`] and [`crate::token::env_change_type::PACKET_SIZE`].
pub fn put_env_change(out: &mut Vec<u8>, change_type: u8, new: &str, old: &str) {
    put_with_length(out, code::ENV_CHANGE, |out| {
        out.push(change_type);
        text::put_b_varchar(out, new);
        text::put_b_varchar(out, old);
    });
}

/// Writes an ENVCHANGE token with binary values, for the types 7 (collation),
/// [`crate::token::env_change_type::BEGIN_TRANSACTION`] and
/// [`crate::token::env_change_type::RESET_ACKNOWLEDGED`].
pub fn put_env_change_bytes(out: &mut Vec<u8>, change_type: u8, new: &[u8], old: &[u8]) {
    put_with_length(out, code::ENV_CHANGE, |out| {
        out.push(change_type);
        for bytes in [new, old] {
            out.push(bytes.len() as u8);
            out.extend_from_slice(bytes);
        }
    });
}

/// The type of a column to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Column {
    /// `bigint`, nullable.
    Integer,
    /// `nvarchar(4000)`.
    Text,
    /// `nvarchar(max)`.
    LongText,
    /// Any other type, by its encoded `TYPE_INFO`.
    Raw(Vec<u8>),
}

/// A value to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cell {
    /// Null, in a column of any type but [`Column::Raw`].
    Null,
    /// A value of [`Column::Integer`].
    Integer(i64),
    /// A value of [`Column::Text`] or [`Column::LongText`].
    Text(String),
    /// A value of any column, encoded with its length if its type has one.
    Raw(Vec<u8>),
}

/// Writes a COLMETADATA token with the name and the type of each column.
pub fn put_columns(out: &mut Vec<u8>, columns: &[(&str, Column)]) {
    out.push(code::COLUMNS);
    out.extend((columns.len() as u16).to_le_bytes());
    for (name, column) in columns {
        out.extend(USER_TYPE_AND_FLAGS);
        match column {
            Column::Integer => out.extend([type_code::INTN, 8]),
            Column::Text => put_nvarchar_type(out, MAX_SHORT_BYTES),
            Column::LongText => put_nvarchar_type(out, UNLIMITED_LENGTH),
            Column::Raw(type_info) => out.extend_from_slice(type_info),
        }
        text::put_b_varchar(out, name);
    }
}

fn put_nvarchar_type(out: &mut Vec<u8>, max_bytes: u16) {
    out.push(type_code::NVARCHAR);
    out.extend(max_bytes.to_le_bytes());
    out.extend(COLLATION);
}

/// Writes a ROW token. A value that does not match its column's type is written as null.
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
            (Column::LongText, Cell::Text(value)) => put_chunked_text(out, value),
            (Column::Text, _) => out.extend(CHARBIN_NULL.to_le_bytes()),
            (Column::LongText, _) => out.extend(PLP_NULL.to_le_bytes()),
            _ => out.push(0),
        }
    }
}

/// Writes a partially length-prefixed text as one chunk, or without chunks if it is empty.
pub(crate) fn put_chunked_text(out: &mut Vec<u8>, value: &str) {
    let bytes = value.encode_utf16().count() * 2;
    out.extend((bytes as u64).to_le_bytes());
    if bytes > 0 {
        out.extend((bytes as u32).to_le_bytes());
        text::put(out, value);
    }
    out.extend(PLP_TERMINATOR);
}

/// Writes a RETURNSTATUS token: the status of a procedure.
pub fn put_return_status(out: &mut Vec<u8>, status: i32) {
    out.push(code::RETURN_STATUS);
    out.extend(status.to_le_bytes());
}

/// Writes a RETURNVALUE token: the value of an integer output parameter.
pub fn put_return_value(out: &mut Vec<u8>, ordinal: u16, name: &str, value: i32) {
    let user_type_and_flags = [0; 4 + 2];
    out.push(code::RETURN_VALUE);
    out.extend(ordinal.to_le_bytes());
    text::put_b_varchar(out, name);
    out.push(OUTPUT_PARAMETER);
    out.extend(user_type_and_flags);
    out.extend([type_code::INTN, 4, 4]);
    out.extend(value.to_le_bytes());
}
