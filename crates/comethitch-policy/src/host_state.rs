//! The state of a database host as known to the router.
//!
//! Decisions based on it are made in [`policy`](crate::policy).

use crate::health_check_state::HealthCheckState;
use crate::host_health::HostHealth;
use crate::host_load::HostLoad;
use crate::listing::Listing;
use crate::replication_status::ReplicationStatus;
use crate::time::{Duration, Timestamp};
use crate::{Endpoint, Host, histogram::Histogram};
use comethitch_fleet::quota::Window;

/// The state of a database host as known to this router.
#[derive(Default)]
pub(crate) struct HostState {
    pub host: Host,
    pub listing: Listing,
    pub replication: ReplicationStatus,
    pub health: HostHealth,
    pub checks: HealthCheckState,
    pub load: HostLoad,
    /// Number of attempts at this host that belong to requests in progress, including attempts that have
    /// ended.
    attempts_in_progress: u32,
}

impl HostState {
    /// Returns the state of a host that was first listed at `now`. `relative_latency` must be an empty
    /// histogram.
    pub(crate) fn new(endpoint: &Endpoint, relative_latency: Histogram, now: Timestamp) -> HostState {
        HostState {
            host: endpoint.host,
            listing: Listing::new(endpoint),
            replication: ReplicationStatus::default(),
            health: HostHealth::new(now),
            checks: HealthCheckState::new(now),
            load: HostLoad::new(relative_latency),
            attempts_in_progress: 0,
        }
    }

    /// Records that an attempt is sent to the host.
    pub(crate) fn record_attempt(&mut self, work: Duration, cost: f64, window: &Window) {
        self.load.record_sent(work, cost, window);
        self.health.expect_answer(window.now);
        self.attempts_in_progress += 1;
    }

    /// Records that the request of an attempt at this host is no longer in progress.
    pub(crate) fn forget_attempt(&mut self) {
        self.attempts_in_progress -= 1;
    }

    /// Returns whether a health check in flight or an attempt of a request in progress refers to the host.
    pub(crate) fn is_referenced(&self) -> bool {
        self.checks.is_in_flight() || self.attempts_in_progress > 0
    }

    /// Records that a health check is sent to the host.
    pub(crate) fn record_health_check(&mut self, now: Timestamp) {
        self.checks.record_sent(now);
        self.health.expect_answer(now);
    }

    /// Records that the host rejected a connection for lack of slots, which shows that the host is running.
    pub(crate) fn record_connection_rejected(
        &mut self, hash_seed: u64, connect_timeout: Duration, now: Timestamp,
    ) {
        self.health.record_seen(now);
        self.load.record_connection_rejected(hash_seed, self.host.as_u64(), connect_timeout, now);
    }
}
