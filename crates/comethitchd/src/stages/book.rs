//! Last stage: how a dispatch ended is written down, and a command that is through is forgotten.

use crate::stages::relay;
use crate::state::host_connection::ConnectionEnd;
use crate::state::metrics::count_kind;
use crate::state::pending_commands::Reply;
use crate::state::router_state::RouterState;
use comethitch_policy::{AttemptOutcome, CommandId};

/// Books the end of a dispatch; true if the command has its final answer.
pub fn ended(state: &RouterState, id: CommandId, nth: u16, end: &ConnectionEnd, value: Vec<u8>) -> bool {
    let ending = end.ending();
    count_kind(&state.metrics.endings, ending);
    // The first whole value goes to the client on its own.
    if *end == ConnectionEnd::Whole {
        relay::answer(state, id, Reply::Value(value));
    } else if ending == AttemptOutcome::Error && !value.is_empty() {
        state.commands.borrow_mut().met_error(id, value);
    }
    let mut commands = state.commands.borrow_mut();
    if let Some(task) = commands.take_dispatch(id, nth) {
        task.detach();
    }
    let over = commands.is_over(id);
    commands.forget(id);
    over
}
