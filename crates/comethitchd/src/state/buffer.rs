//! The one buffer that a connection reads into.

use futures_lite::{AsyncRead, AsyncReadExt};
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// The least room worth a read, and what an empty buffer keeps.
const LEAST: usize = 1024;
const KEPT: usize = 8 * LEAST;

/// The bytes that all buffers together may hold, so that memory is bounded however many there are.
#[derive(Clone)]
pub struct MemoryBudget(Rc<Cell<usize>>);

impl MemoryBudget {
    pub fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget(Rc::new(Cell::new(bytes)))
    }

    pub fn left(&self) -> usize {
        self.0.get()
    }

    /// Whether a buffer may now hold so much in place of what it held.
    fn change(&self, held: usize, wanted: usize) -> bool {
        let enough = self.0.get() + held >= wanted;
        if enough {
            self.0.set(self.0.get() + held - wanted);
        }
        enough
    }
}

/// Bytes held outside of a buffer, counted against the same room until this is dropped.
pub struct Reservation(MemoryBudget, usize);

impl Reservation {
    pub fn new(room: &MemoryBudget) -> Reservation {
        Reservation(room.clone(), 0)
    }

    /// Whether so many bytes may be held from now on.
    pub fn resize_to(&mut self, bytes: usize) -> bool {
        let enough = self.0.change(self.1, bytes);
        if enough {
            self.1 = bytes;
        }
        enough
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.0.change(self.1, 0);
    }
}

/// It grows as it needs, up to a limit and while there is room, and is compacted in place.
pub struct Buffer {
    room: MemoryBudget,
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    most: usize,
}

impl Buffer {
    pub fn new(most: usize, room: &MemoryBudget) -> Buffer {
        Buffer { room: room.clone(), bytes: Vec::new(), start: 0, end: 0, most }
    }

    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Gives up what is read; a large buffer that has become empty is given back.
    pub fn consume(&mut self, length: usize) {
        self.start = (self.start + length).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > KEPT {
                self.release();
            }
        }
    }

    fn release(&mut self) {
        self.room.change(self.bytes.len(), 0);
        self.bytes = Vec::new();
    }

    /// Reads once; 0 bytes are the end of the stream. Dropping the future loses nothing.
    pub async fn fill(&mut self, mut from: impl AsyncRead + Unpin) -> io::Result<usize> {
        if self.bytes.len() - self.end < LEAST && self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.bytes.len() - self.end < LEAST {
            let wanted = (self.bytes.len() * 2).clamp(LEAST, self.most.max(LEAST));
            if !self.room.change(self.bytes.len(), wanted) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            self.bytes.resize(wanted, 0);
        }
        if self.end == self.bytes.len() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "a message larger than its buffer may be",
            ));
        }
        let length = from.read(&mut self.bytes[self.end..]).await?;
        self.end += length;
        Ok(length)
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.release();
    }
}
