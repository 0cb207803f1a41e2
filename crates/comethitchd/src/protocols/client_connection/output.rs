//! Writes answers to a client's connection.

use super::{ClientConnection, Disconnect};
use crate::state::clock::after;
use crate::state::pending_requests::ValuePart;
use async_channel::Receiver;
use futures_lite::future::poll_once;
use futures_lite::{AsyncWriteExt, FutureExt};
use std::io;
use std::pin::pin;

/// Size at which answers that were kept back are written.
const MAX_KEPT_OUTPUT_BYTES: usize = 8 * 1024;

impl ClientConnection {
    /// Sends an answer. `more_was_read` states whether another complete message was read. If the router is
    /// shut down, its answer will follow at once, and both are written together: the time for the last answers
    /// is short, however many requests a client has sent behind each other.
    ///
    /// # Errors
    /// Those of [`ClientConnection::write`].
    pub(crate) async fn send_answer(
        &mut self, mut answer: Vec<u8>, more_was_read: bool,
    ) -> Result<(), Disconnect> {
        self.kept_output.append(&mut answer);
        if more_was_read && self.state.shut_down.is_set() && self.kept_output.len() < MAX_KEPT_OUTPUT_BYTES {
            return Ok(());
        }
        self.flush().await
    }

    /// Writes the answers that were kept back.
    pub(super) async fn flush(&mut self) -> Result<(), Disconnect> {
        let output = std::mem::take(&mut self.kept_output);
        if output.is_empty() { Ok(()) } else { self.write(&output).await }
    }

    /// Writes all bytes, within the longest timeout of any request class. Answers that were kept back must be
    /// written before, so answers to requests are sent by [`ClientConnection::send_answer`].
    ///
    /// # Errors
    /// If the connection breaks or the write times out.
    pub(crate) async fn write(&self, bytes: &[u8]) -> Result<(), Disconnect> {
        let mut stream = &*self.stream;
        let mut write = pin!(stream.write_all(bytes));
        if let Some(result) = poll_once(write.as_mut()).await {
            return Ok(result?);
        }
        let _blocked = self.state.clients.record_blocked_write(self.number);
        let timed_out = Err(io::ErrorKind::TimedOut.into());
        let timeout = self.state.config.longest_timeout().to_std();
        Ok(write.or(after(timeout, timed_out)).await?)
    }

    /// Waits for the next part of a streamed answer. Returns `None` if it will not arrive in full: the host
    /// has failed, or the router is shut down.
    pub(crate) async fn next_part(&self, parts: &Receiver<ValuePart>) -> Option<ValuePart> {
        let part = async { parts.recv().await.ok() };
        let shut_down = async {
            self.state.shut_down.wait().await;
            None
        };
        part.or(shut_down).await
    }
}
