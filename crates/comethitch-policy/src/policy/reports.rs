//! Applies load reports: what they show about a host's position and role.

use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::{Duration, Timestamp};
use crate::{Actions, LoadReport, Role, ShardState};

impl Router {
    /// Applies a host's load report and, if the host answered a request, the response trailer. `sent_at` is
    /// when the request or the health check was sent.
    pub(super) fn apply_report(
        &mut self, index: HostIndex, report: LoadReport, trailer: Option<LoadReport>, sent_at: Timestamp,
        actions: &mut dyn Actions,
    ) {
        let now = actions.now();
        self.record_host_time(index, &report, now);
        if let Some(position) = report.position {
            self.apply_position(index, position, &report, now);
        }
        let reported_role = self.reported_role(index, &report);
        match trailer.and_then(|trailer| trailer.role).or(reported_role) {
            Some(Role::Primary) => self.apply_primary_claim(index, trailer.is_some(), sent_at, actions),
            Some(Role::Replica) => self.record_replica(index, actions),
            None => {}
        }
    }

    /// Applies a host's claim to be the primary. `in_response` is whether the claim came with the answer to a
    /// request, and `sent_at` is when that or the health check was sent.
    fn apply_primary_claim(
        &mut self, index: HostIndex, in_response: bool, sent_at: Timestamp, actions: &mut dyn Actions,
    ) {
        if self.is_claim_outdated(index, in_response, sent_at) {
            return;
        }
        self.hosts[index].replication.record_role(Role::Primary, actions.now());
        if self.accepts_primary_claim(index, in_response) {
            self.confirm_primary(index, actions);
        }
    }

    fn apply_position(&mut self, index: HostIndex, position: Timestamp, report: &LoadReport, now: Timestamp) {
        // If the hosts' time is unknown, so is the lag; it is recorded as zero.
        let age = self.latest_host_time(now).map_or(Duration::ZERO, |host_time| host_time - position);
        if report.role == Some(Role::Primary) {
            self.statistics.record_report_age(age);
        }
        let lag = age - self.statistics.median_report_age();
        let host = &mut self.hosts[index];
        host.replication.record_position(position, lag, now);
        host.load.set_queue_length(report.queue_length.unwrap_or_default());
    }

    /// Makes a host the believed primary of its shard, and moves the shard to Healthy.
    fn confirm_primary(&mut self, index: HostIndex, actions: &mut dyn Actions) {
        let now = actions.now();
        let shard_id = self.hosts[index].listing.shard_id();
        if self.shards[shard_id].primary.is_some_and(|primary| primary != index) {
            self.fail_over(shard_id, actions);
        }
        self.hosts[index].replication.confirm_primary(now);
        let shard = &mut self.shards[shard_id];
        if shard.state() != ShardState::Healthy || !shard.is_primary(index) {
            shard.enter_healthy(index, now);
            self.drain_queues(shard_id, actions);
        }
    }

    /// Returns whether a host's claim to be the primary may be older than what the router knows: an answer that
    /// was delayed on the way must not undo a failover. After the claim's request was sent, the host has
    /// answered as a replica, or, for a claim without a position, another host was confirmed as the primary.
    fn is_claim_outdated(&self, index: HostIndex, in_response: bool, sent_at: Timestamp) -> bool {
        let successor = self.shard_of(index).primary.filter(|primary| in_response && *primary != index);
        let is_newer = |primary: HostIndex| sent_at < self.hosts[primary].replication.last_seen_primary();
        sent_at < self.hosts[index].replication.last_seen_replica() || successor.is_some_and(is_newer)
    }

    /// Returns whether a host's claim to be the primary is accepted. `in_response` is whether the claim came
    /// with the answer to a request.
    fn accepts_primary_claim(&self, index: HostIndex, in_response: bool) -> bool {
        let host = &self.hosts[index];
        let shard = self.shard_of(index);
        if !shard.is_primary(index) {
            // If two hosts claim to be the primary, the one with newer data is the successor.
            let position = host.replication.position();
            let is_newer = |primary: HostIndex| position > self.hosts[primary].replication.position();
            return in_response || shard.primary.is_none_or(is_newer);
        }
        match shard.state() {
            ShardState::Healthy => true,
            ShardState::Unhealthy => in_response || !host.health.is_unresponsive(),
            // A report from before the Failover does not show that the Failover has ended.
            ShardState::Failover => {
                let since = self.host_clock.estimated(shard.state_since());
                in_response || (host.replication.position() > since && !host.health.is_unresponsive())
            }
        }
    }
}
