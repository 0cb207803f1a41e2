//! Limits on file descriptors: how many connections of clients and to hosts may be open at a time.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that are no connections of clients or hosts: standard streams, poller, signals, listener,
/// discovery, the log.
const RESERVED_DESCRIPTORS: usize = 20;
/// Of the others, clients get this part and hosts the rest, so that neither waits for what the other holds.
const CLIENT_DESCRIPTORS_PART: (usize, usize) = (5, 8);
/// Requests may be in progress on this part of the clients' connections.
const BUSY_CLIENTS_PART: (usize, usize) = (4, 5);
/// While less than one part in so many of the clients' descriptors is free, idle connections are evicted.
const FREE_CLIENTS_DIVISOR: usize = 8;

/// The limits of both kinds of connection.
pub struct DescriptorLimits {
    /// For connections of clients.
    pub clients: DescriptorLimit,
    /// For connections to hosts.
    pub hosts: DescriptorLimit,
}

impl DescriptorLimits {
    /// Divides the descriptors that the process may use.
    pub fn new(descriptors: usize) -> DescriptorLimits {
        let connections = descriptors - RESERVED_DESCRIPTORS;
        let clients = connections * CLIENT_DESCRIPTORS_PART.0 / CLIENT_DESCRIPTORS_PART.1;
        DescriptorLimits {
            clients: DescriptorLimit::new(clients),
            hosts: DescriptorLimit::new(connections - clients),
        }
    }

    /// How many requests may be in progress.
    pub fn max_requests(&self) -> usize {
        self.clients.limit() * BUSY_CLIENTS_PART.0 / BUSY_CLIENTS_PART.1
    }

    /// Whether few of the clients' descriptors are free, so that idle connections are to be evicted.
    pub fn clients_run_short(&self) -> bool {
        let limit = self.clients.limit();
        self.clients.in_use() >= limit - limit / FREE_CLIENTS_DIVISOR
    }
}

/// How many descriptors one kind of connection may use, and how many it does.
pub struct DescriptorLimit {
    limit: usize,
    in_use: Rc<Cell<usize>>,
}

/// The right to one descriptor, given back when dropped.
pub struct DescriptorPermit(Rc<Cell<usize>>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl DescriptorLimit {
    /// A limit of this many descriptors, none of them in use.
    pub fn new(limit: usize) -> DescriptorLimit {
        DescriptorLimit { limit, in_use: Rc::default() }
    }

    /// A permit for one more descriptor, or none at the limit.
    pub fn acquire(&self) -> Option<DescriptorPermit> {
        let in_use = self.in_use.get();
        if in_use >= self.limit {
            return None;
        }
        self.in_use.set(in_use + 1);
        Some(DescriptorPermit(self.in_use.clone()))
    }

    /// The most descriptors that may be in use.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Whether no descriptor is left.
    pub fn is_exhausted(&self) -> bool {
        self.in_use.get() == self.limit
    }

    /// The descriptors in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }
}
