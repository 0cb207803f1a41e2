//! The deployment's settings, and the values that are derived from them once at startup.

use super::intervals::HEALTH_CHECK_INTERVAL;
use crate::time::Duration;
use crate::{Consistency, Deployment, RequestClass, SlowStart, StalenessCheck};

/// Divisor of the shortest latency objective: the tick interval is at least a sixteenth of it.
const MIN_TICK_DIVISOR: u64 = 16;
/// Divisor of the latency objective: an attempt that takes longer than half of it is late.
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
    /// Derives a router's settings from the settings of its deployment.
    pub(super) fn new(deployment: Deployment) -> Settings {
        let objectives = || deployment.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = deployment.shortest_latency_objective().unwrap_or(HEALTH_CHECK_INTERVAL);
        let router_enforces_staleness = deployment.staleness_check == StalenessCheck::Off;
        Settings {
            shortest_objective,
            longest_objective: objectives().max().unwrap_or(shortest_objective),
            tightest_bound: deployment.tightest_staleness_bound().unwrap_or(HEALTH_CHECK_INTERVAL),
            tick_interval: deployment.tick.max(shortest_objective / MIN_TICK_DIVISOR),
            refreshes_on_demand: router_enforces_staleness && !deployment.serves(Consistency::Session),
            deployment,
        }
    }

    /// Returns the deployment's settings.
    pub(super) fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the request class with this index.
    pub(super) fn class(&self, request_class: usize) -> &RequestClass {
        &self.deployment.classes[request_class]
    }

    /// Returns the time after which an attempt of a request class counts as late.
    pub(super) fn late_after(&self, request_class: usize) -> Duration {
        self.class(request_class).latency_objective / LATE_DIVISOR
    }

    /// Returns the slow-start settings.
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

    /// Returns the interval between calls of [`Router::tick`](crate::Router::tick).
    pub(super) fn tick_interval(&self) -> Duration {
        self.tick_interval
    }

    /// Returns whether the router alone enforces staleness bounds, by the positions that it knows: replicas
    /// then answer reads from data of any age.
    pub(super) fn router_enforces_staleness(&self) -> bool {
        self.deployment.staleness_check == StalenessCheck::Off
    }

    /// Returns whether positions are refreshed only when a request needs them: the router alone enforces
    /// staleness bounds, and no request class has session consistency.
    pub(super) fn refreshes_on_demand(&self) -> bool {
        self.refreshes_on_demand
    }
}
