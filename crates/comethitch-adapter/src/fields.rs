//! Little-endian fields at fixed offsets.

use comethitch_policy::Host;

/// The bytes of one record, entry, header or tail.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    fn bytes<const N: usize>(self, at: usize) -> Result<[u8; N], String> {
        let found = self.0.get(at..).and_then(|rest| rest.first_chunk::<N>());
        found.copied().ok_or_else(|| format!("a field at byte {at} lies past the end"))
    }

    pub fn u8(self, at: usize) -> Result<u8, String> {
        self.bytes::<1>(at).map(|b| b[0])
    }

    pub fn u16(self, at: usize) -> Result<u16, String> {
        self.bytes(at).map(u16::from_le_bytes)
    }

    pub fn u32(self, at: usize) -> Result<u32, String> {
        self.bytes(at).map(u32::from_le_bytes)
    }

    pub fn u64(self, at: usize) -> Result<u64, String> {
        self.bytes(at).map(u64::from_le_bytes)
    }

    pub fn f32(self, at: usize) -> Result<f32, String> {
        self.bytes(at).map(f32::from_le_bytes)
    }

    pub fn host(self, at: usize) -> Result<Host, String> {
        Ok(Host { address: self.bytes(at)?, port: self.u16(at + 4)? })
    }

    /// The part of this tail that the start and length at `at` of a record name; `unit` bytes an item.
    pub fn named_by(self, record: Fields, at: usize, unit: usize) -> Result<&'a [u8], String> {
        let (start, length) = (record.u32(at)? as usize, record.u32(at + 4)? as usize);
        let end = length.checked_mul(unit).and_then(|length| start.checked_add(length));
        end.and_then(|end| self.0.get(start..end)).ok_or_else(|| {
            format!("offset {start} with length {length} lies outside the tail of {} bytes", self.0.len())
        })
    }
}
