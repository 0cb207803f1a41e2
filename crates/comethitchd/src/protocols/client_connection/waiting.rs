//! Waits on a client's connection, for input or for the end of a request. A wait for the end of a request
//! also ends when the client disconnects or interrupts the request.

use super::{ClientConnection, Disconnect};
use crate::state::client_registry::ConnectionPhase;
use crate::state::clock::after;
use crate::state::message_allowance::MessageLimit;
use crate::state::signals::CloseRequest;
use async_io::Timer;
use comethitch_policy::time::Duration as PolicyDuration;
use futures_lite::FutureExt;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::time::Duration;

/// Maximum size of pipelined input that is buffered while a request is in progress.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// Interval of polling for a disconnect while nothing is read. It must be well below 100 ms, because the
/// rules forbid attempts that start more than 100 ms after a disconnect.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time before the close of a connection within which the client counts as not knowing of it. A request that
/// arrives earlier is answered.
const MAX_CROSSING_TIME: PolicyDuration = PolicyDuration::from_millis(50);

/// The input that a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AwaitedInput {
    /// The next message. No byte of it was read.
    Message,
    /// The rest of a message that has begun.
    Rest {
        /// Maximum number of bytes that belong to the rest.
        max_bytes: usize,
    },
}

impl ClientConnection {
    /// Waits for more input between or within messages, while no request is in progress. There is no timer
    /// here, because the registry of clients enforces the time limit.
    ///
    /// # Errors
    /// If the connection ends before more input arrives. It ends between two messages only once all requests
    /// that were read are answered.
    pub(crate) async fn wait_for_input(&mut self, awaited: AwaitedInput) -> Result<(), Disconnect> {
        self.flush().await?;
        let length = match awaited {
            AwaitedInput::Message => self.read_message_start().await?,
            AwaitedInput::Rest { max_bytes } => self.read_rest(max_bytes).await?,
        };
        if length == 0 {
            return Err(Disconnect::ClientGone);
        }
        self.record_read(length, awaited);
        Ok(())
    }

    /// Reads the beginning of the next message, and whatever follows it.
    async fn read_message_start(&mut self) -> Result<usize, Disconnect> {
        let (phase, close_request) = if self.has_been_answered {
            (ConnectionPhase::Idle, CloseRequest::WhenIdle)
        } else {
            (ConnectionPhase::Reading, CloseRequest::Now)
        };
        self.set_phase(phase);
        if self.signal.close_requested() >= close_request && self.waiting_input_crosses_close() {
            return Err(Disconnect::Closing);
        }
        match self.fill_unless_closed(close_request, usize::MAX).await {
            // Input that arrived at the same time as the close request is still read.
            Err(Disconnect::Closing) if self.stream.has_input() => {
                Ok(self.buffer.fill(&*self.stream).await?)
            }
            filled => filled,
        }
    }

    /// Returns whether all input that is not read yet arrived so recently that its client may not have known
    /// of the close. A client that always has requests in flight could otherwise never be disconnected.
    fn waiting_input_crosses_close(&self) -> bool {
        let now = self.state.clock.now();
        self.all_read_while_closing_at.is_some_and(|at| now - at < MAX_CROSSING_TIME)
    }

    /// Reads more of a message that has begun. Once a close is requested, nothing that follows the message is
    /// read, so that the connection can end after it without leaving another message half read.
    async fn read_rest(&mut self, max_bytes: usize) -> Result<usize, Disconnect> {
        self.set_phase(ConnectionPhase::Reading);
        if self.signal.close_requested() == CloseRequest::Never {
            match self.fill_unless_closed(CloseRequest::WhenIdle, usize::MAX).await {
                Err(Disconnect::Closing) => {}
                filled => return filled,
            }
        }
        match self.fill_unless_closed(CloseRequest::Now, max_bytes).await {
            Err(Disconnect::Closing) => {
                Err(Disconnect::ProtocolViolation("the rest of a message did not come"))
            }
            filled => filled,
        }
    }

    /// Reads at most `max_bytes` once, unless a close that is at least as urgent as `close_request` is
    /// requested first. Input that has arrived is read in any case.
    async fn fill_unless_closed(
        &mut self, close_request: CloseRequest, max_bytes: usize,
    ) -> Result<usize, Disconnect> {
        let stream = &*self.stream;
        let signal = &self.signal;
        let fill = async { Ok(self.buffer.fill_up_to(stream, max_bytes).await?) };
        let close = async {
            signal.wait_for_close(close_request).await;
            Err(Disconnect::Closing)
        };
        fill.or(close).await
    }

    /// Waits until the client has disconnected, without reading its input. The arrival time of the input is
    /// still recorded.
    async fn wait_for_disconnect(&mut self) {
        while !self.stream.has_ended() {
            self.record_waiting_input();
            Timer::after(DISCONNECT_POLL_INTERVAL).await;
        }
    }

    /// Takes a message that is no request from the client's allowance. If the client has sent too many of them,
    /// first waits without reading, so that the client has to wait as well.
    ///
    /// # Errors
    /// If the client goes on sending such messages all the same.
    pub(crate) async fn limit_messages(&mut self) -> Result<(), Disconnect> {
        match self.message_allowance.take(self.state.clock.now()) {
            MessageLimit::Handle => Ok(()),
            MessageLimit::HandleAfter(pause) => {
                self.state.metrics.clients_paused.increment();
                self.pause_reading(pause.to_std()).await;
                Ok(())
            }
            MessageLimit::Exceeded => {
                Err(Disconnect::ProtocolViolation("too many messages that are no requests"))
            }
        }
    }

    /// Waits without reading. The wait ends early if the client disconnects, or if a close of the connection is
    /// requested, since its requests must then be answered soon.
    async fn pause_reading(&mut self, pause: Duration) {
        let signal = self.signal.clone();
        let close = signal.wait_for_close(CloseRequest::WhenIdle);
        close.or(after(pause, ())).or(self.wait_for_disconnect()).await;
    }

    /// Records the arrival of bytes in the socket's receive buffer.
    fn record_waiting_input(&mut self) {
        let waiting = self.stream.peek(&mut self.state.clients.discard_buffer().borrow_mut());
        self.arrivals.record_waiting(waiting.unwrap_or(0), self.state.earliest_arrival());
    }

    /// Waits until requests can be served. Returns false if the router is shut down before that.
    ///
    /// # Errors
    /// [`Disconnect::ClientGone`] if the client disconnects first.
    pub(crate) async fn wait_until_ready(&mut self) -> Result<bool, Disconnect> {
        self.set_phase(ConnectionPhase::Busy);
        let state = self.state.clone();
        let ready = async {
            state.discovery.wait_until_ready().await;
            true
        };
        let shut_down = async {
            state.shut_down.wait().await;
            false
        };
        self.wait_while_connected(ready.or(shut_down)).await
    }

    /// Returns whether the client has sent anything that was not handled yet.
    pub(crate) fn has_unhandled_input(&self) -> bool {
        !self.buffer.unread().is_empty() || self.stream.has_input()
    }

    /// Waits for an event.
    ///
    /// # Errors
    /// [`Disconnect::ClientGone`] if the client disconnects first.
    pub(crate) async fn wait_while_connected<T>(
        &mut self, event: impl Future<Output = T>,
    ) -> Result<T, Disconnect> {
        // `None` is not returned if no `is_interruption` is given.
        self.wait_until_interrupted(event, None::<fn(&[u8]) -> bool>).await?.ok_or(Disconnect::ClientGone)
    }

    /// Waits for an event. Returns `None` as soon as `is_interruption` returns true for the client's unread
    /// input. If `is_interruption` is not given, no input interrupts the wait.
    ///
    /// # Errors
    /// [`Disconnect::ClientGone`] if the client disconnects first.
    pub(crate) async fn wait_until_interrupted<T>(
        &mut self, event: impl Future<Output = T>, is_interruption: Option<impl Fn(&[u8]) -> bool>,
    ) -> Result<Option<T>, Disconnect> {
        let mut event = pin!(event);
        let mut out_of_memory = false;
        loop {
            // Once a close is requested, nothing more is read, unless interruptions must be detected.
            let is_closing = self.signal.close_requested() != CloseRequest::Never;
            let no_more_requests = is_closing && is_interruption.is_none();
            let is_full = self.buffer.unread().len() >= MAX_PIPELINED_BYTES;
            let may_read = !out_of_memory && !is_full && !no_more_requests;
            let event_came = async { Ok(event.as_mut().await) };
            let input_came = async { Err(self.read_or_wait_for_disconnect(may_read).await) };
            match event_came.or(input_came).await {
                Ok(value) => return Ok(Some(value)),
                Err(Ok(length)) if length > 0 => {
                    self.record_read(length, AwaitedInput::Message);
                    if is_interruption.as_ref().is_some_and(|predicate| predicate(self.buffer.unread())) {
                        return Ok(None);
                    }
                }
                // A lack of memory for further input does not abort the request in progress.
                Err(Err(error)) if error.kind() == io::ErrorKind::OutOfMemory => out_of_memory = true,
                Err(_) => return Err(Disconnect::ClientGone),
            }
        }
    }

    /// Reads once, or only waits for a disconnect if `may_read` is false. Returns 0 once the client has
    /// disconnected.
    async fn read_or_wait_for_disconnect(&mut self, may_read: bool) -> io::Result<usize> {
        if !may_read {
            self.wait_for_disconnect().await;
            return Ok(0);
        }
        self.buffer.fill(&*self.stream).await
    }
}
