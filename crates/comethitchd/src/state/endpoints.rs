//! The endpoint directory: names and addresses of the hosts on the endpoint list. All else about hosts is the
//! policy's.

use crate::wire::discovery::EndpointList;
use comethitch_policy::{Host, Lifecycle, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// How many removed hosts are remembered.
const MAX_REMOVED: usize = 32;

struct KnownHost {
    name: String,
    address: SocketAddr,
}

/// The hosts that are listed, and the latest ones that were removed.
#[derive(Default)]
pub struct EndpointDirectory {
    version: Option<u64>,
    hosts: BTreeMap<Host, KnownHost>,
    /// The roles that hosts last reported, for the log.
    roles: BTreeMap<Host, Role>,
    /// Removed hosts, in that order: remembered for a while, as attempts in flight to them may still end.
    removed: VecDeque<Host>,
}

impl EndpointDirectory {
    /// Applies a list or an update, and returns the hosts that were removed or have another address.
    pub fn apply(&mut self, list: &EndpointList) -> Vec<Host> {
        self.version = Some(list.seq);
        let mut removed_or_moved = self.missing_from(list);
        for entry in &list.entries {
            let known = KnownHost { name: entry.name.clone(), address: entry.dial };
            let before = self.hosts.insert(entry.endpoint.host, known);
            let moved = before.as_ref().is_some_and(|known| known.address != entry.dial);
            if before.is_some_and(|known| known.name != entry.name) {
                log::error!("two host names have the same number: {} hides the other", entry.name);
            }
            if moved || entry.endpoint.lifecycle == Lifecycle::Removed {
                removed_or_moved.push(entry.endpoint.host);
            }
        }
        self.remember_removed(list, &removed_or_moved);
        removed_or_moved
    }

    /// The known hosts that a complete list no longer names.
    fn missing_from(&self, list: &EndpointList) -> Vec<Host> {
        if !list.complete {
            return Vec::new();
        }
        let named: BTreeSet<Host> = list.entries.iter().map(|entry| entry.endpoint.host).collect();
        self.hosts.keys().copied().filter(|host| !named.contains(host)).collect()
    }

    /// Updates which hosts are removed, and forgets the ones removed longest ago.
    fn remember_removed(&mut self, list: &EndpointList, removed_or_moved: &[Host]) {
        let endpoints = list.entries.iter().map(|entry| &entry.endpoint);
        let present = endpoints.filter(|endpoint| endpoint.lifecycle != Lifecycle::Removed);
        let present: BTreeSet<Host> = present.map(|endpoint| endpoint.host).collect();
        let removed_or_moved: BTreeSet<Host> = removed_or_moved.iter().copied().collect();
        self.removed.retain(|host| !present.contains(host) && !removed_or_moved.contains(host));
        self.removed.extend(removed_or_moved.difference(&present));
        while self.removed.len() > MAX_REMOVED {
            if let Some(oldest) = self.removed.pop_front() {
                self.hosts.remove(&oldest);
                self.roles.remove(&oldest);
            }
        }
    }

    /// Returns the version of the list last received from the current discovery service.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Forgets the version, as another discovery service counts its own.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// How many hosts are known, listed or removed.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Whether a host is listed at this address, and not removed.
    pub fn is_listed_at(&self, host: Host, address: SocketAddr) -> bool {
        self.address(host) == Some(address) && !self.removed.contains(&host)
    }

    /// Records the role that a known host reports; true if that is news.
    pub fn record_role(&mut self, host: Host, role: Role) -> bool {
        self.hosts.contains_key(&host) && self.roles.insert(host, role) != Some(role)
    }

    /// The address of a known host.
    pub fn address(&self, host: Host) -> Option<SocketAddr> {
        self.hosts.get(&host).map(|known| known.address)
    }

    /// The name of a host, for the log.
    pub fn name(&self, host: Host) -> &str {
        self.hosts.get(&host).map_or("unlisted", |known| &known.name)
    }
}
