//! A client's connection, whatever its protocol: its registration, admission of its statements, writing to
//! it, and closing it.
//!
//! [`waiting`] holds the waits for input and for the end of a request, [`disconnect`] the reasons to close.

mod disconnect;
mod waiting;

pub(super) use disconnect::{ClosingError, Disconnect};

use crate::stages::admit::{AdmissionError, AdmittedRequest, StatementError, StatementRequest, admit};
use crate::stages::policy_driver;
use crate::state::arrivals::Arrivals;
use crate::state::buffer::Buffer;
use crate::state::client_registry::ConnectionPhase;
use crate::state::clock::after;
use crate::state::descriptors::DescriptorPermit;
use crate::state::pending_requests::Reply;
use crate::state::router_state::{RouterState, log_rejection};
use crate::state::signals::{CloseRequest, ConnectionSignal};
use crate::state::socket::Socket;
use async_channel::Receiver;
use async_io::Async;
use comethitch_policy::RequestId;
use comethitch_policy::time::Timestamp;
use comethitch_statement::assign::Argument;
use futures_lite::{AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::io;
use std::net::{IpAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// What a client still sends behind the last answer of its connection is read and discarded for this long. Closed with
/// bytes unread, the connection would be reset, and what the client has not read yet lost.
const LINGER: Duration = Duration::from_millis(60);
/// A client that has sent this many invalid statements in a row is disconnected.
const MAX_REJECTED_IN_ROW: u32 = 8;

/// A client's connection.
pub(super) struct ClientConnection {
    /// The router.
    pub state: Rc<RouterState>,
    /// What was received and not consumed.
    pub buffer: Buffer,
    /// The connection's number in the registry of clients.
    pub number: u32,
    /// Asks this connection to close, or cancels its request.
    pub signal: Rc<ConnectionSignal>,
    stream: Rc<Socket>,
    /// An answer is owed to a request that was submitted.
    owes_answer: Cell<bool>,
    /// A number for the client's machine, whose connections share one budget for parsing.
    origin: u64,
    /// When the last byte arrived that was consumed.
    arrived: Timestamp,
    arrivals: Arrivals,
    _permit: DescriptorPermit,
    /// A request was answered here, so that the connection may be closed while it is idle.
    has_been_answered: bool,
    /// Invalid statements since the last request that was answered.
    rejected_in_row: u32,
    /// The connection was asked to close before the last bytes were read: they cross the close.
    closing_at_last_read: bool,
}

/// What became of a statement that a client wants run.
pub(super) enum Admission {
    /// It is a request, to be submitted to the policy.
    Admitted(AdmittedRequest),
    /// It must be answered as throttled.
    Throttled,
    /// It must be answered with this error.
    Invalid(StatementError),
}

impl ClientConnection {
    /// Registers a client at once: it holds a descriptor although it has sent nothing yet.
    pub(super) fn new(
        state: Rc<RouterState>, stream: Async<TcpStream>, permit: DescriptorPermit, max_buffer_bytes: usize,
    ) -> ClientConnection {
        let stream = Rc::new(Socket::new(stream));
        let arrived = state.clock.observe();
        let (number, signal) = state.clients.register(arrived);
        let buffer = Buffer::new(max_buffer_bytes, &state.memory);
        let origin = origin_of(&stream);
        ClientConnection {
            state,
            buffer,
            number,
            signal,
            stream,
            owes_answer: Cell::new(false),
            origin,
            arrived,
            arrivals: Arrivals::default(),
            _permit: permit,
            has_been_answered: false,
            rejected_in_row: 0,
            closing_at_last_read: false,
        }
    }

    /// Records that a request was answered.
    pub(super) fn record_answer(&mut self) {
        self.has_been_answered = true;
        self.owes_answer.set(false);
        self.rejected_in_row = 0;
    }

    /// Records an invalid statement.
    ///
    /// # Errors
    /// If there were too many in a row.
    pub(super) fn record_rejection(&mut self, reason: &str) -> Result<(), Disconnect> {
        self.state.metrics.invalid_requests.increment();
        log::debug!("client {}: {reason}", self.number);
        self.rejected_in_row += 1;
        if self.rejected_in_row >= MAX_REJECTED_IN_ROW {
            return Err(Disconnect::ProtocolViolation("too many statements that are no commands"));
        }
        Ok(())
    }

    /// Admits the statement that was consumed last, and counts and logs it if it is throttled.
    ///
    /// # Errors
    /// If the client has disconnected: nothing may begin for it any more.
    pub(super) fn admit(&self, text: &[u8], arguments: &[Argument]) -> Result<Admission, Disconnect> {
        let request = StatementRequest { text, arguments, arrived: self.arrived, origin: self.origin };
        let admitted = match admit(&self.state, &request) {
            Ok(admitted) => admitted,
            Err(AdmissionError::Invalid(error)) => return Ok(Admission::Invalid(error)),
            Err(AdmissionError::Throttled) => {
                self.state.metrics.throttled.increment();
                log_rejection("", "statement_budget");
                return Ok(Admission::Throttled);
            }
        };
        // A hard limit, which the policy has no say in.
        if self.state.at_request_limit() {
            self.state.metrics.throttled_at_limit.increment();
            log_rejection(&admitted.client_id, "at_limit");
            return Ok(Admission::Throttled);
        }
        if self.stream.has_ended() {
            return Err(Disconnect::ClientGone);
        }
        Ok(Admission::Admitted(admitted))
    }

    /// Hands a request of this client to the policy; see [`policy_driver::submit`].
    pub(super) fn submit(
        &self, request: AdmittedRequest, text: Vec<u8>, message_kind: u8,
    ) -> (RequestId, Receiver<Reply>) {
        self.set_phase(ConnectionPhase::Busy);
        self.owes_answer.set(true);
        policy_driver::submit(&self.state, request, text, message_kind, Rc::downgrade(&self.stream))
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.state.clients.set_phase(self.number, phase, self.state.clock.now());
    }

    /// Consumes bytes of the buffer: the request that they are part of arrived with the last of them.
    pub(super) fn consume(&mut self, length: usize) {
        self.buffer.consume(length);
        self.arrived = self.arrivals.consume(length).unwrap_or(self.arrived);
    }

    fn record_read(&mut self, length: usize) {
        self.arrivals.record_read(length, self.state.arrival_time());
        self.closing_at_last_read = self.signal.close_requested() != CloseRequest::Never;
    }

    /// Writes all of the bytes, within the longest time that any client waits.
    ///
    /// # Errors
    /// If the connection breaks, or the time runs out.
    pub(super) async fn write(&self, bytes: &[u8]) -> Result<(), Disconnect> {
        let mut stream = &*self.stream;
        let timed_out = Err(io::ErrorKind::TimedOut.into());
        let limit = self.state.config.longest_timeout().to_std();
        Ok(stream.write_all(bytes).or(after(limit, timed_out)).await?)
    }

    /// Ends the connection. `encode` gives the protocol's message for an error that is sent to the client.
    pub(super) async fn close(mut self, disconnect: Disconnect, encode: impl Fn(ClosingError) -> Vec<u8>) {
        self.check_close(&disconnect);
        match disconnect {
            Disconnect::ProtocolViolation(message) => {
                self.state.metrics.invalid_requests.increment();
                let error = ClosingError::ProtocolViolation(message);
                self.close_gracefully(encode(error), &error.to_string()).await;
            }
            Disconnect::Io(error) if error.kind() == io::ErrorKind::OutOfMemory => {
                self.state.metrics.throttled_at_limit.increment();
                let error = ClosingError::OutOfMemory;
                self.close_gracefully(encode(error), &error.to_string()).await;
            }
            Disconnect::Io(error) => log::debug!("client {}: {error}", self.number),
            // All is answered. The client sees the end of the stream, and sends again what comes now.
            Disconnect::Closing | Disconnect::BrokenAnswer => {
                self.close_gracefully(Vec::new(), &disconnect.to_string()).await;
            }
            Disconnect::ClientGone => {}
        }
        self.state.clients.unregister(self.number);
    }

    /// Counts a close of the router's own that leaves a request without its answer, unless the answer was being
    /// streamed: its client sees that it is not whole.
    fn check_close(&self, disconnect: &Disconnect) {
        let own_close = match disconnect {
            Disconnect::ProtocolViolation(_) | Disconnect::Closing => true,
            Disconnect::Io(error) => error.kind() == io::ErrorKind::OutOfMemory,
            Disconnect::ClientGone | Disconnect::BrokenAnswer => false,
        };
        if own_close && self.owes_answer.get() {
            self.state.record_violation("closed_without_answer", &format!("client {}", self.number));
        }
    }

    /// Sends the last bytes, if there are any, and shuts the sending half down. What the client still sends is discarded
    /// for a while and never executed: closed with bytes unread, the connection would be reset, and the client
    /// might never read its error, or its last answer.
    async fn close_gracefully(&mut self, last_bytes: Vec<u8>, reason: &str) {
        log::debug!("client {}: {reason}", self.number);
        self.set_phase(ConnectionPhase::Closing);
        let signal = self.signal.clone();
        let linger = async {
            signal.wait_for_close(CloseRequest::Now).await;
            after(LINGER, None::<()>).await
        };
        self.send_and_discard(&last_bytes).or(linger).await;
    }

    /// Sends the last bytes, and discards input up to the end of the stream; none then, or if the connection breaks.
    async fn send_and_discard(&mut self, last_bytes: &[u8]) -> Option<()> {
        self.write(last_bytes).await.ok()?;
        self.stream.shut_down_write().ok()?;
        self.consume(self.buffer.unread().len());
        while self.stream.read_into(self.state.clients.discard_buffer()).await.ok()? > 0 {}
        None
    }
}

/// A number for the client's machine. An IPv6 network of 64 bits counts as one client's.
fn origin_of(stream: &Socket) -> u64 {
    stream.peer_ip().map_or(0, |ip| match ip {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => (ip.to_bits() >> 64) as u64,
    })
}
