//! The endpoint list: hosts that are added, drained, restarted, named primary or removed.

use super::*;
use crate::{Endpoint, EndpointUpdate, Lifecycle};

/// How long after its removal a host is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

impl Router {
    /// Applies a change of the endpoint list.
    pub fn update_endpoints(&mut self, update: &EndpointUpdate, out: &mut dyn Actions) {
        self.hosts.iter_mut().for_each(|host| host.removed |= update.complete);
        for endpoint in &update.endpoints {
            self.update_endpoint(endpoint, out);
        }
        if !self.deployment.removal_is_advisory {
            let removed = self.hosts.iter_mut().filter(|host| host.removed);
            removed.for_each(|host| host.draining_since = host.draining_since.or(Some(out.now())));
        }
        self.forget_removed(out.now());
        self.limit_unknown_hosts(out.now());
        self.run_due_health_checks(out);
        self.drain_queues(out);
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, out: &mut dyn Actions) {
        let now = out.now();
        let known = self.hosts.index_of(endpoint.host);
        let index = known.unwrap_or_else(|| self.add_host(endpoint, now));
        let host = &mut self.hosts[index];
        // A process that started anew holds no role and none of what was sent to it.
        let newer = endpoint.started > host.started;
        let last_answer = self.host_clock.probably(host.last_answer);
        let restarted = known.is_some() && newer && last_answer < endpoint.started.unwrap_or_default();
        host.apply_endpoint(endpoint, now);
        let Some(group) = self.host_groups.get_mut(&endpoint.shard) else { return };
        let newly_named = endpoint.is_primary && group.listed_primary != Some(index);
        if newly_named {
            host.next_health_check = now;
        }
        if endpoint.is_primary {
            group.listed_primary = Some(index);
            group.primary = group.primary.or(group.listed_primary.filter(|_| group.serial == 0));
        }
        let primary_lost = group.primary.is_some_and(|primary| {
            if primary == index {
                return restarted || endpoint.lifecycle == Lifecycle::Removed;
            }
            // The list is seconds late: a primary that has just answered as one outweighs it.
            newly_named && now - self.hosts[primary].last_seen_primary > HEALTH_CHECK_INTERVAL
        });
        if primary_lost {
            self.fail_over(endpoint.shard, out);
        }
    }

    fn add_host(&mut self, endpoint: &Endpoint, now: Timestamp) -> HostIndex {
        let latency = Histogram::new(Duration::from_micros(250), 64);
        let index = self.hosts.insert(HostState::new(endpoint, latency, now));
        let group = self.host_groups.entry(endpoint.shard).or_default();
        group.add_member(index, self.deployment.groups.len());
        group.health_check_budget += 1.0;
        index
    }

    fn forget_removed(&mut self, now: Timestamp) {
        for index in self.hosts.indices().filter(|index| self.hosts.is_used(*index)).collect::<Vec<_>>() {
            let host = &self.hosts[index];
            let expired = host.draining_since.is_some_and(|since| now - since > FORGET_AFTER);
            if host.removed && expired && !self.is_referred_to(index) {
                self.group_of_mut(index).members.retain(|member| *member != index);
                self.hosts.release(index);
            }
        }
    }

    /// Until a host has answered, all routers together put no more there than the work of the longest
    /// objective: one that comes into many subsets is else filled for seconds before any answer is late.
    fn limit_unknown_hosts(&mut self, now: Timestamp) {
        for index in self.hosts.indices() {
            if self.hosts[index].last_answer == Timestamp::ZERO {
                let users = self.expected_users(index, self.subset_size(self.group_of(index), now));
                self.hosts[index].concurrency.limit = self.longest_objective.scaled(1.0 / users);
            }
        }
    }
}
