//! What opens a connection: PRELOGIN and LOGIN7, and what a server answers.

use crate::read::{MalformedMessage, ReadError, Reader};
use crate::text;

/// The version that is spoken: 7.4.
pub const VERSION: u32 = 0x7400_0004;
/// A login of more bytes is none.
pub const LARGEST_LOGIN: usize = 128 * 1024;
/// The longest text of a login, in characters.
const LONGEST_TEXT: u16 = 128;
const FIXED: usize = 94;

/// Whether a connection is encrypted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Encryption {
    Off,
    On,
    #[default]
    NotSupported,
    Required,
}

impl Encryption {
    const ALL: [Encryption; 4] =
        [Encryption::Off, Encryption::On, Encryption::NotSupported, Encryption::Required];

    fn code(self) -> u8 {
        self as u8
    }
}

/// What matters of a PRELOGIN message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prelogin {
    pub version: [u8; 6],
    pub encryption: Encryption,
    /// Several answers at a time on one connection are asked for.
    pub mars: bool,
    /// Federated authentication is asked for.
    pub federated: bool,
}

mod option {
    pub const VERSION: u8 = 0;
    pub const ENCRYPTION: u8 = 1;
    pub const INSTANCE: u8 = 2;
    pub const THREAD: u8 = 3;
    pub const MARS: u8 = 4;
    pub const FEDERATED: u8 = 6;
    pub const END: u8 = 0xff;
}

impl Prelogin {
    /// Reads a whole message.
    pub fn read(payload: &[u8]) -> Result<Prelogin, MalformedMessage> {
        let mut reader = Reader::new(payload);
        let mut found = Prelogin { encryption: Encryption::Off, ..Prelogin::default() };
        let mut has_version = false;
        loop {
            let short = |unread: crate::Short| ReadError::from(unread).at_end("a PRELOGIN has no end");
            let code = reader.u8().map_err(short)?;
            if code == option::END {
                break;
            }
            let (offset, length) = (reader.u16_be().map_err(short)?, reader.u16_be().map_err(short)?);
            let from = usize::from(offset);
            let data = payload.get(from..from + usize::from(length));
            let data = data.ok_or(MalformedMessage("a PRELOGIN names bytes that it does not have"))?;
            match code {
                option::VERSION => {
                    found.version =
                        *data.first_chunk().ok_or(MalformedMessage("a PRELOGIN's version is too short"))?;
                    has_version = true;
                }
                option::ENCRYPTION => {
                    let code = data.first().ok_or(MalformedMessage("a PRELOGIN's encryption is empty"))?;
                    // Bits beyond the lowest two ask for certificates of clients.
                    found.encryption = Encryption::ALL[usize::from(code & 3)];
                }
                option::MARS => found.mars = data.first() == Some(&1),
                option::FEDERATED => found.federated = data.first() == Some(&1),
                _ => {}
            }
        }
        if !has_version {
            return Err(MalformedMessage("a PRELOGIN without a version"));
        }
        Ok(found)
    }

    pub fn put(&self, out: &mut Vec<u8>) {
        let options: [(u8, &[u8]); 5] = [
            (option::VERSION, &self.version),
            (option::ENCRYPTION, &[self.encryption.code()]),
            (option::INSTANCE, &[0]),
            (option::THREAD, &[]),
            (option::MARS, &[u8::from(self.mars)]),
        ];
        let mut offset = options.len() * 5 + 1;
        for (code, data) in options {
            out.push(code);
            out.extend((offset as u16).to_be_bytes());
            out.extend((data.len() as u16).to_be_bytes());
            offset += data.len();
        }
        out.push(option::END);
        options.iter().for_each(|(_, data)| out.extend_from_slice(data));
    }
}

/// What matters of a LOGIN7 message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Login {
    pub version: u32,
    /// The size of packets that the client asks for.
    pub packet_size: u32,
    pub host: String,
    pub user: String,
    pub password: String,
    pub application: String,
    pub server: String,
    pub library: String,
    pub database: String,
    /// The client says that it only reads.
    pub read_only: bool,
    /// It asks for a way in that needs another than its password.
    pub integrated: bool,
    /// The numbers of the features that it asks for.
    pub features: Vec<u8>,
}

impl Login {
    /// Reads a whole message. Every offset and length is checked before it is used.
    pub fn read(payload: &[u8]) -> Result<Login, MalformedMessage> {
        if payload.len() > LARGEST_LOGIN {
            return Err(MalformedMessage("a login is larger than it may be"));
        }
        let short = |unread: crate::Short| ReadError::from(unread).at_end("a login is too short");
        let mut reader = Reader::new(payload);
        let length = reader.u32().map_err(short)? as usize;
        if length != payload.len() || length < FIXED {
            return Err(MalformedMessage("a login's length is not its own"));
        }
        let version = reader.u32().map_err(short)?;
        let packet_size = reader.u32().map_err(short)?;
        reader.take(12).map_err(short)?;
        let (_flags1, flags2) = (reader.u8().map_err(short)?, reader.u8().map_err(short)?);
        let (type_flags, flags3) = (reader.u8().map_err(short)?, reader.u8().map_err(short)?);
        reader.take(8).map_err(short)?;
        let mut field = || -> Result<(usize, u16), MalformedMessage> {
            Ok((usize::from(reader.u16().map_err(short)?), reader.u16().map_err(short)?))
        };
        let text = |(from, length): (usize, u16),
                    decode: fn(&[u8]) -> Vec<u8>|
         -> Result<String, MalformedMessage> {
            if length == 0 {
                return Ok(String::new());
            }
            if length > LONGEST_TEXT {
                return Err(MalformedMessage("a text of a login is longer than it may be"));
            }
            let bytes = payload.get(from..from + usize::from(length) * 2).filter(|_| from >= FIXED);
            let bytes = bytes.ok_or(MalformedMessage("a login names bytes that it does not have"))?;
            text::decoded(&decode(bytes)).ok_or(MalformedMessage("a text of a login is no UTF-16"))
        };
        let plain: fn(&[u8]) -> Vec<u8> = <[u8]>::to_vec;
        let host = text(field()?, plain)?;
        let user = text(field()?, plain)?;
        let password = text(field()?, uncovered)?;
        let application = text(field()?, plain)?;
        let server = text(field()?, plain)?;
        let extension = field()?;
        let library = text(field()?, plain)?;
        let _language = text(field()?, plain)?;
        let database = text(field()?, plain)?;
        let features = match flags3 & 0x10 != 0 {
            true => features(payload, extension)?,
            false => Vec::new(),
        };
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
            read_only: type_flags & 0x20 != 0,
            integrated: flags2 & 0x80 != 0,
            features,
        })
    }

    /// Writes it as a client does.
    pub fn put(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend([0; 4]);
        out.extend(self.version.to_le_bytes());
        out.extend(self.packet_size.to_le_bytes());
        out.extend([0; 12]);
        // Warnings when the database changes; a database that can't be used is fatal; language likewise.
        out.extend([0xe0, 0x03 | u8::from(self.integrated) << 7, u8::from(self.read_only) << 5, 0]);
        out.extend([0; 8]);
        let texts: [(&str, bool); 9] = [
            (&self.host, false),
            (&self.user, false),
            (&self.password, true),
            (&self.application, false),
            (&self.server, false),
            ("", false),
            (&self.library, false),
            ("", false),
            (&self.database, false),
        ];
        let mut data = Vec::new();
        for (nth, (text, covers)) in texts.into_iter().enumerate() {
            let from = data.len();
            text::put(&mut data, text);
            if covers {
                data[from..].iter_mut().for_each(|byte| *byte = byte.rotate_left(4) ^ 0xa5);
            }
            out.extend(((FIXED + from) as u16).to_le_bytes());
            out.extend(((data.len() - from) as u16 / 2).to_le_bytes());
            if nth == 8 {
                out.extend([0; 6]);
            }
        }
        let end = ((FIXED + data.len()) as u16).to_le_bytes();
        for _ in 0..3 {
            out.extend(end);
            out.extend([0; 2]);
        }
        out.extend([0; 4]);
        out.extend(data);
        let length = (out.len() - start) as u32;
        out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    }
}

/// A password is covered, not encrypted: halves of bytes in turn, and some bits the other way round.
fn uncovered(bytes: &[u8]) -> Vec<u8> {
    bytes.iter().map(|byte| (byte ^ 0xa5).rotate_left(4)).collect()
}

/// The numbers of the features asked for, from the extension that ends in 0xff.
fn features(payload: &[u8], (from, length): (usize, u16)) -> Result<Vec<u8>, MalformedMessage> {
    let missing = MalformedMessage("a login names bytes that it does not have");
    if length != 4 {
        return Err(MalformedMessage("a login's extension is no offset"));
    }
    let offset = payload.get(from..from + 4).and_then(<[u8]>::first_chunk).ok_or(missing)?;
    let offset = u32::from_le_bytes(*offset) as usize;
    let mut reader = Reader::new(payload.get(offset..).ok_or(missing)?);
    let mut features = Vec::new();
    loop {
        let number = reader.u8().map_err(|_| missing)?;
        if number == 0xff {
            return Ok(features);
        }
        let length = reader.u32().map_err(|_| missing)? as usize;
        reader.take(length).map_err(|_| missing)?;
        features.push(number);
    }
}
