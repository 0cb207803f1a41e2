//! Gives requests their final answers and counts them.

use crate::state::metrics::Counter;
use crate::state::pending_requests::Reply;
use crate::state::router_state::RouterState;
use comethitch_policy::RequestId;

/// Gives a request its final answer. Returns false if it was answered before or its client has disconnected.
///
/// A failure carries the host's error response to the latest attempt, if there is one.
pub fn answer(state: &RouterState, id: RequestId, reply: Reply) -> bool {
    let reply = with_host_error(state, id, reply);
    let counter = counter_of(state, &reply);
    let delivered = state.requests.answer(id, reply);
    if delivered {
        counter.increment();
    }
    delivered
}

fn with_host_error(state: &RouterState, id: RequestId, reply: Reply) -> Reply {
    match reply {
        Reply::Failed => {
            let host_error = state.requests.take_host_error(id);
            host_error.map_or(Reply::Failed, Reply::FailedWithHostError)
        }
        reply => reply,
    }
}

fn counter_of<'a>(state: &'a RouterState, reply: &Reply) -> &'a Counter {
    match reply {
        Reply::Value(_) | Reply::Streaming(..) => &state.metrics.answered,
        Reply::Throttled(_) => &state.metrics.throttled,
        Reply::Failed | Reply::FailedWithHostError(_) | Reply::Cancelled => &state.metrics.failed,
    }
}
