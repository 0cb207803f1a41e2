//! The requests in progress, which are not yet answered or have an attempt in flight.

use crate::state::socket::Socket;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use comethitch_policy::RequestId;
use comethitch_policy::time::Duration;
use comethitch_statement::admission::KnownShape;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::{Rc, Weak};

/// The statement of a request as it is sent to hosts.
pub struct Statement {
    /// The statement in the encoding of the backend protocol.
    pub text: Vec<u8>,
    /// The type of the message that carried the statement, for protocols with several types.
    pub message_kind: u8,
    /// The id that the client gave the request, or a generated one.
    pub client_id: String,
    /// The position of the client's timeout in the text, if there is one. Each attempt replaces it with its
    /// own timeout.
    pub timeout_range: Option<Range<usize>>,
    /// The statement's shape, if statements are classified by their text.
    pub shape: Option<Rc<KnownShape>>,
}

/// The kind of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Answered with a value.
    Answered,
    /// Rejected without an effect.
    Throttled,
    /// Failed, with an unknown effect or a host's error.
    Failed,
}

impl AnswerKind {
    /// Returns the name in the log.
    pub fn name(self) -> &'static str {
        match self {
            AnswerKind::Answered => "answered",
            AnswerKind::Throttled => "throttled",
            AnswerKind::Failed => "failed",
        }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// Answered with a host's value.
    Value(Vec<u8>),
    /// Answered with a large value: the first part of it, and the channel that the other parts are sent to.
    Streaming(Vec<u8>, Receiver<ValuePart>),
    /// Throttled. Nothing was executed, and the client may retry after the given time, if there is one.
    Throttled(Option<Duration>),
    /// Failed, with an unknown effect.
    Failed,
    /// Failed with a host's error.
    FailedWithHostError(Vec<u8>),
    /// Failed because its client cancelled it.
    Cancelled,
}

impl Reply {
    /// Returns the kind of answer.
    pub fn kind(&self) -> AnswerKind {
        match self {
            Reply::Value(_) | Reply::Streaming(..) => AnswerKind::Answered,
            Reply::Throttled(_) => AnswerKind::Throttled,
            Reply::Failed | Reply::FailedWithHostError(_) | Reply::Cancelled => AnswerKind::Failed,
        }
    }
}

/// A later part of a streamed value. The value is incomplete if the channel closes without
/// [`ValuePart::End`].
#[derive(Debug)]
pub enum ValuePart {
    /// The next bytes of the value.
    Bytes(Vec<u8>),
    /// The value is complete.
    End,
}

struct PendingRequest {
    statement: Rc<Statement>,
    /// The client's connection, which can be upgraded while it is open.
    client: Weak<Socket>,
    /// The channel that the final answer is sent to, or `None` once the request is answered or abandoned.
    reply: Option<Sender<Reply>>,
    /// The task of each attempt by number, or `None` once the attempt has ended.
    attempts: Vec<Option<Task<()>>>,
    /// The host's error response to the latest attempt, if it ended with one.
    host_error: Option<Vec<u8>>,
}

impl PendingRequest {
    fn is_finished(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

#[derive(Default)]
struct RequestTable {
    last_id: RequestId,
    generated_ids: u64,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The client ids of the requests that are not answered yet.
    unanswered: BTreeSet<String>,
}

impl RequestTable {
    /// Takes the channel of the final answer. The client may then use the request's id again.
    fn take_reply_sender(&mut self, id: RequestId) -> Option<Sender<Reply>> {
        let request = self.requests.get_mut(&id)?;
        let sender = request.reply.take()?;
        self.unanswered.remove(&request.statement.client_id);
        Some(sender)
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_finished) {
            self.requests.remove(&id);
        }
    }
}

/// All requests in progress, by the id that identifies them to the policy.
#[derive(Default)]
pub struct PendingRequests(RefCell<RequestTable>);

impl PendingRequests {
    /// Registers a request of a client. Returns its id, and the channel that its final answer is received
    /// from.
    pub fn register(&self, statement: Statement, client: Weak<Socket>) -> (RequestId, Receiver<Reply>) {
        let mut table = self.0.borrow_mut();
        let id = table.last_id.wrapping_add(1);
        table.last_id = id;
        table.unanswered.insert(statement.client_id.clone());
        let (sender, receiver) = async_channel::bounded(1);
        let request = PendingRequest {
            statement: Rc::new(statement),
            client,
            reply: Some(sender),
            attempts: Vec::new(),
            host_error: None,
        };
        table.requests.insert(id, request);
        (id, receiver)
    }

    /// Generates an id for a request that its client gave no id. No client can use the same one.
    pub fn generate_id(&self) -> String {
        let mut table = self.0.borrow_mut();
        table.generated_ids += 1;
        format!("~{}", table.generated_ids)
    }

    /// Returns whether a request with this client id is not answered yet.
    pub fn is_unanswered(&self, client_id: &str) -> bool {
        self.0.borrow().unanswered.contains(client_id)
    }

    /// Returns the statement of a request in progress.
    pub fn statement(&self, id: RequestId) -> Option<Rc<Statement>> {
        self.0.borrow().requests.get(&id).map(|request| request.statement.clone())
    }

    /// Returns the connection of a request's client, if it is still open.
    pub fn client(&self, id: RequestId) -> Weak<Socket> {
        self.0.borrow().requests.get(&id).map(|request| request.client.clone()).unwrap_or_default()
    }

    /// Returns the number of the request's next attempt, starting at 0.
    pub fn next_attempt(&self, id: RequestId) -> u16 {
        self.0.borrow().requests.get(&id).map_or(0, |request| request.attempts.len() as u16)
    }

    /// Records the request's next attempt. `task` is `None` if the attempt has already ended.
    pub fn record_attempt(&self, id: RequestId, task: Option<Task<()>>) {
        if let Some(request) = self.0.borrow_mut().requests.get_mut(&id) {
            request.attempts.push(task);
            request.host_error = None;
        }
    }

    /// Records the error with which a host answered the latest attempt.
    pub fn record_host_error(&self, id: RequestId, error: Vec<u8>) {
        if let Some(request) = self.0.borrow_mut().requests.get_mut(&id) {
            request.host_error = Some(error);
        }
    }

    /// Takes the host's error response to the latest attempt, if it ended with one.
    pub fn take_host_error(&self, id: RequestId) -> Option<Vec<u8>> {
        self.0.borrow_mut().requests.get_mut(&id)?.host_error.take()
    }

    /// Sends the final answer. Returns false if the request was answered before or its client has
    /// disconnected.
    pub fn answer(&self, id: RequestId, reply: Reply) -> bool {
        let mut table = self.0.borrow_mut();
        let sender = table.take_reply_sender(id);
        let delivered = sender.is_some_and(|sender| sender.try_send(reply).is_ok());
        table.remove_if_finished(id);
        delivered
    }

    /// Drops the channel of the final answer, because the client has disconnected or cancelled the request.
    pub fn abandon(&self, id: RequestId) {
        let mut table = self.0.borrow_mut();
        table.take_reply_sender(id);
        table.remove_if_finished(id);
    }

    /// Returns whether the request has its final answer, or is not in progress.
    pub fn is_answered(&self, id: RequestId) -> bool {
        self.0.borrow().requests.get(&id).is_none_or(|request| request.reply.is_none())
    }

    /// Takes the task of an attempt in flight, either to cancel it or because it has ended.
    pub fn take_attempt(&self, id: RequestId, attempt: u16) -> Option<Task<()>> {
        let mut table = self.0.borrow_mut();
        table.requests.get_mut(&id)?.attempts.get_mut(usize::from(attempt))?.take()
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub fn remove_if_finished(&self, id: RequestId) {
        self.0.borrow_mut().remove_if_finished(id);
    }

    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.0.borrow().requests.len()
    }

    /// Returns whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().requests.is_empty()
    }
}
