//! The entry of a host in the endpoint list.

use crate::time::Timestamp;
use crate::{DeduplicationScope, Endpoint, Lifecycle, ShardId};

/// Minimum capacity, which replaces a listed capacity of zero: weights must be above zero.
const MIN_CAPACITY: f64 = 1e-9;

/// The state of a host according to the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    zone: u8,
    shard_id: ShardId,
    capacity: f64,
    draining_since: Option<Timestamp>,
    removed: bool,
    started: Option<Timestamp>,
}

impl Listing {
    /// Returns the initial entry of a host that is listed for the first time. It contains only the shard;
    /// [`Listing::apply`] sets the rest.
    pub(crate) fn new(endpoint: &Endpoint) -> Listing {
        Listing { shard_id: endpoint.shard_id, ..Listing::default() }
    }

    /// Applies the entry of the host in an endpoint update.
    pub(crate) fn apply(&mut self, endpoint: &Endpoint, now: Timestamp) {
        self.zone = endpoint.zone;
        self.capacity = endpoint.capacity.max(MIN_CAPACITY);
        self.started = self.started.max(endpoint.started);
        self.removed = endpoint.lifecycle == Lifecycle::Removed;
        self.draining_since = match endpoint.lifecycle {
            Lifecycle::Ready => None,
            Lifecycle::Draining => self.draining_since.or(Some(now)),
            Lifecycle::Removed => self.draining_since,
        };
    }

    /// Marks the host as removed. If removal is binding, the host also starts to drain.
    pub(crate) fn remove(&mut self, removal_is_binding: bool, now: Timestamp) {
        self.removed = true;
        if removal_is_binding {
            self.draining_since = self.draining_since.or(Some(now));
        }
    }

    /// Returns the shard that the host belongs to.
    pub(crate) fn shard_id(&self) -> ShardId {
        self.shard_id
    }

    /// Returns the host's capacity relative to that of others.
    pub(crate) fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Returns when the host started to drain, because it was listed as draining, or as removed if removal is
    /// binding. Returns `None` if the host is not draining.
    pub(crate) fn draining_since(&self) -> Option<Timestamp> {
        self.draining_since
    }

    /// Returns whether the host is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Returns whether the host is listed as removed, or missing from a complete list.
    pub(crate) fn is_removed(&self) -> bool {
        self.removed
    }

    /// Returns when the host's process started, on the hosts' clock; `None` if the list does not say.
    pub(crate) fn started(&self) -> Option<Timestamp> {
        self.started
    }

    /// Returns whether this host recognizes a request that the other host has executed, and drops it as a
    /// duplicate.
    pub(crate) fn deduplicates_with(&self, other: &Listing, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::Everywhere => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Shard => self.shard_id == other.shard_id,
        }
    }
}
