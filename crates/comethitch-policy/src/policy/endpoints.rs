//! The endpoint list: hosts that are added, drained, restarted, named primary or removed.

use super::intervals::HEALTH_CHECK_INTERVAL;
use super::router::Router;
use crate::histogram::Histogram;
use crate::host_state::HostState;
use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Endpoint, EndpointUpdate, Host, Lifecycle, ShardId};
use std::collections::BTreeSet;

/// How long after its removal a host is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Interval of further reviews while something still refers to a removed host.
const FORGET_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// End of the lowest bin of relative latencies, of which a millisecond is one.
const MIN_RELATIVE_LATENCY: Duration = Duration::from_micros(250);
/// Number of answers at which a histogram of relative latencies halves its counts.
const RELATIVE_LATENCY_CAPACITY: u32 = 64;

impl Router {
    /// Applies a change of the endpoint list. Only a complete list costs work for hosts that it does not name.
    pub fn update_endpoints(&mut self, update: &EndpointUpdate, out: &mut dyn Actions) {
        let now = out.now();
        for endpoint in &update.endpoints {
            self.update_endpoint(endpoint, out);
        }
        let mut changed_shards: BTreeSet<ShardId> =
            update.endpoints.iter().map(|entry| entry.shard_id).collect();
        for index in self.removed_by(update) {
            changed_shards.insert(self.hosts[index].listing.shard_id());
            self.remove_host(index, now);
        }
        self.forget_removed_hosts(now);
        for shard_id in &changed_shards {
            self.members_changed(*shard_id, now);
        }
        self.run_due_health_checks(out);
        for shard_id in changed_shards {
            self.drain_queues(shard_id, out);
        }
    }

    /// Returns the hosts that an update lists as removed and, if it is complete, those that it does not name: in that
    /// case all hosts are walked.
    fn removed_by(&self, update: &EndpointUpdate) -> Vec<HostIndex> {
        let is_removed = |entry: &&Endpoint| entry.lifecycle == Lifecycle::Removed;
        let listed = update.endpoints.iter().filter(is_removed);
        let mut removed: Vec<HostIndex> =
            listed.filter_map(|entry| self.hosts.index_of(entry.host)).collect();
        if update.complete {
            let named: BTreeSet<Host> = update.endpoints.iter().map(|entry| entry.host).collect();
            let used = self.hosts.indices().filter(|index| self.hosts.is_used(*index));
            removed.extend(used.filter(|index| !named.contains(&self.hosts[*index].host)));
        }
        removed
    }

    fn remove_host(&mut self, index: HostIndex, now: Timestamp) {
        let removal_is_binding = !self.settings.deployment().removal_is_advisory;
        let listing = &mut self.hosts[index].listing;
        listing.remove(removal_is_binding, now);
        let since = listing.draining_since().unwrap_or(now);
        self.hosts.schedule_removal_review(index, since + FORGET_AFTER);
    }

    /// Updates what depends on the members of a shard.
    fn members_changed(&mut self, shard_id: ShardId, now: Timestamp) {
        let Some(shard) = self.shards.get_mut(shard_id) else { return };
        shard.ranking.invalidate();
        shard.schedule_review(now);
        self.limit_unused_hosts(shard_id, now);
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, out: &mut dyn Actions) {
        let now = out.now();
        let known = self.hosts.index_of(endpoint.host);
        let index = known.unwrap_or_else(|| self.add_host(endpoint, now));
        let restarted = known.is_some() && self.has_restarted(index, endpoint);
        self.hosts[index].listing.apply(endpoint, now);
        let Some(shard) = self.shards.get_mut(endpoint.shard_id) else { return };
        let newly_named = endpoint.is_primary && shard.listed_primary != Some(index);
        if newly_named {
            self.hosts[index].checks.schedule(now);
            shard.schedule_review(now);
        }
        if endpoint.is_primary {
            shard.listed_primary = Some(index);
            shard.primary = shard.primary.or(shard.listed_primary.filter(|_| shard.serial() == 0));
        }
        let primary_lost = shard.primary.is_some_and(|primary| {
            if primary == index {
                return restarted || endpoint.lifecycle == Lifecycle::Removed;
            }
            // The list lags by seconds: a primary that has just answered as one outweighs it.
            let last_seen_primary = self.hosts[primary].replication.last_seen_primary();
            newly_named && now - last_seen_primary > HEALTH_CHECK_INTERVAL
        });
        if primary_lost {
            self.fail_over(endpoint.shard_id, out);
        }
    }

    /// Returns whether a host's process has restarted since its last answer: it has lost its role and what was sent to
    /// it.
    fn has_restarted(&self, index: HostIndex, endpoint: &Endpoint) -> bool {
        let host = &self.hosts[index];
        let last_answer = self.host_clock.estimated(host.health.last_answer());
        endpoint.started > host.listing.started() && last_answer < endpoint.started.unwrap_or_default()
    }

    fn add_host(&mut self, endpoint: &Endpoint, now: Timestamp) -> HostIndex {
        let relative_latency = Histogram::new(MIN_RELATIVE_LATENCY, RELATIVE_LATENCY_CAPACITY);
        let index = self.hosts.insert(HostState::new(endpoint, relative_latency, now));
        let shard = self.shards.get_or_add(endpoint.shard_id);
        shard.add_member(index, self.settings.deployment().classes.len());
        shard.health_check_budget.add_one();
        index
    }

    /// Forgets the removed hosts whose time has come, except those that were listed again.
    pub(super) fn forget_removed_hosts(&mut self, now: Timestamp) {
        while let Some(index) = self.hosts.next_removal_review(now) {
            let listing = &self.hosts[index].listing;
            if !listing.is_removed() {
                continue;
            }
            let expired = listing.draining_since().is_some_and(|since| now - since > FORGET_AFTER);
            if expired && !self.is_referred_to(index) {
                self.forget_host(index);
            } else {
                self.hosts.schedule_removal_review(index, now + FORGET_RETRY_INTERVAL);
            }
        }
    }

    /// Returns whether the shard, a request in progress or a health check in flight still refers to a host.
    fn is_referred_to(&self, index: HostIndex) -> bool {
        let shard = self.shard_of(index);
        shard.is_primary(index) || shard.listed_primary == Some(index) || self.hosts[index].is_referred_to()
    }

    fn forget_host(&mut self, index: HostIndex) {
        let has_answered = self.hosts[index].health.has_answered();
        self.shard_of_mut(index).remove_member(index, has_answered);
        self.hosts.release(index);
    }

    /// Limits the hosts that have not answered yet to the work of the longest latency objective from all routers
    /// together. A host that enters many subsets at once would otherwise be filled for seconds before any answer is late.
    fn limit_unused_hosts(&mut self, shard_id: ShardId, now: Timestamp) {
        let shard = &self.shards[shard_id];
        let subset_size = self.subset_size(shard, now);
        for index in shard.members.clone() {
            if !self.hosts[index].health.has_answered() {
                let users = self.expected_users(index, subset_size);
                let limit = self.settings.longest_objective().scaled(1.0 / users);
                self.hosts[index].load.set_limit(limit);
            }
        }
    }
}
