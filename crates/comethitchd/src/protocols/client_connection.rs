//! A client's connection, whatever protocol is spoken on it: waiting for its requests, noticing that it disconnects
//! while a command is in progress, admission of its statements, and closing it.

use crate::stages::admit::{AdmissionError, AdmittedCommand, StatementError, StatementRequest, admit};
use crate::state::arrivals::Arrivals;
use crate::state::buffer::Buffer;
use crate::state::client_registry::ConnectionPhase;
use crate::state::clock::after;
use crate::state::descriptors::DescriptorPermit;
use crate::state::router_state::RouterState;
use crate::state::signals::{CloseRequest, ConnectionSignal};
use crate::wire::MalformedMessage;
use async_io::{Async, Timer};
use comethitch_policy::time::Timestamp;
use comethitch_statement::assign::Arguments;
use futures_lite::{AsyncWriteExt, FutureExt};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::future::Future;
use std::io::{self, Read};
use std::net::{IpAddr, Shutdown, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Once this much of further requests is buffered, no more is read while a command is in progress.
const MAX_PIPELINED_BYTES: usize = 8 * 1024;
/// While nothing is read, whether the client has disconnected is looked at this often. An attempt that begins a tenth
/// of a second after the client went is too late.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// What a client still sends behind the last answer of its connection is read and discarded for this long. Closed with
/// bytes unread, the connection would be reset, and what the client has not read yet lost.
const LINGER: Duration = Duration::from_millis(60);
/// A client that has sent this many invalid statements in a row is disconnected.
const MAX_REJECTED_IN_ROW: u32 = 8;
/// A client's connection.
pub struct ClientConnection {
    /// The router.
    pub state: Rc<RouterState>,
    /// What was received and not consumed.
    pub buffer: Buffer,
    /// The connection's number in the registry of clients.
    pub number: u32,
    /// Asks this connection to close, or cancels its command.
    pub signal: Rc<ConnectionSignal>,
    stream: Async<TcpStream>,
    /// A number for the client's machine, whose connections share one budget for parsing.
    origin: u64,
    /// When the last byte arrived that was consumed.
    arrived: Timestamp,
    arrivals: Arrivals,
    _permit: DescriptorPermit,
    /// A command was answered here, so that the connection may be closed while it is idle.
    has_been_answered: bool,
    /// Invalid statements since the last command that was answered.
    rejected_in_row: u32,
    /// The connection was asked to close before the last bytes were read: they cross the close.
    closing_at_last_read: bool,
}

/// Why a client's connection ends.
#[derive(Debug, thiserror::Error)]
pub enum Disconnect {
    /// The client has closed the connection, or is to be treated as if it had.
    #[error("the client has disconnected")]
    ClientGone,
    /// The router closes the connection while nothing is owed to the client.
    #[error("closed between two commands")]
    Closing,
    /// The client has broken the protocol.
    #[error("{0}")]
    ProtocolViolation(&'static str),
    /// The connection or its buffer failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<MalformedMessage> for Disconnect {
    fn from(malformed: MalformedMessage) -> Disconnect {
        Disconnect::ProtocolViolation(malformed.0)
    }
}

/// The error that a client is told before its connection is closed. Each protocol has its own codes for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClosingError {
    /// The client has broken the protocol.
    #[error("{0}")]
    ProtocolViolation(&'static str),
    /// There is no memory for what the client sends.
    #[error("no room for this now")]
    OutOfMemory,
}

/// What became of a statement that a client wants run.
pub enum Admission {
    /// It is a command, to be submitted to the policy.
    Admitted(AdmittedCommand),
    /// It must be answered as throttled.
    Throttled,
    /// It must be answered with this error.
    Invalid(StatementError),
}

impl ClientConnection {
    /// Registers a client at once: it holds a descriptor although it has sent nothing yet.
    pub fn new(
        state: Rc<RouterState>, stream: Async<TcpStream>, permit: DescriptorPermit, max_buffer_bytes: usize,
    ) -> ClientConnection {
        let _ = stream.get_ref().set_nodelay(true);
        let arrived = state.now();
        let (number, signal) = state.clients.register(arrived);
        let buffer = Buffer::new(max_buffer_bytes, &state.memory);
        let origin = origin_of(&stream);
        ClientConnection {
            state,
            buffer,
            number,
            signal,
            stream,
            origin,
            arrived,
            arrivals: Arrivals::default(),
            _permit: permit,
            has_been_answered: false,
            rejected_in_row: 0,
            closing_at_last_read: false,
        }
    }

    /// Records that a command was answered.
    pub fn record_answer(&mut self) {
        self.has_been_answered = true;
        self.rejected_in_row = 0;
    }

    /// Records an invalid statement.
    ///
    /// # Errors
    /// If there were too many in a row.
    pub fn record_rejection(&mut self, reason: &str) -> Result<(), Disconnect> {
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
    pub fn admit(&self, text: &[u8], arguments: &Arguments) -> Result<Admission, Disconnect> {
        let request = StatementRequest { text, arguments, arrived: self.arrived, origin: self.origin };
        let admitted = match admit(&self.state, &request) {
            Ok(admitted) => admitted,
            Err(AdmissionError::Invalid(error)) => return Ok(Admission::Invalid(error)),
            Err(AdmissionError::Throttled) => {
                self.state.metrics.throttled.increment();
                self.state.log_rejection("", "statement_budget");
                return Ok(Admission::Throttled);
            }
        };
        // A hard limit, which the policy has no say in.
        if self.state.at_command_limit() {
            self.state.metrics.throttled_at_limit.increment();
            self.state.log_rejection(&admitted.client_id, "at_limit");
            return Ok(Admission::Throttled);
        }
        if self.has_disconnected() {
            return Err(Disconnect::ClientGone);
        }
        Ok(Admission::Admitted(admitted))
    }

    /// Records that a command of this client is in progress.
    pub fn set_busy(&self) {
        self.set_phase(ConnectionPhase::Busy);
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.state.clients.set_phase(self.number, phase, self.state.clock.now());
    }

    /// Waits for more bytes between two messages or within one, while no command is in progress. How long that may take
    /// is limited by the registry of clients, so that a command needs no timer here.
    ///
    /// # Errors
    /// If the connection ends before more bytes come.
    pub async fn wait_for_input(&mut self) -> Result<(), Disconnect> {
        self.wait_for_more(true).await
    }

    /// Like [`ClientConnection::wait_for_input`], where `between_messages` says whether no part of a message was
    /// consumed from the buffer yet.
    ///
    /// # Errors
    /// If the connection ends before more bytes come.
    pub async fn wait_for_more(&mut self, between_messages: bool) -> Result<(), Disconnect> {
        let nothing_begun = between_messages && self.buffer.unread().is_empty();
        let is_idle = nothing_begun && self.has_been_answered;
        self.set_phase(if is_idle { ConnectionPhase::Idle } else { ConnectionPhase::Reading });
        // A client that keeps sending is not waited for: it sends again what crosses the close.
        if is_idle && self.closing_at_last_read {
            return Err(Disconnect::Closing);
        }
        let close_request = if is_idle { CloseRequest::WhenIdle } else { CloseRequest::Now };
        let length = match self.fill_unless_closed(close_request).await {
            Err(Disconnect::Closing) if !nothing_begun => {
                return Err(Disconnect::ProtocolViolation("the rest of a message did not come"));
            }
            // Something came at the last moment.
            Err(Disconnect::Closing) if self.has_waiting_input() => self.buffer.fill(&self.stream).await?,
            filled => filled?,
        };
        if length == 0 {
            return Err(Disconnect::ClientGone);
        }
        self.record_read(length);
        Ok(())
    }

    /// Reads once, unless the connection is asked to close before that.
    async fn fill_unless_closed(&mut self, close_request: CloseRequest) -> Result<usize, Disconnect> {
        let stream = &self.stream;
        let signal = &self.signal;
        let fill = async { Ok(self.buffer.fill(stream).await?) };
        let close = async {
            signal.wait_for_close(close_request).await;
            Err(Disconnect::Closing)
        };
        fill.or(close).await
    }

    /// Consumes bytes of the buffer: the request that they are part of arrived with the last of them.
    pub fn consume(&mut self, length: usize) {
        self.buffer.consume(length);
        self.arrived = self.arrivals.consume(length).unwrap_or(self.arrived);
    }

    fn record_read(&mut self, length: usize) {
        self.arrivals.read(length, self.state.arrival_time());
        self.closing_at_last_read = self.signal.close_requested() != CloseRequest::Never;
    }

    /// Whether bytes wait in the system to be read.
    fn has_waiting_input(&self) -> bool {
        self.stream.get_ref().peek(&mut [0]).is_ok_and(|length| length > 0)
    }

    /// Whether the client has closed its connection or its sending half, or the connection was reset; also behind bytes
    /// that are not read yet.
    pub fn has_disconnected(&self) -> bool {
        match self.stream.get_ref().peek(&mut [0]) {
            Ok(0) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            // Behind bytes that are not read only the system sees the end.
            Ok(_) => self.is_hung_up(),
        }
    }

    fn is_hung_up(&self) -> bool {
        let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&self.stream, hang_up)];
        let ready = poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
        ready.is_ok_and(|number| number > 0) && polled[0].revents().intersects(hang_up)
    }

    /// Waits until the client has disconnected, and reads nothing; what it sends meanwhile is timed all the same.
    async fn wait_for_disconnect(&mut self) {
        while !self.has_disconnected() {
            self.record_waiting_input();
            Timer::after(DISCONNECT_POLL_INTERVAL).await;
        }
    }

    /// Records the bytes that wait in the system to be read: they have arrived by now.
    fn record_waiting_input(&mut self) {
        let waiting = self.stream.get_ref().peek(&mut self.state.discard_buffer.borrow_mut());
        self.arrivals.waiting(waiting.unwrap_or(0), self.state.arrival_time());
    }

    /// Waits for an event.
    ///
    /// # Errors
    /// [`Disconnect::ClientGone`] if the client disconnects before it.
    pub async fn wait_while_connected<T>(&mut self, event: impl Future<Output = T>) -> Result<T, Disconnect> {
        // Without interruptions the event comes, or the client disconnects.
        self.wait_until_interrupted(event, None::<fn(&[u8]) -> bool>).await?.ok_or(Disconnect::ClientGone)
    }

    /// Waits for an event, or returns none once what the client sends meanwhile is an interruption. Without a test for
    /// interruptions it can send none.
    ///
    /// # Errors
    /// [`Disconnect::ClientGone`] if the client disconnects before either.
    pub async fn wait_until_interrupted<T>(
        &mut self, event: impl Future<Output = T>, is_interruption: Option<impl Fn(&[u8]) -> bool>,
    ) -> Result<Option<T>, Disconnect> {
        let mut event = pin!(event);
        let mut out_of_memory = false;
        loop {
            // A router that stops answers what it has read, and reads no more commands.
            let no_more_commands = self.closing_at_last_read && is_interruption.is_none();
            let is_full = self.buffer.unread().len() >= MAX_PIPELINED_BYTES;
            let may_read = !out_of_memory && !is_full && !no_more_commands;
            let event_came = async { Ok(event.as_mut().await) };
            let input_came = async { Err(self.read_or_wait_for_disconnect(may_read).await) };
            match event_came.or(input_came).await {
                Ok(value) => return Ok(Some(value)),
                Err(Ok(length)) if length > 0 => {
                    self.record_read(length);
                    if is_interruption.as_ref().is_some_and(|test| test(self.buffer.unread())) {
                        return Ok(None);
                    }
                }
                // That there is no memory to read what comes next is no reason to give up the command in progress.
                Err(Err(error)) if error.kind() == io::ErrorKind::OutOfMemory => out_of_memory = true,
                Err(_) => return Err(Disconnect::ClientGone),
            }
        }
    }

    /// Reads once, or waits without reading; 0 once the client has disconnected.
    async fn read_or_wait_for_disconnect(&mut self, may_read: bool) -> io::Result<usize> {
        if !may_read {
            self.wait_for_disconnect().await;
            return Ok(0);
        }
        self.buffer.fill(&self.stream).await
    }

    /// Writes all of the bytes, within the longest time that any client waits.
    ///
    /// # Errors
    /// If the connection breaks, or the time runs out.
    pub async fn write(&self, bytes: &[u8]) -> Result<(), Disconnect> {
        let mut stream = &self.stream;
        let timed_out = Err(io::ErrorKind::TimedOut.into());
        let limit = self.state.longest_timeout.to_std();
        Ok(stream.write_all(bytes).or(after(limit, timed_out)).await?)
    }

    /// Ends the connection. `encode` gives the protocol's message for an error that the client is told.
    pub async fn close(mut self, disconnect: Disconnect, encode: impl Fn(ClosingError) -> Vec<u8>) {
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
            Disconnect::Closing => self.close_gracefully(Vec::new(), "closed between two commands").await,
            Disconnect::ClientGone => {}
        }
        self.state.clients.unregister(self.number);
    }

    /// Sends the last bytes, if there are any, and shuts the sending half down. What the client still sends is discarded
    /// for a while and none of it carried out: closed with bytes unread, the connection would be reset, and the client
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
        self.stream.get_ref().shutdown(Shutdown::Write).ok()?;
        self.consume(self.buffer.unread().len());
        loop {
            self.stream.readable().await.ok()?;
            match self.stream.get_ref().read(&mut self.state.discard_buffer.borrow_mut()) {
                Ok(length) if length > 0 => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                _ => return None,
            }
        }
    }
}

/// A number for the client's machine. An IPv6 network of 64 bits is taken for one client's.
fn origin_of(stream: &Async<TcpStream>) -> u64 {
    stream.get_ref().peer_addr().map_or(0, |address| match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => (ip.to_bits() >> 64) as u64,
    })
}
