//! Limits on file descriptors: how many connections of clients and to hosts may be open at the same time.

use std::cell::Cell;
use std::rc::Rc;

/// Number of descriptors for everything but connections of clients and to hosts: standard streams, poller,
/// signals, listener and discovery.
const RESERVED_DESCRIPTORS: usize = 20;
/// Fraction of the other descriptors for clients: numerator and denominator. Hosts get the rest, so that
/// neither side can starve the other.
const CLIENT_FRACTION: (usize, usize) = (5, 8);

/// The descriptor limits of both kinds of connection.
pub struct DescriptorLimits {
    /// The limit on connections of clients.
    pub clients: DescriptorLimit,
    /// The limit on connections to hosts.
    pub hosts: DescriptorLimit,
}

/// Divides the descriptors that the process may use between clients and hosts.
pub fn divide_descriptors(descriptors: usize) -> DescriptorLimits {
    let connections = descriptors - RESERVED_DESCRIPTORS;
    let clients = connections * CLIENT_FRACTION.0 / CLIENT_FRACTION.1;
    DescriptorLimits {
        clients: DescriptorLimit::new(clients),
        hosts: DescriptorLimit::new(connections - clients),
    }
}

/// Limits and counts the descriptors of one kind of connection.
pub struct DescriptorLimit {
    limit: usize,
    in_use: Rc<Cell<usize>>,
}

/// The right to use one descriptor, released on drop.
pub struct DescriptorPermit(Rc<Cell<usize>>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl DescriptorLimit {
    /// Creates a limit of `limit` descriptors, none of them in use.
    pub fn new(limit: usize) -> DescriptorLimit {
        DescriptorLimit { limit, in_use: Rc::default() }
    }

    /// Acquires a permit for one more descriptor, or returns `None` at the limit.
    pub fn acquire(&self) -> Option<DescriptorPermit> {
        if self.is_exhausted() {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        Some(DescriptorPermit(self.in_use.clone()))
    }

    /// Returns the maximum number of descriptors that may be in use.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns whether no descriptor is free.
    pub fn is_exhausted(&self) -> bool {
        self.in_use.get() >= self.limit
    }

    /// Returns the number of descriptors in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }
}
