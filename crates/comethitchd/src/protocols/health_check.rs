//! Runs one health check of a host: spawns a task for the protocol's exchange, and reports the result to the
//! policy.

use crate::stages::policy_driver;
use crate::state::host_connection::{ConnectionError, attempt_outcome};
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use comethitch_policy::time::Timestamp;
use comethitch_policy::{Host, LoadReport};
use std::future::Future;
use std::rc::Rc;

/// The result of a health check.
pub(super) struct HealthCheckResult {
    /// `Ok` if the host gave a usable answer, otherwise the reason why it did not.
    pub completion: Result<(), ConnectionError>,
    /// The host's load report.
    pub report: LoadReport,
}

/// Starts a health check of a host, which runs the protocol's exchange `check`.
pub(super) fn start<F: Future<Output = HealthCheckResult> + 'static>(
    state: &Rc<RouterState>, host: Host, check: impl FnOnce(Rc<RouterState>) -> F + 'static,
) {
    state.metrics.health_checks.increment();
    let task = run(state.clone(), host, check);
    state.tasks.spawn(task).detach();
}

async fn run<F: Future<Output = HealthCheckResult>>(
    state: Rc<RouterState>, host: Host, check: impl FnOnce(Rc<RouterState>) -> F,
) {
    let HealthCheckResult { completion, report } = check(state.clone()).await;
    if completion.is_err() {
        state.metrics.health_checks_failed.increment();
    }
    let outcome = attempt_outcome(&completion);
    state.record_host_outcome(host, outcome, report.role);
    log_result(&state, host, &completion, &report);
    policy_driver::call(&state, EventLoopStep::HealthChecked, |router, actions| {
        router.health_checked(host, outcome, report, actions);
    });
}

fn log_result(
    state: &RouterState, host: Host, completion: &Result<(), ConnectionError>, report: &LoadReport,
) {
    let endpoints = state.hosts.directory();
    log::debug!(
        host = endpoints.name(host),
        result:? = completion,
        role:? = report.role,
        position_us = report.position.map(Timestamp::as_micros),
        queue = report.queue_length;
        "health check ended"
    );
}
