//! Last stage: how a dispatch ended is told to the module, and a command that is through is forgotten.

use crate::memory::commands::Reply;
use crate::memory::connection::ConnectionEnd;
use crate::service::daemon::Daemon;
use crate::service::tally::count_kind;
use crate::stages::send::Outcome;
use crate::stages::{relay, route};
use comethitch::{CommandId, Ending};
use std::rc::Rc;

pub fn ended(daemon: &Rc<Daemon>, id: CommandId, nth: u16, outcome: Outcome) {
    let Outcome { end, noted, reported, value } = outcome;
    let ending = end.ending();
    count_kind(&daemon.tally.endings, ending);
    // The first whole value goes to the client on its own.
    if end == ConnectionEnd::Whole {
        relay::answer(daemon, id, Reply::Value(value));
    } else if ending == Ending::Error && !value.is_empty() {
        daemon.commands.borrow_mut().met_error(id, value);
    }
    let over = {
        let mut commands = daemon.commands.borrow_mut();
        if let Some(task) = commands.take_dispatch(id, nth) {
            task.detach();
        }
        let over = commands.is_over(id);
        commands.forget(id);
        over
    };
    route::decide(daemon, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.dispatch_ended(router, nth, ending, over, noted, reported, out);
        }
    });
}
