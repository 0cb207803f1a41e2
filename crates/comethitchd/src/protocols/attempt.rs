//! One attempt of a command: starts its task, runs the protocol's exchange with the host in it, and reports the end to
//! the policy.

use crate::protocols::streamed_answer::StreamedAnswer;
use crate::stages::policy_driver;
use crate::state::pending_commands::Statement;
use crate::state::protocol::AttemptResult;
use crate::state::router_state::RouterState;
use comethitch_policy::time::Duration;
use comethitch_policy::{CommandId, Host};
use std::future::Future;
use std::rc::Rc;

/// One attempt of a command.
pub struct Attempt {
    /// The router.
    pub state: Rc<RouterState>,
    /// The host that it goes to.
    pub host: Host,
    /// After this long it is abandoned.
    pub timeout: Duration,
    /// The command's statement.
    pub statement: Rc<Statement>,
    /// The host's answer, if it becomes large.
    pub streamed_answer: StreamedAnswer,
    command: CommandId,
    number: u16,
}

impl Attempt {
    /// Whether the policy still wants it sent. A connection may take long to establish, so that another attempt may have
    /// answered meanwhile.
    pub fn may_still_send(&self) -> bool {
        let router = self.state.router.borrow();
        let handle = router.handle(self.command);
        handle.is_some_and(|handle| handle.may_still_send(&router, self.number, self.state.clock.now()))
    }
}

/// Starts the command's next attempt, with the protocol's exchange as `send`. An attempt whose timeout has already
/// passed, as after a stall of the event loop, is not sent, and its number is returned: the host is not to blame for it.
pub fn start<F: Future<Output = AttemptResult> + 'static>(
    state: &Rc<RouterState>, command: CommandId, host: Host, timeout: Duration,
    send: impl FnOnce(Rc<Attempt>) -> F + 'static,
) -> Option<u16> {
    let mut commands = state.commands.borrow_mut();
    let statement = commands.statement(command)?;
    let number = commands.next_attempt(command);
    if timeout == Duration::ZERO {
        commands.record_attempt(command, None);
        return Some(number);
    }
    let attempt = Rc::new(Attempt {
        state: state.clone(),
        host,
        timeout,
        statement,
        streamed_answer: StreamedAnswer::new(state, command, number),
        command,
        number,
    });
    let task = state.tasks.spawn(run(attempt, send));
    commands.record_attempt(command, Some(task));
    None
}

/// Runs an attempt to its end, and records and reports how it ended.
async fn run<F: Future<Output = AttemptResult>>(attempt: Rc<Attempt>, send: impl FnOnce(Rc<Attempt>) -> F) {
    let state = attempt.state.clone();
    let started = state.clock.now();
    let mut result = send(attempt.clone()).await;
    result.already_reported = attempt.streamed_answer.has_started();
    let shape = attempt.statement.shape.as_ref();
    if let Some(shape) = shape.filter(|_| result.completion.is_ok()) {
        state.record_statement_latency(shape, state.clock.now() - started);
    }
    state.record_host_outcome(attempt.host, result.outcome(), result.note.role);
    policy_driver::attempt_ended(&state, attempt.command, attempt.number, result);
}
