//! Last stage: how a dispatch ended is written down, and a command that is through is forgotten.

use crate::memory::commands::Reply;
use crate::memory::connection::ConnectionEnd;
use crate::memory::hub::Hub;
use crate::memory::tally::count_kind;
use crate::stages::relay;
use comethitch_policy::{AttemptOutcome, CommandId};

/// Books the end of a dispatch; true if the command has its final answer.
pub fn ended(hub: &Hub, id: CommandId, nth: u16, end: &ConnectionEnd, value: Vec<u8>) -> bool {
    let ending = end.ending();
    count_kind(&hub.tally.endings, ending);
    // The first whole value goes to the client on its own.
    if *end == ConnectionEnd::Whole {
        relay::answer(hub, id, Reply::Value(value));
    } else if ending == AttemptOutcome::Error && !value.is_empty() {
        hub.commands.borrow_mut().met_error(id, value);
    }
    let mut commands = hub.commands.borrow_mut();
    if let Some(task) = commands.take_dispatch(id, nth) {
        task.detach();
    }
    let over = commands.is_over(id);
    commands.forget(id);
    over
}
