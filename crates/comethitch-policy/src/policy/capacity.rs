//! Capacity: how much work this router may send to each host.
//!
//! The work of a request is the time that a host needs for it without queueing. Concurrency limits bound the
//! work in flight; a host in slow start also has a budget per window.

use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use comethitch_fleet::quota;
use comethitch_fleet::subset::Member;

/// Cost of a request in the slow-start budget, as a multiple of its work: a host is overloaded mostly by long
/// requests.
const COST_PER_WORK: u64 = 2;
/// Divisor of the latency objective: the cost of a request in the slow-start budget is at least an eighth of
/// it.
const MIN_COST_DIVISOR: u64 = 8;
/// Divisor of the shortest latency objective: the admission sample changes once per half of it.
const ADMISSION_WINDOW_DIVISOR: u64 = 2;
/// Divisor of the latency objective: a class's median answer time counts only up to a quarter of it, as
/// longer times are caused by queueing.
const LONG_CLASS_DIVISOR: u64 = 4;

impl Router {
    /// Returns whether a request of this class may be sent to a host without exceeding its limits.
    pub(super) fn has_capacity(&self, member: &Member, request_class: usize, now: Timestamp) -> bool {
        self.fits_concurrency_limits(member, request_class, now)
            && self.fits_slow_start(member, request_class, now)
    }

    fn fits_concurrency_limits(&self, member: &Member, request_class: usize, now: Timestamp) -> bool {
        let load = &self.hosts[member.index].load;
        let shard_limit = &self.shard_of(member.index).concurrency_limits[request_class];
        let work = self.work(request_class);
        let sample = self.admission_sample(member.index, now);
        load.has_free_connection(now)
            && self.admits_first_use(member, work, sample)
            && load.admits(work, self.limit_multiple(request_class), sample)
            && shard_limit.admits(work, 1.0, 0.0)
    }

    /// Returns whether a host may be used that has not answered this router yet, although other members of
    /// the shard have.
    ///
    /// The host is admitted with the probability quota / work: during an outage, all routers switch to it at
    /// the same time. The quota is this router's share of one longest latency objective of work. Always
    /// returns true for other hosts, for the primary, and if positions are not refreshed on demand.
    fn admits_first_use(&self, member: &Member, work: Duration, sample: f64) -> bool {
        let shard = self.shard_of(member.index);
        let is_first_use = self.settings.refreshes_on_demand()
            && !self.hosts[member.index].health.has_answered()
            && !shard.is_primary(member.index)
            && shard.answered_members > 0;
        let users = quota::expected_users(self.settings.slow_start().routers, member.router_share);
        let quota_in_requests = self.settings.longest_objective().scaled(1.0 / users).ratio(work);
        !is_first_use || sample < quota_in_requests
    }

    /// Returns the factor by which a host's limit is multiplied for a request class. It is 1, except for long
    /// classes: limits are adapted to the shortest latency objective, and a long class has a longer one.
    fn limit_multiple(&self, request_class: usize) -> f64 {
        if !self.is_long(request_class) {
            return 1.0;
        }
        let objective = self.settings.class(request_class).latency_objective;
        objective.ratio(self.settings.shortest_objective())
    }

    /// Returns whether one more request stays within this router's slow-start budget at a host; true for a
    /// warm host.
    fn fits_slow_start(&self, member: &Member, request_class: usize, now: Timestamp) -> bool {
        let warmup_fraction = self.warmup_fraction(member.index, now);
        if warmup_fraction >= 1.0 {
            return true;
        }
        let host = &self.hosts[member.index];
        let slow_start = self.settings.slow_start();
        let peer_load = self.warm_peer_load(now) * host.listing.capacity();
        let answered = host.load.work_answered(now, slow_start.window);
        let budget = slow_start.budget(warmup_fraction, member.router_share, peer_load, answered);
        let window = self.window(member.index, now, slow_start.window);
        let cost = self.cost(self.work(request_class), request_class);
        host.load.slow_start_admits(cost, budget, &window)
    }

    /// Returns the work that this router sends to usable warm hosts in a slow-start window, per unit of their
    /// capacity. The result is cached, as it is computed from all hosts.
    fn warm_peer_load(&self, now: Timestamp) -> f64 {
        let is_warm =
            |peer: &HostIndex| self.is_usable(*peer, now) && self.warmup_fraction(*peer, now) >= 1.0;
        self.statistics.peer_load.get_or_compute(now, self.settings.slow_start().window, || {
            self.load_per_capacity(self.hosts.indices().filter(is_warm), now)
        })
    }

    /// Returns the work sent to these hosts in a slow-start window, per unit of their capacity; 0 if there
    /// are no hosts.
    fn load_per_capacity(&self, peers: impl Iterator<Item = HostIndex>, now: Timestamp) -> f64 {
        let window = self.settings.slow_start().window;
        let mut work_sent = 0.0;
        let mut capacity = 0.0;
        for peer in peers {
            work_sent += self.hosts[peer].load.work_sent(now, window);
            capacity += self.hosts[peer].listing.capacity();
        }
        if capacity > 0.0 { work_sent / capacity } else { 0.0 }
    }

    /// Returns a number from 0 to 1 that is uniformly distributed over hosts and windows. It decides at
    /// random whether a host whose quota is less than one request gets a request in the current window.
    pub(super) fn admission_sample(&self, index: HostIndex, now: Timestamp) -> f64 {
        let length = self.settings.shortest_objective() / ADMISSION_WINDOW_DIVISOR;
        self.window(index, now, length).sample()
    }

    /// Returns the estimated work of a request of this class.
    pub(super) fn work(&self, request_class: usize) -> Duration {
        self.statistics.service_times.work(request_class)
    }

    /// Returns the cost of a request in the slow-start budget, in microseconds.
    pub(super) fn cost(&self, work: Duration, request_class: usize) -> f64 {
        let min = self.settings.class(request_class).latency_objective / MIN_COST_DIVISOR;
        (work * COST_PER_WORK).max(min).as_micros() as f64
    }

    /// Returns whether requests of a class take longer than the shortest latency objective even without
    /// queueing.
    pub(super) fn is_long(&self, request_class: usize) -> bool {
        let max = self.settings.class(request_class).latency_objective / LONG_CLASS_DIVISOR;
        self.statistics.service_times.median(request_class).min(max) > self.settings.shortest_objective()
    }
}
