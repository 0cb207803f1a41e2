//! A connection of a scripted host after its login: reads requests and responds to them as scripted.
//!
//! Both protocols use the same loop. An implementation of [`ServerProtocol`] decodes and encodes the
//! messages.

use crate::behavior::HostBehavior;
use crate::engine::{Engine, Response};
use crate::error::ConnectionError;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Interval between the bytes of [`HostBehavior::AnswerByteByByte`].
const BYTE_INTERVAL: Duration = Duration::from_micros(300);

/// An error that a scripted host answers with. Each protocol encodes it as one of its error codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerError {
    /// A write was sent to a replica.
    ReadOnly,
    /// The host has no capacity for the request.
    Overloaded,
    /// An internal error that is not retryable.
    Internal,
    /// An error on which drivers retry.
    Transient,
}

/// The server side of a protocol on one connection. The encoding methods encode an answer to the request that
/// was read last.
pub(crate) trait ServerProtocol {
    /// Text of the health check that a router sends in this protocol.
    const HEALTH_CHECK: &'static str;

    /// Returns the connection's socket.
    fn stream(&mut self) -> &mut TcpStream;

    /// Reads the next request. Returns `None` once the client has ended the session.
    fn read_request(&mut self) -> Result<Option<String>, ConnectionError>;

    /// Encodes the answer to a request without effect, which is answered at once and is neither counted nor
    /// recorded. Returns `None` for other requests.
    fn answer_without_effect(&self, text: &str) -> Option<Vec<u8>>;

    /// Encodes a load report: the replication position in Unix milliseconds, and whether the host is a
    /// primary.
    fn load_report(&self, position_ms: u64, is_primary: bool) -> Vec<u8>;

    /// Encodes an answer of one row that holds the key.
    fn answer(&self, key: &str) -> Vec<u8>;

    /// Encodes an answer that leaves a transaction open.
    fn answer_in_transaction(&self, key: &str) -> Vec<u8>;

    /// Encodes an answer followed by surplus bytes.
    fn answer_with_extra_bytes(&self, key: &str) -> Vec<u8>;

    /// Encodes an answer with a column of every type, or with the key if the protocol sends all columns as
    /// text.
    fn answer_of_all_types(&self, key: &str) -> Vec<u8>;

    /// Encodes an answer of two megabytes of rows, the last of which holds the key.
    fn large_answer(&self, key: &str) -> Vec<u8>;

    /// Encodes a message that the protocol does not allow.
    fn malformed_answer(&self) -> Vec<u8>;

    /// Encodes an error.
    fn error(&self, error: ServerError) -> Vec<u8>;
}

/// What a connection does after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    ReadRequest,
    Close,
}

/// Reads requests and responds to them until either side ends the connection.
pub(crate) fn serve_requests<P: ServerProtocol>(
    mut protocol: P, engine: &Engine,
) -> Result<(), ConnectionError> {
    let mut transaction_open = false;
    // Encoded last answer to a request.
    let mut last_answer = Vec::new();
    while let Some(text) = protocol.read_request()? {
        if !last_answer.is_empty() && engine.take_second_copy() {
            send(&mut protocol, &last_answer)?;
        }
        if let Some(answer) = protocol.answer_without_effect(&text) {
            send(&mut protocol, &answer)?;
            continue;
        }
        if transaction_open {
            engine.record_interleaved(&text);
        }
        let next_step = if text == P::HEALTH_CHECK {
            answer_health_check(&mut protocol, engine)?
        } else {
            let response = engine.execute(&text);
            transaction_open |= leaves_transaction_open(&response);
            if let Response::Scripted { behavior: HostBehavior::Answer, key } = &response {
                last_answer = protocol.answer(key);
            }
            let falls_silent = matches!(response, Response::ReadOnly) && engine.take_silence();
            let next_step = respond(&mut protocol, response)?;
            if falls_silent { wait_for_peer(&mut protocol)? } else { next_step }
        };
        if next_step == NextStep::Close {
            break;
        }
    }
    Ok(())
}

fn answer_health_check<P: ServerProtocol>(
    protocol: &mut P, engine: &Engine,
) -> Result<NextStep, ConnectionError> {
    if engine.is_down() {
        return Ok(NextStep::Close);
    }
    let report = protocol.load_report(engine.position_ms(), engine.is_primary());
    send(protocol, &report)
}

fn leaves_transaction_open(response: &Response) -> bool {
    matches!(response, Response::Scripted { behavior: HostBehavior::LeaveTransactionOpen, .. })
}

fn respond<P: ServerProtocol>(protocol: &mut P, response: Response) -> Result<NextStep, ConnectionError> {
    let (behavior, key) = match response {
        Response::Scripted { behavior, key } => (behavior, key),
        Response::ReadOnly => return send_error(protocol, ServerError::ReadOnly),
        Response::Close => return Ok(NextStep::Close),
    };
    match behavior {
        HostBehavior::Answer | HostBehavior::AnswerAfter(_) => {
            let answer = protocol.answer(&key);
            send(protocol, &answer)
        }
        HostBehavior::AllTypes => {
            let answer = protocol.answer_of_all_types(&key);
            send(protocol, &answer)
        }
        HostBehavior::LeaveTransactionOpen => {
            let answer = protocol.answer_in_transaction(&key);
            send(protocol, &answer)
        }
        HostBehavior::AnswerByteByByte => {
            let answer = protocol.answer(&key);
            send_byte_by_byte(protocol, &answer)
        }
        HostBehavior::AnswerWithExtraBytes => {
            let answer = protocol.answer_with_extra_bytes(&key);
            send(protocol, &answer)
        }
        HostBehavior::Truncate => {
            let answer = protocol.answer(&key);
            send_and_close(protocol, &answer[..answer.len() / 2])
        }
        HostBehavior::Malformed => {
            let answer = protocol.malformed_answer();
            send(protocol, &answer)
        }
        HostBehavior::Overloaded => send_error(protocol, ServerError::Overloaded),
        HostBehavior::InternalError => send_error(protocol, ServerError::Internal),
        HostBehavior::TransientError => send_error(protocol, ServerError::Transient),
        HostBehavior::LargeAnswer => {
            let answer = protocol.large_answer(&key);
            send(protocol, &answer)
        }
        HostBehavior::TruncateLargeAnswer => {
            let answer = protocol.large_answer(&key);
            send_and_close(protocol, &answer[..answer.len() / 4 * 3])
        }
        HostBehavior::HangInLargeAnswer => {
            let answer = protocol.large_answer(&key);
            send(protocol, &answer[..answer.len() / 4 * 3])?;
            wait_for_peer(protocol)
        }
        HostBehavior::CloseBeforeExecution | HostBehavior::CloseAfterExecution => Ok(NextStep::Close),
        HostBehavior::HangBeforeExecution | HostBehavior::HangAfterExecution => wait_for_peer(protocol),
    }
}

fn send<P: ServerProtocol>(protocol: &mut P, bytes: &[u8]) -> Result<NextStep, ConnectionError> {
    protocol.stream().write_all(bytes)?;
    Ok(NextStep::ReadRequest)
}

fn send_and_close<P: ServerProtocol>(protocol: &mut P, bytes: &[u8]) -> Result<NextStep, ConnectionError> {
    protocol.stream().write_all(bytes)?;
    Ok(NextStep::Close)
}

fn send_error<P: ServerProtocol>(protocol: &mut P, error: ServerError) -> Result<NextStep, ConnectionError> {
    let bytes = protocol.error(error);
    send(protocol, &bytes)
}

fn send_byte_by_byte<P: ServerProtocol>(protocol: &mut P, bytes: &[u8]) -> Result<NextStep, ConnectionError> {
    for byte in bytes {
        protocol.stream().write_all(&[*byte])?;
        std::thread::sleep(BYTE_INTERVAL);
    }
    Ok(NextStep::ReadRequest)
}

/// Waits until the peer closes the connection, and reads what it sends until then. Closes the connection
/// without an answer.
fn wait_for_peer<P: ServerProtocol>(protocol: &mut P) -> Result<NextStep, ConnectionError> {
    io::copy(protocol.stream(), &mut io::sink())?;
    Ok(NextStep::Close)
}
