//! Quantities that follow from the router's state: calculations alone.
//!
//! What is done about them, and every value that is tuned, stands in [`policy`](crate::policy).

use super::router::Router;
use crate::RequestClass;
use crate::host_table::HostIndex;
use crate::request_state::RequestState;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use comethitch_fleet::quota;
use comethitch_fleet::quota::Window;

impl Router {
    /// The settings of a request's group.
    pub(super) fn class_of(&self, request: &RequestState) -> &RequestClass {
        self.settings.class(request.request_class)
    }

    /// The group of a host.
    pub(super) fn shard_of(&self, index: HostIndex) -> &Shard {
        &self.shards[&self.hosts[index].shard_id]
    }

    /// The group of a host, to be changed.
    pub(super) fn shard_of_mut(&mut self, index: HostIndex) -> &mut Shard {
        self.shards.get_mut(&self.hosts[index].shard_id).expect("every host was added to its group")
    }

    /// Whether the endpoint list, a request or a health check in flight still refers to a host.
    pub(super) fn is_referred_to(&self, index: HostIndex) -> bool {
        let shard = self.shard_of(index);
        shard.primary == Some(index)
            || shard.listed_primary == Some(index)
            || self.hosts[index].health_check_sent.is_some()
            || self.hosts[index].attempts_in_progress > 0
    }

    /// The part of a host's capacity that it surely has by now, if it started lately: that of its very start while the
    /// hosts' time is not known.
    pub(super) fn warm_part(&self, index: HostIndex, now: Timestamp) -> f64 {
        let started = self.hosts[index].started;
        if started.is_none() {
            return 1.0;
        }
        let host_time = self.earliest_host_time(now).or(started).unwrap_or(now);
        self.settings.slow_start().warm_part(started, host_time)
    }

    /// How many routers use a host, where their subsets have this size; all use a primary.
    pub(super) fn expected_users(&self, index: HostIndex, subset_size: usize) -> f64 {
        let shard = self.shard_of(index);
        let subset_share = subset_size as f64 / shard.members.len().max(1) as f64;
        let router_share = if shard.primary == Some(index) { 1.0 } else { subset_share };
        quota::expected_users(self.settings.slow_start().routers, router_share.min(1.0))
    }

    /// The present window of this router at a host.
    pub(super) fn window(&self, index: HostIndex, now: Timestamp, length: Duration) -> Window {
        self.random.window(self.hosts[index].host, now, length)
    }

    /// The work that this router sends in a slow-start window for each unit of capacity, by what it sent to these peers;
    /// 0 if there are none.
    pub(super) fn load_per_capacity(&self, peers: impl Iterator<Item = HostIndex>, now: Timestamp) -> f64 {
        let mut peers_sent = 0.0;
        let mut peers_capacity = 0.0;
        for peer in peers {
            peers_sent += self.hosts[peer].work_sent.value(now, self.settings.slow_start().window);
            peers_capacity += self.hosts[peer].capacity;
        }
        if peers_capacity > 0.0 { peers_sent / peers_capacity } else { 0.0 }
    }
}
