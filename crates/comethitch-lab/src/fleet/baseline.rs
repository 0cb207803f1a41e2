//! The baseline that the policy is compared with: host selection by the actual capacity of each host.

use super::Fleet;
use crate::clients::ClientRequest;
use crate::hosts::SimulatedHost;
use crate::ledger::Answer;
use comethitch_policy::RequestId;
use comethitch_policy::time::Duration;
use rand::RngExt;

/// Minimum total weight, so that the range of the draw is never empty.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

impl Fleet<'_> {
    /// Sends a request to a usable host of its shard and role, drawn with the current capacities as weights.
    /// Throttles it if there is none.
    pub(super) fn submit_to_baseline(&mut self, router: usize, id: RequestId, request: ClientRequest) {
        let timeout = Duration::from_millis(self.trial.timeout_ms);
        match self.draw_host_by_capacity(request) {
            Some(host) => self.send_attempt(router, id, self.hosts[host].host, timeout),
            None => self.reject(router, id, Answer::Throttled),
        }
    }

    fn draw_host_by_capacity(&mut self, request: ClientRequest) -> Option<usize> {
        let serves = |host: &SimulatedHost| {
            host.shard == request.shard && host.is_usable() && host.primary == request.write
        };
        let capacity = |host: &SimulatedHost| {
            f64::from(host.cores) * host.capacity_fraction(&self.slow_start, self.now) / host.slowdown
        };
        let candidates: Vec<(usize, f64)> = (0..self.hosts.len())
            .map(|index| (index, &self.hosts[index]))
            .filter(|(_, host)| serves(host))
            .map(|(index, host)| (index, capacity(host)))
            .collect();
        let total = candidates.iter().map(|(_, capacity)| capacity).sum::<f64>();
        let mut remaining = self.rng.random_range(0.0..total.max(MIN_TOTAL_WEIGHT));
        let drawn = candidates.iter().find(|(_, capacity)| {
            remaining -= capacity;
            remaining < 0.0
        });
        // If no candidate is drawn because of rounding errors, the last one is used.
        drawn.or(candidates.last()).map(|(index, _)| *index)
    }
}
