//! Fifth stage: the one final answer, to the command's client.

use crate::state::metrics::count;
use crate::state::pending_commands::Reply;
use crate::state::router_state::RouterState;
use comethitch_policy::CommandId;

/// Gives the final answer if none was given yet; whether it was this one.
pub fn answer(state: &RouterState, id: CommandId, reply: Reply) -> bool {
    let reply = match reply {
        Reply::Failed => state.commands.borrow_mut().take_error(id).map_or(Reply::Failed, Reply::FailedBy),
        reply => reply,
    };
    let counter = match &reply {
        Reply::Value(_) | Reply::Begun(..) => &state.metrics.answered,
        Reply::Throttled(_) => &state.metrics.throttled,
        Reply::Failed | Reply::FailedBy(_) | Reply::Cancelled => &state.metrics.failed,
    };
    let given = state.commands.borrow_mut().answer(id, reply);
    if given {
        count(counter);
    }
    given
}
