//! Refreshes positions on demand: sends health checks to the members whose positions are too old for a
//! request.

use super::intervals::{HEALTH_CHECK_RETRY_INTERVAL, SILENCE_TIMEOUT};
use super::recent_requests::RECENT_REQUESTS_WINDOW;
use super::router::Router;
use super::staleness::usable_age;
use crate::request_state::RequestState;
use crate::time::{Duration, Timestamp};
use crate::{Actions, Consistency, RequestId, ShardId, ShardState};
use comethitch_fleet::freshness;
use comethitch_fleet::subset::Member;

/// Minimum number of requests per shard, expected while one position stays fresh, at which all members of a
/// subset are refreshed together. Below it, they are refreshed one at a time.
const MIN_REQUESTS_PER_REFRESH: f64 = 0.5;
/// Divisor of the shortest latency objective: if members are refreshed one at a time, a health check in
/// flight prevents further refreshes for an eighth of it.
const REFRESH_WAIT_DIVISOR: u64 = 8;
/// Maximum delay before a host whose position lags is refreshed again.
const MAX_REFRESH_BACKOFF: Duration = RECENT_REQUESTS_WINDOW;

impl Router {
    /// Sends health checks to the subset's members whose positions are, or will soon be, too old for a
    /// request.
    pub(super) fn refresh_positions(&mut self, id: RequestId, actions: &mut dyn Actions) {
        let now = actions.now();
        let request = &self.requests[id];
        let (shard_id, request_class) = (request.shard_id, request.request_class);
        let Some(threshold) = self.refresh_threshold(request, now) else { return };
        let subset = self.subset(shard_id, now);
        let one_at_a_time = self.is_low_traffic(shard_id, now);
        let may_serve = |member: &Member| self.may_soon_be_fresh(member, request_class, threshold, now);
        if one_at_a_time && subset.iter().any(may_serve) {
            return;
        }
        for member in subset {
            let host = &self.hosts[member.index];
            let is_due = host.replication.position() < threshold && host.checks.may_refresh_position(now);
            if is_due && self.has_capacity(&member, request_class, now) {
                let host = &mut self.hosts[member.index];
                let lag = Some(host.replication.lag()).filter(|_| host.replication.has_position());
                let backoff = freshness::refresh_backoff(lag, HEALTH_CHECK_RETRY_INTERVAL);
                host.checks.delay_position_refresh(now + backoff.min(MAX_REFRESH_BACKOFF));
                self.send_health_check(member.index, actions);
                if one_at_a_time {
                    return;
                }
            }
        }
    }

    /// Returns whether this router receives so few requests for a shard that members are refreshed one at a
    /// time.
    ///
    /// Beyond the design: otherwise each request would cause the health checks of a whole subset. A shard
    /// with few requests so far is expected to receive as many as the mean of all shards.
    fn is_low_traffic(&self, shard_id: ShardId, now: Timestamp) -> bool {
        let refresh_age =
            freshness::refresh_after(self.settings.tightest_bound(), HEALTH_CHECK_RETRY_INTERVAL);
        let mean = self.statistics.request_rate(now) / self.shards.len() as f64;
        let own = self.shards[shard_id].recent_requests.value(now, RECENT_REQUESTS_WINDOW);
        mean.max(own) * refresh_age.ratio(RECENT_REQUESTS_WINDOW) < MIN_REQUESTS_PER_REFRESH
    }

    /// Returns whether a member has capacity and a recent enough position for a request, or was sent a health
    /// check so recently that its answer is still expected.
    fn may_soon_be_fresh(
        &self, member: &Member, request_class: usize, threshold: Timestamp, now: Timestamp,
    ) -> bool {
        let host = &self.hosts[member.index];
        let wait = self.settings.shortest_objective() / REFRESH_WAIT_DIVISOR;
        let is_check_pending = host.checks.sent_at().is_some_and(|sent_at| now - sent_at < wait);
        is_check_pending
            || host.replication.position() >= threshold && self.has_capacity(member, request_class, now)
    }

    /// Returns the position below which a member is refreshed for a request; `None` if the request needs no
    /// refresh.
    fn refresh_threshold(&self, request: &RequestState, now: Timestamp) -> Option<Timestamp> {
        // If there are session reads, periodic health checks also refresh positions, but their budget is
        // small if this router receives few requests.
        let refreshes =
            self.settings.router_enforces_staleness() && self.settings.deployment().may_check_health;
        let shard = self.shards.get(request.shard_id).filter(|_| refreshes)?;
        let refresh_age = |bound| freshness::refresh_after(usable_age(bound), HEALTH_CHECK_RETRY_INTERVAL);
        let host_time = self.latest_host_time(now).unwrap_or(now);
        match self.class_of(request).consistency {
            Consistency::BoundedStaleness(bound) => Some(host_time - refresh_age(bound)),
            Consistency::Session => {
                Some(request.required_position).filter(|position| *position > Timestamp::ZERO)
            }
            Consistency::Eventual => None,
            // An Unhealthy shard's primary is kept while the positions of other members advance, so these
            // must be known.
            Consistency::Write | Consistency::Strong => {
                (shard.state() == ShardState::Unhealthy).then(|| host_time - refresh_age(SILENCE_TIMEOUT))
            }
        }
    }
}
