//! The time on the hosts' clocks: its bounds, as used in decisions, and the polls of primaries that determine
//! it.

use super::host_clock::ClockState;
use super::recent_requests::is_in_use;
use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::Timestamp;
use crate::{Actions, LoadReport, Role};

impl Router {
    /// Returns the state of the router's clock relative to the hosts' clocks, for the log.
    pub fn clock_state(&self) -> ClockState {
        self.host_clock.state()
    }

    /// Returns whether the router must know the time on the hosts' clocks, and can poll primaries for it.
    ///
    /// It need not know it if replicas check staleness themselves, and cannot poll if health checks are not
    /// permitted: reports then arrive with responses only.
    fn depends_on_host_clock(&self) -> bool {
        self.settings.deployment().may_check_health && self.settings.router_enforces_staleness()
    }

    /// Returns the latest possible time on the hosts' clocks, which gives the maximum age of their data;
    /// `None` if unknown.
    pub(super) fn latest_host_time(&self, now: Timestamp) -> Option<Timestamp> {
        self.host_clock.latest(now).or_else(|| (!self.depends_on_host_clock()).then_some(now))
    }

    /// Returns the earliest possible time on the hosts' clocks, which gives the minimum time since a host
    /// started; `None` if unknown.
    pub(super) fn earliest_host_time(&self, now: Timestamp) -> Option<Timestamp> {
        self.host_clock.earliest(now).or_else(|| (!self.depends_on_host_clock()).then_some(now))
    }

    /// Adds the position in a host's report to the estimate of the hosts' time.
    ///
    /// A position that has not advanced is ignored: its age is unknown, and it would make the router's clock
    /// seem ahead.
    pub(super) fn record_host_time(&mut self, index: HostIndex, report: &LoadReport, now: Timestamp) {
        let advanced = |position: &Timestamp| *position > self.hosts[index].replication.position();
        let Some(position) = report.position.filter(advanced) else { return };
        let by_primary = match report.role {
            Some(role) => role == Role::Primary,
            None => self.is_primary(index),
        };
        self.host_clock.record_position(position, by_primary, now);
    }

    /// Polls one believed primary, in turn, while the hosts' time is not known well enough.
    ///
    /// The poll interval grows while no primary reports a new position, as hundreds of routers may poll at
    /// once.
    pub(super) fn poll_host_clock(&mut self, actions: &mut dyn Actions) {
        let now = actions.now();
        if !self.depends_on_host_clock() || !self.host_clock.needs_primary_reports() {
            return;
        }
        self.host_clock.update_replica_fallback(now);
        if !self.host_clock.is_poll_due(now) {
            return;
        }
        let primaries: Vec<HostIndex> = self.pollable_primaries(now).collect();
        if let Some(index) = self.host_clock.next_to_poll(&primaries, now) {
            self.send_health_check(index, actions);
        }
    }

    /// Returns the believed primaries of shards in use that can be sent a health check now.
    fn pollable_primaries(&self, now: Timestamp) -> impl Iterator<Item = HostIndex> {
        let in_use = self.shards.iter().map(|(_, shard)| shard).filter(move |shard| is_in_use(shard, now));
        in_use.filter_map(|shard| shard.primary).filter(move |index| {
            let host = &self.hosts[*index];
            !host.checks.is_in_flight() && !host.listing.is_removed() && host.load.has_free_connection(now)
        })
    }
}
