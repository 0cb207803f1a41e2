//! The read buffer of a connection, which grows on demand within the shared memory budget and is compacted in
//! place.

use crate::state::memory_budget::MemoryBudget;
use futures_lite::{AsyncRead, AsyncReadExt};
use std::io;

/// Minimum free space before a read.
const MIN_FREE_BYTES: usize = 1024;
/// Maximum size of a buffer that keeps its memory when it becomes empty.
const MAX_EMPTY_BYTES: usize = 8 * MIN_FREE_BYTES;

/// The bytes read from a connection and not consumed yet.
pub struct Buffer {
    budget: MemoryBudget,
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_bytes: usize,
}

impl Buffer {
    /// Creates an empty buffer that may grow to `max_bytes`, reserved from `budget`.
    pub fn new(max_bytes: usize, budget: &MemoryBudget) -> Buffer {
        Buffer { budget: budget.clone(), bytes: Vec::new(), start: 0, end: 0, max_bytes }
    }

    /// Returns the bytes that were read and not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Consumes the first `length` unread bytes. A large buffer that becomes empty releases its memory.
    pub fn consume(&mut self, length: usize) {
        self.start = (self.start + length).min(self.end);
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
            if self.bytes.len() > MAX_EMPTY_BYTES {
                self.release();
            }
        }
    }

    /// Returns whether the last read left no space free, so that the reader may have more bytes available.
    pub fn is_full(&self) -> bool {
        self.end == self.bytes.len()
    }

    /// Reads once, as much as fits; see [`Buffer::fill_up_to`].
    ///
    /// # Errors
    ///
    /// Those of [`Buffer::fill_up_to`].
    pub async fn fill(&mut self, reader: impl AsyncRead + Unpin) -> io::Result<usize> {
        self.fill_up_to(reader, usize::MAX).await
    }

    /// Reads at most `max_bytes` once, and returns the number of bytes read, which is 0 at the end of the
    /// stream. This is cancel safe: dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// `OutOfMemory` if the memory budget is exhausted, `InvalidData` if the buffer is full at its maximum
    /// size, and the reader's own errors.
    pub async fn fill_up_to(
        &mut self, mut reader: impl AsyncRead + Unpin, max_bytes: usize,
    ) -> io::Result<usize> {
        if self.free() < MIN_FREE_BYTES && self.start > 0 {
            self.compact();
        }
        if self.free() < MIN_FREE_BYTES {
            self.grow()?;
        }
        if self.is_full() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the message exceeds the maximum size of its buffer",
            ));
        }
        let space = self.free().min(max_bytes);
        let length = reader.read(&mut self.bytes[self.end..self.end + space]).await?;
        self.end += length;
        Ok(length)
    }

    fn free(&self) -> usize {
        self.bytes.len() - self.end
    }

    /// Moves the unread bytes to the start of the buffer.
    fn compact(&mut self) {
        self.bytes.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
    }

    /// Doubles the size of the buffer, up to its maximum.
    fn grow(&mut self) -> io::Result<()> {
        let new_length = (self.bytes.len() * 2).clamp(MIN_FREE_BYTES, self.max_bytes.max(MIN_FREE_BYTES));
        if !self.budget.exchange(self.bytes.len(), new_length) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.bytes.resize(new_length, 0);
        Ok(())
    }

    fn release(&mut self) {
        self.budget.exchange(self.bytes.len(), 0);
        self.bytes = Vec::new();
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.release();
    }
}
