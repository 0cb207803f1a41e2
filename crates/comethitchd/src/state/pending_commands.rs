//! Commands in hand: taken, and not yet answered or with a dispatch still out.

use async_channel::{Receiver, Sender};
use async_executor::Task;
use comethitch_policy::CommandId;
use comethitch_policy::time::Duration;
use comethitch_statement::admission::KnownShape;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::Rc;

/// A statement as the client sent it, and where in it stands how long the client waits, if it tells.
pub struct Statement {
    /// The statement, as the protocol's back sends it.
    pub text: Vec<u8>,
    /// What kind of message it came in, where the protocol has several.
    pub kind: u8,
    /// The id that the client gave it.
    pub name: String,
    pub wait_at: Option<Range<usize>>,
    /// What is known of its shape, where statements are judged by their text.
    pub known: Option<Rc<KnownShape>>,
}

/// The final answer to a command.
#[derive(Debug)]
pub enum Reply {
    /// A value as a host gave it for this command.
    Value(Vec<u8>),
    /// The first part of a large value; the others come behind it.
    Begun(Vec<u8>, Receiver<Part>),
    Throttled(Option<Duration>),
    Failed,
    /// Failed, and a host's own error tells why.
    FailedBy(Vec<u8>),
    /// Its client cancelled it: failed.
    Cancelled,
}

/// A further part of a value. Without an end it is not whole.
#[derive(Debug)]
pub enum Part {
    Bytes(Vec<u8>),
    End,
}

struct Command {
    statement: Rc<Statement>,
    /// Gone once the final answer is given.
    reply: Option<Sender<Reply>>,
    dispatches: Vec<Option<Task<()>>>,
    /// The error that a host answered the latest dispatch with.
    error: Option<Vec<u8>>,
}

#[derive(Default)]
pub struct PendingCommands {
    last: CommandId,
    /// How many were named here.
    unnamed: u64,
    open: BTreeMap<CommandId, Command>,
    /// The ids of commands that are not answered yet.
    names: BTreeSet<String>,
}

impl PendingCommands {
    pub fn enter(&mut self, statement: Statement) -> (CommandId, Receiver<Reply>) {
        self.last = self.last.wrapping_add(1);
        self.names.insert(statement.name.clone());
        let (sender, receiver) = async_channel::bounded(1);
        let statement = Rc::new(statement);
        let command = Command { statement, reply: Some(sender), dispatches: Vec::new(), error: None };
        self.open.insert(self.last, command);
        (self.last, receiver)
    }

    /// A name for a command whose client gave it none: no client can give one like it.
    pub fn own_name(&mut self) -> String {
        self.unnamed += 1;
        format!("~{}", self.unnamed)
    }

    /// Whether a command of this id waits for its answer.
    pub fn is_open(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    pub fn statement(&self, id: CommandId) -> Option<Rc<Statement>> {
        self.open.get(&id).map(|command| command.statement.clone())
    }

    /// The number that the command's next dispatch gets.
    pub fn next_dispatch(&self, id: CommandId) -> u16 {
        self.open.get(&id).map_or(0, |command| command.dispatches.len() as u16)
    }

    /// Numbers a dispatch; without a task it has ended as it began.
    pub fn dispatched(&mut self, id: CommandId, task: Option<Task<()>>) {
        if let Some(command) = self.open.get_mut(&id) {
            command.dispatches.push(task);
            command.error = None;
        }
    }

    /// A host answered the latest dispatch with an error.
    pub fn met_error(&mut self, id: CommandId, error: Vec<u8>) {
        if let Some(command) = self.open.get_mut(&id) {
            command.error = Some(error);
        }
    }

    /// The error of the latest dispatch, if it ended in one.
    pub fn take_error(&mut self, id: CommandId) -> Option<Vec<u8>> {
        self.open.get_mut(&id)?.error.take()
    }

    /// Gives the final answer, once; false if there was one before.
    pub fn answer(&mut self, id: CommandId, reply: Reply) -> bool {
        let sender = self.close(id);
        let given = sender.is_some_and(|sender| sender.try_send(reply).is_ok());
        self.forget(id);
        given
    }

    /// The client is gone: no answer can be given any more.
    pub fn abandon(&mut self, id: CommandId) {
        self.close(id);
        self.forget(id);
    }

    /// Ends what is owed to a command; its id may come again.
    fn close(&mut self, id: CommandId) -> Option<Sender<Reply>> {
        let command = self.open.get_mut(&id)?;
        let sender = command.reply.take()?;
        self.names.remove(&command.statement.name);
        Some(sender)
    }

    pub fn is_over(&self, id: CommandId) -> bool {
        self.open.get(&id).is_none_or(|command| command.reply.is_none())
    }

    /// Takes a dispatch that is still out, to end it or because it has ended.
    pub fn take_dispatch(&mut self, id: CommandId, nth: u16) -> Option<Task<()>> {
        let command = self.open.get_mut(&id)?;
        command.dispatches.get_mut(usize::from(nth))?.take()
    }

    /// Forgets a command that is answered and has nothing out.
    pub fn forget(&mut self, id: CommandId) {
        let done = |c: &Command| c.reply.is_none() && c.dispatches.iter().all(Option::is_none);
        if self.open.get(&id).is_some_and(done) {
            self.open.remove(&id);
        }
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
