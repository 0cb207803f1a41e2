//! Decodes the part of each token after its code.

use super::{EnvChange, ServerMessage, Token, env_change_type};
use crate::error::{Incomplete, MalformedMessage, ReadError};
use crate::packet::{MAX_PACKET_BYTES, MIN_PACKET_BYTES};
use crate::read::Reader;
use crate::text;
use crate::types::{Length, Type};

/// Maximum number of columns that servers allow.
const MAX_COLUMNS: u16 = 4096;
/// The column count that means that the token contains no new description (`NoMetaData`).
const NO_METADATA: u16 = u16::MAX;
/// Maximum accepted size of a token body, or of a feature's data, with a four-byte length.
const MAX_LONG_BODY_BYTES: u32 = 1 << 20;
/// Size of the user type and the flags of a column or an output parameter.
const USER_TYPE_AND_FLAGS_BYTES: usize = 4 + 2;
const FEATURE_TERMINATOR: u8 = 0xff;

/// Reads a token body with a two-byte length.
pub(super) fn short_body<'a>(reader: &mut Reader<'a>) -> Result<Reader<'a>, ReadError> {
    let length = reader.u16()?;
    Ok(Reader::new(reader.take(usize::from(length))?))
}

/// Reads a token body, or a feature's data, with a four-byte length.
pub(super) fn long_body<'a>(reader: &mut Reader<'a>) -> Result<Reader<'a>, ReadError> {
    let length = reader.u32()?;
    if length > MAX_LONG_BODY_BYTES {
        return Err(ReadError::Malformed(
            "the body of a token or the data of a feature is longer than 1 MiB",
        ));
    }
    Ok(Reader::new(reader.take(length as usize)?))
}

/// Decodes COLMETADATA, or returns `None` if it contains no new description of columns.
pub(super) fn columns(reader: &mut Reader<'_>) -> Result<Option<Vec<Type>>, ReadError> {
    let count = reader.u16()?;
    if count == NO_METADATA {
        return Ok(None);
    }
    if count > MAX_COLUMNS {
        return Err(ReadError::Malformed("COLMETADATA describes more than 4096 columns"));
    }
    let mut columns = Vec::new();
    for _ in 0..count {
        columns.push(column(reader)?);
    }
    Ok(Some(columns))
}

fn column(reader: &mut Reader<'_>) -> Result<Type, ReadError> {
    reader.take(USER_TYPE_AND_FLAGS_BYTES)?;
    let column_type = Type::read(reader)?;
    if column_type.length == Length::Pointer {
        skip_table_name(reader)?;
    }
    let _name = reader.b_varchar()?;
    Ok(column_type)
}

/// Skips the parts of the table name that follows the type of a text or image column.
fn skip_table_name(reader: &mut Reader<'_>) -> Result<(), Incomplete> {
    let parts = reader.u8()?;
    for _ in 0..parts {
        reader.us_varchar()?;
    }
    Ok(())
}

/// Decodes DONE, DONEPROC or DONEINPROC.
pub(super) fn done(code: u8, reader: &mut Reader<'_>) -> Result<Token, ReadError> {
    let status = reader.u16()?;
    let _current_command = reader.u16()?;
    let count = reader.u64()?;
    Ok(Token::Done { code, status, count })
}

/// Decodes ERROR or INFO.
pub(super) fn server_message(reader: &mut Reader<'_>) -> Result<ServerMessage, ReadError> {
    let mut body = short_body(reader)?;
    let message = server_message_body(&mut body);
    Ok(message.map_err(|error| {
        ReadError::from(error).at_end_of_input("an ERROR or INFO token ends before its last field")
    })?)
}

fn server_message_body(body: &mut Reader<'_>) -> Result<ServerMessage, Incomplete> {
    let number = body.i32()?;
    let state = body.u8()?;
    let class = body.u8()?;
    let text = text::decode_lossy(body.us_varchar()?);
    let _server_name = body.b_varchar()?;
    let _procedure_name = body.b_varchar()?;
    let _line_number = body.u32()?;
    Ok(ServerMessage { number, state, class, text })
}

/// Decodes LOGINACK.
pub(super) fn login_ack(reader: &mut Reader<'_>) -> Result<Token, ReadError> {
    let mut body = short_body(reader)?;
    match login_ack_version(&mut body) {
        Ok(version) => Ok(Token::LoginAck { version }),
        Err(Incomplete) => Err(ReadError::Malformed("a LOGINACK token ends before its TDS version")),
    }
}

/// Reads the TDS version. It is big-endian, unlike the other integers in tokens.
fn login_ack_version(body: &mut Reader<'_>) -> Result<u32, Incomplete> {
    let _interface = body.u8()?;
    let version = body.take(4)?;
    Ok(version.first_chunk().map_or(0, |bytes| u32::from_be_bytes(*bytes)))
}

/// Decodes ENVCHANGE.
pub(super) fn env_change(reader: &mut Reader<'_>) -> Result<EnvChange, ReadError> {
    let mut body = short_body(reader)?;
    Ok(env_change_body(&mut body)
        .map_err(|error| error.at_end_of_input("an ENVCHANGE token ends within a field"))?)
}

fn env_change_body(body: &mut Reader<'_>) -> Result<EnvChange, ReadError> {
    Ok(match body.u8()? {
        env_change_type::DATABASE => EnvChange::Database(text::decode_lossy(body.b_varchar()?)),
        env_change_type::PACKET_SIZE => EnvChange::PacketSize(packet_size(body)?),
        env_change_type::BEGIN_TRANSACTION => EnvChange::TransactionBegan,
        env_change_type::COMMIT_TRANSACTION
        | env_change_type::ROLLBACK_TRANSACTION
        | env_change_type::DEFECT_TRANSACTION
        | env_change_type::TRANSACTION_ENDED => EnvChange::TransactionEnded,
        env_change_type::RESET_ACKNOWLEDGED => EnvChange::Reset,
        env_change_type::ROUTING => EnvChange::Routed,
        other => EnvChange::Other(other),
    })
}

fn packet_size(body: &mut Reader<'_>) -> Result<usize, ReadError> {
    let size = text::decode_lossy(body.b_varchar()?).parse::<usize>();
    let size = size.map_err(|_| MalformedMessage("the packet size in ENVCHANGE is not a number"))?;
    if !(MIN_PACKET_BYTES..=MAX_PACKET_BYTES).contains(&size) {
        return Err(ReadError::Malformed("the packet size in ENVCHANGE is out of range"));
    }
    Ok(size)
}

/// Decodes RETURNVALUE, whose value is skipped.
pub(super) fn return_value(reader: &mut Reader<'_>) -> Result<Token, ReadError> {
    let _ordinal = reader.u16()?;
    let _name = reader.b_varchar()?;
    let _status = reader.u8()?;
    reader.take(USER_TYPE_AND_FLAGS_BYTES)?;
    let value_type = Type::read(reader)?;
    value_type.read_value(reader)?;
    Ok(Token::ReturnValue)
}

/// Skips the features of FEATUREEXTACK, up to and including the terminator.
pub(super) fn skip_features(reader: &mut Reader<'_>) -> Result<(), ReadError> {
    while reader.u8()? != FEATURE_TERMINATOR {
        long_body(reader)?;
    }
    Ok(())
}
