//! Applies endpoint list updates: hosts are added, drained, restarted, listed as the primary, or removed.

use super::intervals::HEALTH_CHECK_INTERVAL;
use super::router::Router;
use crate::histogram::Histogram;
use crate::host_state::HostState;
use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Endpoint, EndpointUpdate, Host, Lifecycle, ShardId};
use std::collections::BTreeSet;

/// Time after its removal from the endpoint list for which a host's entry is kept.
const REMOVED_HOST_RETENTION: Duration = Duration::from_secs(10);
/// Delay before a removed host is reviewed again if its entry is still referred to.
const REMOVED_HOST_REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Upper end of the lowest histogram bin of relative latencies. The histogram stores a relative latency of 1
/// as 1 ms.
const LOWEST_RELATIVE_LATENCY_BIN: Duration = Duration::from_micros(250);
/// Number of answers at which a histogram of relative latencies halves its counts.
const RELATIVE_LATENCY_CAPACITY: u32 = 64;

impl Router {
    /// Applies an update of the endpoint list. Only a complete list is compared with all known hosts; the
    /// cost of a partial one depends on the hosts that it names.
    pub fn update_endpoints(&mut self, update: &EndpointUpdate, actions: &mut dyn Actions) {
        let now = actions.now();
        for endpoint in &update.endpoints {
            self.update_endpoint(endpoint, actions);
        }
        let mut changed_shards: BTreeSet<ShardId> =
            update.endpoints.iter().map(|entry| entry.shard_id).collect();
        for index in self.removed_hosts(update) {
            changed_shards.insert(self.hosts[index].listing.shard_id());
            self.remove_host(index, now);
        }
        self.forget_removed_hosts(now);
        for shard_id in &changed_shards {
            self.update_changed_shard(*shard_id, now);
        }
        self.run_due_health_checks(actions);
        for shard_id in changed_shards {
            self.drain_queues(shard_id, actions);
        }
    }

    /// Returns the hosts that an update lists as removed and, if it is complete, the known hosts that it does
    /// not name.
    fn removed_hosts(&self, update: &EndpointUpdate) -> Vec<HostIndex> {
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
        self.hosts.schedule_removal_review(index, since + REMOVED_HOST_RETENTION);
    }

    /// Updates the state that depends on the members of a shard after their endpoint list entries have
    /// changed.
    fn update_changed_shard(&mut self, shard_id: ShardId, now: Timestamp) {
        let Some(shard) = self.shards.get_mut(shard_id) else { return };
        shard.ranking.invalidate();
        shard.schedule_review(now);
        self.limit_unused_hosts(shard_id, now);
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, actions: &mut dyn Actions) {
        let now = actions.now();
        let known_index = self.hosts.index_of(endpoint.host);
        let index = known_index.unwrap_or_else(|| self.add_host(endpoint, now));
        let has_restarted = known_index.is_some() && self.has_restarted(index, endpoint);
        self.hosts[index].listing.apply(endpoint, now);
        let Some(shard) = self.shards.get_mut(endpoint.shard_id) else { return };
        let newly_listed_primary = endpoint.is_primary && shard.listed_primary != Some(index);
        if newly_listed_primary {
            self.hosts[index].checks.schedule_next(now);
            shard.schedule_review(now);
        }
        if endpoint.is_primary {
            shard.listed_primary = Some(index);
            shard.primary = shard.primary.or(shard.listed_primary.filter(|_| shard.failover_count() == 0));
        }
        let primary_lost = shard.primary.is_some_and(|primary| {
            if primary == index {
                return has_restarted || endpoint.lifecycle == Lifecycle::Removed;
            }
            // The list lags by seconds, so it is not followed if the believed primary has just confirmed its
            // role.
            let last_seen_primary = self.hosts[primary].replication.last_seen_primary();
            newly_listed_primary && now - last_seen_primary > HEALTH_CHECK_INTERVAL
        });
        if primary_lost {
            self.fail_over(endpoint.shard_id, actions);
        }
    }

    /// Returns whether a host's process has restarted since its last answer. A restarted process has lost its
    /// role and the requests that were sent to it.
    fn has_restarted(&self, index: HostIndex, endpoint: &Endpoint) -> bool {
        let host = &self.hosts[index];
        let last_answer = self.host_clock.estimated(host.health.last_answer());
        endpoint.started > host.listing.started() && last_answer < endpoint.started.unwrap_or_default()
    }

    fn add_host(&mut self, endpoint: &Endpoint, now: Timestamp) -> HostIndex {
        let relative_latency = Histogram::new(LOWEST_RELATIVE_LATENCY_BIN, RELATIVE_LATENCY_CAPACITY);
        let index = self.hosts.insert(HostState::new(endpoint, relative_latency, now));
        let shard = self.shards.get_or_add(endpoint.shard_id);
        shard.add_member(index, self.settings.deployment().classes.len());
        shard.health_check_budget.add_one();
        index
    }

    /// Forgets the hosts that were removed more than [`REMOVED_HOST_RETENTION`] ago, unless they were listed
    /// again or their entries are still referred to.
    pub(super) fn forget_removed_hosts(&mut self, now: Timestamp) {
        while let Some(index) = self.hosts.next_removal_review(now) {
            let listing = &self.hosts[index].listing;
            if !listing.is_removed() {
                continue;
            }
            let expired = listing.draining_since().is_some_and(|since| now - since > REMOVED_HOST_RETENTION);
            if expired && !self.is_referenced(index) {
                self.forget_host(index);
            } else {
                self.hosts.schedule_removal_review(index, now + REMOVED_HOST_REVIEW_INTERVAL);
            }
        }
    }

    /// Returns whether the shard, a request in progress or a health check in flight still refers to a host.
    fn is_referenced(&self, index: HostIndex) -> bool {
        let shard = self.shard_of(index);
        shard.is_primary(index) || shard.listed_primary == Some(index) || self.hosts[index].is_referenced()
    }

    fn forget_host(&mut self, index: HostIndex) {
        let has_answered = self.hosts[index].health.has_answered();
        self.shard_of_mut(index).remove_member(index, has_answered);
        self.hosts.release(index);
    }

    /// Limits the work in flight at each host that has not answered yet to this router's share of the longest
    /// latency objective, so that all routers together have at most one such objective of work in flight
    /// there.
    ///
    /// Without this limit, a host that enters the subsets of many routers at once would be sent seconds of
    /// work before the first late answer shows the overload.
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
