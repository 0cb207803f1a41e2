//! Periodic maintenance: closes expired connections, and logs state transitions and metrics.

use crate::state::metrics_report::log_metrics;
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Interval between sweeps, which close expired connections and log state transitions.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Number of sweeps per metrics report, which results in one report every ten seconds.
const SWEEPS_PER_REPORT: u32 = 40;

/// Sweeps every `SWEEP_INTERVAL`, and logs the metrics every `SWEEPS_PER_REPORT` sweeps; never completes.
pub(crate) async fn run_periodically(state: Rc<RouterState>) {
    for round in 1.. {
        Timer::after(SWEEP_INTERVAL).await;
        state.metrics.steps.measure(EventLoopStep::Sweep, || sweep(&state));
        if round % SWEEPS_PER_REPORT == 0 {
            log_metrics(&state);
        }
    }
}

fn sweep(state: &RouterState) {
    let now = state.clock.now();
    state.hosts.close_expired(now);
    state.clients.close_expired(now);
    state.log_transitions();
}
