//! The hosts' time as the decisions use it, and the polls of primaries that establish it.

use super::host_clock::ClockState;
use super::recent_requests::is_in_use;
use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::Timestamp;
use crate::{Actions, LoadReport, Role};

impl Router {
    /// Returns how the router's clock stands to the hosts', for the log.
    pub fn clock_state(&self) -> ClockState {
        self.host_clock.state()
    }

    /// Returns whether the age of positions depends on the hosts' clocks, and primaries can be polled for them.
    ///
    /// Elsewhere replicas check the age of their data themselves, or reports arrive with responses only.
    fn depends_on_host_clock(&self) -> bool {
        self.settings.deployment().may_check_health && self.settings.positions_guard_reads()
    }

    /// Returns the latest possible time at the hosts, for the age of their data, if known.
    pub(super) fn latest_host_time(&self, now: Timestamp) -> Option<Timestamp> {
        self.host_clock.latest(now).or_else(|| (!self.depends_on_host_clock()).then_some(now))
    }

    /// Returns the earliest possible time at the hosts, for how long ago they started, if known.
    pub(super) fn earliest_host_time(&self, now: Timestamp) -> Option<Timestamp> {
        self.host_clock.earliest(now).or_else(|| (!self.depends_on_host_clock()).then_some(now))
    }

    /// Records the position of a host's report for the estimate of the hosts' time.
    ///
    /// Ignores a position that has not advanced: its age is unknown, and it would make the router's clock seem ahead.
    pub(super) fn record_host_time(&mut self, index: HostIndex, report: &LoadReport, now: Timestamp) {
        let advanced = |position: &Timestamp| *position > self.hosts[index].replication.position();
        let Some(position) = report.position.filter(advanced) else { return };
        let by_primary = match report.role {
            Some(role) => role == Role::Primary,
            None => self.is_primary(index),
        };
        self.host_clock.record_position(position, by_primary, now);
    }

    /// Polls one believed primary for the hosts' time while that is unknown, each time another one.
    ///
    /// The polls back off while no primary reports anything new, as hundreds of routers may poll at once.
    pub(super) fn poll_host_clock(&mut self, out: &mut dyn Actions) {
        let now = out.now();
        if !self.depends_on_host_clock() || !self.host_clock.needs_reports() {
            return;
        }
        self.host_clock.wait_for_primary(now);
        if !self.host_clock.is_poll_due(now) {
            return;
        }
        let primaries: Vec<HostIndex> = self.pollable_primaries(now).collect();
        if let Some(index) = self.host_clock.next_to_poll(&primaries, now) {
            self.send_health_check(index, out);
        }
    }

    /// Returns the believed primaries of shards in use that have no health check in flight.
    fn pollable_primaries(&self, now: Timestamp) -> impl Iterator<Item = HostIndex> {
        let in_use = self.shards.iter().map(|(_, shard)| shard).filter(move |shard| is_in_use(shard, now));
        in_use.filter_map(|shard| shard.primary).filter(move |index| {
            let host = &self.hosts[*index];
            !host.checks.is_in_flight() && !host.listing.is_removed() && host.load.has_free_connection(now)
        })
    }
}
