//! Closes a client's connection.

use super::{ClientConnection, ClosingError, Disconnect};
use crate::state::client_registry::ConnectionPhase;
use crate::state::clock::after;
use crate::state::signals::CloseRequest;
use async_io::Timer;
use comethitch_policy::time::Duration as PolicyDuration;
use futures_lite::FutureExt;
use std::io;
use std::time::Duration;

/// How long input is still read and discarded once the connection must close. Closing with unread input would
/// reset the connection, and the client could lose the last answer.
const LINGER: Duration = Duration::from_millis(60);

/// Number of bytes that are discarded without a pause: the rest of the largest message that clients are known to
/// send by mistake.
const MAX_PROMPT_DISCARD_BYTES: usize = 64 << 20;
/// Pause after each further read, so that a client that sends without end has to wait.
const DISCARD_PAUSE: Duration = Duration::from_millis(25);

impl ClientConnection {
    /// Closes the connection. `encode` returns the protocol's message for an error that is sent to the
    /// client.
    pub(crate) async fn close(mut self, disconnect: Disconnect, encode: impl Fn(ClosingError) -> Vec<u8>) {
        self.verify_close(&disconnect);
        let disconnect = self.flush().await.err().unwrap_or(disconnect);
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
            Disconnect::Io(error) => {
                log::debug!(client = self.number, error:%; "client connection failed");
            }
            // No error is sent: the client sees the end of the stream, and retries the requests that it sends
            // too late.
            Disconnect::Closing | Disconnect::BrokenAnswer => {
                self.close_gracefully(Vec::new(), &disconnect.to_string()).await;
            }
            Disconnect::ClientGone => {}
        }
        self.state.clients.unregister(self.number);
    }

    /// Records a violation if the router closes the connection while a request is unanswered. A streamed
    /// answer is exempt, because the client can tell that it is incomplete.
    fn verify_close(&self, disconnect: &Disconnect) {
        let closed_by_router = match disconnect {
            Disconnect::ProtocolViolation(_) | Disconnect::Closing => true,
            Disconnect::Io(error) => error.kind() == io::ErrorKind::OutOfMemory,
            Disconnect::ClientGone | Disconnect::BrokenAnswer => false,
        };
        if closed_by_router && self.answer_outstanding.get() {
            let subject = format!("client {}", self.number);
            self.state.record_violation("closed_without_answer", &subject, PolicyDuration::ZERO);
        }
    }

    /// Writes the last bytes, if any, shuts down the sending half, and discards further input until the
    /// client closes the connection, or until [`LINGER`] has passed since the registry of clients requested
    /// an immediate close.
    async fn close_gracefully(&mut self, last_bytes: Vec<u8>, reason: &str) {
        log::debug!(client = self.number, reason; "client connection closing");
        self.set_phase(ConnectionPhase::Closing);
        let signal = self.signal.clone();
        let linger = async {
            signal.wait_for_close(CloseRequest::Now).await;
            after(LINGER, None::<()>).await
        };
        self.send_and_discard(&last_bytes).or(linger).await;
    }

    /// Writes the last bytes, and discards input up to the end of the stream. Always returns `None`; the type
    /// lets `?` end the function if the connection breaks.
    async fn send_and_discard(&mut self, last_bytes: &[u8]) -> Option<()> {
        self.write(last_bytes).await.ok()?;
        self.stream.shut_down_write().ok()?;
        self.consume(self.buffer.unread().len());
        let mut discarded_bytes = 0;
        loop {
            match self.stream.read_into(self.state.clients.discard_buffer()).await.ok()? {
                0 => return None,
                length => discarded_bytes += length,
            }
            if discarded_bytes > MAX_PROMPT_DISCARD_BYTES {
                Timer::after(DISCARD_PAUSE).await;
            }
        }
    }
}
