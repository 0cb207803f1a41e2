//! Streaming of large answers: an answer that reaches a size threshold is sent to the client in parts while
//! the host is still sending the rest. Each part waits until the previous one is written, so memory stays
//! bounded regardless of the size of the answer and the speed of the client.
//!
//! The first part commits the request to this attempt: the policy is notified that the request was answered,
//! and no other attempt is sent. If the host fails before the end of the answer, the client's connection is
//! closed; if requests were sent behind it, the answer ends with an error instead.

use crate::stages::{policy_driver, reply};
use crate::state::host_connection::ConnectionError;
use crate::state::pending_requests::{Reply, ValuePart};
use crate::state::router_state::RouterState;
use async_channel::{Sender, bounded};
use async_io::Timer;
use comethitch_policy::RequestId;
use comethitch_policy::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Minimum size at which an answer is streamed. A smaller answer is sent only once it is complete, so that
/// until then another host can answer in its place.
pub(super) const STREAMING_THRESHOLD_BYTES: usize = 256 * 1024;

/// The answer to one attempt, which is streamed if it becomes large.
pub(super) struct StreamedAnswer {
    state: Rc<RouterState>,
    request: RequestId,
    attempt: u16,
    /// Sends the parts after the first one; `None` until the first one is sent.
    parts: RefCell<Option<Sender<ValuePart>>>,
    /// Time at which the last part was sent, or at which the attempt started if none was.
    last_progress: Cell<Timestamp>,
}

impl StreamedAnswer {
    /// Creates the answer to an attempt, with nothing sent yet.
    pub(super) fn new(state: &Rc<RouterState>, request: RequestId, attempt: u16) -> StreamedAnswer {
        StreamedAnswer {
            state: state.clone(),
            request,
            attempt,
            parts: RefCell::default(),
            last_progress: Cell::new(state.clock.now()),
        }
    }

    /// Returns whether the first part was sent.
    pub(super) fn has_started(&self) -> bool {
        self.parts.borrow().is_some()
    }

    /// Sends a part to the client, once the previous part is written.
    ///
    /// # Errors
    /// [`ConnectionError::Cancelled`] if the request was already answered or its client has disconnected.
    pub(super) async fn send_part(&self, bytes: Vec<u8>) -> Result<(), ConnectionError> {
        let parts = self.parts.borrow().clone();
        match parts {
            Some(parts) => send(&parts, ValuePart::Bytes(bytes)).await?,
            None => self.start(bytes)?,
        }
        self.last_progress.set(self.state.clock.now());
        Ok(())
    }

    fn start(&self, first_part: Vec<u8>) -> Result<(), ConnectionError> {
        let (sender, receiver) = bounded(1);
        if !reply::answer(&self.state, self.request, Reply::Streaming(first_part, receiver)) {
            return Err(ConnectionError::Cancelled);
        }
        *self.parts.borrow_mut() = Some(sender);
        policy_driver::answer_started(&self.state, self.request, self.attempt);
        Ok(())
    }

    /// Sends the last part, and marks the answer as complete.
    ///
    /// # Errors
    /// [`ConnectionError::Cancelled`] if the request was already answered or its client has disconnected.
    pub(super) async fn finish(&self, bytes: Vec<u8>) -> Result<(), ConnectionError> {
        self.send_part(bytes).await?;
        let parts = self.parts.borrow().clone();
        match parts {
            Some(parts) => send(&parts, ValuePart::End).await,
            None => Ok(()),
        }
    }

    /// Waits until no part has been sent for at least `stall_timeout`. Returns at once if the answer is not
    /// being streamed.
    pub(super) async fn wait_until_stalled(&self, stall_timeout: Duration) {
        while self.has_started() {
            let before = self.last_progress.get();
            Timer::after(stall_timeout).await;
            if self.last_progress.get() == before {
                break;
            }
        }
    }
}

async fn send(parts: &Sender<ValuePart>, part: ValuePart) -> Result<(), ConnectionError> {
    parts.send(part).await.map_err(|_| ConnectionError::Cancelled)
}
