//! Applies endpoint lists and updates from the discovery service unless they are outdated, and logs their
//! entries.

use crate::service::discovery_client::DiscoveryError;
use crate::stages::updates;
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use crate::wire::discovery::{self, EndpointList};
use comethitch_policy::Lifecycle;
use log::Level;
use std::rc::Rc;

/// Maximum number of entries of a list that are logged one by one at level info. The entries of longer lists
/// are logged at level debug.
const MAX_INFO_ENTRIES: usize = 32;

/// Parses and applies a list or an update, and marks the router ready. `version_before` is the version that
/// was current when the response was requested. If another response has brought a newer version since, this
/// one may be outdated.
///
/// # Errors
///
/// If the text is not a valid endpoint list.
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

/// Logs the entries at level info if the list is short; otherwise logs a summary, and the entries at level
/// debug. Logging an entry costs several times as much as applying it.
fn log_list(list: &EndpointList) {
    let is_long = list.entries.len() > MAX_INFO_ENTRIES;
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
