//! Third stage: calls into the module, and its acts, which are carried out once the call has returned.

use crate::stages::admit::Admitted;
use crate::stages::{book, relay};
use crate::state::host_connection::ConnectionEnd;
use crate::state::metrics::{count, count_kind};
use crate::state::pending_commands::{Reply, Statement};
use crate::state::protocol::Outcome;
use crate::state::router_state::RouterState;
use async_channel::Receiver;
use async_io::Timer;
use comethitch_policy::time::Duration;
use comethitch_policy::{
    Action, ActionQueue, Actions, AttemptEnd, AttemptOutcome, CommandId, CommandRequest, HostReport,
    RejectionReason, Router,
};
use std::rc::Rc;

/// Calls into the policy, then carries out what it decided.
pub fn decide(state: &Rc<RouterState>, call: impl FnOnce(&mut Router, &mut ActionQueue)) {
    let mut queue = ActionQueue::at(state.now());
    call(&mut state.router.borrow_mut(), &mut queue);
    carry_out(state, queue);
}

/// Carries out actions in their order. Attempts that ended as they began are told to the policy once all is done.
pub fn carry_out(state: &Rc<RouterState>, queue: ActionQueue) {
    let mut ended_at_once = Vec::new();
    for action in queue.actions {
        match action {
            Action::SendAttempt { command, host, timeout } => {
                let late = state.backend.dispatch(state, command, host, timeout);
                ended_at_once.extend(late.map(|attempt| (command, attempt, ConnectionEnd::NotTried)));
            }
            Action::CancelAttempt { command, attempt } => {
                // Dropping the task closes its connection.
                let task = state.commands.borrow_mut().take_dispatch(command, attempt);
                ended_at_once.extend(task.map(|_| (command, attempt, ConnectionEnd::Cancelled)));
            }
            Action::Throttle { command, retry_after, reason } => {
                reject(state, command, Reply::Throttled(retry_after), reason, "throttled");
            }
            Action::Fail { command, reason } => reject(state, command, Reply::Failed, reason, "failed"),
            Action::CheckHealth(host) => state.backend.probe(state, host),
            Action::CloseIdleConnections(host) => {
                log::warn!(
                    "failover: {} is not taken for the primary any more",
                    state.endpoints.borrow().name(host)
                );
                state.pool.borrow_mut().close(host);
            }
            Action::WakeAfter(delay) => wake(state, delay),
            // The watch is always on.
            Action::WatchEndpoints => {}
        }
    }
    for (command, attempt, end) in ended_at_once {
        let (noted, reported) = (HostReport::default(), HostReport::default());
        ended(state, command, attempt, Outcome { end, noted, reported, value: Vec::new(), told: false });
    }
}

/// Gives a final answer that is no host's, and logs which check it came from.
fn reject(
    state: &RouterState, command: CommandId, reply: Reply, reason: RejectionReason, answer: &'static str,
) {
    let name = state.commands.borrow().statement(command).map(|statement| statement.name.clone());
    if relay::answer(state, command, reply) {
        count_kind(&state.metrics.given_up, reason.name());
        let id = name.unwrap_or_default();
        log::info!(id, why = reason.name(), answer; "given up");
    }
}

/// An answer has begun and goes to the client: for the module the dispatch has ended with it.
pub fn begun(state: &Rc<RouterState>, id: CommandId, nth: u16) {
    let end = AttemptEnd {
        attempt: nth,
        outcome: AttemptOutcome::Answered,
        command_finished: true,
        note: HostReport::default(),
        report: HostReport::default(),
    };
    decide(state, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.attempt_ended(router, end, out);
        }
    });
}

/// A dispatch has ended: it is booked, and the module told.
pub fn ended(state: &Rc<RouterState>, id: CommandId, nth: u16, outcome: Outcome) {
    let Outcome { end, noted, reported, value, told } = outcome;
    let over = book::ended(state, id, nth, &end, value);
    if told {
        return;
    }
    let outcome = end.ending();
    let end = AttemptEnd { attempt: nth, outcome, command_finished: over, note: noted, report: reported };
    decide(state, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.attempt_ended(router, end, out);
        }
    });
}

fn wake(state: &Rc<RouterState>, after: Duration) {
    state.tick.set(after);
    let sleeper = state.clone();
    let woken = async move {
        Timer::after(after.to_std()).await;
        decide(&sleeper, |router, out| router.tick(out));
    };
    state.tasks.spawn(woken).detach();
}

/// Hands a command to the module; its final answer comes through the channel.
pub fn take(
    state: &Rc<RouterState>, admitted: Admitted, text: Vec<u8>, kind: u8,
) -> (CommandId, Receiver<Reply>) {
    count(&state.metrics.taken);
    let Admitted { name, wait_at, known, group, shard, session, after, expiry } = admitted;
    let statement = Statement { text, kind, name, wait_at, known };
    let (id, reply) = state.commands.borrow_mut().enter(statement);
    decide(state, |router, out| {
        let now = out.now();
        let since_write = after.map(|after| now - after);
        let timeout = expiry - now;
        router.submit(CommandRequest { id, group, shard, session, since_write, timeout }, out);
    });
    (id, reply)
}

/// The client has gone: nothing is owed any more.
pub fn left(state: &Rc<RouterState>, id: CommandId) {
    count(&state.metrics.left);
    state.commands.borrow_mut().abandon(id);
    decide(state, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.client_disconnected(router, out);
        }
    });
}
