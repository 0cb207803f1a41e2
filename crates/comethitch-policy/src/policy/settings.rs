//! The deployment's settings, and what is derived from them once at the start.

use super::intervals::HEALTH_CHECK_INTERVAL;
use crate::time::Duration;
use crate::{Consistency, Deployment, RequestClass, SlowStart, StalenessCheck};

/// Minimum tick interval: the shortest latency objective over this.
const TICK_DIVISOR: u64 = 16;
/// An attempt is late past its latency objective over this.
const LATE_DIVISOR: u64 = 2;

/// Immutable settings of a router.
pub(super) struct Settings {
    deployment: Deployment,
    shortest_objective: Duration,
    longest_objective: Duration,
    tightest_bound: Duration,
    tick_interval: Duration,
    refreshes_on_demand: bool,
}

impl Settings {
    /// Derives the settings of a router from its deployment's.
    pub(super) fn new(deployment: Deployment) -> Settings {
        let objectives = || deployment.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = deployment.shortest_latency_objective().unwrap_or(HEALTH_CHECK_INTERVAL);
        let positions_guard_reads = deployment.staleness_check == StalenessCheck::Off;
        Settings {
            shortest_objective,
            longest_objective: objectives().max().unwrap_or(shortest_objective),
            tightest_bound: deployment.tightest_staleness_bound().unwrap_or(HEALTH_CHECK_INTERVAL),
            tick_interval: deployment.tick.max(shortest_objective / TICK_DIVISOR),
            refreshes_on_demand: positions_guard_reads && !deployment.serves(Consistency::Session),
            deployment,
        }
    }

    /// Returns the deployment's settings.
    pub(super) fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns a request class by its number.
    pub(super) fn class(&self, request_class: usize) -> &RequestClass {
        &self.deployment.classes[request_class]
    }

    /// Returns how long an attempt of a request class may take before it counts as late.
    pub(super) fn late_after(&self, request_class: usize) -> Duration {
        self.class(request_class).latency_objective / LATE_DIVISOR
    }

    /// Returns the settings of hosts in slow start.
    pub(super) fn slow_start(&self) -> &SlowStart {
        &self.deployment.slow_start
    }

    /// Returns the shortest latency objective of all request classes.
    pub(super) fn shortest_objective(&self) -> Duration {
        self.shortest_objective
    }

    /// Returns the longest latency objective of all request classes.
    pub(super) fn longest_objective(&self) -> Duration {
        self.longest_objective
    }

    /// Returns the tightest staleness bound of all request classes.
    pub(super) fn tightest_bound(&self) -> Duration {
        self.tightest_bound
    }

    /// Returns how often [`Router::tick`](crate::Router::tick) asks to be called.
    pub(super) fn tick_interval(&self) -> Duration {
        self.tick_interval
    }

    /// Returns whether nothing but the positions known to the router guards the staleness of reads at replicas.
    pub(super) fn positions_guard_reads(&self) -> bool {
        self.deployment.staleness_check == StalenessCheck::Off
    }

    /// Returns whether positions are refreshed as requests need them: they alone guard reads, and bounds alone need them.
    pub(super) fn refreshes_on_demand(&self) -> bool {
        self.refreshes_on_demand
    }
}
