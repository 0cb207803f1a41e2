//! The endpoint directory: names and addresses of the hosts on the endpoint list. All other state of hosts
//! belongs to the policy.

use crate::wire::discovery::EndpointList;
use comethitch_policy::{Host, Lifecycle, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Maximum number of removed hosts whose names and addresses are kept.
const MAX_REMOVED_HOSTS: usize = 32;

struct KnownHost {
    name: String,
    address: SocketAddr,
}

/// The listed hosts, and those that were removed most recently.
#[derive(Default)]
pub struct EndpointDirectory {
    version: Option<u64>,
    hosts: BTreeMap<Host, KnownHost>,
    /// The role that each host last reported, for the log.
    roles: BTreeMap<Host, Role>,
    /// Removed hosts in the order of removal. They stay known for a while because attempts to them may be in
    /// flight.
    removed: VecDeque<Host>,
}

impl EndpointDirectory {
    /// Applies a list or an update, and returns the hosts that were removed or moved to another address.
    pub fn apply(&mut self, list: &EndpointList) -> Vec<Host> {
        self.version = Some(list.version);
        let mut removed_or_moved = self.missing_from(list);
        for entry in &list.entries {
            let known = KnownHost { name: entry.name.clone(), address: entry.address };
            let previous = self.hosts.insert(entry.endpoint.host, known);
            let moved = previous.as_ref().is_some_and(|known| known.address != entry.address);
            if let Some(hidden) = previous.filter(|known| known.name != entry.name) {
                log::error!(host = entry.name.as_str(), hidden_host = hidden.name.as_str(); "host id collision");
            }
            if moved || entry.endpoint.lifecycle == Lifecycle::Removed {
                removed_or_moved.push(entry.endpoint.host);
            }
        }
        self.update_removed(list, &removed_or_moved);
        removed_or_moved
    }

    /// Returns the known hosts that a complete list does not contain.
    fn missing_from(&self, list: &EndpointList) -> Vec<Host> {
        if !list.complete {
            return Vec::new();
        }
        let listed: BTreeSet<Host> = list.entries.iter().map(|entry| entry.endpoint.host).collect();
        self.hosts.keys().copied().filter(|host| !listed.contains(host)).collect()
    }

    /// Updates the removed hosts, and forgets the ones that were removed first if there are too many.
    fn update_removed(&mut self, list: &EndpointList, removed_or_moved: &[Host]) {
        let endpoints = list.entries.iter().map(|entry| &entry.endpoint);
        let present = endpoints.filter(|endpoint| endpoint.lifecycle != Lifecycle::Removed);
        let present: BTreeSet<Host> = present.map(|endpoint| endpoint.host).collect();
        let removed_or_moved: BTreeSet<Host> = removed_or_moved.iter().copied().collect();
        self.removed.retain(|host| !present.contains(host) && !removed_or_moved.contains(host));
        self.removed.extend(removed_or_moved.difference(&present));
        while self.removed.len() > MAX_REMOVED_HOSTS {
            if let Some(oldest) = self.removed.pop_front() {
                self.hosts.remove(&oldest);
                self.roles.remove(&oldest);
            }
        }
    }

    /// Returns the version of the list last received from the current discovery service, or `None` before the
    /// first.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Forgets the version, because another discovery service has version numbers of its own.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Returns the number of known hosts, listed or removed.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns whether a host is listed at this address and not removed.
    pub fn is_listed_at(&self, host: Host, address: SocketAddr) -> bool {
        self.address(host) == Some(address) && !self.removed.contains(&host)
    }

    /// Records the role that a known host reported. Returns whether it has changed.
    pub fn record_role(&mut self, host: Host, role: Role) -> bool {
        self.hosts.contains_key(&host) && self.roles.insert(host, role) != Some(role)
    }

    /// Returns the address of a known host.
    pub fn address(&self, host: Host) -> Option<SocketAddr> {
        self.hosts.get(&host).map(|known| known.address)
    }

    /// Returns the name of a host for the log, or `unlisted` if the host is not known.
    pub fn name(&self, host: Host) -> &str {
        self.hosts.get(&host).map_or("unlisted", |known| &known.name)
    }
}
