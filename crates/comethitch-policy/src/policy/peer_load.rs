//! The load that warm hosts get from this router, which bounds what hosts in slow start get.

use crate::time::{Duration, Timestamp};
use std::cell::Cell;

/// Number of updates per slow-start window: each one walks all hosts.
const UPDATES_PER_WINDOW: u64 = 8;

/// Cached work that this router sends in a slow-start window to warm hosts, per unit of their capacity.
#[derive(Debug, Default)]
pub(super) struct PeerLoad {
    cached: Cell<CachedLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct CachedLoad {
    per_capacity: f64,
    valid_until: Timestamp,
}

impl PeerLoad {
    /// Returns the cached load, or recomputes it when an eighth of the slow-start window has passed.
    pub(super) fn get_or_compute(
        &self, now: Timestamp, window: Duration, compute: impl FnOnce() -> f64,
    ) -> f64 {
        let cached = self.cached.get();
        if now < cached.valid_until {
            return cached.per_capacity;
        }
        let per_capacity = compute();
        self.cached.set(CachedLoad { per_capacity, valid_until: now + window / UPDATES_PER_WINDOW });
        per_capacity
    }
}
