//! The commands in progress: received, and not yet answered or with an attempt still in flight.

use crate::state::socket::Socket;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use comethitch_policy::CommandId;
use comethitch_policy::time::Duration;
use comethitch_statement::admission::KnownShape;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::{Rc, Weak};

/// The statement of a command, as it is sent to hosts.
pub struct Statement {
    /// The statement in the encoding of the backend protocol.
    pub text: Vec<u8>,
    /// The type of the message that it came in, in protocols with several.
    pub message_kind: u8,
    /// The id that the client gave the command, or a generated one.
    pub client_id: String,
    /// Where the text holds the client's timeout, if it does; each attempt writes its own there.
    pub timeout_range: Option<Range<usize>>,
    /// What is known of the statement's shape, where statements are classified by their text.
    pub shape: Option<Rc<KnownShape>>,
}

/// The final answer to a command.
#[derive(Debug)]
pub enum Reply {
    /// Answered: a value as a host gave it for this command.
    Value(Vec<u8>),
    /// Answered with a large value: its first part, and the channel that the others come through.
    Streaming(Vec<u8>, Receiver<ValuePart>),
    /// Throttled: nothing ran; the client may retry, after this time if one is given.
    Throttled(Option<Duration>),
    /// Failed: nothing is known of the effect.
    Failed,
    /// Failed, with the host's own error.
    FailedWithHostError(Vec<u8>),
    /// Failed, as its client cancelled it.
    Cancelled,
}

/// A further part of a streamed value. A channel that closes without an end leaves the value incomplete.
#[derive(Debug)]
pub enum ValuePart {
    /// The next bytes of the value.
    Bytes(Vec<u8>),
    /// The value is complete.
    End,
}

struct Command {
    statement: Rc<Statement>,
    /// The connection of its client, while that is open.
    client: Weak<Socket>,
    /// None once the final answer is given.
    reply: Option<Sender<Reply>>,
    /// The task of each attempt, by its number; none once it has ended.
    attempts: Vec<Option<Task<()>>>,
    /// The error that a host answered the latest attempt with.
    host_error: Option<Vec<u8>>,
}

impl Command {
    fn is_finished(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// All commands in progress, by the number that the policy knows them under.
#[derive(Default)]
pub struct PendingCommands {
    last_id: CommandId,
    generated_ids: u64,
    commands: BTreeMap<CommandId, Command>,
    /// The client ids of the commands that are not answered yet.
    unanswered: BTreeSet<String>,
}

impl PendingCommands {
    /// Registers a command of a client; its final answer comes through the channel.
    pub fn register(&mut self, statement: Statement, client: Weak<Socket>) -> (CommandId, Receiver<Reply>) {
        self.last_id = self.last_id.wrapping_add(1);
        self.unanswered.insert(statement.client_id.clone());
        let (sender, receiver) = async_channel::bounded(1);
        let command = Command {
            statement: Rc::new(statement),
            client,
            reply: Some(sender),
            attempts: Vec::new(),
            host_error: None,
        };
        self.commands.insert(self.last_id, command);
        (self.last_id, receiver)
    }

    /// An id for a command whose client gave it none; no client can give the same.
    pub fn generate_id(&mut self) -> String {
        self.generated_ids += 1;
        format!("~{}", self.generated_ids)
    }

    /// Whether a command with this client id waits for its answer.
    pub fn is_unanswered(&self, client_id: &str) -> bool {
        self.unanswered.contains(client_id)
    }

    /// The statement of a command in progress.
    pub fn statement(&self, id: CommandId) -> Option<Rc<Statement>> {
        self.commands.get(&id).map(|command| command.statement.clone())
    }

    /// The connection of a command's client.
    pub fn client(&self, id: CommandId) -> Weak<Socket> {
        self.commands.get(&id).map(|command| command.client.clone()).unwrap_or_default()
    }

    /// The number of the command's next attempt, counted from 0.
    pub fn next_attempt(&self, id: CommandId) -> u16 {
        self.commands.get(&id).map_or(0, |command| command.attempts.len() as u16)
    }

    /// Records the command's next attempt; without a task it has ended already.
    pub fn record_attempt(&mut self, id: CommandId, task: Option<Task<()>>) {
        if let Some(command) = self.commands.get_mut(&id) {
            command.attempts.push(task);
            command.host_error = None;
        }
    }

    /// Records the error that a host answered the latest attempt with.
    pub fn record_host_error(&mut self, id: CommandId, error: Vec<u8>) {
        if let Some(command) = self.commands.get_mut(&id) {
            command.host_error = Some(error);
        }
    }

    /// Takes the host's error of the latest attempt, if it ended in one.
    pub fn take_host_error(&mut self, id: CommandId) -> Option<Vec<u8>> {
        self.commands.get_mut(&id)?.host_error.take()
    }

    /// Gives the final answer, once; false if there was one before, or the client is gone.
    pub fn answer(&mut self, id: CommandId, reply: Reply) -> bool {
        let sender = self.take_reply_sender(id);
        let delivered = sender.is_some_and(|sender| sender.try_send(reply).is_ok());
        self.remove_if_finished(id);
        delivered
    }

    /// The client is gone: no answer can be given any more.
    pub fn abandon(&mut self, id: CommandId) {
        self.take_reply_sender(id);
        self.remove_if_finished(id);
    }

    /// Takes the channel of the final answer; the client may use the command's id again.
    fn take_reply_sender(&mut self, id: CommandId) -> Option<Sender<Reply>> {
        let command = self.commands.get_mut(&id)?;
        let sender = command.reply.take()?;
        self.unanswered.remove(&command.statement.client_id);
        Some(sender)
    }

    /// Whether the command has its final answer, or is not in progress at all.
    pub fn is_answered(&self, id: CommandId) -> bool {
        self.commands.get(&id).is_none_or(|command| command.reply.is_none())
    }

    /// Takes the task of an attempt in flight, to cancel it or because it has ended.
    pub fn take_attempt(&mut self, id: CommandId, attempt: u16) -> Option<Task<()>> {
        let command = self.commands.get_mut(&id)?;
        command.attempts.get_mut(usize::from(attempt))?.take()
    }

    /// Removes a command that is answered and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: CommandId) {
        if self.commands.get(&id).is_some_and(Command::is_finished) {
            self.commands.remove(&id);
        }
    }

    /// How many commands are in progress.
    pub fn len(&self) -> usize {
        self.commands.len()
    }

    /// Whether no command is in progress.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }
}
