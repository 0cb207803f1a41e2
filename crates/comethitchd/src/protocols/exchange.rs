//! One request to a host and its response: takes a connection from the pool or opens one, sends the request, reads the
//! response within its timeout, and returns the connection to the pool.
//!
//! What the bytes mean is the protocol's: it encodes the request, and implements [`Response`].

use crate::protocols::attempt::{Attempt, SendRefused};
use crate::protocols::streamed_answer::StreamedAnswer;
use crate::state::buffer::Buffer;
use crate::state::host_connection::{ConnectionError, HostConnection};
use crate::state::router_state::RouterState;
use crate::state::socket::WriteError;
use async_io::Timer;
use comethitch_policy::Host;
use comethitch_policy::time::{Duration, Timestamp};
use futures_lite::FutureExt;
use std::cell::Cell;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// A request holds how much time its client had left as it was encoded, and may be told 0.15 s more than that: one whose
/// last byte has not left by then is given up.
const WRITE_LIMIT: Duration = Duration::from_millis(100);

/// One request and its response, of an attempt or a health check.
pub(super) struct Exchange<'a> {
    /// The router.
    pub state: &'a RouterState,
    host: Host,
    /// When it is given up.
    ends_at: Timestamp,
    /// None for a health check.
    attempt: Option<&'a Attempt>,
    /// All of the request was written.
    sent: Cell<bool>,
}

impl<'a> Exchange<'a> {
    /// The exchange of an attempt, within the attempt's timeout.
    pub(super) fn for_attempt(attempt: &'a Attempt) -> Exchange<'a> {
        Exchange {
            state: &attempt.state,
            host: attempt.host,
            ends_at: attempt.deadline,
            attempt: Some(attempt),
            sent: Cell::new(false),
        }
    }

    /// The exchange of a health check, which may take no longer than opening a connection.
    pub(super) fn for_health_check(state: &'a RouterState, host: Host) -> Exchange<'a> {
        let ends_at = state.clock.now() + state.config.deployment.connect_timeout;
        Exchange { state, host, ends_at, attempt: None, sent: Cell::new(false) }
    }

    /// Where a large answer goes while it still comes. The answer to a health check is never streamed.
    pub(super) fn streamed_answer(&self) -> Option<&'a StreamedAnswer> {
        self.attempt.map(|attempt| &attempt.streamed_answer)
    }

    /// Runs the exchange within its timeout. An answer that is being streamed may take longer, as long as it makes
    /// progress.
    ///
    /// # Errors
    /// The exchange's own, or one that says whether the request was sent before the time ran out.
    pub(super) async fn within_timeout<T>(
        &self, exchange: impl Future<Output = Result<T, ConnectionError>>,
    ) -> Result<T, ConnectionError> {
        let timeout = async {
            Timer::after((self.ends_at - self.state.clock.now()).to_std()).await;
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

    /// Sends the request that `encode` gives for a connection, an idle one or one that `connect` opens, and returns the
    /// connection.
    ///
    /// # Errors
    /// If the request could not be sent, or the policy no longer wants it sent once a connection was there.
    pub(super) async fn send(
        &self, connect: impl AsyncFn(SocketAddr) -> Result<HostConnection, ConnectionError>,
        encode: impl Fn(&HostConnection) -> Vec<u8>,
    ) -> Result<HostConnection, ConnectionError> {
        let address = self.state.hosts.directory().address(self.host).ok_or(ConnectionError::NotSent)?;
        loop {
            let idle = self.state.hosts.take_idle(self.host, address, self.state.clock.now());
            let is_new = idle.is_none();
            let connection = match idle {
                Some(idle) => idle,
                None => connect(address).await.inspect_err(|error| self.record_connect_error(error))?,
            };
            if let Err(refused) = self.check_send() {
                self.release(connection);
                return Err(self.refused(refused));
            }
            let encoded_at = self.state.clock.now();
            let request = encode(&connection);
            match connection.stream.write_checked(&request, || self.check_write(encoded_at)).await {
                Ok(()) => {
                    self.sent.set(true);
                    self.attempt.inspect(|attempt| attempt.verify_sent());
                    return Ok(connection);
                }
                // Its last byte has not left, and never will.
                Err(WriteError::Refused(refused)) => return Err(self.refused(refused)),
                // The host had closed an idle connection: nothing of this has run, another one will do.
                Err(WriteError::Io(_)) if !is_new => {}
                Err(WriteError::Io(_)) => return Err(ConnectionError::BrokenBeforeSend),
            }
        }
    }

    fn check_send(&self) -> Result<(), SendRefused> {
        self.attempt.map_or(Ok(()), Attempt::check_send)
    }

    /// Checks a request of which a part may have been written since it was encoded.
    fn check_write(&self, encoded_at: Timestamp) -> Result<(), SendRefused> {
        if self.state.clock.now() - encoded_at > WRITE_LIMIT {
            return Err(SendRefused::HostReadsSlowly);
        }
        self.check_send()
    }

    fn refused(&self, refused: SendRefused) -> ConnectionError {
        self.attempt.inspect(|attempt| attempt.record_refused(refused));
        match refused {
            SendRefused::HostReadsSlowly => ConnectionError::BrokenBeforeSend,
            SendRefused::ClientGone | SendRefused::Policy(_) => ConnectionError::NotSent,
        }
    }

    fn record_connect_error(&self, error: &ConnectionError) {
        if *error == ConnectionError::NoConnectionSlot {
            self.state.hosts.record_no_slot(self.state.clock.now());
        }
    }

    /// Returns a connection to the pool, if the host is still listed at its address and nothing is left to read.
    pub(super) fn release(&self, connection: HostConnection) {
        self.state.hosts.release(self.host, connection, self.state.clock.now());
    }
}

/// How far a response has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// More bytes must be received.
    NeedsMore,
    /// There is enough for a part to be sent to the client.
    PartReady,
    /// The host has ended the response.
    Ended,
}

/// A host's response as a protocol reads it.
pub(super) trait Response {
    /// Consumes what the buffer holds of the response, up to its end or, if it is streamed, up to a part.
    ///
    /// # Errors
    /// If the host breaks the protocol, or the response is too large.
    fn read_buffered(
        &mut self, buffer: &mut Buffer, is_streamed: bool,
    ) -> Result<ResponseProgress, ConnectionError>;

    /// Takes out what has come and may go to the client.
    fn take_part(&mut self) -> Vec<u8>;
}

/// How the reading of a response ended, while it is still wanted.
pub(super) type ResponseEnd = Result<(), ConnectionError>;

/// Reads a response to its end, and streams its parts to the client where it has one.
///
/// # Errors
/// If the client does not want the answer any more. That the host fails is no error here but the returned end: what
/// has come of the response may count.
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
        // That the router is out of memory is not the host's fault.
        Err(error) if error.kind() == ErrorKind::OutOfMemory => Err(ConnectionError::TooLarge),
        Ok(0) | Err(_) => Err(ConnectionError::BrokenAfterSend),
    }
}
