//! Third stage: calls into the module, and its acts, which are carried out once the call has returned.

use crate::memory::commands::Reply;
use crate::memory::connection::ConnectionEnd;
use crate::service::clock::duration;
use crate::service::daemon::Daemon;
use crate::service::tally::count;
use crate::stages::admit::Admitted;
use crate::stages::{book, relay, send};
use async_channel::Receiver;
use async_io::Timer;
use comethitch::time::{Span, Time};
use comethitch::{CommandId, Host, Outlet, Router};
use std::rc::Rc;

enum Act {
    Dispatch(CommandId, Host, Span),
    Cancel(CommandId, u16),
    Final(CommandId, Reply),
    Probe(Host),
    CloseIdle(Host),
    Wake(Span),
}

/// What the module wants done.
pub struct Acts {
    now: Time,
    queue: Vec<Act>,
}

impl Acts {
    pub fn at(now: Time) -> Acts {
        Acts { now, queue: Vec::new() }
    }
}

impl Outlet for Acts {
    fn now(&self) -> Time {
        self.now
    }

    fn dispatch(&mut self, cmd: CommandId, host: Host, time_out: Span) {
        self.queue.push(Act::Dispatch(cmd, host, time_out));
    }

    fn cancel(&mut self, cmd: CommandId, nth: u16) {
        self.queue.push(Act::Cancel(cmd, nth));
    }

    fn throttle(&mut self, cmd: CommandId, retry_after: Option<Span>) {
        self.queue.push(Act::Final(cmd, Reply::Throttled(retry_after)));
    }

    fn fail(&mut self, cmd: CommandId) {
        self.queue.push(Act::Final(cmd, Reply::Failed));
    }

    fn probe(&mut self, host: Host) {
        self.queue.push(Act::Probe(host));
    }

    fn close_idle(&mut self, host: Host) {
        self.queue.push(Act::CloseIdle(host));
    }

    fn wake(&mut self, after: Span) {
        self.queue.push(Act::Wake(after));
    }

    /// The watch is always on.
    fn subscribe(&mut self) {}
}

/// Calls into the module, then does what it wants done.
pub fn decide(daemon: &Rc<Daemon>, call: impl FnOnce(&mut Router, &mut Acts)) {
    let mut acts = Acts::at(daemon.now());
    call(&mut daemon.router.borrow_mut(), &mut acts);
    carry_out(daemon, acts);
}

pub fn carry_out(daemon: &Rc<Daemon>, acts: Acts) {
    let mut ended = Vec::new();
    for act in acts.queue {
        match act {
            Act::Dispatch(id, host, time_out) => {
                let late = send::start(daemon, id, host, time_out);
                ended.extend(late.map(|nth| (id, nth, ConnectionEnd::NotTried)));
            }
            Act::Cancel(id, nth) => {
                // Dropping the task closes its connection.
                let task = daemon.commands.borrow_mut().take_dispatch(id, nth);
                ended.extend(task.map(|_| (id, nth, ConnectionEnd::GivenUp)));
            }
            Act::Final(id, reply) => relay::answer(daemon, id, reply),
            Act::Probe(host) => send::probe(daemon, host),
            Act::CloseIdle(host) => {
                log::warn!(
                    "failover: {} is not taken for the primary any more",
                    daemon.list.borrow().name(host)
                );
                daemon.pool.borrow_mut().close(host);
            }
            Act::Wake(after) => wake(daemon, after),
        }
    }
    for (id, nth, end) in ended {
        book::ended(daemon, id, nth, Err(end).into());
    }
}

fn wake(daemon: &Rc<Daemon>, after: Span) {
    daemon.beat.set(after);
    let sleeper = daemon.clone();
    let woken = async move {
        Timer::after(duration(after)).await;
        decide(&sleeper, |router, out| router.woken(out));
    };
    daemon.tasks.spawn(woken).detach();
}

/// Hands a command to the module; its final answer comes through the channel.
pub fn take(daemon: &Rc<Daemon>, admitted: Admitted) -> (CommandId, Receiver<Reply>) {
    count(&daemon.tally.taken);
    let Admitted { statement, group, shard, session, after, expiry } = admitted;
    let (id, reply) = daemon.commands.borrow_mut().enter(statement);
    decide(daemon, |router, out| {
        let (since_write, left) = (after.map(|after| out.now() - after), expiry - out.now());
        router.take(id, group, shard, session, since_write, left, out);
    });
    (id, reply)
}

/// The client has gone: nothing is owed any more.
pub fn left(daemon: &Rc<Daemon>, id: CommandId) {
    count(&daemon.tally.left);
    daemon.commands.borrow_mut().abandon(id);
    decide(daemon, |router, out| {
        if let Some(handle) = router.handle(id) {
            handle.left(router, out);
        }
    });
}
