//! A cache of values by shape, bounded in bytes: W-TinyLFU over a segmented LRU, with a share for each client.
//!
//! A new entry stands in a small window first. As it leaves the window it must have been looked up more often
//! lately than the entry whose place it would take ([`crate::frequency_sketch`]), so that shapes that come once
//! evict nothing that is in use. Entries used again are protected from those that were not.
//!
//! While the cache is full, a client that holds more than its even share takes the place of its own entries alone,
//! however often it looks them up; an entry that a second client uses belongs to no one.

mod entries;

use crate::ShapeKey;
use crate::frequency_sketch::FrequencySketch;
use entries::{Entries, Entry, ListKind, NONE, OWNERS, SHARED, Segment};
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// The part of the bytes that new entries have before they compete: one in so many.
const WINDOW_PART: usize = 8;
/// The part of the rest that is reserved for entries used again.
const PROTECTED_PART: Fraction = Fraction { numerator: 4, denominator: 5 };
/// Slots are allocated for so many entries as the bound holds of this many bytes.
const MIN_ENTRY_BYTES: usize = 384;
/// The part of the bytes beside the bookkeeping that values may count: small pieces that come and go among what a
/// parser takes and gives back leave gaps, which were measured at half of what the pieces hold.
const COUNTED_PART: Fraction = Fraction { numerator: 2, denominator: 3 };
/// An entry of more than one in so many parts of the cache is not cached.
const LARGEST_PART: usize = 64;
/// The bits of a hash that choose among [`OWNERS`].
const OWNER_HASH_SHIFT: u32 = u64::BITS - OWNERS.ilog2();

struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    /// This part of so many bytes, rounded down twice.
    const fn of(&self, bytes: usize) -> usize {
        bytes / self.denominator * self.numerator
    }

    /// The bytes of which so many are this part.
    const fn whole(&self, bytes: usize) -> usize {
        bytes / self.numerator * self.denominator
    }
}

/// Keys are keyed hashes already, and need no second hash.
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

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheCounts {
    /// Look-ups that found an entry.
    pub hits: u64,
    /// Look-ups that found none.
    pub misses: u64,
    /// Entries that did not get past the window.
    pub rejections: u64,
    /// Entries evicted for others.
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
    bound: usize,
    /// What values may count together: a part of the bound less the bookkeeping.
    value_budget: usize,
    entries: Entries<V>,
    index: HashMap<ShapeKey, u32, BuildHasherDefault<IdentityHasher>>,
    sketch: FrequencySketch,
    counts: CacheCounts,
}

impl<V> Cache<V> {
    /// The least bound that makes sense, in bytes: a cache is never smaller.
    pub const MIN_BYTES: usize = 64 << 10;

    /// A cache that takes so many bytes at most, its own bookkeeping included.
    pub fn new(bound: usize) -> Cache<V> {
        let bound = bound.max(Self::MIN_BYTES);
        let slots = bound / MIN_ENTRY_BYTES;
        Cache {
            bound,
            value_budget: COUNTED_PART.of(bound.saturating_sub(Self::bookkeeping_bytes(slots))),
            entries: Entries::with_capacity(slots),
            index: HashMap::with_capacity_and_hasher(slots, BuildHasherDefault::default()),
            sketch: FrequencySketch::new(slots),
            counts: CacheCounts::default(),
        }
    }

    /// What so many slots take, used or not. The table of keys is kept an eighth free, in a power of two.
    fn bookkeeping_bytes(slots: usize) -> usize {
        let buckets = (slots * 8 / 7).next_power_of_two();
        slots * size_of::<Entry<V>>()
            + buckets * (size_of::<(ShapeKey, u32)>() + 1)
            + FrequencySketch::bytes(slots)
    }

    /// The bytes that it takes now.
    pub fn memory_bytes(&self) -> usize {
        Self::bookkeeping_bytes(self.entries.capacity()) + COUNTED_PART.whole(self.entries.bytes())
    }

    /// The bytes that it may take.
    pub fn bound(&self) -> usize {
        self.bound
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether it has no entries.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Its counts since the start.
    pub fn counts(&self) -> CacheCounts {
        self.counts
    }

    /// Forgets all entries, but not how often they were looked up.
    pub fn clear(&mut self) {
        self.index.clear();
        self.entries.clear();
    }

    /// The owner that a client is hashed to, by Fibonacci hashing.
    fn owner(client: u64) -> u8 {
        (client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> OWNER_HASH_SHIFT) as u8
    }

    /// Looks the value of a shape up for a client.
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

    /// Moves an entry that is used to the front of its lists, out of probation into the protected segment.
    fn promote(&mut self, slot: u32) {
        if self.entries.get(slot).segment == Segment::Window {
            self.entries.move_to_segment(slot, Segment::Window);
        } else {
            self.entries.move_to_segment(slot, Segment::Protected);
            self.entries.move_to_front_of_owner(slot);
        }
        let most = PROTECTED_PART.of(self.main_budget());
        while self.entries.segment(Segment::Protected).bytes > most {
            let oldest = self.entries.segment(Segment::Protected).oldest;
            self.entries.move_to_segment(oldest, Segment::Probation);
        }
    }

    /// Adds the value of a shape that was not found; `bytes` is what the value takes, what its allocations take
    /// besides included.
    pub fn insert(&mut self, key: ShapeKey, value: V, bytes: usize, client: u64) {
        if let Some(slot) = self.index.get(&key).copied() {
            self.remove(slot);
        }
        if bytes > self.value_budget / LARGEST_PART {
            self.counts.rejections += 1;
            return;
        }
        // A slot is always free here: what leaves the window below makes room for the next entry.
        let entry = Entry::new(key, value, bytes as u32, Self::owner(client));
        let Some(slot) = self.entries.allocate(entry) else {
            self.counts.rejections += 1;
            return;
        };
        self.index.insert(key, slot);
        self.entries.link_first(slot, ListKind::Segment);
        let window_budget = (self.value_budget / WINDOW_PART).max(bytes);
        while self.entries.segment(Segment::Window).bytes > window_budget || self.entries.is_full() {
            self.leave_window(self.entries.segment(Segment::Window).oldest);
        }
    }

    /// The bytes of values outside of the window, at most.
    fn main_budget(&self) -> usize {
        self.value_budget - self.value_budget / WINDOW_PART
    }

    fn main_bytes(&self) -> usize {
        self.entries.segment(Segment::Probation).bytes + self.entries.segment(Segment::Protected).bytes
    }

    /// Moves an entry out of the window: into the rest of the cache if it was looked up more often than those it
    /// evicts, or out of the cache.
    fn leave_window(&mut self, slot: u32) {
        let candidate = self.entries.get(slot);
        let bytes = candidate.bytes as usize;
        let owner = candidate.owner;
        let frequency = self.sketch.estimate(candidate.key);
        // A slot must stay free for the next entry, too.
        while self.main_bytes() + bytes > self.main_budget() || self.entries.is_full() {
            let victim = self.victim(owner, bytes);
            if victim == NONE || frequency <= self.sketch.estimate(self.entries.get(victim).key) {
                self.counts.rejections += 1;
                return self.remove(slot);
            }
            self.counts.evictions += 1;
            self.remove(victim);
        }
        self.entries.move_to_segment(slot, Segment::Probation);
        self.entries.link_first(slot, ListKind::Owner);
    }

    /// The entry whose place an owner's entry of so many bytes would take: its owner's oldest if that one is over
    /// its share, or else the oldest of all.
    fn victim(&self, owner: u8, bytes: usize) -> u32 {
        let share = self.even_share(owner);
        let is_over_share =
            owner != SHARED && share < self.main_budget() && self.entries.owner(owner).bytes + bytes > share;
        if is_over_share {
            return self.entries.owner(owner).oldest;
        }
        match self.entries.segment(Segment::Probation).oldest {
            NONE => self.entries.segment(Segment::Protected).oldest,
            oldest => oldest,
        }
    }

    /// An even share of the cache for each owner with entries, and for this one.
    fn even_share(&self, owner: u8) -> usize {
        self.main_budget() / self.entries.owners_with(owner).max(1)
    }

    fn remove(&mut self, slot: u32) {
        let key = self.entries.release(slot);
        self.index.remove(&key);
    }
}
