//! Third stage: calls into the module, and its acts, which are carried out once the call has returned.

use crate::memory::commands::{Reply, Statement};
use crate::memory::connection::ConnectionEnd;
use crate::memory::hub::Hub;
use crate::memory::protocol::Outcome;
use crate::memory::tally::{count, count_kind};
use crate::stages::admit::Admitted;
use crate::stages::{book, relay};
use async_channel::Receiver;
use async_io::Timer;
use comethitch_policy::time::Duration;
use comethitch_policy::{
    Action, ActionQueue, Actions, AttemptEnd, AttemptOutcome, CommandId, CommandRequest, HostReport,
    RejectionReason, Router,
};
use std::rc::Rc;

/// Calls into the policy, then carries out what it decided.
pub fn decide(hub: &Rc<Hub>, call: impl FnOnce(&mut Router, &mut ActionQueue)) {
    let mut queue = ActionQueue::at(hub.now());
    call(&mut hub.router.borrow_mut(), &mut queue);
    carry_out(hub, queue);
}

/// Carries out actions in their order. Attempts that ended as they began are told to the policy once all is done.
pub fn carry_out(hub: &Rc<Hub>, queue: ActionQueue) {
    let mut ended_at_once = Vec::new();
    for action in queue.actions {
        match action {
            Action::SendAttempt { command, host, timeout } => {
                let late = hub.back.dispatch(hub, command, host, timeout);
                ended_at_once.extend(late.map(|attempt| (command, attempt, ConnectionEnd::NotTried)));
            }
            Action::CancelAttempt { command, attempt } => {
                // Dropping the task closes its connection.
                let task = hub.commands.borrow_mut().take_dispatch(command, attempt);
                ended_at_once.extend(task.map(|_| (command, attempt, ConnectionEnd::Cancelled)));
            }
            Action::Throttle { command, retry_after, reason } => {
                reject(hub, command, Reply::Throttled(retry_after), reason, "throttled");
            }
            Action::Fail { command, reason } => reject(hub, command, Reply::Failed, reason, "failed"),
            Action::CheckHealth(host) => hub.back.probe(hub, host),
            Action::CloseIdleConnections(host) => {
                log::warn!(
                    "failover: {} is not taken for the primary any more",
                    hub.list.borrow().name(host)
                );
                hub.pool.borrow_mut().close(host);
            }
            Action::WakeAfter(delay) => wake(hub, delay),
            // The watch is always on.
            Action::WatchEndpoints => {}
        }
    }
    for (command, attempt, end) in ended_at_once {
        let (noted, reported) = (HostReport::default(), HostReport::default());
        ended(hub, command, attempt, Outcome { end, noted, reported, value: Vec::new(), told: false });
    }
}

/// Gives a final answer that is no host's, and logs which check it came from.
fn reject(hub: &Hub, command: CommandId, reply: Reply, reason: RejectionReason, answer: &'static str) {
    let name = hub.commands.borrow().statement(command).map(|statement| statement.name.clone());
    if relay::answer(hub, command, reply) {
        count_kind(&hub.tally.given_up, reason.name());
        let id = name.unwrap_or_default();
        log::info!(id, why = reason.name(), answer; "given up");
    }
}

/// An answer has begun and goes to the client: for the module the dispatch has ended with it.
pub fn begun(hub: &Rc<Hub>, id: CommandId, nth: u16) {
    let end = AttemptEnd {
        attempt: nth,
        outcome: AttemptOutcome::Answered,
        command_finished: true,
        note: HostReport::default(),
        report: HostReport::default(),
    };
    decide(hub, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.attempt_ended(router, end, out);
        }
    });
}

/// A dispatch has ended: it is booked, and the module told.
pub fn ended(hub: &Rc<Hub>, id: CommandId, nth: u16, outcome: Outcome) {
    let Outcome { end, noted, reported, value, told } = outcome;
    let over = book::ended(hub, id, nth, &end, value);
    if told {
        return;
    }
    let outcome = end.ending();
    let end = AttemptEnd { attempt: nth, outcome, command_finished: over, note: noted, report: reported };
    decide(hub, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.attempt_ended(router, end, out);
        }
    });
}

fn wake(hub: &Rc<Hub>, after: Duration) {
    hub.beat.set(after);
    let sleeper = hub.clone();
    let woken = async move {
        Timer::after(after.to_std()).await;
        decide(&sleeper, |router, out| router.tick(out));
    };
    hub.tasks.spawn(woken).detach();
}

/// Hands a command to the module; its final answer comes through the channel.
pub fn take(hub: &Rc<Hub>, admitted: Admitted, text: Vec<u8>, kind: u8) -> (CommandId, Receiver<Reply>) {
    count(&hub.tally.taken);
    let Admitted { name, wait_at, known, group, shard, session, after, expiry } = admitted;
    let statement = Statement { text, kind, name, wait_at, known };
    let (id, reply) = hub.commands.borrow_mut().enter(statement);
    decide(hub, |router, out| {
        let now = out.now();
        let since_write = after.map(|after| now - after);
        let timeout = expiry - now;
        router.submit(CommandRequest { id, group, shard, session, since_write, timeout }, out);
    });
    (id, reply)
}

/// The client has gone: nothing is owed any more.
pub fn left(hub: &Rc<Hub>, id: CommandId) {
    count(&hub.tally.left);
    hub.commands.borrow_mut().abandon(id);
    decide(hub, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.client_disconnected(router, out);
        }
    });
}
