//! Client of the discovery service: sends an HTTP request, and reads the JSON objects and empty lines of the
//! response.

use crate::state::buffer::Buffer;
use crate::state::clock::after;
use crate::state::discovery_state::MIN_RESPONSE_TIMEOUT;
use crate::state::memory_budget::MemoryBudget;
use crate::state::socket::Socket;
use crate::state::task_budget;
use crate::wire::MalformedMessage;
use crate::wire::discovery::EndpointListError;
use crate::wire::http::{self, BodyDecoder, ResponseHead};
use crate::wire::json_stream::{JsonStream, JsonStreamError, JsonStreamItem};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Upper bound of the adaptive response timeout.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of the buffer for a response.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
const STATUS_OK: u16 = 200;

/// Why a request to the discovery service failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DiscoveryError {
    /// A reload of the configuration has replaced the discovery service by another one.
    #[error("replaced by another discovery service")]
    Replaced,
    /// No connection was established in time.
    #[error("no connection within {MIN_RESPONSE_TIMEOUT:?}")]
    ConnectTimeout,
    /// The head of the response did not arrive in time.
    #[error("response head timed out")]
    HeadTimeout,
    /// The complete list did not arrive in time.
    #[error("response body timed out")]
    BodyTimeout,
    /// The watch sent no complete line in time.
    #[error("watch timed out")]
    WatchTimeout,
    /// The watch sent too many empty lines, or lists that change nothing.
    #[error("watch sent too many lines that change nothing")]
    TooManyIdleItems,
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The connection was closed before the end of the response.
    #[error("connection closed before the end of the response")]
    Closed,
    /// The status of the response is not 200.
    #[error("response status {0}")]
    Status(u16),
    /// The response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] MalformedMessage),
    /// The response is not a stream of JSON objects.
    #[error(transparent)]
    JsonStream(#[from] JsonStreamError),
    /// An object in the response is not a valid endpoint list.
    #[error(transparent)]
    List(#[from] EndpointListError),
    /// The response ends within a list.
    #[error("response ends within a list")]
    Incomplete,
    /// The response contains no list.
    #[error("response contains no list")]
    NoList,
}

/// A response of the discovery service, read incrementally.
pub(crate) struct DiscoveryResponse {
    stream: Socket,
    buffer: Buffer,
    body: BodyDecoder,
    objects: JsonStream,
}

impl DiscoveryResponse {
    /// Connects, sends a request for `path`, and reads the head of the response within `timeout`.
    ///
    /// # Errors
    ///
    /// If the service can't be reached, does not respond in time, or responds with a status other than 200.
    pub(crate) async fn request(
        address: SocketAddr, path: &str, timeout: Duration, budget: &MemoryBudget,
    ) -> Result<DiscoveryResponse, DiscoveryError> {
        let connect = async { Ok(Socket::connect(address).await?) };
        let stream = with_timeout(MIN_RESPONSE_TIMEOUT, DiscoveryError::ConnectTimeout, connect).await?;
        let request = http::get_request(path, &address.to_string());
        let mut buffer = Buffer::new(MAX_BUFFER_BYTES, budget);
        let head = async {
            (&stream).write_all(&request).await?;
            read_head(&stream, &mut buffer).await
        };
        // One timeout covers the whole head, because a timeout per read would not end a head that arrives
        // byte by byte.
        let ResponseHead { status, body, length } =
            with_timeout(timeout, DiscoveryError::HeadTimeout, head).await?;
        if status != STATUS_OK {
            return Err(DiscoveryError::Status(status));
        }
        buffer.consume(length);
        Ok(DiscoveryResponse { stream, buffer, body, objects: JsonStream::default() })
    }

    /// Returns the next object or empty line, or `None` at the end of the response.
    ///
    /// # Errors
    ///
    /// If the connection fails, or the response is malformed or incomplete.
    pub(crate) async fn next_item(&mut self) -> Result<Option<JsonStreamItem>, DiscoveryError> {
        // One read may bring thousands of items.
        task_budget::operation().await;
        loop {
            if let Some(item) = self.objects.next_item()? {
                return Ok(Some(item));
            }
            if self.body.is_complete() {
                return if self.objects.in_object() { Err(DiscoveryError::Incomplete) } else { Ok(None) };
            }
            if self.decode_buffered()? == 0 {
                self.read_more().await?;
            }
        }
    }

    /// Decodes the buffered part of the body. Returns the number of bytes consumed.
    fn decode_buffered(&mut self) -> Result<usize, DiscoveryError> {
        let consumed = self.body.decode(self.buffer.unread(), self.objects.buffer_mut())?;
        self.buffer.consume(consumed);
        Ok(consumed)
    }

    /// Reads more of the response. The end of the connection completes a response that declares no length,
    /// and is an error in any other. A reset of the connection is always an error.
    async fn read_more(&mut self) -> Result<(), DiscoveryError> {
        if self.buffer.fill(&self.stream).await? > 0 {
            return Ok(());
        }
        if self.body != BodyDecoder::UntilClosed {
            return Err(DiscoveryError::Closed);
        }
        self.body = BodyDecoder::Length(0);
        Ok(())
    }
}

/// Reads until the buffer contains the complete head, and parses it without consuming it.
async fn read_head(stream: &Socket, buffer: &mut Buffer) -> Result<ResponseHead, DiscoveryError> {
    loop {
        if let Some(head) = http::parse_head(buffer.unread())? {
            return Ok(head);
        }
        if buffer.fill(stream).await? == 0 {
            return Err(DiscoveryError::Closed);
        }
    }
}

/// Returns the timeout of the next response: twice the duration of the last response, or twice the last
/// timeout if it expired, within fixed bounds. With a constant timeout, no response of a slow or overloaded
/// service would be received.
///
/// `elapsed` is the duration of the last response; `None` if it timed out.
pub(crate) fn next_response_timeout(timeout: Duration, elapsed: Option<Duration>) -> Duration {
    let doubled = elapsed.unwrap_or(timeout) * 2;
    doubled.clamp(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
}

/// Runs `operation`, and returns `timeout_error` if it does not complete within `timeout`.
pub(crate) async fn with_timeout<T>(
    timeout: Duration, timeout_error: DiscoveryError,
    operation: impl Future<Output = Result<T, DiscoveryError>>,
) -> Result<T, DiscoveryError> {
    operation.or(after(timeout, Err(timeout_error))).await
}
