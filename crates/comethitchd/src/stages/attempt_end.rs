//! Records how attempts ended: counts them, answers their requests with the values, and keeps hosts' errors.

use crate::stages::reply;
use crate::state::host_connection::{ConnectionError, attempt_outcome};
use crate::state::pending_requests::Reply;
use crate::state::router_state::RouterState;
use comethitch_policy::{AttemptOutcome, RequestId};

/// Records the end of an attempt, whose value is the final answer if the request has none yet. Returns whether the
/// request has its final answer.
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
        // The task itself is running this: dropping it would cancel it.
        task.detach();
    }
    let answered = state.requests.is_answered(id);
    state.requests.remove_if_finished(id);
    answered
}
