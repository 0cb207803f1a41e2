//! A client's connection in any protocol: registers it, and admits its statements.
//!
//! [`waiting`] waits for input and for the end of a request, [`output`] writes, [`closing`] closes the
//! connection, and [`disconnect`] lists the reasons for that.

mod closing;
mod disconnect;
mod output;
mod waiting;

pub(super) use disconnect::{ClosingError, Disconnect};
pub(super) use waiting::AwaitedInput;

use crate::stages::admit::{AdmissionError, AdmittedRequest, StatementError, StatementRequest, admit};
use crate::stages::policy_driver;
use crate::stages::reply::log_rejection;
use crate::state::arrivals::Arrivals;
use crate::state::buffer::Buffer;
use crate::state::client_registry::ConnectionPhase;
use crate::state::descriptors::DescriptorPermit;
use crate::state::message_allowance::MessageAllowance;
use crate::state::pending_requests::{AnswerKind, Reply};
use crate::state::router_state::RouterState;
use crate::state::signals::{CloseRequest, ConnectionSignal};
use crate::state::socket::Socket;
use async_channel::Receiver;
use async_io::Async;
use comethitch_policy::RequestId;
use comethitch_policy::time::Timestamp;
use comethitch_statement::assign::Argument;
use std::cell::Cell;
use std::net::{IpAddr, TcpStream};
use std::rc::Rc;

/// Number of consecutive invalid statements at which a client is disconnected.
const MAX_CONSECUTIVE_INVALID: u32 = 8;

/// A client's connection.
pub(super) struct ClientConnection {
    /// The router's state.
    pub state: Rc<RouterState>,
    /// Input that was received and not consumed.
    pub buffer: Buffer,
    /// The connection's number in the registry of clients.
    pub number: u32,
    /// Signals that the connection must close, or that its request is cancelled.
    pub signal: Rc<ConnectionSignal>,
    stream: Rc<Socket>,
    /// Answers that are not written yet, because answers to further requests follow at once.
    kept_output: Vec<u8>,
    /// Whether a submitted request is unanswered.
    answer_outstanding: Cell<bool>,
    /// Identifies the client's machine, whose connections share one parsing budget.
    client_machine: u64,
    /// Arrival time of the last consumed byte.
    arrived_at: Timestamp,
    arrivals: Arrivals,
    _permit: DescriptorPermit,
    /// Whether a request was answered on this connection, so that it may be closed while idle.
    has_been_answered: bool,
    consecutive_invalid: u32,
    /// The messages without a request that the client may still send.
    message_allowance: MessageAllowance,
    /// Time at which the last read left no input unread. `None` if no close had been requested by then.
    all_read_while_closing_at: Option<Timestamp>,
}

/// The result of admitting a client's statement.
pub(super) enum Admission {
    /// The statement is admitted as this request, which must be submitted to the policy.
    Admitted(AdmittedRequest),
    /// The statement must be answered as throttled.
    Throttled,
    /// The statement must be answered with this error.
    Invalid(StatementError),
}

/// A request that was submitted to the policy.
pub(super) struct SubmittedRequest {
    /// The request's id in the policy.
    pub id: RequestId,
    /// Receives the request's final answer.
    pub reply: Receiver<Reply>,
}

impl ClientConnection {
    /// Registers a client, before it sends anything, because its connection already uses a descriptor.
    pub(super) fn new(
        state: Rc<RouterState>, stream: Async<TcpStream>, permit: DescriptorPermit, max_buffer_bytes: usize,
    ) -> ClientConnection {
        let stream = Rc::new(Socket::new(stream));
        let arrived_at = state.clock.observe();
        let (number, signal) = state.clients.register(arrived_at);
        let buffer = Buffer::new(max_buffer_bytes, &state.memory);
        let client_machine = client_machine_of(&stream);
        ClientConnection {
            state,
            buffer,
            number,
            signal,
            stream,
            kept_output: Vec::new(),
            answer_outstanding: Cell::new(false),
            client_machine,
            arrived_at,
            arrivals: Arrivals::default(),
            _permit: permit,
            has_been_answered: false,
            consecutive_invalid: 0,
            message_allowance: MessageAllowance::new(arrived_at),
            all_read_while_closing_at: None,
        }
    }

    /// Records that the connection's request was answered.
    pub(super) fn record_answer(&mut self) {
        self.has_been_answered = true;
        self.answer_outstanding.set(false);
        self.consecutive_invalid = 0;
        self.message_allowance.record_useful_message();
    }

    /// Counts and logs an invalid statement.
    ///
    /// # Errors
    /// If there were too many consecutive invalid statements.
    pub(super) fn record_invalid_statement(&mut self, reason: &str) -> Result<(), Disconnect> {
        self.state.metrics.invalid_requests.increment();
        log::debug!(client = self.number, reason; "invalid statement");
        self.consecutive_invalid += 1;
        if self.consecutive_invalid >= MAX_CONSECUTIVE_INVALID {
            return Err(Disconnect::ProtocolViolation("too many statements that are no commands"));
        }
        Ok(())
    }

    /// Admits the statement that was consumed last. Counts and logs it if it is throttled.
    ///
    /// # Errors
    /// If the client has disconnected, because no attempt may be started for it after that.
    pub(super) fn admit(&self, text: &[u8], arguments: &[Argument]) -> Result<Admission, Disconnect> {
        let request = StatementRequest {
            text,
            arguments,
            arrived_at: self.arrived_at,
            client_machine: self.client_machine,
        };
        let admitted = match admit(&self.state, &request) {
            Ok(admitted) => admitted,
            Err(AdmissionError::Invalid(error)) => return Ok(Admission::Invalid(error)),
            Err(AdmissionError::Throttled) => {
                self.state.metrics.throttled.increment();
                log_rejection("", "statement_budget", AnswerKind::Throttled);
                return Ok(Admission::Throttled);
            }
        };
        // A hard limit on concurrent requests, which does not depend on the policy.
        if self.state.at_request_limit() {
            self.state.metrics.throttled_at_limit.increment();
            log_rejection(&admitted.client_id, "at_limit", AnswerKind::Throttled);
            return Ok(Admission::Throttled);
        }
        if self.stream.has_ended() {
            return Err(Disconnect::ClientGone);
        }
        Ok(Admission::Admitted(admitted))
    }

    /// Submits a request of this client to the policy; see [`policy_driver::submit`].
    pub(super) fn submit(
        &self, request: AdmittedRequest, text: Vec<u8>, message_kind: u8,
    ) -> SubmittedRequest {
        self.set_phase(ConnectionPhase::Busy);
        self.answer_outstanding.set(true);
        let client = Rc::downgrade(&self.stream);
        let (id, reply) = policy_driver::submit(&self.state, request, text, message_kind, client);
        SubmittedRequest { id, reply }
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.state.clients.set_phase(self.number, phase, self.state.clock.now());
    }

    /// Consumes buffered bytes. The arrival time of the last one becomes that of the request that they belong
    /// to.
    pub(super) fn consume(&mut self, length: usize) {
        self.buffer.consume(length);
        self.arrived_at = self.arrivals.consume(length).unwrap_or(self.arrived_at);
    }

    fn record_read(&mut self, length: usize, awaited: AwaitedInput) {
        self.arrivals.record_read(length, self.state.earliest_arrival());
        let is_closing = self.signal.close_requested() != CloseRequest::Never;
        // The rest of a message is not necessarily all that has arrived.
        if is_closing && awaited == AwaitedInput::Message && !self.buffer.is_full() {
            self.all_read_while_closing_at = Some(self.state.clock.now());
        }
    }
}

/// Returns a number that identifies the client's machine: its IPv4 address, or the /64 network of its IPv6
/// address.
fn client_machine_of(stream: &Socket) -> u64 {
    stream.peer_ip().map_or(0, |ip| match ip {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => (ip.to_bits() >> 64) as u64,
    })
}
