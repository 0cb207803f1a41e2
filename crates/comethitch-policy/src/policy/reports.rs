//! Load reports: what they show of a host's position and of its role.

use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use crate::{Actions, LoadReport, Role, ShardState};

impl Router {
    /// Applies a host's load report and, if the host answered a request, the response trailer.
    pub(super) fn apply_report(
        &mut self, index: HostIndex, report: LoadReport, trailer: Option<LoadReport>, out: &mut dyn Actions,
    ) {
        let now = out.now();
        self.record_host_time(index, &report, now);
        if let Some(position) = report.position {
            self.apply_position(index, position, &report, now);
        }
        // A report may be older than an answer: one from before the last confirmation as primary is ignored.
        let replication = &mut self.hosts[index].replication;
        let last_seen_primary = self.host_clock.estimated(replication.last_seen_primary());
        let is_newer = report.position.is_none_or(|position| position > last_seen_primary);
        let reported_role = report.role.filter(|role| *role == Role::Primary || is_newer);
        let Some(role) = trailer.and_then(|trailer| trailer.role).or(reported_role) else { return };
        replication.set_role(role);
        if role == Role::Primary && self.proves_primary(index, trailer.is_some()) {
            self.confirm_primary(index, out);
        } else if role == Role::Replica && self.is_primary(index) {
            self.fail_over(self.hosts[index].listing.shard_id(), out);
        }
    }

    fn apply_position(&mut self, index: HostIndex, position: Timestamp, report: &LoadReport, now: Timestamp) {
        // While the hosts' time is unknown, so is the lag.
        let age = self.latest_host_time(now).map_or(Duration::ZERO, |host_time| host_time - position);
        if report.role == Some(Role::Primary) {
            self.statistics.record_report_age(age);
        }
        let lag = age - self.statistics.median_report_age();
        let host = &mut self.hosts[index];
        host.replication.record_position(position, lag, now);
        host.load.set_queue_length(report.queue.unwrap_or_default());
    }

    /// Makes a host the believed primary of its shard, which becomes Healthy.
    fn confirm_primary(&mut self, index: HostIndex, out: &mut dyn Actions) {
        let now = out.now();
        let shard_id = self.hosts[index].listing.shard_id();
        if self.shards[shard_id].primary.is_some_and(|primary| primary != index) {
            self.fail_over(shard_id, out);
        }
        self.hosts[index].replication.confirm_primary(now);
        let shard = &mut self.shards[shard_id];
        if shard.state() != ShardState::Healthy || !shard.is_primary(index) {
            shard.enter_healthy(index, now);
            self.drain_queues(shard_id, out);
        }
    }

    /// Returns whether a host's claim to be the primary is accepted. `by_answer`: it came with the answer to a request.
    fn proves_primary(&self, index: HostIndex, by_answer: bool) -> bool {
        let host = &self.hosts[index];
        let shard = self.shard_of(index);
        if !shard.is_primary(index) {
            // Of two claims, the one with newer data is that of the successor.
            let position = host.replication.position();
            let is_newer = |primary: HostIndex| position > self.hosts[primary].replication.position();
            return by_answer || shard.primary.is_none_or(is_newer);
        }
        match shard.state() {
            ShardState::Healthy => true,
            ShardState::Unhealthy => by_answer || !host.health.is_unresponsive(),
            // A report from before the Failover is no evidence that it has ended.
            ShardState::Failover => {
                let since = self.host_clock.estimated(shard.state_since());
                by_answer || (host.replication.position() > since && !host.health.is_unresponsive())
            }
        }
    }
}
