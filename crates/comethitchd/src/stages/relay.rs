//! Fifth stage: the one final answer, to the command's client.

use crate::memory::commands::Reply;
use crate::memory::hub::Hub;
use crate::memory::tally::count;
use comethitch_policy::CommandId;

/// Gives the final answer if none was given yet; whether it was this one.
pub fn answer(hub: &Hub, id: CommandId, reply: Reply) -> bool {
    let reply = match reply {
        Reply::Failed => hub.commands.borrow_mut().take_error(id).map_or(Reply::Failed, Reply::FailedBy),
        reply => reply,
    };
    let counter = match &reply {
        Reply::Value(_) | Reply::Begun(..) => &hub.tally.answered,
        Reply::Throttled(_) => &hub.tally.throttled,
        Reply::Failed | Reply::FailedBy(_) | Reply::Cancelled => &hub.tally.failed,
    };
    let given = hub.commands.borrow_mut().answer(id, reply);
    if given {
        count(counter);
    }
    given
}
