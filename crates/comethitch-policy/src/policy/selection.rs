//! Host selection: the host that a request can be sent to now.
//!
//! Writes and strong reads go to the believed primary. Other reads go to a fresh replica in the router's
//! subset, selected by weighted random choice. If no replica is fresh, they go to the freshest replica if
//! replicas check staleness themselves, otherwise to the primary.

use super::intervals::{HEALTH_CHECK_RETRY_INTERVAL, SILENCE_TIMEOUT};
use super::recent_requests::RECENT_REQUESTS_WINDOW;
use super::router::Router;
use crate::host_table::HostIndex;
use crate::request_state::RequestState;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use crate::{Consistency, Idempotency, RequestId, ShardId};
use comethitch_fleet::subset::{Candidate, Member};
use comethitch_fleet::{freshness, subset};

/// Fraction of a primary's concurrency limit up to which it accepts reads that do not need a primary.
const PRIMARY_READ_LIMIT_FRACTION: f64 = 0.75;
/// Time for which the ranking of a shard's replicas is cached. The replicas' weights change within seconds,
/// as hosts warm up.
const RANKING_LIFETIME: Duration = Duration::from_millis(100);
/// Period after which the rank of each replica is drawn again, as a multiple of the warm-up time of hosts.
const RANKING_DRIFT_IN_WARMUPS: u64 = 8;

/// The result of host selection.
pub(super) enum Selection {
    /// The request can be sent to this host.
    Host(HostIndex),
    /// No suitable host has capacity yet.
    Wait,
    /// The request needs a primary, and none serves requests.
    Rejected,
}

impl Router {
    /// Selects the host for a request's next attempt.
    pub(super) fn select_host(&mut self, id: RequestId, now: Timestamp) -> Selection {
        let request = &self.requests[id];
        let (shard_id, request_class) = (request.shard_id, request.request_class);
        let Some(shard) = self.shards.get(shard_id) else { return Selection::Wait };
        let consistency = self.class_of(request).consistency;
        if consistency.needs_primary() {
            return self.select_primary(request, shard, now);
        }
        let mut eligible = self.subset(shard_id, now);
        let request = &self.requests[id];
        eligible.retain(|member| !request.tried(member.index) && self.is_eligible(request, member, now));
        let is_fresh = |member: &Member| self.is_fresh(member.index, consistency, request, now);
        let fresh: Vec<Member> = eligible.iter().copied().filter(is_fresh).collect();
        if consistency == Consistency::Eventual
            && let Some(index) = self.most_stale_replica(request, &fresh, now)
        {
            return Selection::Host(index);
        }
        let fallback = if fresh.is_empty() { self.fallback(request, &eligible, now) } else { None };
        let weights: Vec<f64> =
            fresh.iter().map(|member| self.selection_weight(member, request_class)).collect();
        let selected = self.random.pick(&weights).map(|selected| fresh[selected].index);
        selected.or(fallback).map_or(Selection::Wait, Selection::Host)
    }

    fn select_primary(&self, request: &RequestState, shard: &Shard, now: Timestamp) -> Selection {
        let may_repeat = self.class_of(request).idempotency != Idempotency::NonIdempotent;
        match shard.primary {
            // A router that has just started waits for health checks of all hosts before it rejects requests
            // for lack of a primary.
            None if shard.failover_count() == 0 => Selection::Wait,
            Some(primary) if self.primary_serves(primary, shard, now) => {
                let member = Member::of_all_routers(primary);
                let has_capacity = self.has_capacity(&member, request.request_class, now);
                if has_capacity && self.may_attempt(request, primary, now) {
                    Selection::Host(primary)
                } else {
                    Selection::Wait
                }
            }
            // Beyond the design: a keyed write that may have run waits for the next primary. Throttling it
            // could make the client repeat its effect, and failing it would lose the write if it has not run.
            _ if request.maybe_ran() && may_repeat => Selection::Wait,
            _ => Selection::Rejected,
        }
    }

    fn is_eligible(&self, request: &RequestState, member: &Member, now: Timestamp) -> bool {
        self.is_usable(member.index, now)
            && self.has_capacity(member, request.request_class, now)
            && self.may_attempt(request, member.index, now)
    }

    /// Returns the replica that an eventual read is sent to; `None` if it is to be selected at random.
    ///
    /// Beyond the design: this is the replica furthest behind, so that fresh replicas remain free for other
    /// reads. If none is behind, long reads go to the replica with the largest capacity and, among these, the
    /// lowest address. All routers select the same one, as long reads delay replication.
    fn most_stale_replica(
        &self, request: &RequestState, eligible: &[Member], now: Timestamp,
    ) -> Option<HostIndex> {
        let tightest = Consistency::BoundedStaleness(self.settings.tightest_bound());
        let rank = |index: HostIndex| {
            let host = &self.hosts[index];
            let is_fresh = self.is_fresh(index, tightest, request, now);
            let position = if is_fresh { Timestamp::ZERO } else { host.replication.position() };
            let by_descending_capacity = u64::MAX - host.listing.capacity().to_bits();
            (is_fresh, position, by_descending_capacity, host.host, index)
        };
        let (is_fresh, .., index) = eligible.iter().map(|member| rank(member.index)).min()?;
        (!is_fresh || self.is_long(request.request_class)).then_some(index)
    }

    /// Returns the host that a read is sent to if no eligible replica is fresh enough.
    fn fallback(&self, request: &RequestState, eligible: &[Member], now: Timestamp) -> Option<HostIndex> {
        let freshest = self.freshest_replica(request, eligible);
        // Wait for a refresh in flight: sending all reads to the primary in the meantime would overload it.
        let is_refreshing = |member: &Member| self.hosts[member.index].checks.is_in_flight();
        if freshest.is_some() || self.settings.refreshes_on_demand() && eligible.iter().any(is_refreshing) {
            return freshest;
        }
        let primary = self.shards[request.shard_id].primary;
        primary.filter(|primary| self.primary_accepts_read(request, *primary, now))
    }

    /// Returns the freshest eligible replica, if replicas check staleness themselves.
    ///
    /// Beyond the design: returns `None` if the reported lag of that replica exceeds the staleness bound, as
    /// it would reject the read.
    fn freshest_replica(&self, request: &RequestState, eligible: &[Member]) -> Option<HostIndex> {
        if self.settings.router_enforces_staleness() {
            return None;
        }
        let position = |index: &HostIndex| self.hosts[*index].replication.position();
        let freshest = eligible.iter().map(|member| member.index).rev().max_by_key(position)?;
        match self.class_of(request).consistency {
            Consistency::BoundedStaleness(bound) if self.hosts[freshest].replication.lag() > bound => None,
            _ => Some(freshest),
        }
    }

    /// Returns whether the primary accepts a read that no replica is fresh enough for.
    ///
    /// A quarter of the primary's concurrency limit is reserved for requests that need a primary. If the rest
    /// is less than one request, the primary accepts no reads, as single reads of many routers would overload
    /// it. Session reads are the exception, because no other host may have their data: if nothing is in
    /// flight there, one is accepted with the probability (rest of the limit) / (work of the request).
    fn primary_accepts_read(&self, request: &RequestState, primary: HostIndex, now: Timestamp) -> bool {
        let host = &self.hosts[primary];
        let is_session_read = self.class_of(request).consistency == Consistency::Session;
        let mut work = self.work(request.request_class);
        if is_session_read && host.load.in_flight() == Duration::ZERO {
            work = work.scaled(self.admission_sample(primary, now));
        }
        self.is_acting_primary(primary)
            && self.is_eligible(request, &Member::of_all_routers(primary), now)
            && host.load.in_flight() + work <= host.load.limit().scaled(PRIMARY_READ_LIMIT_FRACTION)
    }

    /// Returns a replica's weight in the random choice: its weight in the subset, reduced if the host is
    /// slow, has requests queued, or has work of this router in flight.
    fn selection_weight(&self, member: &Member, request_class: usize) -> f64 {
        let load = &self.hosts[member.index].load;
        let own_requests = load.in_flight().ratio(self.work(request_class));
        let load_factor = (1.0 + load.queue_length()) * (1.0 + own_requests);
        member.weight / load_factor.powi(2) / load.slowness()
    }

    /// Returns whether a host is neither draining nor ejected, and has a free connection.
    pub(super) fn is_usable(&self, index: HostIndex, now: Timestamp) -> bool {
        let host = &self.hosts[index];
        !host.listing.is_draining() && !host.health.is_ejected(now) && host.load.has_free_connection(now)
    }

    /// Returns the replicas of a shard that this router uses.
    ///
    /// Beyond the design: a router uses only a few replicas, so that its requests suffice to keep their state
    /// up to date.
    pub(super) fn subset(&mut self, shard_id: ShardId, now: Timestamp) -> Vec<Member> {
        self.renew_ranking(shard_id, now);
        let shard = &self.shards[shard_id];
        let size = self.subset_size(shard, now);
        shard.ranking.members(size, |index| self.is_candidate(index, shard, now))
    }

    fn renew_ranking(&mut self, shard_id: ShardId, now: Timestamp) {
        let shard = &self.shards[shard_id];
        if !shard.ranking.is_outdated(now) {
            return;
        }
        let candidate = |index: &HostIndex| self.ranking_candidate(*index, now);
        let replicas: Vec<Candidate> = shard.members.iter().map(candidate).collect();
        let drift = self.settings.slow_start().warmup * RANKING_DRIFT_IN_WARMUPS;
        let hash_seed = self.random.hash_seed();
        let ranking = &mut self.shards[shard_id].ranking;
        ranking.renew(hash_seed, now, drift, RANKING_LIFETIME, replicas.into_iter());
    }

    fn ranking_candidate(&self, index: HostIndex, now: Timestamp) -> Candidate {
        let host = &self.hosts[index];
        let weight = host.listing.capacity() * self.warmup_fraction(index, now);
        Candidate { index, host_key: host.host.as_u64(), weight }
    }

    /// Returns whether a host may be in the subset now. If positions are refreshed on demand, a host that was
    /// recently reported to lag beyond the tightest staleness bound is left out for [`SILENCE_TIMEOUT`] after
    /// the report.
    fn is_candidate(&self, index: HostIndex, shard: &Shard, now: Timestamp) -> bool {
        let replication = &self.hosts[index].replication;
        let is_behind = now - replication.lag_reported_at() < SILENCE_TIMEOUT
            && replication.lag() > self.settings.tightest_bound();
        !shard.is_primary(index)
            && self.is_usable(index, now)
            && !(self.settings.refreshes_on_demand() && is_behind)
    }

    /// Returns the number of replicas of a shard that this router uses, which depends on its rate of requests
    /// for the shard.
    pub(super) fn subset_size(&self, shard: &Shard, now: Timestamp) -> usize {
        let refresh_age =
            freshness::refresh_after(self.settings.tightest_bound(), HEALTH_CHECK_RETRY_INTERVAL);
        let rate = shard.recent_requests.rate(now, RECENT_REQUESTS_WINDOW);
        subset::size(rate * refresh_age.ratio(RECENT_REQUESTS_WINDOW))
    }
}
