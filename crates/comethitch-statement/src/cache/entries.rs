//! The entries of a cache: slots in one array, linked into lists by their indices.
//!
//! Each entry is in the list of its segment, and outside the window also in the list of its owner. Lists are
//! in order of last use, newest first.

use crate::ShapeKey;

/// The slot index that marks the end of a list.
pub(super) const NO_SLOT: u32 = u32::MAX;
/// Number of owners that clients are hashed to; clients with the same owner share its quota.
pub(super) const OWNERS: usize = 64;
/// The owner of entries used by several clients.
pub(super) const SHARED: u8 = OWNERS as u8;

/// The window and the two segments of a segmented LRU.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Segment {
    /// New entries.
    Window,
    /// Entries not used since they left the window.
    Probation,
    /// Entries used again.
    Protected,
}

/// The kinds of lists that an entry belongs to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ListKind {
    Segment,
    Owner,
}

#[derive(Clone, Copy)]
struct Link {
    newer: u32,
    older: u32,
}

const UNLINKED: Link = Link { newer: NO_SLOT, older: NO_SLOT };

/// A slot of the cache with its links to the neighbours.
pub(super) struct Entry<V> {
    pub key: ShapeKey,
    /// `None` in a free slot.
    pub value: Option<V>,
    pub bytes: u32,
    pub segment: Segment,
    pub owner: u8,
    /// The neighbours by [`ListKind`]. Free slots are linked by `older` of [`ListKind::Segment`].
    links: [Link; 2],
}

impl<V> Entry<V> {
    /// Creates an entry for the window, which is not in any list yet.
    pub(super) fn new(key: ShapeKey, value: V, bytes: u32, owner: u8) -> Entry<V> {
        Entry { key, value: Some(value), bytes, segment: Segment::Window, owner, links: [UNLINKED; 2] }
    }
}

/// The ends of a list, and the total bytes of its entries.
#[derive(Clone, Copy)]
pub(super) struct List {
    newest: u32,
    pub oldest: u32,
    pub bytes: usize,
}

const EMPTY_LIST: List = List { newest: NO_SLOT, oldest: NO_SLOT, bytes: 0 };

/// A bounded number of slots, linked into lists by segment and by owner.
pub(super) struct Entries<V> {
    slots: Vec<Entry<V>>,
    capacity: usize,
    first_free: u32,
    segments: [List; 3],
    owners: [List; OWNERS + 1],
}

impl<V> Entries<V> {
    /// Allocates memory for `capacity` entries.
    pub(super) fn with_capacity(capacity: usize) -> Entries<V> {
        Entries {
            slots: Vec::with_capacity(capacity),
            capacity,
            first_free: NO_SLOT,
            segments: [EMPTY_LIST; 3],
            owners: [EMPTY_LIST; OWNERS + 1],
        }
    }

    /// Returns the maximum number of entries.
    pub(super) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Removes all entries.
    pub(super) fn clear(&mut self) {
        self.slots.clear();
        self.first_free = NO_SLOT;
        self.segments = [EMPTY_LIST; 3];
        self.owners = [EMPTY_LIST; OWNERS + 1];
    }

    /// Returns the entry in a slot.
    pub(super) fn get(&self, slot: u32) -> &Entry<V> {
        &self.slots[slot as usize]
    }

    /// Returns the list of a segment's entries.
    pub(super) fn segment(&self, segment: Segment) -> &List {
        &self.segments[segment as usize]
    }

    /// Returns the list of an owner's entries outside the window.
    pub(super) fn owner(&self, owner: u8) -> &List {
        &self.owners[owner as usize]
    }

    /// Returns the total bytes of all entries.
    pub(super) fn bytes(&self) -> usize {
        self.segments.iter().map(|list| list.bytes).sum()
    }

    /// Returns the number of owners with entries outside the window, counting `owner` in any case.
    pub(super) fn active_owners_with(&self, owner: u8) -> usize {
        let is_active = |(index, list): &(usize, &List)| list.bytes > 0 || *index == owner as usize;
        self.owners.iter().enumerate().filter(is_active).count()
    }

    /// Returns whether no slot is free.
    pub(super) fn is_full(&self) -> bool {
        self.first_free == NO_SLOT && self.slots.len() == self.capacity
    }

    /// Stores an entry in a free slot, without linking it. Returns `None` if no slot is free.
    pub(super) fn allocate(&mut self, entry: Entry<V>) -> Option<u32> {
        if self.is_full() {
            return None;
        }
        if self.first_free == NO_SLOT {
            self.slots.push(entry);
            return Some(self.slots.len() as u32 - 1);
        }
        let slot = self.first_free;
        self.first_free = self.slots[slot as usize].links[ListKind::Segment as usize].older;
        self.slots[slot as usize] = entry;
        Some(slot)
    }

    /// Unlinks an entry and frees its slot. Returns the entry's key.
    pub(super) fn release(&mut self, slot: u32) -> ShapeKey {
        self.unlink(slot, ListKind::Segment);
        if self.get(slot).segment != Segment::Window {
            self.unlink(slot, ListKind::Owner);
        }
        let first_free = self.first_free;
        let entry = &mut self.slots[slot as usize];
        entry.value = None;
        entry.links[ListKind::Segment as usize].older = first_free;
        let key = entry.key;
        self.first_free = slot;
        key
    }

    /// Moves an entry to the front of a segment's list.
    pub(super) fn move_to_segment(&mut self, slot: u32, segment: Segment) {
        self.unlink(slot, ListKind::Segment);
        self.slots[slot as usize].segment = segment;
        self.link_first(slot, ListKind::Segment);
    }

    /// Moves an entry outside the window to the front of its owner's list.
    pub(super) fn move_to_front_of_owner(&mut self, slot: u32) {
        self.unlink(slot, ListKind::Owner);
        self.link_first(slot, ListKind::Owner);
    }

    /// Assigns an entry to another owner.
    pub(super) fn set_owner(&mut self, slot: u32, owner: u8) {
        let is_listed = self.get(slot).segment != Segment::Window;
        if is_listed {
            self.unlink(slot, ListKind::Owner);
        }
        self.slots[slot as usize].owner = owner;
        if is_listed {
            self.link_first(slot, ListKind::Owner);
        }
    }

    /// Returns the list of a kind that an entry belongs to.
    fn list(&mut self, slot: u32, kind: ListKind) -> &mut List {
        let entry = &self.slots[slot as usize];
        match kind {
            ListKind::Segment => &mut self.segments[entry.segment as usize],
            ListKind::Owner => &mut self.owners[entry.owner as usize],
        }
    }

    /// Links an unlinked entry at the front of a list.
    pub(super) fn link_first(&mut self, slot: u32, kind: ListKind) {
        let bytes = self.get(slot).bytes as usize;
        let list = self.list(slot, kind);
        let next = list.newest;
        list.newest = slot;
        list.bytes += bytes;
        if next == NO_SLOT {
            list.oldest = slot;
        } else {
            self.slots[next as usize].links[kind as usize].newer = slot;
        }
        self.slots[slot as usize].links[kind as usize] = Link { newer: NO_SLOT, older: next };
    }

    fn unlink(&mut self, slot: u32, kind: ListKind) {
        let bytes = self.get(slot).bytes as usize;
        let Link { newer, older } = self.slots[slot as usize].links[kind as usize];
        let list = self.list(slot, kind);
        list.bytes -= bytes;
        if newer == NO_SLOT {
            list.newest = older;
        }
        if older == NO_SLOT {
            list.oldest = newer;
        }
        if newer != NO_SLOT {
            self.slots[newer as usize].links[kind as usize].older = older;
        }
        if older != NO_SLOT {
            self.slots[older as usize].links[kind as usize].newer = newer;
        }
    }
}
