//! A cache of values by shape, bounded in bytes: W-TinyLFU over a segmented LRU, with a quota for each
//! client.
//!
//! New entries enter a small window. An entry that leaves the window is accepted only if it was looked up
//! more often recently ([`crate::frequency_sketch`]) than the entry that it would evict, so that shapes that
//! occur only once do not evict shapes in use. Entries that are used again move to a protected segment, and
//! are evicted after those that are not.
//!
//! While the cache is full, a client above its quota evicts only its own entries, however often it looks them
//! up. An entry used by a second client is shared, and counts towards no quota.

mod entries;

use crate::ShapeKey;
use crate::frequency_sketch::FrequencySketch;
use crate::hashing::bucket_of;
use entries::{Entries, Entry, ListKind, NO_SLOT, OWNERS, SHARED, Segment};
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Divisor of the value budget: the window may use an eighth of it.
const WINDOW_DIVISOR: usize = 8;
/// The share of the budget outside the window that the protected segment may use.
const PROTECTED_SHARE: Fraction = Fraction { numerator: 4, denominator: 5 };
/// Slots are allocated for entries of this size; larger entries leave slots unused.
const MIN_ENTRY_BYTES: usize = 384;
/// The share of the memory left after the bookkeeping that values may use. The rest allows for heap
/// fragmentation by the parser's allocations: gaps in the heap take up to about half as much memory as the
/// values.
const VALUE_SHARE: Fraction = Fraction { numerator: 2, denominator: 3 };
/// Divisor of the value budget: values larger than 1/64 of it are not cached.
const MAX_VALUE_DIVISOR: usize = 64;

/// A fraction by which numbers of bytes are multiplied.
struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    /// Returns this fraction of a number of bytes, rounded down.
    const fn of(&self, bytes: usize) -> usize {
        bytes / self.denominator * self.numerator
    }

    /// Returns the number of bytes of which `bytes` are this fraction, rounded down.
    const fn total_for(&self, bytes: usize) -> usize {
        bytes / self.numerator * self.denominator
    }
}

/// Derives the hash from the bits of a key without hashing them, since a key is the result of a keyed hash.
#[derive(Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.0 = self.0.rotate_left(8) ^ u64::from(*byte));
    }

    fn write_u128(&mut self, key: u128) {
        self.0 = key as u64 ^ (key >> 64) as u64;
    }
}

/// Counts of a cache since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheCounts {
    /// Lookups that found an entry.
    pub hits: u64,
    /// Lookups that did not find an entry.
    pub misses: u64,
    /// Values that were too large, and entries that were removed when they left the window.
    pub rejections: u64,
    /// Entries evicted in favour of others.
    pub evictions: u64,
}

/// A cache of values by shape.
///
/// ```
/// use comethitch_statement::{ShapeKey, cache::Cache};
/// let mut cache = Cache::new(1 << 20);
/// cache.insert(ShapeKey(1), "read", 100, 7);
/// assert_eq!(cache.get(ShapeKey(1), 7), Some(&"read"));
/// assert_eq!(cache.get(ShapeKey(2), 7), None);
/// ```
pub struct Cache<V> {
    max_bytes: usize,
    /// Maximum total size of the values, as counted by `insert`.
    value_budget_bytes: usize,
    entries: Entries<V>,
    index: HashMap<ShapeKey, u32, BuildHasherDefault<IdentityHasher>>,
    sketch: FrequencySketch,
    counts: CacheCounts,
}

impl<V> Cache<V> {
    /// Minimum size of a cache.
    pub const MIN_BYTES: usize = 64 << 10;

    /// Creates a cache that occupies at most `max_bytes`, including its bookkeeping, but at least
    /// [`MIN_BYTES`](Self::MIN_BYTES).
    pub fn new(max_bytes: usize) -> Cache<V> {
        let max_bytes = max_bytes.max(Self::MIN_BYTES);
        let slots = max_bytes / MIN_ENTRY_BYTES;
        Cache {
            max_bytes,
            value_budget_bytes: VALUE_SHARE.of(max_bytes.saturating_sub(Self::bookkeeping_bytes(slots))),
            entries: Entries::with_capacity(slots),
            index: HashMap::with_capacity_and_hasher(slots, BuildHasherDefault::default()),
            sketch: FrequencySketch::new(slots),
            counts: CacheCounts::default(),
        }
    }

    /// Returns the bytes that the slots, the index and the sketch occupy, whether in use or not.
    fn bookkeeping_bytes(slots: usize) -> usize {
        // A `HashMap` has a power of two of buckets, at most 7/8 of them in use, each with a control byte.
        let buckets = (slots * 8 / 7).next_power_of_two();
        slots * size_of::<Entry<V>>()
            + buckets * (size_of::<(ShapeKey, u32)>() + 1)
            + FrequencySketch::memory_bytes(slots)
    }

    /// Returns the bytes that the cache occupies.
    pub fn memory_bytes(&self) -> usize {
        Self::bookkeeping_bytes(self.entries.capacity()) + VALUE_SHARE.total_for(self.entries.bytes())
    }

    /// Returns the maximum number of bytes that the cache may occupy.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the cache has no entries.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> CacheCounts {
        self.counts
    }

    /// Removes all entries, but keeps the frequencies of lookups.
    pub fn clear(&mut self) {
        self.index.clear();
        self.entries.clear();
    }

    fn owner(client: u64) -> u8 {
        bucket_of(client, OWNERS) as u8
    }

    /// Looks up the value of a shape for a client.
    pub fn get(&mut self, key: ShapeKey, client: u64) -> Option<&V> {
        self.sketch.increment(key);
        let Some(slot) = self.index.get(&key).copied() else {
            self.counts.misses += 1;
            return None;
        };
        self.counts.hits += 1;
        let owner = self.entries.get(slot).owner;
        if owner != SHARED && owner != Self::owner(client) {
            self.entries.set_owner(slot, SHARED);
        }
        self.promote(slot);
        self.entries.get(slot).value.as_ref()
    }

    /// Moves an entry to the front of its lists, and from probation to the protected segment.
    fn promote(&mut self, slot: u32) {
        if self.entries.get(slot).segment == Segment::Window {
            self.entries.move_to_segment(slot, Segment::Window);
        } else {
            self.entries.move_to_segment(slot, Segment::Protected);
            self.entries.move_to_front_of_owner(slot);
        }
        let max_protected = PROTECTED_SHARE.of(self.main_budget_bytes());
        while self.entries.segment(Segment::Protected).bytes > max_protected {
            let oldest = self.entries.segment(Segment::Protected).oldest;
            self.entries.move_to_segment(oldest, Segment::Probation);
        }
    }

    /// Adds the value of a shape that was not found. `bytes` is the size of the value, including allocator
    /// overhead.
    pub fn insert(&mut self, key: ShapeKey, value: V, bytes: usize, client: u64) {
        if let Some(slot) = self.index.get(&key).copied() {
            self.remove(slot);
        }
        if bytes > self.value_budget_bytes / MAX_VALUE_DIVISOR {
            self.counts.rejections += 1;
            return;
        }
        // A slot is always free here, since the loop below leaves one free.
        let entry = Entry::new(key, value, bytes as u32, Self::owner(client));
        let Some(slot) = self.entries.allocate(entry) else {
            self.counts.rejections += 1;
            return;
        };
        self.index.insert(key, slot);
        self.entries.link_first(slot, ListKind::Segment);
        let max_window = (self.value_budget_bytes / WINDOW_DIVISOR).max(bytes);
        while self.entries.segment(Segment::Window).bytes > max_window || self.entries.is_full() {
            self.leave_window(self.entries.segment(Segment::Window).oldest);
        }
    }

    /// Returns the maximum total size of the values outside the window.
    fn main_budget_bytes(&self) -> usize {
        self.value_budget_bytes - self.value_budget_bytes / WINDOW_DIVISOR
    }

    fn main_bytes(&self) -> usize {
        self.entries.segment(Segment::Probation).bytes + self.entries.segment(Segment::Protected).bytes
    }

    /// Moves an entry from the window to probation if it was looked up more often than those that it evicts;
    /// otherwise removes it.
    fn leave_window(&mut self, slot: u32) {
        let candidate = self.entries.get(slot);
        let bytes = candidate.bytes as usize;
        let owner = candidate.owner;
        let frequency = self.sketch.estimate(candidate.key);
        // A slot must stay free for the next entry, too.
        while self.main_bytes() + bytes > self.main_budget_bytes() || self.entries.is_full() {
            let victim = self.choose_victim(owner, bytes);
            if victim == NO_SLOT || frequency <= self.sketch.estimate(self.entries.get(victim).key) {
                self.counts.rejections += 1;
                return self.remove(slot);
            }
            self.counts.evictions += 1;
            self.remove(victim);
        }
        self.entries.move_to_segment(slot, Segment::Probation);
        self.entries.link_first(slot, ListKind::Owner);
    }

    /// Chooses the entry to evict for an owner's entry of this size: the owner's oldest if the owner would
    /// exceed its quota, otherwise the oldest of all.
    fn choose_victim(&self, owner: u8, bytes: usize) -> u32 {
        let quota = self.quota_bytes(owner);
        let exceeds_quota = owner != SHARED
            && quota < self.main_budget_bytes()
            && self.entries.owner(owner).bytes + bytes > quota;
        if exceeds_quota {
            return self.entries.owner(owner).oldest;
        }
        match self.entries.segment(Segment::Probation).oldest {
            NO_SLOT => self.entries.segment(Segment::Protected).oldest,
            oldest => oldest,
        }
    }

    /// Returns an owner's even share of the budget outside the window.
    fn quota_bytes(&self, owner: u8) -> usize {
        self.main_budget_bytes() / self.entries.active_owners_with(owner).max(1)
    }

    fn remove(&mut self, slot: u32) {
        let key = self.entries.release(slot);
        self.index.remove(&key);
    }
}
