//! LOGIN7 (\[MS-TDS\], "LOGIN7"): a fixed part with flags and the offsets and lengths of texts, followed by
//! the texts.

use super::MAX_LOGIN_BYTES;
use crate::error::{Incomplete, MalformedMessage};
use crate::read::Reader;
use crate::text;

/// Maximum length of a text in UTF-16 code units.
const MAX_TEXT_UNITS: u16 = 128;
/// Size of the fixed part.
const FIXED_BYTES: usize = 94;
/// Size of the client's program version, process id and connection id.
const CLIENT_PROCESS_BYTES: usize = 12;
/// Size of the client's time zone and locale.
const LOCALE_BYTES: usize = 8;
/// Size of `ClientID`, the client's network address.
const CLIENT_ID_BYTES: usize = 6;
/// The mask that is combined by exclusive or with each byte of a password, after the upper and lower four
/// bits of the byte were swapped.
const PASSWORD_MASK: u8 = 0xa5;
const FEATURE_TERMINATOR: u8 = 0xff;

/// The flag bits that the codec reads or writes.
mod flags {
    /// `OptionFlags1`: notify of database changes, fail if the database cannot be changed, notify of language
    /// changes.
    pub(super) const NOTIFY_OF_CHANGES: u8 = 0xe0;
    /// `OptionFlags2`: fail if the language cannot be changed, and the client is ODBC.
    pub(super) const ODBC: u8 = 0x03;
    /// `OptionFlags2`: integrated security.
    pub(super) const INTEGRATED: u8 = 0x80;
    /// `TypeFlags`: read-only intent.
    pub(super) const READ_ONLY: u8 = 0x20;
    /// `OptionFlags3`: the message has a feature extension.
    pub(super) const EXTENSION: u8 = 0x10;
}

/// The parts of a LOGIN7 message that a router needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Login {
    /// The client's TDS version.
    pub version: u32,
    /// Requested packet size in bytes; 0 for the server's default.
    pub packet_size: u32,
    /// The client's host name.
    pub host: String,
    /// The user to authenticate.
    pub user: String,
    /// The user's password in plain text.
    pub password: String,
    /// The client's application name.
    pub application: String,
    /// The name of the server that the client connects to.
    pub server: String,
    /// The name of the client's library.
    pub library: String,
    /// The database to use.
    pub database: String,
    /// Whether the client declares read-only intent.
    pub read_only: bool,
    /// Whether the client requests integrated authentication in place of a password.
    pub integrated: bool,
    /// The ids of the requested features. Not written by [`Login::put`].
    pub features: Vec<u8>,
}

/// The location of a variable-length field in the message.
#[derive(Clone, Copy)]
struct Field {
    offset: usize,
    /// Length in UTF-16 code units for a text, and in bytes for the extension.
    length: u16,
}

impl Login {
    /// Decodes the payload of a complete message. Every offset and length is checked before use.
    ///
    /// # Errors
    ///
    /// If the message is too large or differs from its stated length, or a field lies outside of the message,
    /// is too long or is not well-formed UTF-16.
    pub fn read(payload: &[u8]) -> Result<Login, MalformedMessage> {
        if payload.len() > MAX_LOGIN_BYTES {
            return Err(MalformedMessage("a login is larger than it may be"));
        }
        let mut reader = Reader::new(payload);
        let length = reader.u32().map_err(too_short)? as usize;
        if length != payload.len() || length < FIXED_BYTES {
            return Err(MalformedMessage("a login's length is not its own"));
        }
        Login::read_parts(&mut reader, payload)
    }

    fn read_parts(reader: &mut Reader<'_>, payload: &[u8]) -> Result<Login, MalformedMessage> {
        let version = reader.u32().map_err(too_short)?;
        let packet_size = reader.u32().map_err(too_short)?;
        reader.take(CLIENT_PROCESS_BYTES).map_err(too_short)?;
        let _option_flags1 = reader.u8().map_err(too_short)?;
        let option_flags2 = reader.u8().map_err(too_short)?;
        let type_flags = reader.u8().map_err(too_short)?;
        let option_flags3 = reader.u8().map_err(too_short)?;
        reader.take(LOCALE_BYTES).map_err(too_short)?;
        let host = read_text(reader, payload)?;
        let user = read_text(reader, payload)?;
        let password = read_password(reader, payload)?;
        let application = read_text(reader, payload)?;
        let server = read_text(reader, payload)?;
        let extension = read_field(reader)?;
        let library = read_text(reader, payload)?;
        let _language = read_text(reader, payload)?;
        let database = read_text(reader, payload)?;
        let has_extension = option_flags3 & flags::EXTENSION != 0;
        let features = if has_extension { read_features(payload, extension)? } else { Vec::new() };
        Ok(Login {
            version,
            packet_size,
            host,
            user,
            password,
            application,
            server,
            library,
            database,
            read_only: type_flags & flags::READ_ONLY != 0,
            integrated: option_flags2 & flags::INTEGRATED != 0,
            features,
        })
    }

    /// Writes the message as a client does.
    pub fn put(&self, out: &mut Vec<u8>) {
        let start = out.len();
        let length_placeholder = [0; 4];
        out.extend(length_placeholder);
        out.extend(self.version.to_le_bytes());
        out.extend(self.packet_size.to_le_bytes());
        out.extend([0; CLIENT_PROCESS_BYTES]);
        out.extend(self.flags());
        out.extend([0; LOCALE_BYTES]);
        let texts = self.put_text_fields(out);
        put_unused_fields(out, FIXED_BYTES + texts.len());
        out.extend(texts);
        let length = (out.len() - start) as u32;
        out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    }

    /// Returns `OptionFlags1`, `OptionFlags2`, `TypeFlags` and `OptionFlags3`.
    fn flags(&self) -> [u8; 4] {
        let integrated = if self.integrated { flags::INTEGRATED } else { 0 };
        let read_only = if self.read_only { flags::READ_ONLY } else { 0 };
        [flags::NOTIFY_OF_CHANGES, flags::ODBC | integrated, read_only, 0]
    }

    /// Writes the offsets and lengths of the texts and the `ClientID`, and returns the encoded texts.
    fn put_text_fields(&self, out: &mut Vec<u8>) -> Vec<u8> {
        let extension = "";
        let language = "";
        let mut texts = Vec::new();
        put_field(out, &mut texts, &utf16(&self.host));
        put_field(out, &mut texts, &utf16(&self.user));
        put_field(out, &mut texts, &scramble_password(&utf16(&self.password)));
        put_field(out, &mut texts, &utf16(&self.application));
        put_field(out, &mut texts, &utf16(&self.server));
        put_field(out, &mut texts, &utf16(extension));
        put_field(out, &mut texts, &utf16(&self.library));
        put_field(out, &mut texts, &utf16(language));
        put_field(out, &mut texts, &utf16(&self.database));
        out.extend([0; CLIENT_ID_BYTES]);
        texts
    }
}

fn too_short(_: Incomplete) -> MalformedMessage {
    MalformedMessage("a login is too short")
}

fn read_field(reader: &mut Reader<'_>) -> Result<Field, MalformedMessage> {
    let offset = usize::from(reader.u16().map_err(too_short)?);
    let length = reader.u16().map_err(too_short)?;
    Ok(Field { offset, length })
}

fn read_text(reader: &mut Reader<'_>, payload: &[u8]) -> Result<String, MalformedMessage> {
    decode_text(text_bytes(payload, read_field(reader)?)?)
}

fn read_password(reader: &mut Reader<'_>, payload: &[u8]) -> Result<String, MalformedMessage> {
    let scrambled = text_bytes(payload, read_field(reader)?)?;
    decode_text(&unscramble_password(scrambled))
}

/// Returns the encoded bytes of a text, which must lie after the fixed part.
fn text_bytes(payload: &[u8], field: Field) -> Result<&[u8], MalformedMessage> {
    let Field { offset, length } = field;
    if length == 0 {
        return Ok(&[]);
    }
    if length > MAX_TEXT_UNITS {
        return Err(MalformedMessage("a text of a login is longer than it may be"));
    }
    let bytes = payload.get(offset..offset + usize::from(length) * 2).filter(|_| offset >= FIXED_BYTES);
    bytes.ok_or(MalformedMessage("a login names bytes that it does not have"))
}

fn decode_text(bytes: &[u8]) -> Result<String, MalformedMessage> {
    text::decode(bytes).ok_or(MalformedMessage("a text of a login is no UTF-16"))
}

/// Reads the ids of the requested features. The extension field locates a four-byte offset in the message,
/// and the list of features begins at that offset.
fn read_features(payload: &[u8], extension: Field) -> Result<Vec<u8>, MalformedMessage> {
    let out_of_bounds = MalformedMessage("a login names bytes that it does not have");
    if extension.length != 4 {
        return Err(MalformedMessage("a login's extension is no offset"));
    }
    let pointer = payload.get(extension.offset..extension.offset + 4);
    let pointer = pointer.and_then(<[u8]>::first_chunk).ok_or(out_of_bounds)?;
    let offset = u32::from_le_bytes(*pointer) as usize;
    let mut reader = Reader::new(payload.get(offset..).ok_or(out_of_bounds)?);
    let mut features = Vec::new();
    loop {
        let id = reader.u8().map_err(|_| out_of_bounds)?;
        if id == FEATURE_TERMINATOR {
            return Ok(features);
        }
        let length = reader.u32().map_err(|_| out_of_bounds)? as usize;
        reader.take(length).map_err(|_| out_of_bounds)?;
        features.push(id);
    }
}

fn utf16(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    text::put(&mut bytes, text);
    bytes
}

/// Obfuscates a password as the protocol requires: swaps the upper and lower four bits of each byte and
/// applies the mask.
fn scramble_password(plain: &[u8]) -> Vec<u8> {
    plain.iter().map(|byte| byte.rotate_left(4) ^ PASSWORD_MASK).collect()
}

fn unscramble_password(scrambled: &[u8]) -> Vec<u8> {
    scrambled.iter().map(|byte| (byte ^ PASSWORD_MASK).rotate_left(4)).collect()
}

/// Writes the offset and the length of a text, and appends the text to `texts`.
fn put_field(out: &mut Vec<u8>, texts: &mut Vec<u8>, text: &[u8]) {
    out.extend(((FIXED_BYTES + texts.len()) as u16).to_le_bytes());
    out.extend((text.len() as u16 / 2).to_le_bytes());
    texts.extend_from_slice(text);
}

/// Writes the fields of the SSPI message, the database file and the new password, all empty at `offset`, and
/// a length of 0 for a long SSPI message.
fn put_unused_fields(out: &mut Vec<u8>, offset: usize) {
    for _ in 0..3 {
        let length = [0; 2];
        out.extend((offset as u16).to_le_bytes());
        out.extend(length);
    }
    let long_sspi_length = [0; 4];
    out.extend(long_sspi_length);
}
