//! The pool of idle connections to hosts.

use crate::state::host_connection::HostConnection;
use comethitch_fleet::connection_slots;
use comethitch_policy::Host;
use comethitch_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The place of an idle connection in the order of last use, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LastUse {
    at: Timestamp,
    /// Tells apart those last used at the same time.
    number: u64,
}

struct IdleConnection {
    last_use: LastUse,
    connection: HostConnection,
}

/// Idle connections by host, each host's in the order of their last use.
pub struct ConnectionPool {
    /// Shorter than the time after which a host closes an idle connection.
    idle_timeout: Duration,
    /// When a host last had no slot for one more connection.
    last_no_slot: Option<Timestamp>,
    idle: BTreeMap<Host, Vec<IdleConnection>>,
    /// Whose each idle connection is, the one used longest ago first.
    by_last_use: BTreeMap<LastUse, Host>,
    /// How many connections have been put into the pool.
    uses: u64,
}

impl ConnectionPool {
    /// An empty pool; hosts close a connection that is idle for `host_idle_timeout`.
    pub fn new(host_idle_timeout: Duration) -> ConnectionPool {
        ConnectionPool {
            idle_timeout: host_idle_timeout / 4 * 3,
            last_no_slot: None,
            idle: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Records that a host had no slot for one more connection; idle ones are then closed sooner.
    pub fn record_no_slot(&mut self, now: Timestamp) {
        self.last_no_slot = Some(now);
    }

    /// Takes the host's most recently used connection, so that the others age out. Those found expired, broken or
    /// open to another address are closed.
    pub fn take(&mut self, host: Host, address: SocketAddr, now: Timestamp) -> Option<HostConnection> {
        let idle = self.idle.get_mut(&host)?;
        let mut taken = None;
        while let Some(IdleConnection { last_use, connection }) = idle.pop() {
            self.by_last_use.remove(&last_use);
            let fresh = now - last_use.at < self.idle_timeout;
            if fresh && connection.address == address && connection.is_quiet() {
                taken = Some(connection);
                break;
            }
        }
        if idle.is_empty() {
            self.idle.remove(&host);
        }
        taken
    }

    /// Returns a connection to the pool.
    pub fn put(&mut self, host: Host, connection: HostConnection, now: Timestamp) {
        self.uses += 1;
        let last_use = LastUse { at: now, number: self.uses };
        self.by_last_use.insert(last_use, host);
        self.idle.entry(host).or_default().push(IdleConnection { last_use, connection });
    }

    /// Closes a host's idle connections.
    pub fn close_host(&mut self, host: Host) {
        for closed in self.idle.remove(&host).unwrap_or_default() {
            self.by_last_use.remove(&closed.last_use);
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&mut self, now: Timestamp) {
        let idle_timeout = connection_slots::idle_timeout(self.idle_timeout, self.last_no_slot, now);
        while self.by_last_use.keys().next().is_some_and(|last_use| now - last_use.at >= idle_timeout) {
            self.evict_longest_idle();
        }
    }

    /// Closes the connection that is idle longest of all, to free its descriptor.
    pub fn evict_longest_idle(&mut self) {
        let Some((_, host)) = self.by_last_use.pop_first() else { return };
        let Some(idle) = self.idle.get_mut(&host) else { return };
        idle.remove(0);
        if idle.is_empty() {
            self.idle.remove(&host);
        }
    }

    /// How many connections are idle.
    pub fn len(&self) -> usize {
        self.by_last_use.len()
    }

    /// Whether none is idle.
    pub fn is_empty(&self) -> bool {
        self.by_last_use.is_empty()
    }
}
