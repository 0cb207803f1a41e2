//! Records how an attempt ended: its count, its value or its host's error, and whether its request is finished.

use crate::stages::reply;
use crate::state::host_connection::{ConnectionError, attempt_outcome};
use crate::state::pending_requests::Reply;
use crate::state::router_state::RouterState;
use comethitch_policy::{AttemptOutcome, RequestId};

/// Records the end of an attempt; true if its request has its final answer. The first complete value is that answer.
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
    let requests = &state.requests;
    if let Some(task) = requests.take_attempt(id, attempt) {
        task.detach();
    }
    let answered = requests.is_answered(id);
    requests.remove_if_finished(id);
    answered
}
