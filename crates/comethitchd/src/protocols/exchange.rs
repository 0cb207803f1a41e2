//! One message to a host and its response: takes a connection from the pool or opens one, sends the message,
//! reads the response within a timeout, checks that the response belongs to the message, and returns the
//! connection to the pool.
//!
//! The protocols encode the message by implementing [`HostProtocol`], and parse the response by implementing
//! [`Response`].

use crate::protocols::attempt::{Attempt, SendRefused};
use crate::protocols::barrier::{self, HostProtocol, Reuse};
use crate::protocols::streamed_answer::StreamedAnswer;
use crate::stages::policy_driver;
use crate::state::buffer::Buffer;
use crate::state::clock::after;
use crate::state::host_connection::{ConnectionError, HostConnection};
use crate::state::router_state::RouterState;
use crate::state::socket::WriteError;
use crate::state::step_times::EventLoopStep;
use async_io::Timer;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{AttemptOutcome, Host, LoadReport, UnconfirmedAnswer};
use futures_lite::FutureExt;
use std::cell::Cell;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum time from encoding a message to writing its last byte. The message states the client's remaining
/// time, which the rules allow to be at most 150 ms out of date. A message that is not completely written by
/// then is abandoned.
const MAX_WRITE_TIME: Duration = Duration::from_millis(100);

/// The exchange of one message and its response with a host, for an attempt or a health check.
pub(super) struct Exchange<'a> {
    /// The router's state.
    pub state: &'a Rc<RouterState>,
    host: Host,
    deadline: Timestamp,
    /// The attempt, or `None` for a health check.
    attempt: Option<&'a Attempt>,
    /// Whether the whole message was written.
    sent: Cell<bool>,
}

impl<'a> Exchange<'a> {
    /// Creates the exchange of an attempt, which ends at the attempt's deadline.
    pub(super) fn for_attempt(attempt: &'a Attempt) -> Exchange<'a> {
        Exchange {
            state: &attempt.state,
            host: attempt.host,
            deadline: attempt.deadline,
            attempt: Some(attempt),
            sent: Cell::new(false),
        }
    }

    /// Creates the exchange of a health check, whose timeout is the connect timeout.
    pub(super) fn for_health_check(state: &'a Rc<RouterState>, host: Host) -> Exchange<'a> {
        let deadline = state.clock.now() + state.config.deployment.connect_timeout;
        Exchange { state, host, deadline, attempt: None, sent: Cell::new(false) }
    }

    /// Returns whether this is the exchange of a health check.
    pub(super) fn is_health_check(&self) -> bool {
        self.attempt.is_none()
    }

    /// Returns the answer that a large response is streamed to, or `None` for a health check, whose response
    /// is never streamed.
    pub(super) fn streamed_answer(&self) -> Option<&'a StreamedAnswer> {
        self.attempt.map(|attempt| &attempt.streamed_answer)
    }

    /// Runs the exchange up to its deadline. An answer that is being streamed may take longer as long as it
    /// makes progress.
    ///
    /// # Errors
    /// The error of `exchange`, or at the deadline [`ConnectionError::TimedOut`] if the message was sent and
    /// [`ConnectionError::BrokenBeforeSend`] if not.
    pub(super) async fn within_timeout<T>(
        &self, exchange: impl Future<Output = Result<T, ConnectionError>>,
    ) -> Result<T, ConnectionError> {
        let timeout = async {
            Timer::after((self.deadline - self.state.clock.now()).to_std()).await;
            if let Some(streamed) = self.streamed_answer() {
                streamed.wait_until_stalled(self.state.config.longest_timeout().to_std()).await;
            }
            if self.sent.get() {
                return Err(ConnectionError::TimedOut);
            }
            Err(ConnectionError::BrokenBeforeSend)
        };
        exchange.or(timeout).await
    }

    /// Sends the protocol's message, and returns the connection, which is an idle one from the pool or, if
    /// there is none, a new one.
    ///
    /// # Errors
    /// If the message could not be sent, or the send check failed once a connection was available.
    pub(super) async fn send<P: HostProtocol>(
        &self, protocol: &P,
    ) -> Result<HostConnection, ConnectionError> {
        let address = self.state.hosts.directory().address(self.host).ok_or(ConnectionError::NotSent)?;
        loop {
            let idle = self.take_idle(protocol, address).await;
            let is_new = idle.is_none();
            let connection = match idle {
                Some(idle) => idle,
                None => {
                    protocol.connect(address).await.inspect_err(|error| self.record_connect_error(error))?
                }
            };
            if let Err(refused) = self.check_send() {
                self.release(connection);
                return Err(self.record_refused(refused));
            }
            match self.write(protocol, &connection).await {
                Ok(()) => return Ok(connection),
                // The message is incomplete without its last byte, so the host cannot run it.
                Err(WriteError::Refused(refused)) => return Err(self.record_refused(refused)),
                // The host had closed the idle connection, so it has run nothing: try another connection.
                Err(WriteError::Io(_)) if !is_new => {}
                Err(WriteError::Io(_)) => return Err(ConnectionError::BrokenBeforeSend),
            }
        }
    }

    /// Takes an idle connection to the host from the pool. Verifies it first if it was used before and the host
    /// is not known to answer barriers. Returns `None` if there is none, or if verifying it fails or takes
    /// longer than the connect timeout.
    async fn take_idle<P: HostProtocol>(&self, protocol: &P, address: SocketAddr) -> Option<HostConnection> {
        let mut connection = self.state.hosts.take_idle(self.host, address, self.state.clock.now())?;
        let is_known = !connection.session.used || self.state.hosts.answers_barriers(self.host);
        if is_known || self.check_send().is_err() {
            return Some(connection);
        }
        let reuse = self.verify(protocol, &mut connection).await;
        (reuse == Reuse::Possible).then_some(connection)
    }

    async fn write<P: HostProtocol>(
        &self, protocol: &P, connection: &HostConnection,
    ) -> Result<(), WriteError<SendRefused>> {
        let encoded_at = self.state.clock.now();
        let message = protocol.encode(connection);
        connection.stream.write_checked(&message, || self.check_write(encoded_at)).await?;
        self.sent.set(true);
        self.attempt.inspect(|attempt| attempt.verify_sent());
        Ok(())
    }

    /// Checks that the response that was just read is that of the message, and returns whether the connection
    /// can be reused. `end` is how reading the response ended, and `contents` is what the response tells about
    /// the host, which is reported to the policy before the check: the check may take long.
    ///
    /// # Errors
    /// If the connection was used before, and the response may belong to an earlier message.
    pub(super) async fn confirm<P: HostProtocol>(
        &self, protocol: &P, connection: &mut HostConnection, end: &ResponseEnd, contents: &ResponseContents,
    ) -> Result<Reuse, ConnectionError> {
        let was_used = std::mem::replace(&mut connection.session.used, true);
        // What comes with a streamed answer is not reported at its end, as the attempt has ended at its start.
        let is_streamed = self.streamed_answer().is_some_and(StreamedAnswer::has_started);
        if (was_used || is_streamed) && *end != Err(ConnectionError::Malformed) {
            self.report_unconfirmed(contents);
        }
        match end {
            Ok(()) if was_used => {
                let confirmed = barrier::confirm(protocol, connection).await;
                confirmed.inspect_err(|error| self.record_surplus(error))
            }
            Err(error) if was_used => Err(error.clone()),
            // The response to the first message of a connection can't be that of another one.
            Ok(()) => Ok(Reuse::Possible),
            Err(_) => Ok(Reuse::Impossible),
        }
    }

    /// Reports a response to the policy that may belong to an earlier message.
    fn report_unconfirmed(&self, contents: &ResponseContents) {
        let ResponseContents { outcome, trailer, report } = *contents;
        let request = self.attempt.map(Attempt::request);
        let answer = UnconfirmedAnswer { host: self.host, request, outcome, trailer, report };
        if !answer.may_show_lost_role() {
            return;
        }
        policy_driver::call(self.state, EventLoopStep::UnconfirmedAnswer, |router, actions| {
            router.unconfirmed_answer(&answer, actions);
        });
    }

    /// Checks that the host answers barriers, and returns whether the connection can be reused.
    async fn verify<P: HostProtocol>(&self, protocol: &P, connection: &mut HostConnection) -> Reuse {
        let connect_timeout = self.state.config.deployment.connect_timeout.to_std();
        let timeout = after(connect_timeout, Err(ConnectionError::TimedOut));
        match barrier::verify(protocol, connection).or(timeout).await {
            Ok(()) => {
                self.state.hosts.record_answers_barriers(self.host, true);
                Reuse::Possible
            }
            Err(error) => {
                self.record_surplus(&error);
                Reuse::Impossible
            }
        }
    }

    /// Counts and logs that a host sent surplus bytes, or did not answer a barrier.
    fn record_surplus(&self, error: &ConnectionError) {
        if *error == ConnectionError::Ambiguous {
            self.state.metrics.surplus_responses.increment();
            self.state.hosts.record_answers_barriers(self.host, false);
        }
        let endpoints = self.state.hosts.directory();
        log::debug!(host = endpoints.name(self.host), error:%; "barrier not answered as expected");
    }

    fn check_send(&self) -> Result<(), SendRefused> {
        self.attempt.map_or(Ok(()), Attempt::check_send)
    }

    /// Checks before each write that the rest of a message, which may already be partly written, may still be
    /// sent.
    fn check_write(&self, encoded_at: Timestamp) -> Result<(), SendRefused> {
        if self.state.clock.now() - encoded_at > MAX_WRITE_TIME {
            return Err(SendRefused::HostReadsSlowly);
        }
        self.check_send()
    }

    /// Records that the attempt was not sent, and returns the error that the exchange ends with.
    fn record_refused(&self, refused: SendRefused) -> ConnectionError {
        self.attempt.inspect(|attempt| attempt.record_refused(refused));
        match refused {
            SendRefused::HostReadsSlowly => ConnectionError::BrokenBeforeSend,
            SendRefused::ClientGone | SendRefused::ClientMayBeGone | SendRefused::Policy(_) => {
                ConnectionError::NotSent
            }
        }
    }

    fn record_connect_error(&self, error: &ConnectionError) {
        if *error == ConnectionError::NoConnectionSlot {
            self.state.hosts.record_no_slot(self.state.clock.now());
        }
    }

    /// Returns a connection to the pool if the host is still listed at its address and no input is left
    /// unread.
    pub(super) fn release(&self, connection: HostConnection) {
        self.state.hosts.release(self.host, connection, self.state.clock.now());
    }
}

/// What a response tells about its host.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseContents {
    /// The outcome that the attempt or the health check would be reported with.
    pub outcome: AttemptOutcome,
    /// The response trailer; empty for a health check.
    pub trailer: LoadReport,
    /// The load report.
    pub report: LoadReport,
}

/// How much of a response is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// More bytes must be received.
    NeedsMore,
    /// Enough is available to stream a part to the client.
    PartReady,
    /// The response has ended.
    Ended,
}

/// A host's response, parsed by a protocol.
pub(super) trait Response {
    /// Consumes the buffered bytes of the response, up to its end or, if it is streamed, until a part is
    /// ready.
    ///
    /// # Errors
    /// If the host violates the protocol, or the response is too large.
    fn read_buffered(
        &mut self, buffer: &mut Buffer, is_streamed: bool,
    ) -> Result<ResponseProgress, ConnectionError>;

    /// Removes and returns the received bytes that are sent to the client as the next part.
    fn take_part(&mut self) -> Vec<u8>;
}

/// How reading a response ended: completely, or with a failure of the host.
pub(super) type ResponseEnd = Result<(), ConnectionError>;

/// Reads a response to its end, and streams its parts if `streamed` is given.
///
/// A failure of the host is returned as the [`ResponseEnd`] rather than as an error, because the part of the
/// response that was received may still be usable.
///
/// # Errors
/// If the client no longer waits for the answer.
pub(super) async fn read_response(
    connection: &mut HostConnection, response: &mut impl Response, streamed: Option<&StreamedAnswer>,
) -> Result<ResponseEnd, ConnectionError> {
    loop {
        let progress = match response.read_buffered(&mut connection.buffer, streamed.is_some()) {
            Ok(progress) => progress,
            Err(error) => return Ok(Err(error)),
        };
        match progress {
            ResponseProgress::Ended => return Ok(Ok(())),
            ResponseProgress::PartReady => {
                let part = response.take_part();
                if let Some(streamed) = streamed {
                    streamed.send_part(part).await?;
                }
            }
            ResponseProgress::NeedsMore => {
                if let Err(error) = receive(connection).await {
                    return Ok(Err(error));
                }
            }
        }
    }
}

/// Receives more bytes into the connection's buffer.
async fn receive(connection: &mut HostConnection) -> Result<(), ConnectionError> {
    match connection.buffer.fill(&connection.stream).await {
        Ok(1..) => Ok(()),
        // The router's own lack of memory must not count against the host.
        Err(error) if error.kind() == ErrorKind::OutOfMemory => Err(ConnectionError::TooLarge),
        Ok(0) | Err(_) => Err(ConnectionError::BrokenAfterSend),
    }
}
