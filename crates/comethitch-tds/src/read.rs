//! Reading little-endian fields from bytes that may not all have come.

use std::fmt;

/// More bytes are needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short;

/// These bytes are none that TDS has, whatever follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage(pub &'static str);

/// Why something could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    NeedMoreInput,
    Malformed(&'static str),
}

impl From<Short> for ReadError {
    fn from(_: Short) -> ReadError {
        ReadError::NeedMoreInput
    }
}

impl From<MalformedMessage> for ReadError {
    fn from(broken: MalformedMessage) -> ReadError {
        ReadError::Malformed(broken.0)
    }
}

impl ReadError {
    /// Where all bytes have come, too few of them are a fault as well.
    pub fn at_end(self, why: &'static str) -> MalformedMessage {
        match self {
            ReadError::NeedMoreInput => MalformedMessage(why),
            ReadError::Malformed(why) => MalformedMessage(why),
        }
    }
}

impl fmt::Display for MalformedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for MalformedMessage {}

/// Reads fields one behind the other.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, at: 0 }
    }

    /// How many bytes were read.
    pub fn at(&self) -> usize {
        self.at
    }

    pub fn left(&self) -> &'a [u8] {
        &self.bytes[self.at..]
    }

    pub fn is_empty(&self) -> bool {
        self.at == self.bytes.len()
    }

    pub fn take(&mut self, length: usize) -> Result<&'a [u8], Short> {
        let taken = self.left().get(..length).ok_or(Short)?;
        self.at += length;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Short> {
        let first = self.left().first_chunk::<N>().ok_or(Short)?;
        self.at += N;
        Ok(*first)
    }

    pub fn u8(&mut self) -> Result<u8, Short> {
        self.array::<1>().map(|[byte]| byte)
    }

    pub fn u16(&mut self) -> Result<u16, Short> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u16_be(&mut self) -> Result<u16, Short> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, Short> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn i32(&mut self) -> Result<i32, Short> {
        self.array().map(i32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, Short> {
        self.array().map(u64::from_le_bytes)
    }

    /// A text of UTF-16 behind its length in characters, in one byte.
    pub fn b_varchar(&mut self) -> Result<&'a [u8], Short> {
        let length = self.u8()?;
        self.take(usize::from(length) * 2)
    }

    /// The same with a length of two bytes.
    pub fn us_varchar(&mut self) -> Result<&'a [u8], Short> {
        let length = self.u16()?;
        self.take(usize::from(length) * 2)
    }
}
