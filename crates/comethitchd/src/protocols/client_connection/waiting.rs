//! Waits on a client's connection, for input or for the end of a request. A wait for the end of a request
//! also ends when the client disconnects or interrupts the request.

use super::{ClientConnection, Disconnect};
use crate::state::client_registry::ConnectionPhase;
use crate::state::signals::CloseRequest;
use async_io::Timer;
use futures_lite::FutureExt;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::time::Duration;

/// Maximum size of pipelined input that is buffered while a request is in progress.
const MAX_PIPELINED_BYTES: usize = 8 * 1024;
/// Interval of polling for a disconnect while nothing is read. It must be well below 100 ms, because the
/// rules forbid attempts that start more than 100 ms after a disconnect.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);

impl ClientConnection {
    /// Waits for more input between or within messages, while no request is in progress. There is no timer
    /// here, because the registry of clients enforces the time limit.
    ///
    /// # Errors
    /// If the connection ends before more input arrives.
    pub(crate) async fn wait_for_input(&mut self) -> Result<(), Disconnect> {
        self.wait_for_more(true).await
    }

    /// Waits like [`ClientConnection::wait_for_input`]. `between_messages` states whether no part of the
    /// current message has been consumed from the buffer.
    ///
    /// # Errors
    /// If the connection ends before more input arrives.
    pub(crate) async fn wait_for_more(&mut self, between_messages: bool) -> Result<(), Disconnect> {
        let at_message_boundary = between_messages && self.buffer.unread().is_empty();
        let is_idle = at_message_boundary && self.has_been_answered;
        self.set_phase(if is_idle { ConnectionPhase::Idle } else { ConnectionPhase::Reading });
        // A client that keeps sending would otherwise never be disconnected. It retries a request that
        // crosses the close.
        if is_idle && self.closing_at_last_read {
            return Err(Disconnect::Closing);
        }
        let close_request = if is_idle { CloseRequest::WhenIdle } else { CloseRequest::Now };
        let length = match self.fill_unless_closed(close_request).await {
            Err(Disconnect::Closing) if !at_message_boundary => {
                return Err(Disconnect::ProtocolViolation("the rest of a message did not come"));
            }
            // Input that arrived at the same time as the close request is still read.
            Err(Disconnect::Closing) if self.stream.has_input() => self.buffer.fill(&*self.stream).await?,
            filled => filled?,
        };
        if length == 0 {
            return Err(Disconnect::ClientGone);
        }
        self.record_read(length);
        Ok(())
    }

    /// Reads once, unless a close that is at least as urgent as `close_request` is requested first.
    async fn fill_unless_closed(&mut self, close_request: CloseRequest) -> Result<usize, Disconnect> {
        let stream = &*self.stream;
        let signal = &self.signal;
        let fill = async { Ok(self.buffer.fill(stream).await?) };
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

    /// Records the arrival of bytes in the socket's receive buffer.
    fn record_waiting_input(&mut self) {
        let waiting = self.stream.peek(&mut self.state.clients.discard_buffer().borrow_mut());
        self.arrivals.record_waiting(waiting.unwrap_or(0), self.state.earliest_arrival());
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
            let no_more_requests = self.closing_at_last_read && is_interruption.is_none();
            let is_full = self.buffer.unread().len() >= MAX_PIPELINED_BYTES;
            let may_read = !out_of_memory && !is_full && !no_more_requests;
            let event_came = async { Ok(event.as_mut().await) };
            let input_came = async { Err(self.read_or_wait_for_disconnect(may_read).await) };
            match event_came.or(input_came).await {
                Ok(value) => return Ok(Some(value)),
                Err(Ok(length)) if length > 0 => {
                    self.record_read(length);
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
