//! Lookups, and quantities that are derived from several parts of the router's state.

use super::router::Router;
use crate::RequestClass;
use crate::host_table::HostIndex;
use crate::request_state::RequestState;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use comethitch_fleet::quota::{self, Window};

impl Router {
    /// Returns the request class of a request.
    pub(super) fn class_of(&self, request: &RequestState) -> &RequestClass {
        self.settings.class(request.request_class)
    }

    /// Returns the shard of a host.
    pub(super) fn shard_of(&self, index: HostIndex) -> &Shard {
        &self.shards[self.hosts[index].listing.shard_id()]
    }

    /// Returns the shard of a host, mutably.
    pub(super) fn shard_of_mut(&mut self, index: HostIndex) -> &mut Shard {
        &mut self.shards[self.hosts[index].listing.shard_id()]
    }

    /// Returns whether a host is believed to be its shard's primary.
    pub(super) fn is_primary(&self, index: HostIndex) -> bool {
        self.shard_of(index).is_primary(index)
    }

    /// Returns the minimum fraction of its capacity that a host has at present: 1 unless it started recently.
    ///
    /// If the time on the hosts' clocks is unknown, a host with a known start time counts as just started.
    pub(super) fn warmup_fraction(&self, index: HostIndex, now: Timestamp) -> f64 {
        let started = self.hosts[index].listing.started();
        if started.is_none() {
            return 1.0;
        }
        let host_time = self.earliest_host_time(now).or(started).unwrap_or(now);
        self.settings.slow_start().warm_fraction(started, host_time)
    }

    /// Estimates how many routers use a host if their subsets have this size. All routers use a primary.
    pub(super) fn expected_users(&self, index: HostIndex, subset_size: usize) -> f64 {
        let shard = self.shard_of(index);
        let subset_share = subset_size as f64 / shard.members.len().max(1) as f64;
        let router_share = if shard.is_primary(index) { 1.0 } else { subset_share };
        quota::expected_users(self.settings.slow_start().routers, router_share.min(1.0))
    }

    /// Returns this router's current window, of this length, at a host.
    pub(super) fn window(&self, index: HostIndex, now: Timestamp, length: Duration) -> Window {
        self.random.window(self.hosts[index].host, now, length)
    }
}
