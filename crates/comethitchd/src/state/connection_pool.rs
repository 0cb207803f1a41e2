//! The pool of idle connections to hosts.

use crate::state::host_connection::HostConnection;
use comethitch_fleet::slots;
use comethitch_policy::Host;
use comethitch_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Idle connections by host, each host's in the order of their last use.
pub struct ConnectionPool {
    /// Shorter than the time after which a host closes an idle connection.
    idle_timeout: Duration,
    /// When a host last had no slot for one more connection.
    last_no_slot: Option<Timestamp>,
    idle: BTreeMap<Host, Vec<HostConnection>>,
}

impl ConnectionPool {
    /// An empty pool; hosts close a connection that is idle for `host_idle_timeout`.
    pub fn new(host_idle_timeout: Duration) -> ConnectionPool {
        ConnectionPool { idle_timeout: host_idle_timeout / 4 * 3, last_no_slot: None, idle: BTreeMap::new() }
    }

    /// Records that a host had no slot for one more connection; idle ones are then closed sooner.
    pub fn record_no_slot(&mut self, now: Timestamp) {
        self.last_no_slot = Some(now);
    }

    /// Takes the host's most recently used connection, so that the others age out. Those found expired, broken or
    /// open to another address are closed.
    pub fn take(&mut self, host: Host, address: SocketAddr, now: Timestamp) -> Option<HostConnection> {
        let idle = self.idle.get_mut(&host)?;
        while let Some(connection) = idle.pop() {
            let fresh = now - connection.idle_since < self.idle_timeout;
            if fresh && connection.address == address && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool.
    pub fn put(&mut self, host: Host, mut connection: HostConnection, now: Timestamp) {
        connection.idle_since = now;
        self.idle.entry(host).or_default().push(connection);
    }

    /// Closes a host's idle connections.
    pub fn close_host(&mut self, host: Host) {
        self.idle.remove(&host);
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&mut self, now: Timestamp) {
        let idle_timeout = slots::kept(self.idle_timeout, self.last_no_slot, now);
        self.idle.retain(|_, idle| {
            idle.retain(|connection| now - connection.idle_since < idle_timeout);
            !idle.is_empty()
        });
    }

    /// Closes the connection that is idle longest of all, to free its descriptor.
    pub fn evict_longest_idle(&mut self) {
        let first_idle = |(host, idle): (&Host, &Vec<HostConnection>)| {
            idle.first().map(|connection| (connection.idle_since, *host))
        };
        let longest_idle = self.idle.iter().filter_map(first_idle).min();
        if let Some(idle) = longest_idle.and_then(|(_, host)| self.idle.get_mut(&host)) {
            idle.remove(0);
        }
    }

    /// How many connections are idle.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether none is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
