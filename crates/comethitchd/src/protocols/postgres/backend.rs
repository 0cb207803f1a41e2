//! Fourth stage: one dispatch, or one probe, on a connection to a host.

use crate::protocols::attempt;
use crate::protocols::flow::{Flow, HELD_WHOLE};
use crate::stages::policy_driver;
use crate::state::buffer::Buffer;
use crate::state::clock::after;
use crate::state::host_connection::{ConnectionError, HostConnection, HostErrorCode, SessionState};
use crate::state::memory_budget::Reservation;
use crate::state::pending_commands::Statement;
use crate::state::protocol::AttemptResult;
use crate::state::router_state::RouterState;
use crate::wire::host_report;
use crate::wire::postgres::{self, HostResponse, MAX_MESSAGE_BYTES, ResponseError, ResponseShape};
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_policy::{AttemptOutcome, CommandId, Host};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

impl From<Result<HostResponse, ConnectionError>> for AttemptResult {
    fn from(ended: Result<HostResponse, ConnectionError>) -> AttemptResult {
        match ended {
            Ok(answer) => AttemptResult {
                note: host_report::from_parameters(&answer.parameters),
                report: answer
                    .parameters
                    .load_report
                    .as_deref()
                    .map(host_report::parse_load_report)
                    .unwrap_or_default(),
                completion: match answer.error_code {
                    Some(code) => Err(ConnectionError::HostError(HostErrorCode::Postgres(code))),
                    None => Ok(()),
                },
                payload: if answer.error.is_empty() { answer.rows } else { answer.error },
                already_reported: false,
            },
            Err(error) => AttemptResult::failed(error),
        }
    }
}

/// Starts the command's next dispatch; its number, if it is too late before it begins.
pub fn start(state: &Rc<RouterState>, id: CommandId, host: Host, time_out: Duration) -> Option<u16> {
    attempt::start(state, id, host, time_out, |dispatch| async move {
        let query = query(&dispatch.statement, dispatch.time_out);
        let (state, may_go, flow) = (&*dispatch.state, || dispatch.may_go(), Some(&dispatch.flow));
        within(state, dispatch.host, &query, dispatch.time_out, may_go, flow).await.into()
    })
}

/// The statement as it came, but for how long the router waits.
fn query(statement: &Statement, time_out: Duration) -> Vec<u8> {
    let (text, mut out) = (&statement.text, Vec::with_capacity(statement.text.len() + 16));
    match &statement.timeout_range {
        Some(at) => {
            let wait = (time_out.as_micros() / 1_000).to_string();
            postgres::put_query(&mut out, &[&text[..at.start], wait.as_bytes(), &text[at.end..]]);
        }
        None => postgres::put_query(&mut out, &[text]),
    }
    out
}

/// Asks a host how it stands. A probe waits no longer than a connection may take.
pub fn probe(state: &Rc<RouterState>, host: Host) {
    state.metrics.health_checks.increment();
    let held = state.clone();
    let probe = async move {
        let mut query = Vec::new();
        postgres::put_query(&mut query, &[b"SHOW vitals"]);
        let limit = held.config.deployment.connect_timeout;
        let ended = within(&held, host, &query, limit, || true, None).await;
        let row = ended
            .as_ref()
            .ok()
            .and_then(|answer| answer.single_value().map(|text| host_report::parse_load_report(&text)));
        let result = AttemptResult::from(ended);
        if result.completion.is_err() {
            held.metrics.health_checks_failed.increment();
        }
        let outcome = result.outcome();
        let told = row.unwrap_or(result.report);
        held.record_host_outcome(host, outcome, told.role);
        log::debug!(
            "health check of {}: {:?}, {told:?}",
            held.endpoints.borrow().name(host),
            result.completion
        );
        policy_driver::call(&held, |router, out| router.health_checked(host, outcome, told, out));
    };
    state.tasks.spawn(probe).detach();
}

/// Asks a host within a time.
async fn within(
    state: &RouterState, host: Host, query: &[u8], time_out: Duration, may_go: impl Fn() -> bool,
    flow: Option<&Flow>,
) -> Result<HostResponse, ConnectionError> {
    let written = Cell::new(false);
    let exchange = exchange(state, host, query, may_go, &written, flow);
    attempt::within(state, time_out, &written, flow, exchange).await
}

async fn exchange(
    state: &RouterState, host: Host, query: &[u8], may_go: impl Fn() -> bool, written: &Cell<bool>,
    flow: Option<&Flow>,
) -> Result<HostResponse, ConnectionError> {
    let connect = async |dial| connect(state, dial).await;
    let mut connection = attempt::written(state, host, may_go, connect, |_| query.to_vec()).await?;
    written.set(true);
    let form =
        if state.admission.borrow().is_some() { ResponseShape::AnyRows } else { ResponseShape::SingleValue };
    let flow = flow.filter(|_| form == ResponseShape::AnyRows);
    let (mut answer, mut held) = (HostResponse::new(form), Reservation::new(&state.memory));
    let ended = loop {
        let has_room =
            |answer: &HostResponse| form == ResponseShape::SingleValue || held.resize_to(answer.rows.len());
        let pauses = |answer: &HostResponse| flow.is_some() && answer.rows.len() >= HELD_WHOLE;
        match read(&mut connection, &mut answer, has_room, pauses).await {
            Ok(false) => {
                let bytes = answer.take_rows();
                if let Some(flow) = flow {
                    flow.pass(bytes).await?;
                }
            }
            Ok(true) => break Ok(()),
            Err(end) => break Err(end),
        }
    };
    if let Some(flow) = flow.filter(|flow| flow.begun()) {
        // What the client has of it is whole only once the host has said so.
        ended.clone()?;
        // An error that must not be passed on leaves it unfinished.
        if answer.error_code.is_some() && answer.error.is_empty() {
            return Err(ConnectionError::BrokenAfterSend);
        }
        let rest = [answer.take_rows(), std::mem::take(&mut answer.error)].concat();
        flow.end(rest).await?;
        answer.error_code = None;
    } else if ended == Err(ConnectionError::TooLarge) {
        return Err(ConnectionError::TooLarge);
    }
    // A value or a code stands if the connection breaks behind it, but not if nonsense follows.
    let told = answer.is_complete() || answer.error_code.is_some();
    if !told || ended == Err(ConnectionError::Malformed) {
        return Err(ended.err().unwrap_or(ConnectionError::Malformed));
    }
    if ended.is_ok() && !answer.in_transaction {
        attempt::keep(state, host, connection);
    }
    Ok(answer)
}

/// Reads up to the host's word that it is ready, or up to a pause; true where it is ready.
async fn read(
    connection: &mut HostConnection, answer: &mut HostResponse,
    mut has_room: impl FnMut(&HostResponse) -> bool, pauses: impl Fn(&HostResponse) -> bool,
) -> Result<bool, ConnectionError> {
    loop {
        while let Some(message) =
            answer.next_message(connection.buffer.unread()).map_err(|_| ConnectionError::Malformed)?
        {
            answer.accept(&message).map_err(|malformed| match malformed {
                ResponseError::TooLarge => ConnectionError::TooLarge,
                ResponseError::Malformed(_) => ConnectionError::Malformed,
            })?;
            if !has_room(answer) {
                return Err(ConnectionError::TooLarge);
            }
            let length = message.raw.len();
            connection.buffer.consume(length);
            if answer.is_ready() {
                return Ok(true);
            }
            if pauses(answer) {
                return Ok(false);
            }
        }
        match connection.buffer.fill(&connection.stream).await {
            Ok(1..) => {}
            // The host has no part in that.
            Err(error) if error.kind() == ErrorKind::OutOfMemory => return Err(ConnectionError::TooLarge),
            Ok(0) | Err(_) => return Err(ConnectionError::BrokenAfterSend),
        }
    }
}

/// Connects and lets the host greet, so that what breaks until then is known never to have run.
async fn connect(state: &RouterState, dial: SocketAddr) -> Result<HostConnection, ConnectionError> {
    let limit = state.config.deployment.connect_timeout.to_std();
    let permit = attempt::descriptor(state).await?;
    let open = async {
        let stream = Async::<TcpStream>::connect(dial).await.map_err(|_| ConnectionError::ConnectFailed)?;
        state.metrics.connections_opened.increment();
        let _ = stream.get_ref().set_nodelay(true);
        let mut startup = Vec::new();
        postgres::put_startup(&mut startup, "portal", "crm");
        (&stream).write_all(&startup).await.map_err(|_| ConnectionError::ConnectFailed)?;
        let buffer = Buffer::new(MAX_MESSAGE_BYTES + 1, &state.memory);
        let mut connection = HostConnection {
            stream,
            buffer,
            address: dial,
            idle_since: state.clock.now(),
            session: SessionState::default(),
            permit,
        };
        let mut greeting = HostResponse::default();
        let greeted = read(&mut connection, &mut greeting, |_| true, |_| false).await;
        // Of the codes in a greeting, one tells more than that no connection came up.
        let full = greeting
            .error_code
            .map(|code| ConnectionError::HostError(HostErrorCode::Postgres(code)).outcome());
        match full {
            Some(AttemptOutcome::Overloaded) => Err(ConnectionError::NoConnectionSlot),
            _ if greeted.is_ok() => Ok(connection),
            _ => Err(ConnectionError::ConnectFailed),
        }
    };
    open.or(after(limit, Err(ConnectionError::ConnectFailed))).await
}
