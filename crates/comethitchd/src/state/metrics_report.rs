//! The periodic log lines of a router: its counters, the times of its event loop's steps, how statements were
//! classified, and the faults of hosts.

use crate::state::dropped_log_lines::take_dropped_lines;
use crate::state::log_fields::{LogFields, log_with_fields};
use crate::state::router_state::RouterState;
use comethitch_statement::StatementAdmission;
use log::Level;
use std::cmp::Reverse;

/// Maximum number of combinations of host and outcome whose faults are logged separately. The rest are added
/// up.
const MAX_HOST_FAULTS_LOGGED: usize = 32;

/// Logs what was counted since the last call. A line without any event to report is not logged.
pub fn log_metrics(state: &RouterState) {
    log_counts(state);
    log_steps(state);
    log_statements(state);
    log_host_faults(state);
}

fn log_counts(state: &RouterState) {
    let mut counts = state.metrics.take_counts();
    counts.push_nonzero("log_lines_dropped", take_dropped_lines());
    if counts.is_empty() {
        return;
    }
    counts.push("now_commands_in_progress", state.requests.len() as u64);
    counts.push("now_client_connections", state.clients.len() as u64);
    counts.push("now_idle_host_connections", state.hosts.idle_connections() as u64);
    counts.push("now_host_connections", state.hosts.open_connections() as u64);
    log_with_fields(Level::Info, module_path!(), "counts", &counts);
}

fn log_steps(state: &RouterState) {
    let mut fields = LogFields::default();
    for (step, time) in state.metrics.steps.take() {
        let name = step.name();
        fields.push(format!("{name}_count"), time.count);
        fields.push(format!("{name}_us"), time.total.as_micros() as u64);
        fields.push(format!("{name}_longest_us"), time.max.as_micros() as u64);
    }
    if !fields.is_empty() {
        log_with_fields(Level::Info, module_path!(), "event loop steps", &fields);
    }
}

fn log_statements(state: &RouterState) {
    let counts = state.statement_rules.with_admission(|admission| admission.map(take_statement_counts));
    if let Some(counts) = counts.filter(|counts| !counts.is_empty()) {
        log_with_fields(Level::Info, module_path!(), "statements", &counts);
    }
}

/// Returns how statements were classified since the last call, and the state of the cache. Empty if there
/// were none.
fn take_statement_counts(admission: &mut StatementAdmission) -> LogFields {
    let counts = admission.take_counts();
    let mut fields = LogFields::default();
    for (effect, count) in StatementAdmission::EFFECTS.iter().zip(counts.effects) {
        fields.push_nonzero(effect.name(), count);
    }
    fields.push_nonzero("cache_hits", counts.cache_hits);
    fields.push_nonzero("parsed", counts.parsed);
    fields.push_nonzero("ambiguous", counts.ambiguous);
    fields.push_nonzero("client_budget_exhausted", counts.client_budget_exhausted);
    fields.push_nonzero("total_budget_exhausted", counts.total_budget_exhausted);
    fields.push_nonzero("rejected", counts.rejected);
    fields.push_nonzero("raised", counts.raised);
    if !fields.is_empty() {
        fields.push("cache_bytes", admission.memory_bytes() as u64);
        fields.push("cache_rejections_total", admission.cache_counts().rejections);
        fields.push("cache_evictions_total", admission.cache_counts().evictions);
    }
    fields
}

/// Logs the most frequent faults by host and outcome, and the total of the others.
fn log_host_faults(state: &RouterState) {
    let mut faults = state.metrics.host_faults.take();
    faults.sort_unstable_by_key(|(_, count)| Reverse(*count));
    let others = faults.split_off(faults.len().min(MAX_HOST_FAULTS_LOGGED));
    let directory = state.hosts.directory();
    for ((host, outcome), count) in faults {
        log::warn!(host = directory.name(host), outcome:?, count; "host faults");
    }
    if !others.is_empty() {
        let count: u64 = others.iter().map(|(_, count)| count).sum();
        log::warn!(count, kinds = others.len(); "more host faults");
    }
}
