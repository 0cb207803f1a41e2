//! What the router knows of a database host.
//!
//! What follows from it is decided in [`policy`](crate::policy).

use crate::health_check_state::HealthCheckState;
use crate::host_health::HostHealth;
use crate::host_load::HostLoad;
use crate::listing::Listing;
use crate::replication_status::ReplicationStatus;
use crate::time::{Duration, Timestamp};
use crate::{Endpoint, Host, histogram::Histogram};
use comethitch_fleet::quota::Window;

/// A database host as this router sees it.
#[derive(Default)]
pub(crate) struct HostState {
    pub host: Host,
    pub listing: Listing,
    pub replication: ReplicationStatus,
    pub health: HostHealth,
    pub checks: HealthCheckState,
    pub load: HostLoad,
    /// Attempts of requests in progress, ended ones included, that refer to this host.
    attempts_in_progress: u32,
}

impl HostState {
    /// Returns a host that was just listed for the first time. `relative_latency` is empty.
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

    /// Records an attempt that is sent to the host.
    pub(crate) fn record_attempt(&mut self, work: Duration, cost: f64, window: &Window) {
        self.load.record_sent(work, cost, window);
        self.health.expect_answer(window.now);
        self.attempts_in_progress += 1;
    }

    /// Records that the request of an attempt is forgotten.
    pub(crate) fn forget_attempt(&mut self) {
        self.attempts_in_progress -= 1;
    }

    /// Returns whether a health check in flight or an attempt of a request in progress refers to the host.
    pub(crate) fn is_referred_to(&self) -> bool {
        self.checks.is_in_flight() || self.attempts_in_progress > 0
    }

    /// Records a health check that is sent to the host.
    pub(crate) fn record_health_check(&mut self, now: Timestamp) {
        self.checks.record_sent(now);
        self.health.expect_answer(now);
    }

    /// Records that the host rejected a connection for lack of slots, which is a sign of life.
    pub(crate) fn record_connection_rejected(
        &mut self, hash_seed: u64, connect_timeout: Duration, now: Timestamp,
    ) {
        self.health.record_sign_of_life(now);
        self.load.record_connection_rejected(hash_seed, self.host.number(), connect_timeout, now);
    }
}
