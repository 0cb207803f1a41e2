//! Marks a router ready even if the discovery service sends no endpoint list.

use crate::state::router_state::RouterState;
use async_io::Timer;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// How long a router whose configuration contains an endpoint list waits for a list from the discovery
/// service before it serves with the configured one.
const CONFIGURED_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a router without an endpoint list waits before it serves clients, throttling all requests until a
/// list arrives. A restarted router must be ready within ten seconds, and the discovery service may be down
/// for longer.
const NO_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Marks the router ready after a timeout, unless an endpoint list from the discovery service has already
/// done so. The timeout depends on whether the router has an endpoint list at the time of the call.
pub(crate) fn become_ready_after_timeout(state: Rc<RouterState>) -> impl Future<Output = ()> {
    let has_list = !state.hosts.directory().is_empty();
    let timeout = if has_list { CONFIGURED_LIST_TIMEOUT } else { NO_LIST_TIMEOUT };
    async move {
        Timer::after(timeout).await;
        state.discovery.set_ready();
    }
}
