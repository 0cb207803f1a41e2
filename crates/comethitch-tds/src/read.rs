//! A cursor that reads integers and length-prefixed fields from bytes that may be incomplete. Integers are
//! little-endian unless a method says otherwise.

use crate::error::Incomplete;

/// Reads fields one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// A reader at the beginning of these bytes.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, position: 0 }
    }

    /// How many bytes were read.
    pub fn position(&self) -> usize {
        self.position
    }

    /// The bytes that were not read yet.
    pub fn remaining(&self) -> &'a [u8] {
        &self.bytes[self.position..]
    }

    /// Whether all bytes were read.
    pub fn is_empty(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// Reads so many bytes.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if fewer remain.
    pub fn take(&mut self, length: usize) -> Result<&'a [u8], Incomplete> {
        let taken = self.remaining().get(..length).ok_or(Incomplete)?;
        self.position += length;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Incomplete> {
        let first = self.remaining().first_chunk::<N>().ok_or(Incomplete)?;
        self.position += N;
        Ok(*first)
    }

    /// Reads a byte.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if none remains.
    pub fn u8(&mut self) -> Result<u8, Incomplete> {
        self.array::<1>().map(|[byte]| byte)
    }

    /// Reads an unsigned integer of two bytes.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if fewer bytes remain.
    pub fn u16(&mut self) -> Result<u16, Incomplete> {
        self.array().map(u16::from_le_bytes)
    }

    /// Reads a big-endian unsigned integer of two bytes.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if fewer bytes remain.
    pub fn u16_be(&mut self) -> Result<u16, Incomplete> {
        self.array().map(u16::from_be_bytes)
    }

    /// Reads an unsigned integer of four bytes.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if fewer bytes remain.
    pub fn u32(&mut self) -> Result<u32, Incomplete> {
        self.array().map(u32::from_le_bytes)
    }

    /// Reads a signed integer of four bytes.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if fewer bytes remain.
    pub fn i32(&mut self) -> Result<i32, Incomplete> {
        self.array().map(i32::from_le_bytes)
    }

    /// Reads an unsigned integer of eight bytes.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if fewer bytes remain.
    pub fn u64(&mut self) -> Result<u64, Incomplete> {
        self.array().map(u64::from_le_bytes)
    }

    /// Reads a `B_VARCHAR`: UTF-16 behind a length of one byte, in code units. Returns the undecoded bytes.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if the length or the text is not complete.
    pub fn b_varchar(&mut self) -> Result<&'a [u8], Incomplete> {
        let length = self.u8()?;
        self.take(usize::from(length) * 2)
    }

    /// Reads a `US_VARCHAR`: UTF-16 behind a length of two bytes, in code units. Returns the undecoded bytes.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if the length or the text is not complete.
    pub fn us_varchar(&mut self) -> Result<&'a [u8], Incomplete> {
        let length = self.u16()?;
        self.take(usize::from(length) * 2)
    }
}
