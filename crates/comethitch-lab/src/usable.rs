//! Records which replicas were usable for reads in each second. The evenness of load is measured over these
//! replicas.

use crate::hosts::SimulatedHost;
use std::collections::BTreeMap;

/// Indices of the replicas that were usable at the start of each second.
#[derive(Debug, Default)]
pub struct UsableReplicas {
    by_second: BTreeMap<u64, Vec<usize>>,
}

impl UsableReplicas {
    /// Records the replicas that are usable at the start of a second, and returns their indices.
    pub fn record(&mut self, second: u64, hosts: &[SimulatedHost]) -> &[usize] {
        let serves_reads = |host: &SimulatedHost| {
            host.is_usable() && !host.primary && host.replication_stalled_since.is_none()
        };
        let usable = hosts.iter().enumerate().filter(|(_, host)| serves_reads(host)).map(|(index, _)| index);
        self.by_second.entry(second).insert_entry(usable.collect()).into_mut()
    }

    /// Returns whether a host was usable at the start and at the end of a second. Returns `false` for
    /// `end_second` and later ones, because the load of an incomplete second cannot be compared.
    pub fn is_usable_throughout(&self, second: u64, host: usize, end_second: u64) -> bool {
        second < end_second && self.contains(second, host) && self.contains(second + 1, host)
    }

    fn contains(&self, second: u64, host: usize) -> bool {
        self.by_second.get(&second).is_some_and(|hosts| hosts.contains(&host))
    }
}
