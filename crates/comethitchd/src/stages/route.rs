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
use comethitch::time::{Duration, Timestamp};
use comethitch::{CommandId, Ending, GivenUp, Host, Outlet, Router, Standing};
use std::rc::Rc;

enum Act {
    Dispatch(CommandId, Host, Duration),
    Cancel(CommandId, u16),
    Final(CommandId, Reply, Option<GivenUp>),
    Probe(Host),
    CloseIdle(Host),
    Wake(Duration),
}

/// What the module wants done.
pub struct Acts {
    now: Timestamp,
    queue: Vec<Act>,
    /// The module's reason for the final answer that it gives next.
    why: Option<(CommandId, GivenUp)>,
}

impl Acts {
    pub fn at(now: Timestamp) -> Acts {
        Acts { now, queue: Vec::new(), why: None }
    }
}

impl Outlet for Acts {
    fn now(&self) -> Timestamp {
        self.now
    }

    fn dispatch(&mut self, cmd: CommandId, host: Host, time_out: Duration) {
        self.queue.push(Act::Dispatch(cmd, host, time_out));
    }

    fn cancel(&mut self, cmd: CommandId, nth: u16) {
        self.queue.push(Act::Cancel(cmd, nth));
    }

    fn throttle(&mut self, cmd: CommandId, retry_after: Option<Duration>) {
        let why = self.why.take().filter(|(of, _)| *of == cmd).map(|(_, why)| why);
        self.queue.push(Act::Final(cmd, Reply::Throttled(retry_after), why));
    }

    fn fail(&mut self, cmd: CommandId) {
        let why = self.why.take().filter(|(of, _)| *of == cmd).map(|(_, why)| why);
        self.queue.push(Act::Final(cmd, Reply::Failed, why));
    }

    fn given_up(&mut self, cmd: CommandId, why: GivenUp) {
        self.why = Some((cmd, why));
    }

    fn probe(&mut self, host: Host) {
        self.queue.push(Act::Probe(host));
    }

    fn close_idle(&mut self, host: Host) {
        self.queue.push(Act::CloseIdle(host));
    }

    fn wake(&mut self, after: Duration) {
        self.queue.push(Act::Wake(after));
    }

    /// The watch is always on.
    fn subscribe(&mut self) {}
}

/// Calls into the module, then does what it wants done.
pub fn decide(hub: &Rc<Hub>, call: impl FnOnce(&mut Router, &mut Acts)) {
    let mut acts = Acts::at(hub.now());
    call(&mut hub.router.borrow_mut(), &mut acts);
    carry_out(hub, acts);
}

pub fn carry_out(hub: &Rc<Hub>, acts: Acts) {
    let mut at_once = Vec::new();
    for act in acts.queue {
        match act {
            Act::Dispatch(id, host, time_out) => {
                let late = hub.back.dispatch(hub, id, host, time_out);
                at_once.extend(late.map(|nth| (id, nth, ConnectionEnd::NotTried)));
            }
            Act::Cancel(id, nth) => {
                // Dropping the task closes its connection.
                let task = hub.commands.borrow_mut().take_dispatch(id, nth);
                at_once.extend(task.map(|_| (id, nth, ConnectionEnd::GivenUp)));
            }
            Act::Final(id, reply, why) => {
                let how = if matches!(reply, Reply::Throttled(_)) { "throttled" } else { "failed" };
                let name = hub.commands.borrow().statement(id).map(|statement| statement.name.clone());
                if relay::answer(hub, id, reply)
                    && let Some(why) = why
                {
                    count_kind(&hub.tally.given_up, why.name());
                    let id = name.unwrap_or_default();
                    log::info!(id, why = why.name(), answer = how; "given up");
                }
            }
            Act::Probe(host) => hub.back.probe(hub, host),
            Act::CloseIdle(host) => {
                log::warn!(
                    "failover: {} is not taken for the primary any more",
                    hub.list.borrow().name(host)
                );
                hub.pool.borrow_mut().close(host);
            }
            Act::Wake(after) => wake(hub, after),
        }
    }
    for (id, nth, end) in at_once {
        let (noted, reported) = (Standing::default(), Standing::default());
        ended(hub, id, nth, Outcome { end, noted, reported, value: Vec::new(), told: false });
    }
}

/// An answer has begun and goes to the client: for the module the dispatch has ended with it.
pub fn begun(hub: &Rc<Hub>, id: CommandId, nth: u16) {
    let (noted, reported) = (Standing::default(), Standing::default());
    decide(hub, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.dispatch_ended(router, nth, Ending::Answered, true, noted, reported, out);
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
    decide(hub, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.dispatch_ended(router, nth, end.ending(), over, noted, reported, out);
        }
    });
}

fn wake(hub: &Rc<Hub>, after: Duration) {
    hub.beat.set(after);
    let sleeper = hub.clone();
    let woken = async move {
        Timer::after(after.to_std()).await;
        decide(&sleeper, |router, out| router.woken(out));
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
        let (since_write, left) = (after.map(|after| out.now() - after), expiry - out.now());
        router.take(id, group, shard, session, since_write, left, out);
    });
    (id, reply)
}

/// The client has gone: nothing is owed any more.
pub fn left(hub: &Rc<Hub>, id: CommandId) {
    count(&hub.tally.left);
    hub.commands.borrow_mut().abandon(id);
    decide(hub, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.left(router, out);
        }
    });
}
