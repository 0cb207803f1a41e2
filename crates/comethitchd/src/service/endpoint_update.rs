//! Applies endpoint lists and updates from discovery, unless they are outdated, and logs their entries.

use crate::service::discovery_client::DiscoveryError;
use crate::stages::updates;
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use crate::wire::discovery::{self, EndpointList};
use comethitch_policy::Lifecycle;
use log::Level;
use std::rc::Rc;

/// Maximum number of entries of a list that are logged one by one at level info.
const MAX_ENTRIES_LOGGED: usize = 32;

/// Parses and applies a list or an update, and marks the router ready. `version_before` is the current version at the
/// time of the request: another response may have brought a newer one since.
///
/// # Errors
///
/// If the text is no valid endpoint list.
pub(crate) fn apply(
    state: &Rc<RouterState>, text: &[u8], version_before: Option<u64>,
) -> Result<(), DiscoveryError> {
    let parse = || discovery::parse_endpoint_list(text, &state.config.zone_names);
    let list = state.metrics.steps.measure(EventLoopStep::ParseList, parse)?;
    let current_version = state.hosts.directory().version();
    let may_be_outdated = current_version != version_before || !list.complete;
    if may_be_outdated && current_version.is_some_and(|current| list.version < current) {
        log::debug!(version = list.version, current_version; "outdated endpoint list ignored");
        return Ok(());
    }
    state.metrics.steps.measure(EventLoopStep::ApplyList, || log_list(&list));
    updates::apply_endpoint_list(state, &list);
    state.discovery.set_ready();
    Ok(())
}

/// Logs each entry of a short list, and a summary of a long one: logging an entry costs several times as much as
/// applying it.
fn log_list(list: &EndpointList) {
    let is_long = list.entries.len() > MAX_ENTRIES_LOGGED;
    if is_long {
        log_summary(list);
    }
    log_entries(list, if is_long { Level::Debug } else { Level::Info });
}

fn log_summary(list: &EndpointList) {
    let count = |lifecycle| list.entries.iter().filter(|entry| entry.endpoint.lifecycle == lifecycle).count();
    log::info!(
        version = list.version,
        entries = list.entries.len(),
        ready = count(Lifecycle::Ready),
        draining = count(Lifecycle::Draining),
        removed = count(Lifecycle::Removed);
        "endpoint list received"
    );
}

fn log_entries(list: &EndpointList, level: Level) {
    for entry in &list.entries {
        let endpoint = &entry.endpoint;
        log::log!(
            level,
            version = list.version,
            host = entry.name.as_str(),
            address:% = entry.address,
            lifecycle:? = endpoint.lifecycle,
            is_primary = endpoint.is_primary,
            shard = endpoint.shard_id;
            "endpoint received"
        );
    }
}
