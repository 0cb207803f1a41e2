//! Calls the policy, and carries out the actions that the call queued once it has returned.

use crate::stages::admit::AdmittedRequest;
use crate::stages::{attempt_end, reply};
use crate::state::host_connection::ConnectionError;
use crate::state::pending_requests::{Reply, Statement};
use crate::state::protocol::AttemptResult;
use crate::state::router_state::RouterState;
use crate::state::socket::Socket;
use crate::state::step_times::EventLoopStep;
use async_channel::Receiver;
use async_io::Timer;
use comethitch_policy::time::Duration;
use comethitch_policy::{
    Action, ActionQueue, Actions, AttemptEnd, AttemptOutcome, Host, LoadReport, RejectionReason, Request,
    RequestId, Router,
};
use std::rc::{Rc, Weak};

/// Delay of the first tick after a stall of the event loop, so that input that arrived during the stall is
/// read before the tick: clients may have disconnected or cancelled requests, and hosts may have answered.
const TICK_DELAY_AFTER_STALL: std::time::Duration = std::time::Duration::from_millis(2);

/// Calls the policy through `f`, measured as `step`, and then carries out the queued actions.
pub fn call(state: &Rc<RouterState>, step: EventLoopStep, f: impl FnOnce(&mut Router, &mut ActionQueue)) {
    let actions = state.call_policy(step, f);
    carry_out(state, actions);
}

/// An attempt that ended while actions were carried out, because it was cancelled or could not be sent.
struct EndedAttempt {
    request: RequestId,
    attempt: u16,
    error: ConnectionError,
}

/// Carries out actions in order. Attempts that were cancelled or not sent are reported to the policy after
/// the last action.
pub fn carry_out(state: &Rc<RouterState>, queue: ActionQueue) {
    let mut ended = Vec::new();
    for action in queue.actions {
        match action {
            Action::SendAttempt { request, host, timeout } => {
                let expired = state.backend.send_attempt(state, request, host, timeout);
                let error = ConnectionError::NotSent;
                ended.extend(expired.map(|attempt| EndedAttempt { request, attempt, error }));
            }
            Action::CancelAttempt { request, attempt } => {
                // Dropping the task cancels it and closes its connection.
                let task = state.requests.take_attempt(request, attempt);
                let error = ConnectionError::Cancelled;
                ended.extend(task.map(|_| EndedAttempt { request, attempt, error }));
            }
            Action::Throttle { request, retry_after, reason } => {
                reject(state, request, Reply::Throttled(retry_after), reason);
            }
            Action::Fail { request, reason } => reject(state, request, Reply::Failed, reason),
            Action::CheckHealth(host) => state.backend.check_health(state, host),
            Action::CloseIdleConnections(host) => close_idle_connections(state, host),
            Action::WakeAfter(delay) => wake_after(state, delay),
            // Nothing to do: the endpoint watch always runs.
            Action::WatchEndpoints => {}
        }
    }
    for EndedAttempt { request, attempt, error } in ended {
        attempt_ended(state, request, attempt, AttemptResult::failed(error));
    }
}

/// Answers a request that the policy has rejected; counts and logs the reason.
fn reject(state: &RouterState, request: RequestId, answer: Reply, reason: RejectionReason) {
    let statement = state.requests.statement(request);
    let answer_kind = answer.kind();
    if reply::answer(state, request, answer) {
        state.metrics.rejections.increment(reason.name());
        let id = statement.as_ref().map_or("", |statement| statement.client_id.as_str());
        reply::log_rejection(id, reason.name(), answer_kind);
    }
}

fn close_idle_connections(state: &RouterState, host: Host) {
    log::warn!(host = state.hosts.directory().name(host); "failover, host no longer considered primary");
    state.hosts.close_idle(host);
}

fn wake_after(state: &Rc<RouterState>, delay: Duration) {
    state.clock.schedule_tick(delay);
    let woken_state = state.clone();
    let tick_task = async move {
        Timer::after(delay.to_std()).await;
        if woken_state.clock.has_just_stalled() {
            Timer::after(TICK_DELAY_AFTER_STALL).await;
        }
        woken_state.clock.record_tick();
        call(&woken_state, EventLoopStep::Tick, |router, actions| router.tick(actions));
    };
    state.tasks.spawn(tick_task).detach();
}

/// Reports an attempt to the policy as answered when its answer begins to be streamed to the client.
pub fn answer_started(state: &Rc<RouterState>, id: RequestId, attempt: u16) {
    let end = AttemptEnd {
        attempt,
        outcome: AttemptOutcome::Answered,
        request_finished: true,
        trailer: LoadReport::default(),
        report: LoadReport::default(),
    };
    report_attempt_end(state, id, end);
}

/// Records the end of an attempt, and reports it to the policy.
pub fn attempt_ended(state: &Rc<RouterState>, id: RequestId, attempt: u16, result: AttemptResult) {
    let outcome = result.outcome();
    let AttemptResult { completion, trailer, report, payload, already_reported } = result;
    let request_finished = attempt_end::record(state, id, attempt, &completion, payload);
    if !already_reported {
        report_attempt_end(state, id, AttemptEnd { attempt, outcome, request_finished, trailer, report });
    }
}

fn report_attempt_end(state: &Rc<RouterState>, id: RequestId, end: AttemptEnd) {
    call(state, EventLoopStep::AttemptEnded, |router, actions| {
        if let Some(handle) = router.handle(id) {
            handle.attempt_ended(router, end, actions);
        }
    });
}

/// Submits a request to the policy; returns its id, and the channel that its final answer is sent to.
///
/// `text` is the statement in the encoding of the backend protocol, and `message_kind` the type of the message
/// that it was received in. No further attempt is sent once the connection `client` has ended.
pub fn submit(
    state: &Rc<RouterState>, admitted: AdmittedRequest, text: Vec<u8>, message_kind: u8, client: Weak<Socket>,
) -> (RequestId, Receiver<Reply>) {
    state.metrics.requests_received.increment();
    let AdmittedRequest {
        client_id,
        timeout_range,
        shape,
        class,
        shard: shard_id,
        session,
        required_position,
        deadline,
    } = admitted;
    let statement = Statement { text, message_kind, client_id, timeout_range, shape };
    let (id, reply) = state.requests.register(statement, client);
    call(state, EventLoopStep::Submit, |router, actions| {
        let timeout = deadline - actions.now();
        router.submit(Request { id, class, shard_id, session, required_position, timeout }, actions);
    });
    (id, reply)
}

/// Abandons a request whose client has disconnected or cancelled it.
pub fn abandon_request(state: &Rc<RouterState>, id: RequestId) {
    state.metrics.clients_disconnected.increment();
    if let Some(statement) = state.requests.statement(id) {
        log::debug!(id = statement.client_id; "client disconnected or cancelled");
    }
    state.requests.abandon(id);
    call(state, EventLoopStep::ClientDisconnected, |router, actions| {
        if let Some(handle) = router.handle(id) {
            handle.client_disconnected(router, actions);
        }
    });
}
