//! Gives requests their final answers, counts the answers, and logs rejections.

use crate::state::metrics::Counter;
use crate::state::pending_requests::{AnswerKind, Reply};
use crate::state::router_state::RouterState;
use comethitch_policy::RequestId;

/// Gives a request its final answer. Returns false if it was answered before or its client has disconnected.
///
/// If the request failed and a host responded to its latest attempt with an error, the answer carries that
/// error.
pub fn answer(state: &RouterState, id: RequestId, reply: Reply) -> bool {
    let reply = with_host_error(state, id, reply);
    let counter = counter_of(state, reply.kind());
    let delivered = state.requests.answer(id, reply);
    if delivered {
        counter.increment();
    }
    delivered
}

/// Logs a rejected request. `id` is the client's id of the request, or empty if it is not known.
pub fn log_rejection(id: &str, reason: &'static str, answer: AnswerKind) {
    log::info!(id, reason, answer = answer.name(); "request rejected");
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

fn counter_of(state: &RouterState, kind: AnswerKind) -> &Counter {
    match kind {
        AnswerKind::Answered => &state.metrics.answered,
        AnswerKind::Throttled => &state.metrics.throttled,
        AnswerKind::Failed => &state.metrics.failed,
    }
}
