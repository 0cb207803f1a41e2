//! Fifth stage: the one final answer, to the command's client.

use crate::memory::commands::Reply;
use crate::service::daemon::Daemon;
use crate::service::tally::count;
use crate::wire::postgres;
use comethitch::CommandId;

/// Gives the final answer if none was given yet.
pub fn answer(daemon: &Daemon, id: CommandId, reply: Reply) {
    let reply = match reply {
        Reply::Failed => daemon.commands.borrow_mut().take_error(id).map_or(Reply::Failed, Reply::FailedBy),
        reply => reply,
    };
    let counter = match &reply {
        Reply::Value(_) => &daemon.tally.answered,
        Reply::Throttled(_) => &daemon.tally.throttled,
        Reply::Failed | Reply::FailedBy(_) => &daemon.tally.failed,
    };
    if daemon.commands.borrow_mut().answer(id, reply) {
        count(counter);
    }
}

/// The answer as the client reads it, short of ReadyForQuery.
pub fn put_reply(out: &mut Vec<u8>, reply: Reply) {
    match reply {
        Reply::Value(value) if out.is_empty() => *out = value,
        Reply::Value(value) => out.extend(value),
        Reply::FailedBy(error) => out.extend(error),
        Reply::Throttled(retry_after) => {
            let advice = retry_after.map(|after| after.0.div_ceil(1_000).to_string());
            postgres::put_error(
                out,
                "ERROR",
                "53300",
                "not now; trying again is harmless",
                advice.as_deref(),
            );
        }
        Reply::Failed => {
            let text = "failed; nothing is known of its effect";
            postgres::put_error(out, "ERROR", "40003", text, None);
        }
    }
}
