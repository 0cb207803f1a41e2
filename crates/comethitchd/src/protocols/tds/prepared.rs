//! Statements that a client has prepared. They are kept here and not at hosts: each execution is a call of
//! `sp_executesql`, which any host can take.

use crate::state::memory_budget::{MemoryBudget, Reservation};
use std::collections::BTreeMap;

/// The most bytes of all statements that a client may keep.
const MOST_BYTES: usize = 256 * 1024;
/// What one takes besides its texts.
const EACH: usize = 128;

pub struct Prepared {
    /// Counted against the room that all connections share.
    held: Reservation,
    last: i32,
    kept: BTreeMap<i32, (String, String)>,
    bytes: usize,
}

impl Prepared {
    pub fn new(room: &MemoryBudget) -> Prepared {
        Prepared { held: Reservation::new(room), last: 0, kept: BTreeMap::new(), bytes: 0 }
    }

    /// Keeps a statement and the declarations of its parameters; none where it has no room.
    pub fn keep(&mut self, statement: &str, declarations: &str) -> Option<i32> {
        let bytes = statement.len() + declarations.len() + EACH;
        if self.bytes + bytes > MOST_BYTES || !self.held.resize_to(self.bytes + bytes) {
            return None;
        }
        self.bytes += bytes;
        self.last = self.last.checked_add(1)?;
        self.kept.insert(self.last, (statement.into(), declarations.into()));
        Some(self.last)
    }

    /// A statement and its declarations.
    pub fn get(&self, handle: i64) -> Option<&(String, String)> {
        self.kept.get(&i32::try_from(handle).ok()?)
    }

    /// Forgets a statement; false if there is none.
    pub fn forget(&mut self, handle: i64) -> bool {
        let found = i32::try_from(handle).ok().and_then(|handle| self.kept.remove(&handle));
        if let Some((statement, declarations)) = &found {
            self.bytes -= statement.len() + declarations.len() + EACH;
            self.held.resize_to(self.bytes);
        }
        found.is_some()
    }

    pub fn clear(&mut self) {
        self.kept.clear();
        self.bytes = 0;
        self.held.resize_to(0);
    }
}
