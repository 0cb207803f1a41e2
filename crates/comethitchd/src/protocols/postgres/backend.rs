//! Sends attempts and health checks to PostgreSQL hosts.

use crate::protocols::attempt;
use crate::protocols::barrier::{BarrierResponse, HostProtocol, Reuse};
use crate::protocols::connect::{ConnectionOptions, connect};
use crate::protocols::exchange::{
    Exchange, Response, ResponseContents, ResponseEnd, ResponseProgress, read_response,
};
use crate::protocols::health_check::{self, HealthCheckResult};
use crate::protocols::streamed_answer::{STREAMING_THRESHOLD_BYTES, StreamedAnswer};
use crate::state::buffer::Buffer;
use crate::state::host_connection::{
    ConnectionError, HostConnection, HostErrorCode, SessionState, attempt_outcome,
};
use crate::state::memory_budget::Reservation;
use crate::state::pending_requests::Statement;
use crate::state::protocol::AttemptResult;
use crate::state::router_state::RouterState;
use crate::wire::host_report;
use crate::wire::postgres::{
    self, BarrierQuery, HostResponse, MAX_MESSAGE_BYTES, ResponseError, ResponseShape,
};
use comethitch_policy::time::Duration;
use comethitch_policy::{AttemptOutcome, Host, LoadReport, RequestId};
use futures_lite::AsyncWriteExt;
use std::net::SocketAddr;
use std::rc::Rc;

/// The user that the router logs in as.
const USER: &str = "portal";
/// The database that the router logs in to.
const DATABASE: &str = "crm";
/// The query of a health check, which a host answers with a load report.
const HEALTH_CHECK_QUERY: &[u8] = b"SHOW vitals";

impl From<Result<HostResponse, ConnectionError>> for AttemptResult {
    fn from(result: Result<HostResponse, ConnectionError>) -> AttemptResult {
        let response = match result {
            Ok(response) => response,
            Err(error) => return AttemptResult::failed(error),
        };
        AttemptResult {
            trailer: host_report::from_parameters(&response.parameters),
            report: attached_report(&response).unwrap_or_default(),
            completion: completion(&response),
            payload: if response.error.is_empty() { response.rows } else { response.error },
            already_reported: false,
        }
    }
}

/// Starts the request's next attempt; see [`attempt::start`].
pub(super) fn start_attempt(
    state: &Rc<RouterState>, request: RequestId, host: Host, timeout: Duration,
) -> Option<u16> {
    attempt::start(state, request, host, timeout, |attempt| async move {
        let encode = || encode_query(&attempt.statement, attempt.time_left());
        run(&Exchange::for_attempt(&attempt), encode).await.into()
    })
}

/// Encodes the statement with the client's timeout in its comment replaced by the time left.
fn encode_query(statement: &Statement, timeout: Duration) -> Vec<u8> {
    let text = &statement.text;
    let mut query = Vec::with_capacity(text.len() + 16);
    match &statement.timeout_range {
        Some(range) => {
            let timeout_ms = (timeout.as_micros() / 1_000).to_string();
            let parts = [&text[..range.start], timeout_ms.as_bytes(), &text[range.end..]];
            postgres::put_query(&mut query, &parts);
        }
        None => postgres::put_query(&mut query, &[text]),
    }
    query
}

/// Starts a health check of a host.
pub(super) fn start_health_check(state: &Rc<RouterState>, host: Host) {
    health_check::start(state, host, move |state| async move {
        let mut query = Vec::new();
        postgres::put_query(&mut query, &[HEALTH_CHECK_QUERY]);
        let response = run(&Exchange::for_health_check(&state, host), || query.clone()).await;
        let report = response.as_ref().ok().and_then(health_check_report);
        let result = AttemptResult::from(response);
        HealthCheckResult { completion: result.completion, report: report.unwrap_or(result.report) }
    });
}

/// One query to a host.
struct Query<'a, E> {
    state: &'a RouterState,
    /// Encodes the query.
    encode: E,
}

impl<E: Fn() -> Vec<u8>> HostProtocol for Query<'_, E> {
    const DISTINCT_BARRIERS: u32 = postgres::DISTINCT_BARRIERS;

    async fn connect(&self, address: SocketAddr) -> Result<HostConnection, ConnectionError> {
        connect_to_host(self.state, address).await
    }

    fn encode(&self, _connection: &HostConnection) -> Vec<u8> {
        (self.encode)()
    }

    fn encode_barrier(&self, _connection: &HostConnection, number: u32) -> Vec<u8> {
        let mut query = Vec::new();
        postgres::put_query(&mut query, &[BarrierQuery::nth(number).text().as_bytes()]);
        query
    }

    async fn read_barrier(
        &self, connection: &mut HostConnection, number: u32,
    ) -> Result<BarrierResponse, ConnectionError> {
        let mut pending = PendingResponse::new(self.state);
        read_response(connection, &mut pending, None).await??;
        let barrier = BarrierQuery::nth(number);
        let response = &pending.response;
        Ok(match () {
            () if barrier.is_answered_by(response) => BarrierResponse::Expected,
            () if barrier.is_answered_at_end_of(response) => BarrierResponse::ExpectedAfterSurplus,
            () => BarrierResponse::Surplus,
        })
    }
}

/// Sends a query and reads its response, within the exchange's deadline.
async fn run(exchange: &Exchange<'_>, encode: impl Fn() -> Vec<u8>) -> Result<HostResponse, ConnectionError> {
    let query = Query { state: exchange.state, encode };
    exchange.within_timeout(send_and_read(exchange, &query)).await
}

async fn send_and_read(
    exchange: &Exchange<'_>, query: &impl HostProtocol,
) -> Result<HostResponse, ConnectionError> {
    let mut connection = exchange.send(query).await?;
    let has_rules = exchange.state.statement_rules.are_present();
    let streamed = exchange.streamed_answer().filter(|_| has_rules);
    let mut pending = PendingResponse::new(exchange.state);
    let end = read_response(&mut connection, &mut pending, streamed).await?;
    let contents = contents(&pending.response, exchange.is_health_check());
    let reuse = exchange.confirm(query, &mut connection, &end, &contents).await?;
    let is_idle = reuse == Reuse::Possible && !pending.response.in_transaction;
    let response = finish_response(pending.response, end, streamed).await?;
    if is_idle {
        exchange.release(connection);
    }
    Ok(response)
}

/// Returns what a response tells about its host.
fn contents(response: &HostResponse, is_health_check: bool) -> ResponseContents {
    let report = if is_health_check { health_check_report(response) } else { attached_report(response) };
    ResponseContents {
        outcome: attempt_outcome(&completion(response)),
        trailer: host_report::from_parameters(&response.parameters),
        report: report.unwrap_or_default(),
    }
}

/// Returns the load report that a response to a health check consists of.
fn health_check_report(response: &HostResponse) -> Option<LoadReport> {
    response.single_value().map(|text| host_report::parse_load_report(&text))
}

/// Returns the load report that was sent along with a response.
fn attached_report(response: &HostResponse) -> Option<LoadReport> {
    response.parameters.load_report.as_deref().map(host_report::parse_load_report)
}

/// Returns the error of a response, if there is one.
fn completion(response: &HostResponse) -> Result<(), ConnectionError> {
    match response.error_code.clone() {
        Some(code) => Err(ConnectionError::HostError(HostErrorCode::Postgres(code))),
        None => Ok(()),
    }
}

/// Returns the response if it is usable, and streams its remaining part if streaming has started.
async fn finish_response(
    mut response: HostResponse, end: ResponseEnd, streamed: Option<&StreamedAnswer>,
) -> Result<HostResponse, ConnectionError> {
    if let Some(streamed) = streamed.filter(|streamed| streamed.has_started()) {
        // A streamed response is complete only after the host's `ReadyForQuery`.
        end.clone()?;
        // An error that must not be forwarded leaves the streamed response incomplete.
        if response.error_code.is_some() && response.error.is_empty() {
            return Err(ConnectionError::BrokenAfterSend);
        }
        let rest = [response.take_rows(), std::mem::take(&mut response.error)].concat();
        streamed.finish(rest).await?;
        response.error_code = None;
    } else if end == Err(ConnectionError::TooLarge) {
        return Err(ConnectionError::TooLarge);
    }
    // Rows or an error are usable if the connection breaks after them, but not if malformed bytes follow.
    let is_usable = response.is_complete() || response.error_code.is_some();
    if !is_usable || end == Err(ConnectionError::Malformed) {
        return Err(end.err().unwrap_or(ConnectionError::Malformed));
    }
    Ok(response)
}

/// A response that is being read.
struct PendingResponse {
    response: HostResponse,
    /// The memory reserved for the rows; `None` if the response's shape bounds their size.
    reservation: Option<Reservation>,
}

impl PendingResponse {
    /// Creates an empty response of the shape that the router accepts.
    fn new(state: &RouterState) -> PendingResponse {
        if state.statement_rules.are_present() {
            let reservation = Some(Reservation::new(&state.memory));
            PendingResponse { response: HostResponse::new(ResponseShape::AnyRows), reservation }
        } else {
            PendingResponse { response: HostResponse::new(ResponseShape::SingleValue), reservation: None }
        }
    }

    fn reserve_memory(&mut self) -> Result<(), ConnectionError> {
        let Some(reservation) = &mut self.reservation else { return Ok(()) };
        if !reservation.resize_to(self.response.rows.len()) {
            return Err(ConnectionError::TooLarge);
        }
        Ok(())
    }
}

impl Response for PendingResponse {
    fn read_buffered(
        &mut self, buffer: &mut Buffer, is_streamed: bool,
    ) -> Result<ResponseProgress, ConnectionError> {
        while let Some(message) =
            self.response.next_message(buffer.unread()).map_err(|_| ConnectionError::Malformed)?
        {
            self.response.accept(&message).map_err(|error| match error {
                ResponseError::TooLarge => ConnectionError::TooLarge,
                ResponseError::Malformed(_) => ConnectionError::Malformed,
            })?;
            let length = message.raw.len();
            self.reserve_memory()?;
            buffer.consume(length);
            if self.response.is_ready() {
                return Ok(ResponseProgress::Ended);
            }
            if is_streamed && self.response.rows.len() >= STREAMING_THRESHOLD_BYTES {
                return Ok(ResponseProgress::PartReady);
            }
        }
        Ok(ResponseProgress::NeedsMore)
    }

    fn take_part(&mut self) -> Vec<u8> {
        self.response.take_rows()
    }
}

async fn connect_to_host(
    state: &RouterState, address: SocketAddr,
) -> Result<HostConnection, ConnectionError> {
    let options =
        ConnectionOptions { max_buffer_bytes: MAX_MESSAGE_BYTES + 1, session: SessionState::default() };
    connect(state, address, options, start_session).await
}

/// Sends the startup message, and reads the host's response up to `ReadyForQuery`.
async fn start_session(connection: &mut HostConnection) -> Result<(), ConnectionError> {
    let mut startup = Vec::new();
    postgres::put_startup(&mut startup, USER, DATABASE);
    (&connection.stream).write_all(&startup).await.map_err(|_| ConnectionError::ConnectFailed)?;
    let mut pending = PendingResponse { response: HostResponse::default(), reservation: None };
    let end = read_response(connection, &mut pending, None).await?;
    let error = pending.response.error_code.map(HostErrorCode::Postgres).map(ConnectionError::HostError);
    // Only an overload is distinguished from other failures of opening a session.
    match error.map(|error| error.outcome()) {
        Some(AttemptOutcome::Overloaded) => Err(ConnectionError::NoConnectionSlot),
        _ if end.is_ok() => Ok(()),
        _ => Err(ConnectionError::ConnectFailed),
    }
}
