//! Idle connections to hosts, kept to be used again.

use crate::state::host_connection::HostConnection;
use comethitch_fleet::connection_slots;
use comethitch_policy::Host;
use comethitch_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub struct ConnectionPool {
    /// Kept no longer than this: the host closes what has been idle for its own limit.
    longest: Duration,
    /// When a host last had no place for one more connection.
    turned_away: Option<Timestamp>,
    idle: BTreeMap<Host, Vec<HostConnection>>,
}

impl ConnectionPool {
    pub fn new(host_limit: Duration) -> ConnectionPool {
        ConnectionPool { longest: host_limit / 4 * 3, turned_away: None, idle: BTreeMap::new() }
    }

    pub fn turned_away(&mut self, now: Timestamp) {
        self.turned_away = Some(now);
    }

    /// The one used last, so that the others age out; what is old, moved or broken is closed on the way.
    pub fn take(&mut self, host: Host, dial: SocketAddr, now: Timestamp) -> Option<HostConnection> {
        let idle = self.idle.get_mut(&host)?;
        while let Some(connection) = idle.pop() {
            let young = now - connection.idle_since < self.longest;
            if young && connection.dial == dial && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    pub fn put(&mut self, host: Host, mut connection: HostConnection, now: Timestamp) {
        connection.idle_since = now;
        self.idle.entry(host).or_default().push(connection);
    }

    pub fn close(&mut self, host: Host) {
        self.idle.remove(&host);
    }

    /// Closes what has been idle too long, and forgets hosts without any.
    pub fn sweep(&mut self, now: Timestamp) {
        let longest = connection_slots::idle_timeout(self.longest, self.turned_away, now);
        self.idle.retain(|_, idle| {
            idle.retain(|connection| now - connection.idle_since < longest);
            !idle.is_empty()
        });
    }

    /// Closes the one that has been idle longest of all, to free its descriptor.
    pub fn shed(&mut self) {
        let oldest = |(host, idle): (&Host, &Vec<HostConnection>)| {
            idle.first().map(|connection| (connection.idle_since, *host))
        };
        let oldest = self.idle.iter().filter_map(oldest).min();
        if let Some(idle) = oldest.and_then(|(_, host)| self.idle.get_mut(&host)) {
            idle.remove(0);
        }
    }

    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
