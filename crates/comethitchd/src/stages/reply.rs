//! The one final answer to a request.

use crate::state::metrics::Counter;
use crate::state::pending_requests::Reply;
use crate::state::router_state::RouterState;
use comethitch_policy::RequestId;

/// Gives a request its final answer if it has none yet; whether it was this one. A failure carries the error that a
/// host answered the latest attempt with, if there is one.
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
