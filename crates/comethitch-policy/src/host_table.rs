//! The table of hosts: one entry for each, found by index or by host. Entries of forgotten hosts are used again.
//!
//! When a host is forgotten is decided in [`policy`](crate::policy).

use crate::{Host, host_state::HostState};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut, Range};

/// The place of a host in the table.
pub(crate) type HostIndex = usize;

/// All hosts that the router knows, and the entries that are free.
#[derive(Default)]
pub(crate) struct HostTable {
    entries: Vec<HostState>,
    free: Vec<HostIndex>,
    index_of: BTreeMap<Host, HostIndex>,
}

impl HostTable {
    /// How many entries are allocated, in use or free.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// All indices, also those of free entries.
    pub(crate) fn indices(&self) -> Range<HostIndex> {
        0..self.entries.len()
    }

    /// Where a host is, if it is in the table.
    pub(crate) fn index_of(&self, host: Host) -> Option<HostIndex> {
        self.index_of.get(&host).copied()
    }

    /// Whether this entry is in use.
    pub(crate) fn is_used(&self, index: HostIndex) -> bool {
        self.index_of(self.entries[index].host) == Some(index)
    }

    /// Adds a host that is not in the table.
    pub(crate) fn insert(&mut self, host: HostState) -> HostIndex {
        let index = self.free.pop().unwrap_or(self.entries.len());
        self.index_of.insert(host.host, index);
        self.entries.resize_with(self.entries.len().max(index + 1), HostState::default);
        self.entries[index] = host;
        index
    }

    /// Frees an entry that is in use. What it holds stays until the entry is used again.
    pub(crate) fn release(&mut self, index: HostIndex) {
        self.index_of.remove(&self.entries[index].host);
        self.free.push(index);
    }
}

impl Index<HostIndex> for HostTable {
    type Output = HostState;

    fn index(&self, index: HostIndex) -> &HostState {
        &self.entries[index]
    }
}

impl IndexMut<HostIndex> for HostTable {
    fn index_mut(&mut self, index: HostIndex) -> &mut HostState {
        &mut self.entries[index]
    }
}
