//! A client of the discovery service: one HTTP request, and the JSON objects and empty lines of its response.

use crate::state::buffer::Buffer;
use crate::state::clock::after;
use crate::state::discovery_state::MIN_RESPONSE_TIMEOUT;
use crate::state::memory_budget::MemoryBudget;
use crate::state::socket::Socket;
use crate::wire::MalformedMessage;
use crate::wire::discovery::EndpointListError;
use crate::wire::http::{self, BodyDecoder, ResponseHead};
use crate::wire::json_stream::{JsonStream, JsonStreamError, JsonStreamItem};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Where responses are late, they get more time, up to this.
pub const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest buffer for a response, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// The status of a response that is read.
const STATUS_OK: u16 = 200;

/// Why a request to the discovery service brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// Another service is followed in its place.
    #[error("another service is followed now")]
    Replaced,
    /// No connection was established in time.
    #[error("no connection within {MIN_RESPONSE_TIMEOUT:?}")]
    ConnectTimeout,
    /// The head of the response did not come in time.
    #[error("the response is late")]
    HeadTimeout,
    /// The end of the response did not come in time.
    #[error("the end of the response is late")]
    BodyTimeout,
    /// The watch sent no complete line in time.
    #[error("the watch is silent")]
    WatchSilent,
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The connection was closed within the response.
    #[error("it closed the connection")]
    Closed,
    /// The response has another status than 200.
    #[error("it answers with status {0}")]
    Status(u16),
    /// The response is not HTTP.
    #[error(transparent)]
    Http(#[from] MalformedMessage),
    /// The response is no stream of JSON objects.
    #[error(transparent)]
    JsonStream(#[from] JsonStreamError),
    /// An object of the response is no endpoint list.
    #[error(transparent)]
    List(#[from] EndpointListError),
    /// The response ends within a list.
    #[error("its response ends within a list")]
    Incomplete,
    /// The response holds no list.
    #[error("its response holds no list")]
    NoList,
}

/// A response of the discovery service as it comes in.
pub struct DiscoveryResponse {
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
    /// If the service can't be reached, does not respond in time, or responds with an error.
    pub async fn request(
        address: SocketAddr, path: &str, timeout: Duration, budget: &MemoryBudget,
    ) -> Result<DiscoveryResponse, DiscoveryError> {
        let connect = async { Ok(Socket::connect(address).await?) };
        let stream = within(MIN_RESPONSE_TIMEOUT, DiscoveryError::ConnectTimeout, connect).await?;
        let request = http::get_request(path, &address.to_string());
        let mut buffer = Buffer::new(MAX_BUFFER_BYTES, budget);
        let head = async {
            (&stream).write_all(&request).await?;
            read_head(&stream, &mut buffer).await
        };
        // The timeout is for the whole head: one that comes byte by byte without end is none.
        let ResponseHead { status, body, length } =
            within(timeout, DiscoveryError::HeadTimeout, head).await?;
        if status != STATUS_OK {
            return Err(DiscoveryError::Status(status));
        }
        buffer.consume(length);
        Ok(DiscoveryResponse { stream, buffer, body, objects: JsonStream::default() })
    }

    /// The next object or empty line; none at the end of the response.
    ///
    /// # Errors
    ///
    /// If the connection fails, or the response is malformed or incomplete.
    pub async fn next_item(&mut self) -> Result<Option<JsonStreamItem>, DiscoveryError> {
        loop {
            if let Some(item) = self.objects.next_item()? {
                return Ok(Some(item));
            }
            if self.body.is_complete() {
                return if self.objects.in_object() { Err(DiscoveryError::Incomplete) } else { Ok(None) };
            }
            if self.take_buffered()? == 0 {
                self.read_more().await?;
            }
        }
    }

    /// Decodes what the buffer holds of the body; how many bytes that were.
    fn take_buffered(&mut self) -> Result<usize, DiscoveryError> {
        let taken = self.body.decode(self.buffer.unread(), self.objects.buffer_mut())?;
        self.buffer.consume(taken);
        Ok(taken)
    }

    /// Reads more of the response. A reset is an error and never its end.
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

/// Reads the head of a response, and leaves it in the buffer.
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

/// How long the next response may take, after one that came in `took`, or none that came in `timeout`: late responses get
/// more time, since a service that is slow or crowded would else never be heard.
pub fn next_response_timeout(timeout: Duration, took: Option<Duration>) -> Duration {
    let wanted = took.unwrap_or(timeout) * 2;
    wanted.clamp(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
}

/// A step, or `late` once its time is over.
pub async fn within<T>(
    limit: Duration, late: DiscoveryError, step: impl Future<Output = Result<T, DiscoveryError>>,
) -> Result<T, DiscoveryError> {
    step.or(after(limit, Err(late))).await
}
