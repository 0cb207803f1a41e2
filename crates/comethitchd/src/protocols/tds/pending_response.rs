//! A host's response while it is being read, accounted for in the memory budget.

use super::response::{HostResponse, MAX_TOKEN_BYTES};
use crate::protocols::exchange::{Response, ResponseProgress};
use crate::protocols::streamed_answer::STREAMING_THRESHOLD_BYTES;
use crate::state::buffer::Buffer;
use crate::state::host_connection::ConnectionError;
use crate::state::memory_budget::Reservation;
use crate::state::router_state::RouterState;

/// Maximum size of the part of a response that is buffered at a time.
const MAX_BUFFERED_BYTES: usize = STREAMING_THRESHOLD_BYTES + MAX_TOKEN_BYTES;

/// A response that is being read.
pub(super) struct PendingResponse {
    pub(super) response: HostResponse,
    reservation: Reservation,
}

impl PendingResponse {
    /// Creates an empty response that reserves memory from the router's budget.
    pub(super) fn new(state: &RouterState) -> PendingResponse {
        PendingResponse { response: HostResponse::new(), reservation: Reservation::new(&state.memory) }
    }
}

impl Response for PendingResponse {
    fn read_buffered(
        &mut self, buffer: &mut Buffer, is_streamed: bool,
    ) -> Result<ResponseProgress, ConnectionError> {
        let consumed = self.response.accept(buffer.unread()).map_err(|_| ConnectionError::Malformed)?;
        buffer.consume(consumed);
        let bytes = self.response.buffered_bytes();
        if bytes > MAX_BUFFERED_BYTES || !self.reservation.resize_to(bytes) {
            return Err(ConnectionError::TooLarge);
        }
        if self.response.is_ended() {
            return Ok(ResponseProgress::Ended);
        }
        // A response below this size is not streamed, so that an error anywhere in it still determines the
        // outcome.
        if is_streamed && self.response.tokens.len() >= STREAMING_THRESHOLD_BYTES {
            return Ok(ResponseProgress::PartReady);
        }
        Ok(ResponseProgress::NeedsMore)
    }

    fn take_part(&mut self) -> Vec<u8> {
        self.response.take_tokens()
    }
}
