//! The list of hosts as last told: here only where each is dialled; all else is the module's.

use crate::wire::discovery::EndpointList;
use comethitch_policy::{Host, Lifecycle, Role};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

#[derive(Default)]
pub struct EndpointDirectory {
    /// The version last told by the discovery that is followed; nothing is known of another's.
    pub since: Option<u64>,
    hosts: BTreeMap<Host, (String, SocketAddr)>,
    /// What hosts last said they were, for the log.
    roles: BTreeMap<Host, Role>,
    /// Hosts that have gone, in that order: kept a while, as what is out to them may still end.
    gone: VecDeque<Host>,
}

/// How many hosts are kept that have gone.
const GONE: usize = 32;

impl EndpointDirectory {
    /// Takes in what was told, and returns the hosts that have gone or moved.
    pub fn take(&mut self, listing: &EndpointList) -> Vec<Host> {
        self.since = Some(listing.seq);
        let named = |host: &Host| listing.entries.iter().any(|entry| entry.endpoint.host == *host);
        let mut left: Vec<Host> = match listing.complete {
            true => self.hosts.keys().copied().filter(|host| !named(host)).collect(),
            false => Vec::new(),
        };
        for entry in &listing.entries {
            let before = self.hosts.insert(entry.endpoint.host, (entry.name.clone(), entry.dial));
            let moved = before.as_ref().is_some_and(|(_, dial)| *dial != entry.dial);
            if before.is_some_and(|(name, _)| name != entry.name) {
                log::error!("two names of hosts have one number: {} hides the other", entry.name);
            }
            if moved || entry.endpoint.lifecycle == Lifecycle::Removed {
                left.push(entry.endpoint.host);
            }
        }
        let still_gone = |host: &Host| {
            !listing
                .entries
                .iter()
                .any(|e| e.endpoint.host == *host && e.endpoint.lifecycle != Lifecycle::Removed)
        };
        self.gone.retain(|host| still_gone(host) && !left.contains(host));
        self.gone.extend(left.iter().copied().filter(still_gone));
        while self.gone.len() > GONE {
            let oldest = self.gone.pop_front();
            oldest.map(|host| (self.hosts.remove(&host), self.roles.remove(&host)));
        }
        left
    }

    /// How many hosts are known of, listed or gone.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether a host is listed at this address, and has not gone.
    pub fn is_at(&self, host: Host, dial: SocketAddr) -> bool {
        self.dial(host) == Some(dial) && !self.gone.contains(&host)
    }

    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Whether a host that says this of itself said otherwise before, or nothing.
    pub fn tells(&mut self, host: Host, role: Role) -> bool {
        self.hosts.contains_key(&host) && self.roles.insert(host, role) != Some(role)
    }

    pub fn dial(&self, host: Host) -> Option<SocketAddr> {
        self.hosts.get(&host).map(|(_, dial)| *dial)
    }

    pub fn name(&self, host: Host) -> &str {
        self.hosts.get(&host).map_or("unlisted", |(name, _)| name)
    }
}
