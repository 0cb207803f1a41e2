//! Load reports.

use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::Duration;
use crate::{Actions, LoadReport, Role, ShardState};

impl Router {
    /// Applies a host's load report and, if it answered a request, the note on the answer.
    pub(super) fn apply_report(
        &mut self, index: HostIndex, report: LoadReport, trailer: Option<LoadReport>, out: &mut dyn Actions,
    ) {
        let now = out.now();
        self.record_host_time(index, &report, now);
        if let Some(position) = report.position {
            // Where the hosts' time is not known yet, nothing is known of a lag either.
            let age = self.latest_host_time(now).map_or(Duration::ZERO, |host_time| host_time - position);
            if report.role == Some(Role::Primary) {
                self.statistics.record_report_age(age);
            }
            let report_age = self.statistics.median_report_age();
            let host = &mut self.hosts[index];
            host.position = host.position.max(position);
            host.apply_position(age - report_age, &report, now);
        }
        let host = &mut self.hosts[index];
        // A report may be older than an answer: one from before it last answered as primary is void.
        let last_seen_primary = self.host_clock.estimated(host.last_seen_primary);
        let newer = report.position.is_none_or(|position| position > last_seen_primary);
        let reported_role = report.role.filter(|role| *role == Role::Primary || newer);
        let Some(role) = trailer.and_then(|trailer| trailer.role).or(reported_role) else { return };
        host.role = Some(role);
        if role == Role::Primary && self.proves_primary(index, trailer.is_some()) {
            self.confirm_primary(index, out);
        } else if role == Role::Replica && self.shard_of(index).primary == Some(index) {
            self.fail_over(self.hosts[index].shard_id, out);
        }
    }

    fn confirm_primary(&mut self, index: HostIndex, out: &mut dyn Actions) {
        let now = out.now();
        if self.shard_of(index).primary.is_some_and(|primary| primary != index) {
            self.fail_over(self.hosts[index].shard_id, out);
        }
        self.hosts[index].last_seen_primary = now;
        let shard = self.shard_of_mut(index);
        if shard.state != ShardState::Healthy || shard.primary != Some(index) {
            shard.primary = Some(index);
            shard.enter(ShardState::Healthy, now);
            self.drain_queues(self.hosts[index].shard_id, out);
        }
    }

    fn proves_primary(&self, index: HostIndex, by_answer: bool) -> bool {
        let host = &self.hosts[index];
        let shard = self.shard_of(index);
        if shard.primary != Some(index) {
            // Two claim the role: the one whose data are newer took over.
            let newer = |primary: HostIndex| host.position > self.hosts[primary].position;
            return by_answer || shard.primary.is_none_or(newer);
        }
        match shard.state {
            ShardState::Healthy => true,
            ShardState::Unhealthy => by_answer || !host.unresponsive,
            // Failover ends with evidence newer than it: a report made earlier tells of the time before.
            ShardState::Failover => {
                let since = self.host_clock.estimated(shard.state_since);
                by_answer || (host.position > since && !host.unresponsive)
            }
        }
    }
}
