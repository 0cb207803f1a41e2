//! The table of hosts, which are looked up by index or by address. The entries of released hosts are reused.
//!
//! The module [`policy`](crate::policy) decides when a host is released.

use crate::time::Timestamp;
use crate::{Host, host_state::HostState};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut, Range};

/// The index of a host in the table.
pub(crate) type HostIndex = usize;

/// A scheduled review of a host that was removed from the endpoint list. Reviews are ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RemovalReview {
    at: Timestamp,
    index: HostIndex,
}

/// All hosts that the router knows, and the scheduled reviews of removed hosts.
#[derive(Default)]
pub(crate) struct HostTable {
    entries: Vec<HostState>,
    free_indices: Vec<HostIndex>,
    index_of: BTreeMap<Host, HostIndex>,
    removal_reviews: BTreeSet<RemovalReview>,
    /// The hosts in `removal_reviews`. Each has exactly one review.
    under_review: BTreeSet<HostIndex>,
}

impl HostTable {
    /// Returns the number of allocated entries, including free ones.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns all indices, including those of free entries.
    pub(crate) fn indices(&self) -> Range<HostIndex> {
        0..self.entries.len()
    }

    /// Returns the index of a host, or `None` if the host is not in the table.
    pub(crate) fn index_of(&self, host: Host) -> Option<HostIndex> {
        self.index_of.get(&host).copied()
    }

    /// Returns whether an entry is in use.
    pub(crate) fn is_used(&self, index: HostIndex) -> bool {
        self.index_of(self.entries[index].host) == Some(index)
    }

    /// Adds a host that is not in the table, and returns its index.
    pub(crate) fn insert(&mut self, host: HostState) -> HostIndex {
        let index = self.free_indices.pop().unwrap_or(self.entries.len());
        self.index_of.insert(host.host, index);
        self.entries.resize_with(self.entries.len().max(index + 1), HostState::default);
        self.entries[index] = host;
        index
    }

    /// Frees an entry that is in use. The entry can still be read until it is reused.
    pub(crate) fn release(&mut self, index: HostIndex) {
        self.index_of.remove(&self.entries[index].host);
        self.free_indices.push(index);
    }

    /// Schedules a review of a removed host, unless one is already scheduled.
    pub(crate) fn schedule_removal_review(&mut self, index: HostIndex, at: Timestamp) {
        if self.under_review.insert(index) {
            self.removal_reviews.insert(RemovalReview { at, index });
        }
    }

    /// Takes the earliest scheduled review that was due before `now`, and returns its host.
    pub(crate) fn next_removal_review(&mut self, now: Timestamp) -> Option<HostIndex> {
        let due = self.removal_reviews.first().filter(|review| review.at < now)?.index;
        self.removal_reviews.pop_first();
        self.under_review.remove(&due);
        Some(due)
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

#[cfg(test)]
mod tests;
