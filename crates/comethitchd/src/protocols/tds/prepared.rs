//! A client's prepared statements. The router stores them, and hosts do not: each execution becomes a call of
//! `sp_executesql`, which any host can run.

use crate::state::memory_budget::{MemoryBudget, Reservation};
use std::collections::BTreeMap;

/// Maximum memory for the prepared statements of one client.
const MAX_CLIENT_BYTES: usize = 256 * 1024;
/// Memory accounted for a statement in addition to its texts.
const ENTRY_OVERHEAD_BYTES: usize = 128;

/// A prepared statement.
pub(super) struct PreparedStatement {
    /// The statement's text.
    pub text: String,
    /// The declarations of its parameters, as `@name type, ...`.
    pub declarations: String,
}

/// Returns the memory accounted for a statement.
fn entry_bytes(text: &str, declarations: &str) -> usize {
    text.len() + declarations.len() + ENTRY_OVERHEAD_BYTES
}

/// The prepared statements of one client, by handle.
pub(super) struct PreparedStatements {
    /// The part of the memory budget, shared by all connections, that the statements use.
    reservation: Reservation,
    /// The handle that was assigned last, 0 before the first one.
    last_handle: i32,
    by_handle: BTreeMap<i32, PreparedStatement>,
    /// The memory accounted for all statements.
    bytes: usize,
}

impl PreparedStatements {
    /// Creates an empty collection that reserves memory from the budget.
    pub(super) fn new(memory: &MemoryBudget) -> PreparedStatements {
        PreparedStatements {
            reservation: Reservation::new(memory),
            last_handle: 0,
            by_handle: BTreeMap::new(),
            bytes: 0,
        }
    }

    /// Stores a statement and returns its handle, or `None` if there is no memory for it.
    pub(super) fn insert(&mut self, text: &str, declarations: &str) -> Option<i32> {
        let bytes = self.bytes + entry_bytes(text, declarations);
        if bytes > MAX_CLIENT_BYTES || !self.reservation.resize_to(bytes) {
            return None;
        }
        self.bytes = bytes;
        self.last_handle = self.last_handle.checked_add(1)?;
        let statement = PreparedStatement { text: text.into(), declarations: declarations.into() };
        self.by_handle.insert(self.last_handle, statement);
        Some(self.last_handle)
    }

    /// Returns the statement with this handle.
    pub(super) fn get(&self, handle: i64) -> Option<&PreparedStatement> {
        self.by_handle.get(&i32::try_from(handle).ok()?)
    }

    /// Removes the statement with this handle, and returns whether there was one.
    pub(super) fn remove(&mut self, handle: i64) -> bool {
        let removed = i32::try_from(handle).ok().and_then(|handle| self.by_handle.remove(&handle));
        let Some(statement) = removed else { return false };
        self.bytes -= entry_bytes(&statement.text, &statement.declarations);
        self.reservation.resize_to(self.bytes);
        true
    }

    /// Removes all statements. Their handles are not reused.
    pub(super) fn clear(&mut self) {
        self.by_handle.clear();
        self.bytes = 0;
        self.reservation.resize_to(0);
    }
}
