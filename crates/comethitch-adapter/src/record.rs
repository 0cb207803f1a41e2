//! Reads little-endian fields at fixed offsets of a record, and the slices of a frame's tail that records
//! refer to.

use crate::error::RecordError;
use comethitch_policy::Host;

/// Offset of the port in an encoded host, after the address.
const PORT_OFFSET: usize = 4;
/// Offset of the length in an encoded reference to the tail, after the start.
const LENGTH_OFFSET: usize = 4;

/// The bytes of a header, a record, a list entry or a tail.
#[derive(Clone, Copy)]
pub(crate) struct RecordReader<'a>(pub &'a [u8]);

impl<'a> RecordReader<'a> {
    fn bytes<const N: usize>(self, offset: usize) -> Result<[u8; N], RecordError> {
        let found = self.0.get(offset..).and_then(|rest| rest.first_chunk::<N>());
        found.copied().ok_or(RecordError::PastEnd { offset })
    }

    /// Reads the byte at an offset.
    pub(crate) fn u8(self, offset: usize) -> Result<u8, RecordError> {
        self.bytes(offset).map(u8::from_le_bytes)
    }

    /// Reads the 16-bit integer at an offset.
    pub(crate) fn u16(self, offset: usize) -> Result<u16, RecordError> {
        self.bytes(offset).map(u16::from_le_bytes)
    }

    /// Reads the 32-bit integer at an offset.
    pub(crate) fn u32(self, offset: usize) -> Result<u32, RecordError> {
        self.bytes(offset).map(u32::from_le_bytes)
    }

    /// Reads the 64-bit integer at an offset.
    pub(crate) fn u64(self, offset: usize) -> Result<u64, RecordError> {
        self.bytes(offset).map(u64::from_le_bytes)
    }

    /// Reads the 32-bit float at an offset.
    pub(crate) fn f32(self, offset: usize) -> Result<f32, RecordError> {
        self.bytes(offset).map(f32::from_le_bytes)
    }

    /// Reads the host at an offset: the address, then the port.
    pub(crate) fn host(self, offset: usize) -> Result<Host, RecordError> {
        Ok(Host { address: self.bytes(offset)?, port: self.u16(offset + PORT_OFFSET)? })
    }

    /// Returns the slice of this tail that a record refers to. At `offset` the record has the start in bytes,
    /// then the length in items of `item_bytes`.
    pub(crate) fn slice_referenced_by(
        self, record: RecordReader, offset: usize, item_bytes: usize,
    ) -> Result<&'a [u8], RecordError> {
        let start = record.u32(offset)? as usize;
        let length = record.u32(offset + LENGTH_OFFSET)? as usize;
        let end = length.checked_mul(item_bytes).and_then(|size| start.checked_add(size));
        let slice = end.and_then(|end| self.0.get(start..end));
        slice.ok_or(RecordError::OutsideTail { start, length, tail: self.0.len() })
    }
}
