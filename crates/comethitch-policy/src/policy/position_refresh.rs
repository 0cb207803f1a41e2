//! Refreshes of positions, on demand: which members of a group are asked for their position as a request needs it.

use super::intervals::{HEALTH_CHECK_RETRY_INTERVAL, SILENCE_TIMEOUT};
use super::recent_requests::RECENT_REQUESTS_WINDOW;
use super::router::Router;
use super::staleness::usable_age;
use crate::request_state::RequestState;
use crate::time::Timestamp;
use crate::{Actions, Consistency, RequestId, ShardId, ShardState};
use comethitch_fleet::freshness;
use comethitch_fleet::subset::Member;

/// A group is quiet of which this router sees fewer requests than this while a position stays fresh.
const QUIET_COMMANDS_PER_REFRESH: f64 = 0.5;
/// The part of the shortest latency objective, as a divisor, for which the one member of a quiet group that was asked
/// for its position is waited for.
const POSITION_PATIENCE_DIVISOR: u64 = 8;
impl Router {
    /// Asks the subset's members for positions that would soon be too old for this request.
    pub(super) fn refresh_positions(&mut self, id: RequestId, out: &mut dyn Actions) {
        let now = out.now();
        let request = &self.requests[&id];
        let (shard_id, request_class) = (request.shard_id, request.request_class);
        let Some(oldest) = self.oldest_useful_position(request, now) else { return };
        let subset = self.subset(shard_id, now);
        let one_at_a_time = self.is_quiet(shard_id, now);
        let may_do = |member: &Member| self.may_soon_be_fresh(member, request_class, oldest, now);
        if one_at_a_time && subset.iter().any(may_do) {
            return;
        }
        for member in subset {
            let host = &self.hosts[member.index];
            let asked = host.health_check_sent.is_some() || now < host.next_position_refresh;
            if host.position < oldest && !asked && self.has_capacity(&member, request_class, now) {
                let lag = Some(host.lag).filter(|_| host.position > Timestamp::ZERO);
                let backoff =
                    freshness::refresh_backoff(lag, HEALTH_CHECK_RETRY_INTERVAL).min(RECENT_REQUESTS_WINDOW);
                self.hosts[member.index].next_position_refresh = now + backoff;
                self.send_health_check(member.index, out);
                if one_at_a_time {
                    return;
                }
            }
        }
    }

    /// Beyond the design: whether this router sees so few requests of a group that each would pay for all health checks
    /// of a subset alone. Then one member is asked for its position, and the next one only if that is late. A group that
    /// is new here is expected to see as much as others do.
    fn is_quiet(&self, shard_id: ShardId, now: Timestamp) -> bool {
        let lasts = freshness::refresh_after(self.settings.tightest_bound(), HEALTH_CHECK_RETRY_INTERVAL);
        let usual = self.statistics.request_rate(now) / self.shards.len() as f64;
        let own = self.shards[&shard_id].recent_requests.value(now, RECENT_REQUESTS_WINDOW);
        usual.max(own) * lasts.ratio(RECENT_REQUESTS_WINDOW) < QUIET_COMMANDS_PER_REFRESH
    }

    /// Whether a member can take a request and its position does for it, or was asked for a moment ago.
    fn may_soon_be_fresh(
        &self, member: &Member, request_class: usize, oldest: Timestamp, now: Timestamp,
    ) -> bool {
        let host = &self.hosts[member.index];
        let patience = self.settings.shortest_objective() / POSITION_PATIENCE_DIVISOR;
        let just_asked = host.health_check_sent.is_some_and(|sent_at| now - sent_at < patience);
        just_asked || host.position >= oldest && self.has_capacity(member, request_class, now)
    }

    /// Positions older than this must be refreshed for a request; none where positions do not guard it.
    fn oldest_useful_position(&self, request: &RequestState, now: Timestamp) -> Option<Timestamp> {
        // Where sessions are served besides, timers ask too, but few of them are paid for by a quiet router.
        let guard = self.settings.positions_guard_reads() && self.settings.deployment().may_check_health;
        let shard = self.shards.get(&request.shard_id).filter(|_| guard)?;
        let lasts = |bound| freshness::refresh_after(usable_age(bound), HEALTH_CHECK_RETRY_INTERVAL);
        let host_time = self.latest_host_time(now).unwrap_or(now);
        match self.class_of(request).consistency {
            Consistency::BoundedStaleness(bound) => Some(host_time - lasts(bound)),
            Consistency::Session => Some(request.required_position).filter(|past| *past > Timestamp::ZERO),
            Consistency::Eventual => None,
            // Whether the group keeps a primary in doubt shows in whether its other members move on.
            Consistency::Write | Consistency::Strong => {
                (shard.state == ShardState::Unhealthy).then(|| host_time - lasts(SILENCE_TIMEOUT))
            }
        }
    }
}
