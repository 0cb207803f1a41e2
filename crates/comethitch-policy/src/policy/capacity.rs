//! Load control: how much work each host may get from this router, and what ended attempts tell of it.
//!
//! Work is the time that a host needs for a request. Limits shrink with late answers; a host in slow start
//! gets a budget for each window besides.

use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use comethitch_fleet::quota;
use comethitch_fleet::subset::Member;

impl Router {
    /// Whether a host can take a request of this request class in time, and is not overloaded by it.
    pub(super) fn has_capacity(&self, member: &Member, request_class: usize, now: Timestamp) -> bool {
        self.fits_limits(member, request_class, now) && self.fits_slow_start(member, request_class, now)
    }

    fn fits_limits(&self, member: &Member, request_class: usize, now: Timestamp) -> bool {
        let host = &self.hosts[member.index];
        let shard = self.shard_of(member.index);
        // Limits are set for the shortest objective: a long request, with one to match, finds more capacity.
        let objective = self.settings.class(request_class).latency_objective;
        let stretch = if self.is_long(request_class) {
            objective.ratio(self.settings.shortest_objective())
        } else {
            1.0
        };
        let work = self.work(request_class);
        let draw = self.admission_draw(member.index, now);
        // One that nobody here has used comes in as the others fail: hundreds of routers turn to it at once.
        let is_new = self.settings.refreshes_on_demand()
            && host.last_answer == Timestamp::ZERO
            && shard.primary != Some(member.index)
            && shard.answered_members > 0;
        let users = quota::expected_users(self.settings.slow_start().routers, member.router_share);
        let own_part = self.settings.longest_objective().scaled(1.0 / users).ratio(work);
        host.connection_slots.has_free(now)
            && !(is_new && draw >= own_part)
            && host.concurrency.admits(work, stretch, draw)
            && shard.concurrency_limits[request_class].admits(work, 1.0, 0.0)
    }

    /// A host in slow start gets no more than this router's part of what its ramp surely allows.
    fn fits_slow_start(&self, member: &Member, request_class: usize, now: Timestamp) -> bool {
        let warm_part = self.warm_part(member.index, now);
        if warm_part >= 1.0 {
            return true;
        }
        let host = &self.hosts[member.index];
        let slow_start = self.settings.slow_start();
        let peer_load = self.warm_peer_load(now) * host.capacity;
        let answered = host.work_answered.value(now, slow_start.window);
        let budget = slow_start.budget(warm_part, member.router_share, peer_load, answered);
        let window = self.window(member.index, now, slow_start.window);
        let cost = self.cost(self.work(request_class), request_class);
        host.slow_start_usage.admits(cost, budget, &window)
    }

    /// What this router sends in a slow-start window to warm hosts that it can use, for each unit of their capacity. Walks
    /// all hosts, as the mean is over all; hence a few times a window only.
    fn warm_peer_load(&self, now: Timestamp) -> f64 {
        let is_warm = |peer: &HostIndex| self.is_usable(*peer, now) && self.warm_part(*peer, now) >= 1.0;
        self.statistics.peer_load.get_or_compute(now, self.settings.slow_start().window, || {
            self.load_per_capacity(self.hosts.indices().filter(is_warm), now)
        })
    }

    /// The draw by which a host that may have less than one request gets one now and then.
    pub(super) fn admission_draw(&self, index: HostIndex, now: Timestamp) -> f64 {
        self.window(index, now, self.settings.shortest_objective() / 2).draw()
    }

    /// The work of a request class's usual request, as seen from here.
    pub(super) fn work(&self, request_class: usize) -> Duration {
        self.statistics.service_times.work(request_class)
    }

    /// What a request is charged to the budget of a host in slow start: the long ones are what overloads it.
    pub(super) fn cost(&self, work: Duration, request_class: usize) -> f64 {
        let least = self.settings.class(request_class).latency_objective / 8;
        (work * 2).max(least).as_micros() as f64
    }

    /// Whether its requests take longer than short ones may, as its objective allows and not for a queue.
    pub(super) fn is_long(&self, request_class: usize) -> bool {
        let allowed = self.settings.class(request_class).latency_objective / 4;
        self.statistics.service_times.median(request_class).min(allowed) > self.settings.shortest_objective()
    }
}
