//! Refreshes positions on demand: which members of a shard are asked for their position when a request needs it.

use super::intervals::{HEALTH_CHECK_RETRY_INTERVAL, SILENCE_TIMEOUT};
use super::recent_requests::RECENT_REQUESTS_WINDOW;
use super::router::Router;
use super::staleness::usable_age;
use crate::request_state::RequestState;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Consistency, RequestId, ShardId, ShardState};
use comethitch_fleet::freshness;
use comethitch_fleet::subset::Member;

/// A shard is quiet if this router expects fewer requests of it than this while a position stays fresh.
const QUIET_REQUESTS_PER_REFRESH: f64 = 0.5;
/// How long to wait for the one member of a quiet shard that was asked: the shortest latency objective over this.
const REFRESH_WAIT_DIVISOR: u64 = 8;
/// Maximum time between two refreshes of a host whose position lags.
const MAX_REFRESH_BACKOFF: Duration = RECENT_REQUESTS_WINDOW;

impl Router {
    /// Asks the subset's members for positions that would soon be too old for a request.
    pub(super) fn refresh_positions(&mut self, id: RequestId, out: &mut dyn Actions) {
        let now = out.now();
        let request = &self.requests[id];
        let (shard_id, request_class) = (request.shard_id, request.request_class);
        let Some(oldest) = self.oldest_useful_position(request, now) else { return };
        let subset = self.subset(shard_id, now);
        let one_at_a_time = self.is_quiet(shard_id, now);
        let may_serve = |member: &Member| self.may_soon_be_fresh(member, request_class, oldest, now);
        if one_at_a_time && subset.iter().any(may_serve) {
            return;
        }
        for member in subset {
            let host = &self.hosts[member.index];
            let is_due = host.replication.position() < oldest && host.checks.may_refresh_position(now);
            if is_due && self.has_capacity(&member, request_class, now) {
                let host = &mut self.hosts[member.index];
                let lag = Some(host.replication.lag()).filter(|_| host.replication.has_position());
                let backoff = freshness::refresh_backoff(lag, HEALTH_CHECK_RETRY_INTERVAL);
                host.checks.delay_position_refresh(now + backoff.min(MAX_REFRESH_BACKOFF));
                self.send_health_check(member.index, out);
                if one_at_a_time {
                    return;
                }
            }
        }
    }

    /// Returns whether this router sees so few requests of a shard that one member is asked at a time.
    ///
    /// Beyond the design: each request would otherwise pay for the health checks of a whole subset. A shard that is new
    /// here is expected to get as many requests as others do.
    fn is_quiet(&self, shard_id: ShardId, now: Timestamp) -> bool {
        let fresh_for = freshness::refresh_after(self.settings.tightest_bound(), HEALTH_CHECK_RETRY_INTERVAL);
        let mean = self.statistics.request_rate(now) / self.shards.len() as f64;
        let own = self.shards[shard_id].recent_requests.value(now, RECENT_REQUESTS_WINDOW);
        mean.max(own) * fresh_for.ratio(RECENT_REQUESTS_WINDOW) < QUIET_REQUESTS_PER_REFRESH
    }

    /// Returns whether a member can take a request and its position suffices, or was asked for a moment ago.
    fn may_soon_be_fresh(
        &self, member: &Member, request_class: usize, oldest: Timestamp, now: Timestamp,
    ) -> bool {
        let host = &self.hosts[member.index];
        let wait = self.settings.shortest_objective() / REFRESH_WAIT_DIVISOR;
        let just_asked = host.checks.sent_at().is_some_and(|sent_at| now - sent_at < wait);
        just_asked || host.replication.position() >= oldest && self.has_capacity(member, request_class, now)
    }

    /// Returns the oldest position that need not be refreshed for a request; none where positions do not guard it.
    fn oldest_useful_position(&self, request: &RequestState, now: Timestamp) -> Option<Timestamp> {
        // Where sessions are served, periodic health checks refresh positions too, but a quiet router pays for few.
        let refreshes = self.settings.positions_guard_reads() && self.settings.deployment().may_check_health;
        let shard = self.shards.get(request.shard_id).filter(|_| refreshes)?;
        let fresh_for = |bound| freshness::refresh_after(usable_age(bound), HEALTH_CHECK_RETRY_INTERVAL);
        let host_time = self.latest_host_time(now).unwrap_or(now);
        match self.class_of(request).consistency {
            Consistency::BoundedStaleness(bound) => Some(host_time - fresh_for(bound)),
            Consistency::Session => Some(request.required_position).filter(|past| *past > Timestamp::ZERO),
            Consistency::Eventual => None,
            // Whether an Unhealthy shard keeps its primary shows in whether its other members advance.
            Consistency::Write | Consistency::Strong => {
                (shard.state() == ShardState::Unhealthy).then(|| host_time - fresh_for(SILENCE_TIMEOUT))
            }
        }
    }
}
