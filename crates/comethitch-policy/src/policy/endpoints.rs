//! The endpoint list: hosts that are added, drained, restarted, named primary or removed.

use super::intervals::HEALTH_CHECK_INTERVAL;
use super::router::{RemovedHost, Router};
use crate::histogram::Histogram;
use crate::host_state::HostState;
use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Endpoint, EndpointUpdate, Host, Lifecycle, ShardId};
use std::collections::BTreeSet;

/// How long after its removal a host is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// When one is looked at again that something still referred to then.
const FORGET_RETRY: Duration = Duration::from_secs(1);

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
            changed_shards.insert(self.hosts[index].shard_id);
            self.remove_host(index, now);
        }
        self.forget_removed(now);
        for shard_id in &changed_shards {
            self.members_changed(*shard_id, now);
        }
        self.run_due_health_checks(out);
        for shard_id in changed_shards {
            self.drain_queues(shard_id, out);
        }
    }

    /// The hosts that an update lists as removed or, if it is complete, does not name: then all hosts are walked.
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
        let host = &mut self.hosts[index];
        host.removed = true;
        if removal_is_binding {
            host.draining_since = host.draining_since.or(Some(now));
        }
        if !std::mem::replace(&mut host.awaits_forgetting, true) {
            let since = host.draining_since.unwrap_or(now);
            self.removed_hosts.insert(RemovedHost { review_at: since + FORGET_AFTER, index });
        }
    }

    /// What follows from a change of a group's members for the group alone.
    fn members_changed(&mut self, shard_id: ShardId, now: Timestamp) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        shard.ranking.get_mut().invalidate();
        shard.next_check_review = now;
        self.limit_unknown_hosts(shard_id, now);
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, out: &mut dyn Actions) {
        let now = out.now();
        let known = self.hosts.index_of(endpoint.host);
        let index = known.unwrap_or_else(|| self.add_host(endpoint, now));
        let host = &mut self.hosts[index];
        // A process that started anew holds no role and none of what was sent to it.
        let newer = endpoint.started > host.started;
        let last_answer = self.host_clock.estimated(host.last_answer);
        let restarted = known.is_some() && newer && last_answer < endpoint.started.unwrap_or_default();
        host.apply_endpoint(endpoint, now);
        let Some(shard) = self.shards.get_mut(&endpoint.shard_id) else { return };
        let newly_named = endpoint.is_primary && shard.listed_primary != Some(index);
        if newly_named {
            host.next_health_check = now;
            shard.next_check_review = now;
        }
        if endpoint.is_primary {
            shard.listed_primary = Some(index);
            shard.primary = shard.primary.or(shard.listed_primary.filter(|_| shard.serial == 0));
        }
        let primary_lost = shard.primary.is_some_and(|primary| {
            if primary == index {
                return restarted || endpoint.lifecycle == Lifecycle::Removed;
            }
            // The list is seconds late: a primary that has just answered as one outweighs it.
            newly_named && now - self.hosts[primary].last_seen_primary > HEALTH_CHECK_INTERVAL
        });
        if primary_lost {
            self.fail_over(endpoint.shard_id, out);
        }
    }

    fn add_host(&mut self, endpoint: &Endpoint, now: Timestamp) -> HostIndex {
        let latency = Histogram::new(Duration::from_micros(250), 64);
        let index = self.hosts.insert(HostState::new(endpoint, latency, now));
        let shard = self.shards.entry(endpoint.shard_id).or_default();
        shard.add_member(index, self.settings.deployment().classes.len());
        shard.health_check_budget += 1.0;
        index
    }

    /// Forgets the hosts whose time has come. Those that were listed again are just taken off the list.
    pub(super) fn forget_removed(&mut self, now: Timestamp) {
        while self.removed_hosts.first().is_some_and(|removed| removed.review_at < now) {
            let Some(RemovedHost { index, .. }) = self.removed_hosts.pop_first() else { return };
            let host = &mut self.hosts[index];
            if !host.removed {
                host.awaits_forgetting = false;
                continue;
            }
            let expired = host.draining_since.is_some_and(|since| now - since > FORGET_AFTER);
            if expired && !self.is_referred_to(index) {
                self.forget_host(index);
            } else {
                self.removed_hosts.insert(RemovedHost { review_at: now + FORGET_RETRY, index });
            }
        }
    }

    fn forget_host(&mut self, index: HostIndex) {
        let has_answered = self.hosts[index].last_answer > Timestamp::ZERO;
        let shard = self.shard_of_mut(index);
        shard.members.retain(|member| *member != index);
        shard.answered_members -= usize::from(has_answered);
        shard.ranking.get_mut().invalidate();
        self.hosts.release(index);
    }

    /// Until a host has answered, all routers together put no more there than the work of the longest
    /// objective: one that comes into many subsets is else filled for seconds before any answer is late.
    fn limit_unknown_hosts(&mut self, shard_id: ShardId, now: Timestamp) {
        let shard = &self.shards[&shard_id];
        let subset_size = self.subset_size(shard, now);
        for index in shard.members.clone() {
            if self.hosts[index].last_answer == Timestamp::ZERO {
                let users = self.expected_users(index, subset_size);
                self.hosts[index].concurrency.limit = self.settings.longest_objective().scaled(1.0 / users);
            }
        }
    }
}
