//! Records how attempts ended: counts their outcomes, answers requests with the values, and stores errors of
//! hosts.

use crate::stages::reply;
use crate::state::host_connection::{ConnectionError, attempt_outcome};
use crate::state::pending_requests::Reply;
use crate::state::router_state::RouterState;
use comethitch_policy::{AttemptOutcome, RequestId};

/// Records the end of an attempt. `payload` is a value, which becomes the request's final answer unless it
/// already has one, or the error response of the host. Returns whether the request now has its final answer.
pub fn record(
    state: &RouterState, id: RequestId, attempt: u16, completion: &Result<(), ConnectionError>,
    payload: Vec<u8>,
) -> bool {
    let outcome = attempt_outcome(completion);
    state.metrics.attempts.increment(outcome);
    if completion.is_ok() {
        reply::answer(state, id, Reply::Value(payload));
    } else if outcome == AttemptOutcome::Error && !payload.is_empty() {
        state.requests.record_host_error(id, payload);
    }
    if let Some(task) = state.requests.take_attempt(id, attempt) {
        // This code runs within the task, and dropping the task would cancel it.
        task.detach();
    }
    let answered = state.requests.is_answered(id);
    state.requests.remove_if_finished(id);
    answered
}
