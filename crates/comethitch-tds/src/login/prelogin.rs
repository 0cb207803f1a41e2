//! PRELOGIN (\[MS-TDS\], "PRELOGIN"): a list of options, sent by the client first and answered by the server.

use crate::error::{Incomplete, MalformedMessage};
use crate::read::Reader;

/// Size of an entry in the list of options: the option's code, and the offset and the length of its data.
const ENTRY_BYTES: usize = 1 + 2 + 2;
/// The bits of the encryption option that hold its value; the other bits request client certificates.
const ENCRYPTION_MASK: u8 = 0b11;

/// The encryption of a connection, as offered or required by one side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Encryption {
    /// `ENCRYPT_OFF`: only the login is encrypted.
    Off,
    /// `ENCRYPT_ON`: everything is encrypted.
    On,
    /// `ENCRYPT_NOT_SUP`: nothing is encrypted.
    #[default]
    NotSupported,
    /// `ENCRYPT_REQ`: everything must be encrypted.
    Required,
}

impl Encryption {
    /// All values in the order of their codes.
    const ALL: [Encryption; 4] =
        [Encryption::Off, Encryption::On, Encryption::NotSupported, Encryption::Required];

    fn code(self) -> u8 {
        self as u8
    }
}

/// The options of a PRELOGIN message that matter to a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prelogin {
    /// The sender's version and sub-build.
    pub version: [u8; 6],
    /// The encryption that the sender offers or requires.
    pub encryption: Encryption,
    /// Whether multiple active result sets are requested.
    pub mars: bool,
    /// Whether federated authentication is requested.
    pub federated: bool,
}

/// The codes of options.
mod option {
    /// The sender's version.
    pub(super) const VERSION: u8 = 0;
    /// Whether the connection is encrypted.
    pub(super) const ENCRYPTION: u8 = 1;
    /// The name of the server's instance.
    pub(super) const INSTANCE: u8 = 2;
    /// The sender's thread, for traces.
    pub(super) const THREAD: u8 = 3;
    /// Multiple active result sets.
    pub(super) const MARS: u8 = 4;
    /// Federated authentication is required.
    pub(super) const FEDERATED: u8 = 6;
    /// The end of the list of options.
    pub(super) const TERMINATOR: u8 = 0xff;
}

/// An option with its data not decoded.
struct RawOption<'a> {
    code: u8,
    data: &'a [u8],
}

impl Prelogin {
    /// Decodes the payload of a complete message. If it does not state the encryption, [`Encryption::Off`] is
    /// assumed.
    ///
    /// # Errors
    ///
    /// If the list of options is not terminated, an option's data lies outside of the message or is too
    /// short, or the version is missing.
    pub fn read(payload: &[u8]) -> Result<Prelogin, MalformedMessage> {
        let mut reader = Reader::new(payload);
        let mut prelogin = Prelogin { encryption: Encryption::Off, ..Prelogin::default() };
        let mut has_version = false;
        while let Some(option) = read_option(&mut reader, payload)? {
            prelogin.apply(&option)?;
            has_version |= option.code == option::VERSION;
        }
        if !has_version {
            return Err(MalformedMessage("a PRELOGIN without a version"));
        }
        Ok(prelogin)
    }

    fn apply(&mut self, option: &RawOption<'_>) -> Result<(), MalformedMessage> {
        let data = option.data;
        match option.code {
            option::VERSION => {
                let version = data.first_chunk();
                self.version = *version.ok_or(MalformedMessage("a PRELOGIN's version is too short"))?;
            }
            option::ENCRYPTION => {
                let code = data.first().ok_or(MalformedMessage("a PRELOGIN's encryption is empty"))?;
                self.encryption = Encryption::ALL[usize::from(code & ENCRYPTION_MASK)];
            }
            option::MARS => self.mars = data.first() == Some(&1),
            option::FEDERATED => self.federated = data.first() == Some(&1),
            _ => {}
        }
        Ok(())
    }

    /// Writes the message without the option for federated authentication.
    pub fn put(&self, out: &mut Vec<u8>) {
        let options: [(u8, &[u8]); 5] = [
            (option::VERSION, &self.version),
            (option::ENCRYPTION, &[self.encryption.code()]),
            (option::INSTANCE, &[0]),
            (option::THREAD, &[]),
            (option::MARS, &[u8::from(self.mars)]),
        ];
        let terminator_bytes = 1;
        let mut offset = options.len() * ENTRY_BYTES + terminator_bytes;
        for (code, data) in options {
            out.push(code);
            out.extend((offset as u16).to_be_bytes());
            out.extend((data.len() as u16).to_be_bytes());
            offset += data.len();
        }
        out.push(option::TERMINATOR);
        for (_, data) in options {
            out.extend_from_slice(data);
        }
    }
}

/// Reads the next option of the list, or returns `None` at the terminator.
fn read_option<'a>(
    reader: &mut Reader<'_>, payload: &'a [u8],
) -> Result<Option<RawOption<'a>>, MalformedMessage> {
    let unterminated = |_: Incomplete| MalformedMessage("a PRELOGIN has no end");
    let code = reader.u8().map_err(unterminated)?;
    if code == option::TERMINATOR {
        return Ok(None);
    }
    let offset = usize::from(reader.u16_be().map_err(unterminated)?);
    let length = usize::from(reader.u16_be().map_err(unterminated)?);
    let data = payload.get(offset..offset + length);
    let data = data.ok_or(MalformedMessage("a PRELOGIN names bytes that it does not have"))?;
    Ok(Some(RawOption { code, data }))
}
