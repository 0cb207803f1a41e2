//! Host selection: where a request can go now.
//!
//! Writes and strong reads go to the believed primary. Other reads are drawn at random among the fresh
//! replicas of the router's subset; if none is fresh, the freshest that checks takes them, else the primary.

use super::intervals::{HEALTH_CHECK_INTERVAL, HEALTH_CHECK_RETRY_INTERVAL, SILENCE_TIMEOUT};
use super::recent_requests::RECENT_REQUESTS_WINDOW;
use super::router::Router;
use super::staleness::usable_age;
use crate::host_table::HostIndex;
use crate::request_state::RequestState;
use crate::shard::Shard;
use crate::time::{Duration, Timestamp};
use crate::{Consistency, Idempotency, RequestId, Role, ShardId, ShardState};
use comethitch_fleet::subset::{Candidate, Member};
use comethitch_fleet::{freshness, subset};

/// The part of a staleness bound up to which a replica that checks reads itself is tried.
const CHECKED_LAG_SHARE: f64 = 0.75;
/// The part of a primary's concurrency limit that reads may use which others could take.
const PRIMARY_READ_SHARE: f64 = 0.75;
/// For so long the order of a group's replicas is kept. Weights change by the second, as hosts warm up.
const RANKING_LIFETIME: Duration = Duration::from_millis(100);

/// Where a request can go now.
pub(super) enum Selection {
    Host(HostIndex),
    /// It must wait: no host that may take it has capacity.
    Wait,
    /// It needs a primary, and none serves.
    Rejected,
}

impl Router {
    pub(super) fn select_host(&mut self, id: RequestId, now: Timestamp) -> Selection {
        let request = &self.requests[&id];
        let Some(shard) = self.shards.get(&request.shard_id) else { return Selection::Wait };
        let consistency = self.class_of(request).consistency;
        if consistency.needs_primary() {
            return self.select_primary(request, shard, now);
        }
        let mut open = self.subset(request.shard_id, now);
        open.retain(|member| !request.tried(member.index) && self.is_open(request, member, now));
        let is_fresh = |member: &Member| self.is_fresh(member.index, consistency, request, now);
        let fresh: Vec<Member> = open.iter().copied().filter(is_fresh).collect();
        if consistency == Consistency::Eventual
            && let Some(index) = self.most_stale_replica(request, &fresh, now)
        {
            return Selection::Host(index);
        }
        let fallback = if fresh.is_empty() { self.fallback(request, &open, now) } else { None };
        let weight = |member| self.draw_weight(member, request.request_class);
        let weights: Vec<f64> = fresh.iter().map(weight).collect();
        let drawn = self.random.pick(&weights).map(|nth| fresh[nth].index);
        drawn.or(fallback).map_or(Selection::Wait, Selection::Host)
    }

    fn select_primary(&self, request: &RequestState, shard: &Shard, now: Timestamp) -> Selection {
        let repeatable = self.class_of(request).idempotency != Idempotency::NonIdempotent;
        match shard.primary {
            // A fresh router that the list names no primary to checks all hosts first.
            None if shard.serial == 0 => Selection::Wait,
            Some(primary) if self.primary_serves(primary, shard, now) => {
                let free = self.has_capacity(&Member::of_all_routers(primary), request.request_class, now)
                    && self.may_attempt(request, primary, now);
                if free { Selection::Host(primary) } else { Selection::Wait }
            }
            // Beyond the design: a keyed request that may have run waits for the next primary while its
            // retry is still deduplicated; a throttle is forbidden and a failure would lose it.
            _ if request.maybe_ran() && repeatable => Selection::Wait,
            _ => Selection::Rejected,
        }
    }

    fn is_open(&self, request: &RequestState, member: &Member, now: Timestamp) -> bool {
        self.is_usable(member.index, now)
            && self.has_capacity(member, request.request_class, now)
            && self.may_attempt(request, member.index, now)
    }

    /// Beyond the design: a read of any age spares fresh replicas and goes to the one furthest behind. As
    /// long ones hold up a log, where none is behind all routers agree on the largest replica of lowest id.
    fn most_stale_replica(
        &self, request: &RequestState, open: &[Member], now: Timestamp,
    ) -> Option<HostIndex> {
        let rank = |index: HostIndex| {
            let host = &self.hosts[index];
            let fresh = self.is_fresh(
                index,
                Consistency::BoundedStaleness(self.settings.tightest_bound()),
                request,
                now,
            );
            let position = if fresh { Timestamp::ZERO } else { host.position };
            (fresh, position, u64::MAX - host.capacity.to_bits(), host.host, index)
        };
        let (fresh, .., index) = open.iter().map(|member| rank(member.index)).min()?;
        (!fresh || self.is_long(request.request_class)).then_some(index)
    }

    /// Where a read goes that no open replica is fresh enough for.
    fn fallback(&self, request: &RequestState, open: &[Member], now: Timestamp) -> Option<HostIndex> {
        let freshest = self.freshest_that_checks(request, open);
        // A refresh that is on its way is waited for: the primary could not bear what falls to it meanwhile.
        let is_refreshing = |member: &Member| self.hosts[member.index].health_check_sent.is_some();
        if freshest.is_some() || self.settings.refreshes_on_demand() && open.iter().any(is_refreshing) {
            return freshest;
        }
        let primary = self.shards[&request.shard_id].primary;
        primary.filter(|primary| self.primary_takes_read(request, *primary, now))
    }

    /// Beyond the design: not the freshest where it would surely reject the read.
    fn freshest_that_checks(&self, request: &RequestState, open: &[Member]) -> Option<HostIndex> {
        if self.settings.positions_guard_reads() {
            return None;
        }
        let position = |index: &HostIndex| self.hosts[*index].position;
        let freshest = open.iter().map(|member| member.index).rev().max_by_key(position)?;
        match self.class_of(request).consistency {
            Consistency::BoundedStaleness(bound) if self.hosts[freshest].lag > bound => None,
            _ => Some(freshest),
        }
    }

    /// Whether the primary takes a read that no replica will do for. Its own requests keep a quarter of its
    /// limit. With one of less than a request it takes none: many routers' single reads would crowd it. A
    /// session's read, which may have no other host, it takes as often as that limit holds of a request.
    fn primary_takes_read(&self, request: &RequestState, primary: HostIndex, now: Timestamp) -> bool {
        let host = &self.hosts[primary];
        let session = self.class_of(request).consistency == Consistency::Session;
        let mut work = self.work(request.request_class);
        if session && host.concurrency.in_flight == Duration::ZERO {
            work = work.scaled(self.admission_draw(primary, now));
        }
        self.shard_of(primary).state != ShardState::Failover
            && host.role != Some(Role::Replica)
            && self.is_open(request, &Member::of_all_routers(primary), now)
            && host.concurrency.in_flight + work <= host.concurrency.limit.scaled(PRIMARY_READ_SHARE)
    }

    /// The draw is even among equals: a host's part is its capacity, less what it lacks of warmth and speed,
    /// and for what waits there and what this router has in flight there.
    fn draw_weight(&self, member: &Member, request_class: usize) -> f64 {
        let host = &self.hosts[member.index];
        let own_load = host.concurrency.in_flight.ratio(self.work(request_class));
        let crowd = (1.0 + host.queue_length) * (1.0 + own_load);
        member.weight / crowd.powi(2) / host.relative_latency.slowness()
    }

    pub(super) fn is_usable(&self, index: HostIndex, now: Timestamp) -> bool {
        let host = &self.hosts[index];
        host.draining_since.is_none() && !host.is_ejected(now) && host.connection_slots.has_free(now)
    }

    pub(super) fn is_fresh(
        &self, host: HostIndex, need: Consistency, of: &RequestState, now: Timestamp,
    ) -> bool {
        let host = &self.hosts[host];
        let checks = !self.settings.positions_guard_reads();
        let reported = now - host.lag_reported_at <= HEALTH_CHECK_INTERVAL * 2;
        match need {
            Consistency::Eventual => true,
            Consistency::Session => host.position >= of.required_position,
            // Beyond the design: where replicas check, a position counts as having kept pace since then.
            Consistency::BoundedStaleness(bound) if checks => {
                host.lag <= bound.scaled(CHECKED_LAG_SHARE) && reported
            }
            Consistency::BoundedStaleness(bound) => self
                .latest_host_time(now)
                .is_some_and(|host_time| host_time - host.position <= usable_age(bound)),
            Consistency::Write | Consistency::Strong => false,
        }
    }

    /// Beyond the design: the replicas that this router uses, few enough to know them well.
    pub(super) fn subset(&self, shard_id: ShardId, now: Timestamp) -> Vec<Member> {
        let shard = &self.shards[&shard_id];
        let is_candidate = |index: HostIndex| self.is_candidate(index, shard, now);
        let mut ranking = shard.ranking.borrow_mut();
        if ranking.is_outdated(now) {
            let replicas = shard.members.iter().map(|index| self.replica_to_rank(*index, now));
            let drift = self.settings.slow_start().warmup * 8;
            ranking.renew(self.random.hash_seed(), now, drift, RANKING_LIFETIME, replicas);
        }
        ranking.members(self.subset_size(shard, now), is_candidate)
    }

    fn replica_to_rank(&self, index: HostIndex, now: Timestamp) -> Candidate {
        let host = &self.hosts[index];
        let weight = host.capacity * self.warm_part(index, now);
        Candidate { index, host_key: host.host.number(), weight }
    }

    /// One that was just reported to be too far behind gives way too, until it is time to ask again.
    fn is_candidate(&self, index: HostIndex, shard: &Shard, now: Timestamp) -> bool {
        let host = &self.hosts[index];
        let behind =
            now - host.lag_reported_at < SILENCE_TIMEOUT && host.lag > self.settings.tightest_bound();
        shard.primary != Some(index)
            && self.is_usable(index, now)
            && !(self.settings.refreshes_on_demand() && behind)
    }

    pub(super) fn subset_size(&self, shard: &Shard, now: Timestamp) -> usize {
        let lasts = freshness::refresh_after(self.settings.tightest_bound(), HEALTH_CHECK_RETRY_INTERVAL);
        let rate = shard.recent_requests.rate(now, RECENT_REQUESTS_WINDOW);
        subset::size(rate * lasts.ratio(RECENT_REQUESTS_WINDOW))
    }
}
