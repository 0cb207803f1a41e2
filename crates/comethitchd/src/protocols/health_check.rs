//! One health check of a host: runs the protocol's exchange in a task, and reports the result to the policy.

use crate::stages::policy_driver;
use crate::state::host_connection::{ConnectionError, attempt_outcome};
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use comethitch_policy::{Host, LoadReport};
use std::future::Future;
use std::rc::Rc;

/// How a health check ended.
pub(super) struct HealthCheckResult {
    /// Whether the host gave a usable answer, or why not.
    pub completion: Result<(), ConnectionError>,
    /// What the host reported.
    pub report: LoadReport,
}

/// Starts a health check of a host, with the protocol's exchange as `check`.
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
    log::debug!("health check of {}: {completion:?}, {report:?}", state.hosts.directory().name(host));
    policy_driver::call(&state, EventLoopStep::HealthChecked, |router, actions| {
        router.health_checked(host, outcome, report, actions);
    });
}
