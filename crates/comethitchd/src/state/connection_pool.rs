//! The pool of idle connections to hosts.

use crate::state::host_connection::HostConnection;
use comethitch_fleet::connection_slots;
use comethitch_policy::Host;
use comethitch_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The position of an idle connection in the order of last use over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LastUse {
    at: Timestamp,
    /// Distinguishes connections that were last used at the same time.
    sequence: u64,
}

struct IdleConnection {
    last_use: LastUse,
    connection: HostConnection,
}

/// Fraction of the hosts' idle timeout after which connections are no longer used, so that no host closes one
/// in use: numerator and denominator.
const IDLE_TIMEOUT_FRACTION: (u64, u64) = (3, 4);

/// The idle connections of all hosts.
pub struct ConnectionPool {
    idle_timeout: Duration,
    /// The last time that a host rejected a connection for lack of slots, or `None` if none has.
    last_no_slot: Option<Timestamp>,
    /// The idle connections of each host, most recently used last.
    idle: BTreeMap<Host, Vec<IdleConnection>>,
    /// The host of each idle connection, least recently used first.
    by_last_use: BTreeMap<LastUse, Host>,
    last_sequence: u64,
}

impl ConnectionPool {
    /// Creates an empty pool for hosts that close connections that are idle for `host_idle_timeout`.
    pub fn new(host_idle_timeout: Duration) -> ConnectionPool {
        ConnectionPool {
            idle_timeout: host_idle_timeout / IDLE_TIMEOUT_FRACTION.1 * IDLE_TIMEOUT_FRACTION.0,
            last_no_slot: None,
            idle: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Records that a host rejected a connection for lack of slots. Idle connections are then closed sooner.
    pub fn record_no_slot(&mut self, now: Timestamp) {
        self.last_no_slot = Some(now);
    }

    /// Takes the host's most recently used connection, so that the others can expire. Connections that are
    /// found to be expired, broken or opened to another address are closed.
    pub fn take(&mut self, host: Host, address: SocketAddr, now: Timestamp) -> Option<HostConnection> {
        let idle = self.idle.get_mut(&host)?;
        let mut usable = None;
        while let Some(IdleConnection { last_use, connection }) = idle.pop() {
            self.by_last_use.remove(&last_use);
            let is_fresh = now - last_use.at < self.idle_timeout;
            if is_fresh && connection.address == address && connection.has_nothing_to_read() {
                usable = Some(connection);
                break;
            }
        }
        if idle.is_empty() {
            self.idle.remove(&host);
        }
        usable
    }

    /// Puts a connection into the pool.
    pub fn put(&mut self, host: Host, connection: HostConnection, now: Timestamp) {
        self.last_sequence += 1;
        let last_use = LastUse { at: now, sequence: self.last_sequence };
        self.by_last_use.insert(last_use, host);
        self.idle.entry(host).or_default().push(IdleConnection { last_use, connection });
    }

    /// Closes a host's idle connections.
    pub fn close_host(&mut self, host: Host) {
        for closed in self.idle.remove(&host).unwrap_or_default() {
            self.by_last_use.remove(&closed.last_use);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&mut self, now: Timestamp) {
        let idle_timeout = connection_slots::idle_timeout(self.idle_timeout, self.last_no_slot, now);
        while self.by_last_use.keys().next().is_some_and(|last_use| now - last_use.at >= idle_timeout) {
            self.evict_longest_idle();
        }
    }

    /// Closes the least recently used connection, to free its descriptor.
    pub fn evict_longest_idle(&mut self) {
        let Some((_, host)) = self.by_last_use.pop_first() else { return };
        let Some(idle) = self.idle.get_mut(&host) else { return };
        idle.remove(0);
        if idle.is_empty() {
            self.idle.remove(&host);
        }
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.by_last_use.len()
    }

    /// Returns whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.by_last_use.is_empty()
    }
}
