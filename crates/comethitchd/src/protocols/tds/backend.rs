//! Sends attempts and health checks to TDS hosts.

use super::host_login::log_in;
use super::packet_buffer;
use super::pending_response::PendingResponse;
use super::response::{FirstRow, HostResponse};
use super::settings::TdsSettings;
use crate::protocols::attempt;
use crate::protocols::barrier::{BarrierResponse, HostProtocol, Reuse};
use crate::protocols::connect::{ConnectionOptions, connect};
use crate::protocols::exchange::{Exchange, ResponseContents, ResponseEnd, read_response};
use crate::protocols::health_check::{self, HealthCheckResult};
use crate::protocols::streamed_answer::StreamedAnswer;
use crate::state::host_connection::{ConnectionError, HostConnection, SessionState, attempt_outcome};
use crate::state::protocol::AttemptResult;
use crate::state::router_state::RouterState;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{AttemptOutcome, Host, LoadReport, RequestId, Role};
use comethitch_tds::packet::{
    INITIAL_PACKET_BYTES, MAX_PACKET_BYTES, MessageKind, put_message, put_packets, status,
};
use comethitch_tds::request::Batch;
use comethitch_tds::types::Value;
use std::net::SocketAddr;
use std::rc::Rc;

/// A message to a host.
struct HostMessage<'a> {
    kind: MessageKind,
    payload: &'a [u8],
}

impl HostMessage<'_> {
    /// Encodes the message as packets for a connection.
    fn encode(&self, connection: &HostConnection) -> Vec<u8> {
        // Session state left by another client's request is reset before this one runs.
        let status = if connection.session.used { status::RESET } else { 0 };
        let mut packets = packet_buffer(self.payload.len());
        put_packets(&mut packets, self.kind, connection.session.packet_size, self.payload, status, true);
        packets
    }
}

/// Starts the request's next attempt; see [`attempt::start`].
pub(super) fn start_attempt(
    state: &Rc<RouterState>, settings: &Rc<TdsSettings>, request: RequestId, host: Host, timeout: Duration,
) -> Option<u16> {
    let settings = settings.clone();
    attempt::start(state, request, host, timeout, |attempt| async move {
        let kind = MessageKind::from_code(attempt.statement.message_kind).unwrap_or(MessageKind::Batch);
        let message = HostMessage { kind, payload: &attempt.statement.text };
        run(&Exchange::for_attempt(&attempt), &settings, &message).await.into()
    })
}

impl From<Result<HostResponse, ConnectionError>> for AttemptResult {
    fn from(result: Result<HostResponse, ConnectionError>) -> AttemptResult {
        let response = match result {
            Ok(response) => response,
            Err(error) => return AttemptResult::failed(error),
        };
        AttemptResult {
            completion: completion(&response),
            trailer: LoadReport::default(),
            report: LoadReport::default(),
            payload: response.tokens,
            already_reported: false,
        }
    }
}

/// Starts a health check of a host.
pub(super) fn start_health_check(state: &Rc<RouterState>, settings: &Rc<TdsSettings>, host: Host) {
    let settings = settings.clone();
    health_check::start(state, host, move |state| async move {
        let mut payload = Vec::new();
        Batch::put(&mut payload, &settings.probe.sql);
        let message = HostMessage { kind: MessageKind::Batch, payload: &payload };
        let response = run(&Exchange::for_health_check(&state, host), &settings, &message).await;
        let row = response.as_ref().ok().and_then(|response| response.first_row.as_ref());
        let report = row.map(|row| parse_report(row, &settings.probe.primary)).unwrap_or_default();
        let mut completion = AttemptResult::from(response).completion;
        if completion.is_ok() && report.role.is_none() {
            // The health check query from the settings does not return a role in its first column.
            completion = Err(ConnectionError::Malformed);
        }
        HealthCheckResult { completion, report }
    });
}

/// Reads the role and the position, in milliseconds of Unix time, from the row of a health check. `primary`
/// is the text that a primary returns as its role.
fn parse_report(row: &FirstRow, primary: &str) -> LoadReport {
    let is_primary = match &row.first {
        Value::Text(role) => Some(role.trim().eq_ignore_ascii_case(primary)),
        Value::Integer(role) => Some(role.to_string() == primary),
        _ => None,
    };
    let position_ms = match &row.second {
        Value::Integer(ms) => u64::try_from(*ms).ok(),
        Value::Float(ms) => Some(*ms as u64),
        Value::Text(ms) => ms.trim().parse().ok(),
        _ => None,
    };
    LoadReport {
        role: is_primary.map(|is_primary| if is_primary { Role::Primary } else { Role::Replica }),
        // One millisecond is subtracted, because the host may have rounded its position up. Zero means no
        // position.
        position: position_ms.and_then(|ms| ms.checked_sub(1)).map(Timestamp::from_millis),
        queue_length: None,
    }
}

/// One message to a host, with what a new connection for it requires.
struct HostRequest<'a> {
    state: &'a RouterState,
    settings: &'a TdsSettings,
    message: &'a HostMessage<'a>,
}

/// Returns the batch of the barrier with this number, which a host answers with one row that holds the number.
fn barrier_batch(number: u32) -> String {
    format!("SELECT {number}")
}

impl HostProtocol for HostRequest<'_> {
    // The answers of all barriers of a connection differ, but one shows that the host answers them.
    const DISTINCT_BARRIERS: u32 = 1;

    async fn connect(&self, address: SocketAddr) -> Result<HostConnection, ConnectionError> {
        connect_to_host(self.state, self.settings, address).await
    }

    fn encode(&self, connection: &HostConnection) -> Vec<u8> {
        self.message.encode(connection)
    }

    fn encode_barrier(&self, connection: &HostConnection, number: u32) -> Vec<u8> {
        let mut payload = Vec::new();
        Batch::put(&mut payload, &barrier_batch(number));
        let mut packets = packet_buffer(payload.len());
        put_message(&mut packets, MessageKind::Batch, connection.session.packet_size, &payload);
        packets
    }

    async fn read_barrier(
        &self, connection: &mut HostConnection, number: u32,
    ) -> Result<BarrierResponse, ConnectionError> {
        let mut pending = PendingResponse::new(self.state);
        read_response(connection, &mut pending, None).await??;
        let response = pending.response;
        let value = response.first_row.map(|row| row.first);
        let is_expected = response.error.is_none() && value == Some(Value::Integer(i64::from(number)));
        Ok(if is_expected { BarrierResponse::Expected } else { BarrierResponse::Surplus })
    }
}

/// Sends a message and reads its response, within the exchange's deadline.
async fn run(
    exchange: &Exchange<'_>, settings: &TdsSettings, message: &HostMessage<'_>,
) -> Result<HostResponse, ConnectionError> {
    exchange.within_timeout(send_and_read(exchange, settings, message)).await
}

async fn send_and_read(
    exchange: &Exchange<'_>, settings: &TdsSettings, message: &HostMessage<'_>,
) -> Result<HostResponse, ConnectionError> {
    let request = HostRequest { state: exchange.state, settings, message };
    let mut connection = exchange.send(&request).await?;
    let mut pending = PendingResponse::new(exchange.state);
    let streamed = exchange.streamed_answer();
    let end = read_response(&mut connection, &mut pending, streamed).await?;
    let contents = contents(&pending.response, settings, exchange.is_health_check());
    let reuse = exchange.confirm(&request, &mut connection, &end, &contents).await?;
    let is_idle = reuse == Reuse::Possible && pending.response.leaves_session_clean();
    let response = finish_response(pending.response, end, streamed).await?;
    if is_idle && !closes_connection(&response) {
        exchange.release(connection);
    }
    Ok(response)
}

/// Returns what a response tells about its host. Only the response to a health check contains a load report.
fn contents(response: &HostResponse, settings: &TdsSettings, is_health_check: bool) -> ResponseContents {
    let row = response.first_row.as_ref().filter(|_| is_health_check);
    ResponseContents {
        outcome: attempt_outcome(&completion(response)),
        trailer: LoadReport::default(),
        report: row.map(|row| parse_report(row, &settings.probe.primary)).unwrap_or_default(),
    }
}

/// Returns the error of a response, if there is one.
fn completion(response: &HostResponse) -> Result<(), ConnectionError> {
    response.error.clone().map_or(Ok(()), |code| Err(ConnectionError::HostError(code)))
}

/// Returns the response if it is usable, and streams its remaining part if streaming has started.
async fn finish_response(
    mut response: HostResponse, end: ResponseEnd, streamed: Option<&StreamedAnswer>,
) -> Result<HostResponse, ConnectionError> {
    // A response with its last token is usable even if the connection breaks right after it.
    if !response.is_complete() || end == Err(ConnectionError::TooLarge) {
        return Err(end.err().unwrap_or(ConnectionError::Malformed));
    }
    if let Some(streamed) = streamed.filter(|streamed| streamed.has_started()) {
        streamed.finish(std::mem::take(&mut response.tokens)).await?;
    }
    Ok(response)
}

/// Returns whether the response contains an error after which the host closes the connection.
fn closes_connection(response: &HostResponse) -> bool {
    attempt_outcome(&completion(response)) == AttemptOutcome::ConnectionReset
}

async fn connect_to_host(
    state: &RouterState, settings: &TdsSettings, address: SocketAddr,
) -> Result<HostConnection, ConnectionError> {
    let options = ConnectionOptions {
        max_buffer_bytes: MAX_PACKET_BYTES + 1,
        session: SessionState { packet_size: INITIAL_PACKET_BYTES, ..SessionState::default() },
    };
    connect(state, address, options, async |connection: &mut HostConnection| {
        log_in(state, settings, connection).await
    })
    .await
}
