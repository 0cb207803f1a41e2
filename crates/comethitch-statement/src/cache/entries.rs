//! The entries of a cache: slots in one array, linked into lists by their indices.
//!
//! Each entry is in the list of its segment, and outside of the window also in that of its owner. Lists are ordered
//! by last use, newest first.

use crate::ShapeKey;

/// No slot: the end of a list.
pub(super) const NONE: u32 = u32::MAX;
/// Clients are hashed to so many owners; two that meet share one's part.
pub(super) const OWNERS: usize = 64;
/// The owner of entries that several clients use.
pub(super) const SHARED: u8 = OWNERS as u8;

/// The parts of a segmented LRU, with the window before them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Segment {
    /// New entries.
    Window,
    /// Entries not used since they left the window.
    Probation,
    /// Entries used again.
    Protected,
}

/// Which of an entry's two lists is meant.
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

const UNLINKED: Link = Link { newer: NONE, older: NONE };

pub(super) struct Entry<V> {
    pub key: ShapeKey,
    /// None in a free slot.
    pub value: Option<V>,
    pub bytes: u32,
    pub segment: Segment,
    pub owner: u8,
    /// Its neighbours, by [`ListKind`]. Free slots are linked by `older` of the first.
    links: [Link; 2],
}

impl<V> Entry<V> {
    /// An entry of the window that is in no list yet.
    pub(super) fn new(key: ShapeKey, value: V, bytes: u32, owner: u8) -> Entry<V> {
        Entry { key, value: Some(value), bytes, segment: Segment::Window, owner, links: [UNLINKED; 2] }
    }
}

/// The ends of a list, and the bytes of its entries.
#[derive(Clone, Copy)]
pub(super) struct List {
    newest: u32,
    pub oldest: u32,
    pub bytes: usize,
}

const EMPTY: List = List { newest: NONE, oldest: NONE, bytes: 0 };

/// A bounded number of slots, and the lists that link them.
pub(super) struct Entries<V> {
    slots: Vec<Entry<V>>,
    capacity: usize,
    /// The first free slot.
    free: u32,
    segments: [List; 3],
    owners: [List; OWNERS + 1],
}

impl<V> Entries<V> {
    /// No entries, with memory for so many.
    pub(super) fn with_capacity(capacity: usize) -> Entries<V> {
        Entries {
            slots: Vec::with_capacity(capacity),
            capacity,
            free: NONE,
            segments: [EMPTY; 3],
            owners: [EMPTY; OWNERS + 1],
        }
    }

    /// How many entries there may be.
    pub(super) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Removes all entries.
    pub(super) fn clear(&mut self) {
        self.slots.clear();
        self.free = NONE;
        self.segments = [EMPTY; 3];
        self.owners = [EMPTY; OWNERS + 1];
    }

    /// The entry in a slot.
    pub(super) fn get(&self, slot: u32) -> &Entry<V> {
        &self.slots[slot as usize]
    }

    /// The entries of a segment, as a list.
    pub(super) fn segment(&self, segment: Segment) -> &List {
        &self.segments[segment as usize]
    }

    /// The entries of an owner, as a list.
    pub(super) fn owner(&self, owner: u8) -> &List {
        &self.owners[owner as usize]
    }

    /// The bytes of all entries.
    pub(super) fn bytes(&self) -> usize {
        self.segments.iter().map(|list| list.bytes).sum()
    }

    /// The number of owners with entries outside of the window, this one counted in any case.
    pub(super) fn owners_with(&self, owner: u8) -> usize {
        let holds = |(nth, list): &(usize, &List)| list.bytes > 0 || *nth == owner as usize;
        self.owners.iter().enumerate().filter(holds).count()
    }

    /// Whether every slot is taken.
    pub(super) fn is_full(&self) -> bool {
        self.free == NONE && self.slots.len() == self.capacity
    }

    /// Puts an entry into a free slot, in no list; none if all are taken.
    pub(super) fn allocate(&mut self, entry: Entry<V>) -> Option<u32> {
        if self.is_full() {
            return None;
        }
        if self.free == NONE {
            self.slots.push(entry);
            return Some(self.slots.len() as u32 - 1);
        }
        let slot = self.free;
        self.free = self.slots[slot as usize].links[ListKind::Segment as usize].older;
        self.slots[slot as usize] = entry;
        Some(slot)
    }

    /// Takes an entry out of its lists and frees its slot; returns its key.
    pub(super) fn release(&mut self, slot: u32) -> ShapeKey {
        self.unlink(slot, ListKind::Segment);
        if self.get(slot).segment != Segment::Window {
            self.unlink(slot, ListKind::Owner);
        }
        let free = self.free;
        let entry = &mut self.slots[slot as usize];
        entry.value = None;
        entry.links[ListKind::Segment as usize].older = free;
        let key = entry.key;
        self.free = slot;
        key
    }

    /// Moves an entry to the front of a segment's list.
    pub(super) fn move_to_segment(&mut self, slot: u32, segment: Segment) {
        self.unlink(slot, ListKind::Segment);
        self.slots[slot as usize].segment = segment;
        self.link_first(slot, ListKind::Segment);
    }

    /// Moves an entry outside of the window to the front of its owner's list.
    pub(super) fn move_to_front_of_owner(&mut self, slot: u32) {
        self.unlink(slot, ListKind::Owner);
        self.link_first(slot, ListKind::Owner);
    }

    /// Gives an entry to another owner.
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

    /// The list of a kind that an entry belongs to.
    fn list(&mut self, slot: u32, kind: ListKind) -> &mut List {
        let entry = &self.slots[slot as usize];
        match kind {
            ListKind::Segment => &mut self.segments[entry.segment as usize],
            ListKind::Owner => &mut self.owners[entry.owner as usize],
        }
    }

    /// Makes an entry the newest of a list.
    pub(super) fn link_first(&mut self, slot: u32, kind: ListKind) {
        let bytes = self.get(slot).bytes as usize;
        let list = self.list(slot, kind);
        let next = list.newest;
        list.newest = slot;
        list.bytes += bytes;
        if next == NONE {
            list.oldest = slot;
        } else {
            self.slots[next as usize].links[kind as usize].newer = slot;
        }
        self.slots[slot as usize].links[kind as usize] = Link { newer: NONE, older: next };
    }

    fn unlink(&mut self, slot: u32, kind: ListKind) {
        let bytes = self.get(slot).bytes as usize;
        let Link { newer, older } = self.slots[slot as usize].links[kind as usize];
        let list = self.list(slot, kind);
        list.bytes -= bytes;
        if newer == NONE {
            list.newest = older;
        }
        if older == NONE {
            list.oldest = newer;
        }
        if newer != NONE {
            self.slots[newer as usize].links[kind as usize].older = older;
        }
        if older != NONE {
            self.slots[older as usize].links[kind as usize].newer = newer;
        }
    }
}
