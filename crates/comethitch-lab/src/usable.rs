//! Which replicas could take reads in which second: only these count when load is compared over hosts.

use crate::hosts::SimulatedHost;
use std::collections::BTreeMap;

/// By second, the replicas that were usable as it began.
#[derive(Debug, Default)]
pub struct UsableReplicas {
    by_second: BTreeMap<u64, Vec<usize>>,
}

impl UsableReplicas {
    /// Records the replicas that are usable as a second begins, and returns their indices.
    pub fn record(&mut self, second: u64, hosts: &[SimulatedHost]) -> &[usize] {
        let takes_reads =
            |host: &SimulatedHost| host.usable() && !host.primary && host.replication_stalled_since.is_none();
        let usable = hosts.iter().enumerate().filter(|(_, host)| takes_reads(host)).map(|(index, _)| index);
        self.by_second.entry(second).insert_entry(usable.collect()).into_mut()
    }

    /// Whether a host was usable as a second began and as it ended. Seconds from `limit` on never are: the last one is
    /// cut short, and no measure of evenness.
    pub fn throughout(&self, second: u64, host: usize, limit: u64) -> bool {
        second < limit && self.contains(second, host) && self.contains(second + 1, host)
    }

    fn contains(&self, second: u64, host: usize) -> bool {
        self.by_second.get(&second).is_some_and(|hosts| hosts.contains(&host))
    }
}
