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
    /// Creates a reader at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, position: 0 }
    }

    /// Returns the number of bytes read.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Returns the bytes that were not read yet.
    pub fn remaining(&self) -> &'a [u8] {
        &self.bytes[self.position..]
    }

    /// Returns whether all bytes were read.
    pub fn is_empty(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// Reads `length` bytes.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if fewer remain.
    pub fn take(&mut self, length: usize) -> Result<&'a [u8], Incomplete> {
        let bytes = self.remaining().get(..length).ok_or(Incomplete)?;
        self.position += length;
        Ok(bytes)
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

    /// Reads a `B_VARCHAR`, a one-byte length in UTF-16 code units and the text, and returns the encoded
    /// text.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if the length or the text is incomplete.
    pub fn b_varchar(&mut self) -> Result<&'a [u8], Incomplete> {
        let length = self.u8()?;
        self.take(usize::from(length) * 2)
    }

    /// Reads a `US_VARCHAR`, a two-byte length in UTF-16 code units and the text, and returns the encoded
    /// text.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if the length or the text is incomplete.
    pub fn us_varchar(&mut self) -> Result<&'a [u8], Incomplete> {
        let length = self.u16()?;
        self.take(usize::from(length) * 2)
    }
}
