//! What is known of shapes, bounded in bytes.
//!
//! A new entry stands in a small window first. As it leaves the window it must have been asked for more often
//! lately than the entry whose place it would take ([`crate::sketch`]), so that shapes that come once push out
//! nothing that is in use. Entries asked for again are protected from those that were not.
//!
//! Each client has a share. While the cache is full, a client that holds more than its even part takes the place
//! of its own entries alone, however often it asks; an entry that a second client asks for belongs to no one.

use crate::ShapeKey;
use crate::sketch::Sketch;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// The part of the bytes that new entries have before they compete.
const WINDOW_PART: usize = 8;
/// The part of the rest that is kept for entries asked for again.
const PROTECTED_PART: (usize, usize) = (4, 5);
/// Room for so many entries is held, by the bytes of each at the least.
const LEAST_ENTRY: usize = 384;
/// The part of the bytes beside the bookkeeping that values may count: small pieces that come and go among what a
/// parser takes and gives back leave gaps, which were measured at half of what the pieces hold.
const COUNTED_PART: (usize, usize) = (2, 3);
/// An entry of more than this part of the cache is not kept.
const LARGEST_PART: usize = 64;
/// Clients are told apart by so many numbers; two that share one share its part.
const OWNERS: usize = 64;
/// The owner of what several clients asked for.
const COMMON: u8 = OWNERS as u8;

const NONE: u32 = u32::MAX;

/// Keys are keyed hashes already.
#[derive(Default)]
struct AsItIs(u64);

impl Hasher for AsItIs {
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

#[derive(Clone, Copy, PartialEq, Eq)]
enum Segment {
    Window,
    Probation,
    Protected,
}

#[derive(Clone, Copy)]
struct Link {
    newer: u32,
    older: u32,
}

struct Entry<V> {
    key: ShapeKey,
    /// None in a place that is free.
    value: Option<V>,
    bytes: u32,
    segment: Segment,
    owner: u8,
    /// Its place in its segment's line, and in its owner's.
    links: [Link; 2],
}

#[derive(Clone, Copy)]
struct Line {
    newest: u32,
    oldest: u32,
    bytes: usize,
}

const EMPTY: Line = Line { newest: NONE, oldest: NONE, bytes: 0 };
const IN_SEGMENT: usize = 0;
const IN_OWNER: usize = 1;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub hits: u64,
    pub misses: u64,
    /// Entries that did not get past the window.
    pub turned_away: u64,
    /// Entries that had to go for others.
    pub pushed_out: u64,
}

/// A cache of values by shape.
///
/// ```
/// use comethitch_statement::{ShapeKey, cache::Cache};
/// let mut cache = Cache::new(1 << 20);
/// cache.put(ShapeKey(1), "read", 100, 7);
/// assert_eq!(cache.get(ShapeKey(1), 7), Some(&"read"));
/// assert_eq!(cache.get(ShapeKey(2), 7), None);
/// ```
pub struct Cache<V> {
    bound: usize,
    /// What values may take together: the bound less what is held for all places.
    room: usize,
    places: usize,
    entries: Vec<Entry<V>>,
    free: u32,
    index: HashMap<ShapeKey, u32, BuildHasherDefault<AsItIs>>,
    sketch: Sketch,
    segments: [Line; 3],
    owners: [Line; OWNERS + 1],
    counts: Counts,
}

impl<V> Cache<V> {
    /// The least that makes sense: a cache is never smaller.
    pub const LEAST: usize = 64 << 10;

    /// A cache that holds so many bytes at most, its own bookkeeping included.
    pub fn new(bound: usize) -> Cache<V> {
        let bound = bound.max(Self::LEAST);
        let places = bound / LEAST_ENTRY;
        let fixed = Self::fixed(places);
        Cache {
            bound,
            room: bound.saturating_sub(fixed) / COUNTED_PART.1 * COUNTED_PART.0,
            places,
            entries: Vec::with_capacity(places),
            free: NONE,
            index: HashMap::with_capacity_and_hasher(places, BuildHasherDefault::default()),
            sketch: Sketch::new(places),
            segments: [EMPTY; 3],
            owners: [EMPTY; OWNERS + 1],
            counts: Counts::default(),
        }
    }

    /// What is held for so many places, used or not. The table of keys is kept an eighth free, in a power of two.
    fn fixed(places: usize) -> usize {
        let slots = (places * 8 / 7).next_power_of_two();
        places * size_of::<Entry<V>>() + slots * (size_of::<(ShapeKey, u32)>() + 1) + Sketch::bytes(places)
    }

    /// The bytes that it holds now.
    pub fn held(&self) -> usize {
        let counted: usize = self.segments.iter().map(|line| line.bytes).sum();
        Self::fixed(self.places) + counted / COUNTED_PART.0 * COUNTED_PART.1
    }

    pub fn bound(&self) -> usize {
        self.bound
    }

    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Forgets all entries, but not how often they were asked for.
    pub fn clear(&mut self) {
        self.index.clear();
        self.entries.clear();
        self.free = NONE;
        (self.segments, self.owners) = ([EMPTY; 3], [EMPTY; OWNERS + 1]);
    }

    fn owner(client: u64) -> u8 {
        (client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 58) as u8
    }

    /// What is known of a shape, asked for by a client.
    pub fn get(&mut self, key: ShapeKey, client: u64) -> Option<&V> {
        self.sketch.count(key);
        let Some(at) = self.index.get(&key).copied() else {
            self.counts.misses += 1;
            return None;
        };
        self.counts.hits += 1;
        let entry = &self.entries[at as usize];
        if entry.owner != COMMON && entry.owner != Self::owner(client) {
            self.owned_by(at, COMMON);
        }
        self.used(at);
        self.entries[at as usize].value.as_ref()
    }

    /// Moves an entry that is asked for to the front of its lines.
    fn used(&mut self, at: u32) {
        let segment = self.entries[at as usize].segment;
        let to = if segment == Segment::Window { Segment::Window } else { Segment::Protected };
        self.leave(at, IN_SEGMENT);
        self.enter(at, IN_SEGMENT, to);
        if segment != Segment::Window {
            self.leave(at, IN_OWNER);
            self.enter(at, IN_OWNER, to);
        }
        let most = self.main_room() / PROTECTED_PART.1 * PROTECTED_PART.0;
        while self.segments[Segment::Protected as usize].bytes > most {
            let oldest = self.segments[Segment::Protected as usize].oldest;
            self.leave(oldest, IN_SEGMENT);
            self.enter(oldest, IN_SEGMENT, Segment::Probation);
        }
    }

    /// Takes in what is known of a shape that was not found; `bytes` is what the value holds, and what its
    /// allocations take besides.
    pub fn put(&mut self, key: ShapeKey, value: V, bytes: usize, client: u64) {
        if let Some(at) = self.index.get(&key).copied() {
            self.remove(at);
        }
        if bytes > self.room / LARGEST_PART {
            self.counts.turned_away += 1;
            return;
        }
        let entry = Entry {
            key,
            value: Some(value),
            bytes: bytes as u32,
            segment: Segment::Window,
            owner: Self::owner(client),
            links: [Link { newer: NONE, older: NONE }; 2],
        };
        // A place is always free here: what leaves the window below makes room for the next.
        let at = match self.free {
            NONE if self.entries.len() < self.places => {
                self.entries.push(entry);
                self.entries.len() as u32 - 1
            }
            NONE => {
                self.counts.turned_away += 1;
                return;
            }
            at => {
                self.free = self.entries[at as usize].links[IN_SEGMENT].older;
                self.entries[at as usize] = entry;
                at
            }
        };
        self.index.insert(key, at);
        self.enter(at, IN_SEGMENT, Segment::Window);
        let window = self.room / WINDOW_PART;
        while self.segments[Segment::Window as usize].bytes > window.max(bytes)
            || self.free == NONE && self.entries.len() == self.places
        {
            self.compete(self.segments[Segment::Window as usize].oldest);
        }
    }

    fn main_room(&self) -> usize {
        self.room - self.room / WINDOW_PART
    }

    fn main_bytes(&self) -> usize {
        self.segments[Segment::Probation as usize].bytes + self.segments[Segment::Protected as usize].bytes
    }

    /// An entry leaves the window: into the rest of the cache, or out of it.
    fn compete(&mut self, at: u32) {
        let (key, bytes, owner) = {
            let entry = &self.entries[at as usize];
            (entry.key, entry.bytes as usize, entry.owner)
        };
        let often = self.sketch.often(key);
        // A place must stay free for the next entry, too.
        let full = |cache: &Self| {
            cache.main_bytes() + bytes > cache.main_room()
                || cache.free == NONE && cache.entries.len() == cache.places
        };
        while full(self) {
            let part = self.even_part(owner);
            let over = owner != COMMON
                && part < self.main_room()
                && self.owners[owner as usize].bytes + bytes > part;
            let victim = match over {
                true => self.owners[owner as usize].oldest,
                false => match self.segments[Segment::Probation as usize].oldest {
                    NONE => self.segments[Segment::Protected as usize].oldest,
                    oldest => oldest,
                },
            };
            if victim == NONE || often <= self.sketch.often(self.entries[victim as usize].key) {
                self.counts.turned_away += 1;
                return self.remove(at);
            }
            self.counts.pushed_out += 1;
            self.remove(victim);
        }
        self.leave(at, IN_SEGMENT);
        self.enter(at, IN_SEGMENT, Segment::Probation);
        self.enter(at, IN_OWNER, Segment::Probation);
    }

    /// An even part of the cache for each client that holds entries, and for this one.
    fn even_part(&self, owner: u8) -> usize {
        let holding = |(nth, line): &(usize, &Line)| line.bytes > 0 || *nth == owner as usize;
        self.main_room() / self.owners.iter().enumerate().filter(holding).count().max(1)
    }

    fn owned_by(&mut self, at: u32, owner: u8) {
        let in_main = self.entries[at as usize].segment != Segment::Window;
        if in_main {
            self.leave(at, IN_OWNER);
        }
        self.entries[at as usize].owner = owner;
        if in_main {
            let segment = self.entries[at as usize].segment;
            self.enter(at, IN_OWNER, segment);
        }
    }

    fn remove(&mut self, at: u32) {
        self.leave(at, IN_SEGMENT);
        if self.entries[at as usize].segment != Segment::Window {
            self.leave(at, IN_OWNER);
        }
        let free = self.free;
        let entry = &mut self.entries[at as usize];
        entry.value = None;
        entry.links[IN_SEGMENT].older = free;
        let key = entry.key;
        self.free = at;
        self.index.remove(&key);
    }

    fn line(&mut self, at: u32, which: usize) -> &mut Line {
        let entry = &self.entries[at as usize];
        match which {
            IN_SEGMENT => &mut self.segments[entry.segment as usize],
            _ => &mut self.owners[entry.owner as usize],
        }
    }

    fn enter(&mut self, at: u32, which: usize, segment: Segment) {
        self.entries[at as usize].segment = segment;
        let bytes = self.entries[at as usize].bytes as usize;
        let line = self.line(at, which);
        let next = line.newest;
        line.newest = at;
        line.bytes += bytes;
        if next == NONE {
            line.oldest = at;
        } else {
            self.entries[next as usize].links[which].newer = at;
        }
        self.entries[at as usize].links[which] = Link { newer: NONE, older: next };
    }

    fn leave(&mut self, at: u32, which: usize) {
        let bytes = self.entries[at as usize].bytes as usize;
        let Link { newer, older } = self.entries[at as usize].links[which];
        let line = self.line(at, which);
        line.bytes -= bytes;
        if newer == NONE {
            line.newest = older;
        }
        if older == NONE {
            line.oldest = newer;
        }
        if newer != NONE {
            self.entries[newer as usize].links[which].older = older;
        }
        if older != NONE {
            self.entries[older as usize].links[which].newer = newer;
        }
    }
}
