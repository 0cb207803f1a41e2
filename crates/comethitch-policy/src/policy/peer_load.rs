//! The load that this router sends to warm hosts, which bounds the load that it sends to hosts in slow start.

use crate::time::{Duration, Timestamp};
use std::cell::Cell;

/// Number of updates per slow-start window, kept low because each update visits all hosts.
const UPDATES_PER_WINDOW: u64 = 8;

/// Cache of the work that this router sends to warm hosts in a slow-start window, per unit of their capacity.
#[derive(Debug, Default)]
pub(super) struct PeerLoad {
    cached: Cell<CachedLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct CachedLoad {
    load_per_capacity_unit: f64,
    valid_until: Timestamp,
}

impl PeerLoad {
    /// Returns the cached load. Recomputes it if an eighth of the slow-start window has passed since the last
    /// update.
    pub(super) fn get_or_compute(
        &self, now: Timestamp, window: Duration, compute: impl FnOnce() -> f64,
    ) -> f64 {
        let cached = self.cached.get();
        if now < cached.valid_until {
            return cached.load_per_capacity_unit;
        }
        let load_per_capacity_unit = compute();
        self.cached
            .set(CachedLoad { load_per_capacity_unit, valid_until: now + window / UPDATES_PER_WINDOW });
        load_per_capacity_unit
    }
}
