//! Waiting at a client's connection: for its next request, or for the end of its request, in which case a disconnect of
//! the client or an interruption by it ends the wait.

use super::{ClientConnection, Disconnect};
use crate::state::client_registry::ConnectionPhase;
use crate::state::signals::CloseRequest;
use async_io::Timer;
use futures_lite::FutureExt;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::time::Duration;

/// Once this much of further requests is buffered, no more is read while a request is in progress.
const MAX_PIPELINED_BYTES: usize = 8 * 1024;
/// While nothing is read, whether the client has disconnected is looked at this often. An attempt that begins a tenth
/// of a second after the client went is too late.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);

impl ClientConnection {
    /// Waits for more bytes between two messages or within one, while no request is in progress. How long that may take
    /// is limited by the registry of clients, so that a request needs no timer here.
    ///
    /// # Errors
    /// If the connection ends before more bytes come.
    pub(crate) async fn wait_for_input(&mut self) -> Result<(), Disconnect> {
        self.wait_for_more(true).await
    }

    /// Like [`ClientConnection::wait_for_input`], where `between_messages` says whether no part of a message was
    /// consumed from the buffer yet.
    ///
    /// # Errors
    /// If the connection ends before more bytes come.
    pub(crate) async fn wait_for_more(&mut self, between_messages: bool) -> Result<(), Disconnect> {
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
            Err(Disconnect::Closing) if self.stream.has_input() => self.buffer.fill(&*self.stream).await?,
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
        let stream = &*self.stream;
        let signal = &self.signal;
        let fill = async { Ok(self.buffer.fill(stream).await?) };
        let close = async {
            signal.wait_for_close(close_request).await;
            Err(Disconnect::Closing)
        };
        fill.or(close).await
    }

    /// Waits until the client has disconnected, and reads nothing; what it sends meanwhile is timed all the same.
    async fn wait_for_disconnect(&mut self) {
        while !self.stream.has_ended() {
            self.record_waiting_input();
            Timer::after(DISCONNECT_POLL_INTERVAL).await;
        }
    }

    /// Records the bytes that wait in the system to be read: they have arrived by now.
    fn record_waiting_input(&mut self) {
        let waiting = self.stream.peek(&mut self.state.clients.discard_buffer().borrow_mut());
        self.arrivals.record_waiting(waiting.unwrap_or(0), self.state.arrival_time());
    }

    /// Waits for an event.
    ///
    /// # Errors
    /// [`Disconnect::ClientGone`] if the client disconnects before it.
    pub(crate) async fn wait_while_connected<T>(
        &mut self, event: impl Future<Output = T>,
    ) -> Result<T, Disconnect> {
        // Without interruptions the event comes, or the client disconnects.
        self.wait_until_interrupted(event, None::<fn(&[u8]) -> bool>).await?.ok_or(Disconnect::ClientGone)
    }

    /// Waits for an event, or returns none once what the client sends meanwhile is an interruption. Without a test for
    /// interruptions it can send none.
    ///
    /// # Errors
    /// [`Disconnect::ClientGone`] if the client disconnects before either.
    pub(crate) async fn wait_until_interrupted<T>(
        &mut self, event: impl Future<Output = T>, is_interruption: Option<impl Fn(&[u8]) -> bool>,
    ) -> Result<Option<T>, Disconnect> {
        let mut event = pin!(event);
        let mut out_of_memory = false;
        loop {
            // A router that stops answers what it has read, and reads no more requests.
            let no_more_requests = self.closing_at_last_read && is_interruption.is_none();
            let is_full = self.buffer.unread().len() >= MAX_PIPELINED_BYTES;
            let may_read = !out_of_memory && !is_full && !no_more_requests;
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
                // That there is no memory to read what comes next is no reason to give up the request in progress.
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
        self.buffer.fill(&*self.stream).await
    }
}
