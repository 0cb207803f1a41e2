//! The periodic log lines of a router: its counts, the time its event loop took, what was done with statements, and the
//! faults by host.

use crate::state::log_fields::{LogFields, log_with_fields, take_dropped_lines};
use crate::state::router_state::RouterState;
use comethitch_statement::StatementAdmission;
use log::Level;

/// Faults of hosts that get a line each; of the others only their number is logged.
const MAX_HOST_FAULTS_LOGGED: usize = 32;

/// Logs what was counted since the last time; no line for what did not happen.
pub fn log_metrics(state: &RouterState) {
    log_counts(state);
    log_steps(state);
    log_statements(state);
    log_host_faults(state);
}

fn log_counts(state: &RouterState) {
    let mut counts = state.metrics.take_counts();
    let dropped_lines = take_dropped_lines();
    if dropped_lines > 0 {
        counts.push(("log_lines_dropped".to_string(), dropped_lines));
    }
    if counts.is_empty() {
        return;
    }
    let gauges = [
        ("now_commands_in_progress", state.requests.len()),
        ("now_client_connections", state.clients.len()),
        ("now_idle_host_connections", state.hosts.idle_connections()),
        ("now_host_connections", state.hosts.open_connections()),
    ];
    counts.extend(gauges.map(|(name, number)| (name.to_string(), number as u64)));
    log_with_fields(Level::Info, module_path!(), "counts", &LogFields(counts));
}

/// Logs how often each step of the event loop was taken, and how long all and the longest of them took, in microseconds.
fn log_steps(state: &RouterState) {
    let mut fields = Vec::new();
    for (step, time) in state.metrics.steps.take() {
        let name = step.name();
        fields.push((format!("{name}_count"), time.count));
        fields.push((format!("{name}_us"), time.total.as_micros() as u64));
        fields.push((format!("{name}_longest_us"), time.longest.as_micros() as u64));
    }
    if !fields.is_empty() {
        log_with_fields(Level::Info, module_path!(), "event loop steps", &LogFields(fields));
    }
}

fn log_statements(state: &RouterState) {
    let counts = state.statement_rules.with_admission(|admission| admission.map(statement_counts));
    if let Some(counts) = counts.filter(|counts| !counts.is_empty()) {
        log_with_fields(Level::Info, module_path!(), "statements", &LogFields(counts));
    }
}

/// What was done with statements since the last time, and the state of the cache; empty if nothing was done.
fn statement_counts(admission: &mut StatementAdmission) -> Vec<(String, u64)> {
    let done = admission.take_counts();
    let effects = StatementAdmission::EFFECTS.iter().zip(done.effects);
    let effects = effects.map(|(effect, count)| (effect.name(), count));
    let decisions = [
        ("cache_hits", done.hits),
        ("parsed", done.parsed),
        ("ambiguous", done.ambiguous),
        ("client_budget_exhausted", done.client_budget_exhausted),
        ("total_budget_exhausted", done.total_budget_exhausted),
        ("rejected", done.rejected),
        ("raised", done.raised),
    ];
    let mut counts: Vec<(String, u64)> = effects
        .chain(decisions)
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| (name.to_string(), count))
        .collect();
    if !counts.is_empty() {
        counts.extend([
            ("cache_bytes".to_string(), admission.memory_bytes() as u64),
            ("cache_rejections_total".to_string(), admission.cache_counts().rejections),
            ("cache_evictions_total".to_string(), admission.cache_counts().evictions),
        ]);
    }
    counts
}

/// Logs the most frequent faults by host, and how many others there were.
fn log_host_faults(state: &RouterState) {
    let mut faults = state.metrics.host_faults.take();
    faults.sort_unstable_by_key(|(_, number)| std::cmp::Reverse(*number));
    let others = faults.split_off(faults.len().min(MAX_HOST_FAULTS_LOGGED));
    for ((host, outcome), number) in faults {
        log::warn!(number; "{}: {outcome:?} {number} times", state.hosts.directory().name(host));
    }
    if !others.is_empty() {
        let number: u64 = others.iter().map(|(_, number)| number).sum();
        log::warn!(number; "other hosts: {number} faults of {} kinds", others.len());
    }
}
