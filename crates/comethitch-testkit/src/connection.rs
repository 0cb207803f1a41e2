//! One connection of a scripted host after its login: the loop that reads requests and responds as scripted, the same
//! for both protocols. Each protocol implements [`ServerProtocol`] and contributes only its bytes.

use crate::behavior::HostBehavior;
use crate::engine::{Engine, Response};
use crate::error::ConnectionError;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The pause between the bytes of [`HostBehavior::Trickle`].
const TRICKLE_INTERVAL: Duration = Duration::from_micros(300);

/// The errors that a scripted host answers with; each protocol has a code for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerError {
    /// A write at a replica.
    ReadOnly,
    /// No capacity.
    Overloaded,
    /// An internal error that is not retryable.
    Internal,
    /// An error on which drivers retry.
    Transient,
}

/// The server side of a protocol on one connection. The encoders belong to the request read last.
pub(crate) trait ServerProtocol {
    /// The text of the health check that the router sends in this protocol.
    const HEALTH_CHECK: &'static str;

    /// The connection's socket.
    fn stream(&mut self) -> &mut TcpStream;

    /// Reads the next request; none once the client has ended the session.
    fn read_request(&mut self) -> Result<Option<String>, ConnectionError>;

    /// The answer to a health check: the host's position in Unix milliseconds, and whether it is a primary.
    fn health_report(&self, position_ms: u64, is_primary: bool) -> Vec<u8>;

    /// An answer of one row that holds the key.
    fn answer(&self, key: &str) -> Vec<u8>;

    /// An answer that leaves a transaction open.
    fn answer_in_transaction(&self, key: &str) -> Vec<u8>;

    /// An answer followed by surplus data.
    fn answer_twice(&self, key: &str) -> Vec<u8>;

    /// An answer with a column of every type, where the protocol types its columns.
    fn answer_of_all_types(&self, key: &str) -> Vec<u8>;

    /// An answer of two megabytes in rows, the last of which holds the key.
    fn large_answer(&self, key: &str) -> Vec<u8>;

    /// Bytes that are no answer in this protocol.
    fn malformed_answer(&self) -> Vec<u8>;

    /// An error in place of an answer.
    fn error(&self, error: ServerError) -> Vec<u8>;
}

/// Whether a connection goes on after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    ReadRequest,
    Close,
}

/// Reads requests and responds to them until either side ends the connection.
pub(crate) fn serve_requests<P: ServerProtocol>(
    mut protocol: P, engine: &Engine,
) -> Result<(), ConnectionError> {
    let mut transaction_open = false;
    while let Some(text) = protocol.read_request()? {
        if transaction_open {
            engine.record_interleaved(&text);
        }
        let next = if text == P::HEALTH_CHECK {
            report_health(&mut protocol, engine)?
        } else {
            let response = engine.execute(&text);
            transaction_open |= leaves_transaction_open(&response);
            respond(&mut protocol, response)?
        };
        if next == Next::Close {
            break;
        }
    }
    Ok(())
}

fn report_health<P: ServerProtocol>(protocol: &mut P, engine: &Engine) -> Result<Next, ConnectionError> {
    if engine.is_down() {
        return Ok(Next::Close);
    }
    let report = protocol.health_report(engine.position_ms(), engine.is_primary());
    send(protocol, &report)
}

fn leaves_transaction_open(response: &Response) -> bool {
    matches!(response, Response::Scripted { behavior: HostBehavior::LeaveTransactionOpen, .. })
}

fn respond<P: ServerProtocol>(protocol: &mut P, response: Response) -> Result<Next, ConnectionError> {
    let (behavior, key) = match response {
        Response::Scripted { behavior, key } => (behavior, key),
        Response::ReadOnly => return send_error(protocol, ServerError::ReadOnly),
        Response::Close => return Ok(Next::Close),
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
        HostBehavior::Trickle => {
            let answer = protocol.answer(&key);
            send_byte_by_byte(protocol, &answer)
        }
        HostBehavior::AnswerTwice => {
            let answer = protocol.answer_twice(&key);
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
        HostBehavior::Error => send_error(protocol, ServerError::Internal),
        HostBehavior::TransientError => send_error(protocol, ServerError::Transient),
        HostBehavior::LargeAnswer => {
            let answer = protocol.large_answer(&key);
            send(protocol, &answer)
        }
        HostBehavior::TruncateLargeAnswer => {
            let answer = protocol.large_answer(&key);
            send_and_close(protocol, &answer[..answer.len() / 4 * 3])
        }
        HostBehavior::ResetBefore | HostBehavior::ResetAfter => Ok(Next::Close),
        HostBehavior::Hang | HostBehavior::HangAfter => wait_for_peer(protocol),
    }
}

fn send<P: ServerProtocol>(protocol: &mut P, bytes: &[u8]) -> Result<Next, ConnectionError> {
    protocol.stream().write_all(bytes)?;
    Ok(Next::ReadRequest)
}

fn send_and_close<P: ServerProtocol>(protocol: &mut P, bytes: &[u8]) -> Result<Next, ConnectionError> {
    protocol.stream().write_all(bytes)?;
    Ok(Next::Close)
}

fn send_error<P: ServerProtocol>(protocol: &mut P, error: ServerError) -> Result<Next, ConnectionError> {
    let bytes = protocol.error(error);
    send(protocol, &bytes)
}

fn send_byte_by_byte<P: ServerProtocol>(protocol: &mut P, bytes: &[u8]) -> Result<Next, ConnectionError> {
    for byte in bytes {
        protocol.stream().write_all(&[*byte])?;
        std::thread::sleep(TRICKLE_INTERVAL);
    }
    Ok(Next::ReadRequest)
}

/// Stays silent until the peer sends something, such as a cancellation, or closes the connection.
fn wait_for_peer<P: ServerProtocol>(protocol: &mut P) -> Result<Next, ConnectionError> {
    let _ = protocol.stream().read(&mut [0]);
    Ok(Next::Close)
}
