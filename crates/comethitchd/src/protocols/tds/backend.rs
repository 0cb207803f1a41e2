//! One dispatch, or one probe, on a connection to a host.

use super::response::{FirstRow, HostResponse, MAX_TOKEN_BYTES};
use super::settings::TdsSettings;
use crate::protocols::attempt;
use crate::protocols::flow::{Flow, HELD_WHOLE};
use crate::stages::policy_driver;
use crate::state::buffer::Buffer;
use crate::state::clock::after;
use crate::state::host_connection::{ConnectionError, HostConnection, SessionState, attempt_outcome};
use crate::state::memory_budget::Reservation;
use crate::state::protocol::AttemptResult;
use crate::state::router_state::RouterState;
use async_io::Async;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{AttemptOutcome, CommandId, Host, HostReport, Role};
use comethitch_tds::login::{Encryption, Login, Prelogin, VERSION};
use comethitch_tds::packet::{Assembly, FIRST_SIZE, Kind, LARGEST_SIZE, put_message, put_parts, status};
use comethitch_tds::request::Batch;
use comethitch_tds::types::Value;
use futures_lite::{AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// A host's PRELOGIN is not longer than this.
const LARGEST_PRELOGIN: usize = 4096;

/// Starts the command's next dispatch; its number, if it is too late before it begins.
pub fn start(
    state: &Rc<RouterState>, ways: &Rc<TdsSettings>, id: CommandId, host: Host, time_out: Duration,
) -> Option<u16> {
    let ways = ways.clone();
    attempt::start(state, id, host, time_out, |dispatch| async move {
        let kind = Kind::of(dispatch.statement.message_kind).unwrap_or(Kind::Batch);
        let message = (kind, &dispatch.statement.text[..]);
        let (state, may_go, flow) = (&*dispatch.state, || dispatch.may_go(), Some(&dispatch.flow));
        attempt_result(within(state, &ways, dispatch.host, message, dispatch.time_out, may_go, flow).await)
    })
}

fn attempt_result(ended: Result<HostResponse, ConnectionError>) -> AttemptResult {
    match ended {
        Ok(answer) => AttemptResult {
            completion: answer.error.map_or(Ok(()), |code| Err(ConnectionError::HostError(code))),
            note: HostReport::default(),
            report: HostReport::default(),
            payload: answer.tokens,
            already_reported: false,
        },
        Err(error) => AttemptResult::failed(error),
    }
}

/// Asks a host how it stands. A probe waits no longer than a connection may take.
pub fn probe(state: &Rc<RouterState>, ways: &Rc<TdsSettings>, host: Host) {
    state.metrics.health_checks.increment();
    let (held, ways) = (state.clone(), ways.clone());
    let probe = async move {
        let mut payload = Vec::new();
        Batch::put(&mut payload, &ways.probe.sql);
        let limit = held.config.deployment.connect_timeout;
        let ended = within(&held, &ways, host, (Kind::Batch, &payload), limit, || true, None).await;
        let told = ended.as_ref().ok().and_then(|answer| answer.first_row.as_ref());
        let told = told.map(|row| standing(row, &ways.probe.primary)).unwrap_or_default();
        let mut completion = attempt_result(ended).completion;
        if completion.is_ok() && told.role.is_none() {
            // Without a role it tells nothing: the query is not what it should be.
            completion = Err(ConnectionError::Malformed);
        }
        if completion.is_err() {
            held.metrics.health_checks_failed.increment();
        }
        let outcome = attempt_outcome(&completion);
        held.record_host_outcome(host, outcome, told.role);
        log::debug!("health check of {}: {completion:?}, {told:?}", held.endpoints.borrow().name(host));
        policy_driver::call(&held, |router, out| router.health_checked(host, outcome, told, out));
    };
    state.tasks.spawn(probe).detach();
}

/// What a probe's row says: the role, and the position in milliseconds.
fn standing(row: &FirstRow, primary: &str) -> HostReport {
    let role = match &row.first {
        Value::Text(role) => Some(role.trim().eq_ignore_ascii_case(primary)),
        Value::Integer(role) => Some(role.to_string() == primary),
        _ => None,
    };
    let position = match &row.second {
        Value::Integer(ms) => u64::try_from(*ms).ok(),
        Value::Float(ms) => Some(*ms as u64),
        Value::Text(ms) => ms.trim().parse().ok(),
        _ => None,
    };
    HostReport {
        role: role.map(|primary| if primary { Role::Primary } else { Role::Replica }),
        // A position may have been rounded up by less than its unit; one of zero is none.
        position: position.and_then(|ms| ms.checked_sub(1)).map(Timestamp::from_millis),
        queue: None,
    }
}

/// Asks a host within a time.
async fn within(
    state: &RouterState, ways: &TdsSettings, host: Host, message: (Kind, &[u8]), time_out: Duration,
    may_go: impl Fn() -> bool, flow: Option<&Flow>,
) -> Result<HostResponse, ConnectionError> {
    let written = Cell::new(false);
    let exchange = exchange(state, ways, host, message, may_go, &written, flow);
    attempt::within(state, time_out, &written, flow, exchange).await
}

async fn exchange(
    state: &RouterState, ways: &TdsSettings, host: Host, (kind, payload): (Kind, &[u8]),
    may_go: impl Fn() -> bool, written: &Cell<bool>, flow: Option<&Flow>,
) -> Result<HostResponse, ConnectionError> {
    let connect = async |dial| connect(state, ways, dial).await;
    let wire = |connection: &HostConnection| {
        // What another's command left in the session is gone before this one runs.
        let first = if connection.session.reused { status::RESET } else { 0 };
        let mut wire = Vec::with_capacity(payload.len() + payload.len() / 64 + 16);
        put_parts(&mut wire, kind, connection.session.packet_size, payload, first, true);
        wire
    };
    let mut connection = attempt::written(state, host, may_go, connect, wire).await?;
    written.set(true);
    connection.session.reused = true;
    let (mut answer, mut held) = (HostResponse::new(), Reservation::new(&state.memory));
    let ended = loop {
        match read(&mut connection, &mut answer, &mut held, flow.is_some()).await {
            Ok(false) => {
                if let Some(flow) = flow {
                    flow.pass(std::mem::take(&mut answer.tokens)).await?;
                }
            }
            Ok(true) => break Ok(()),
            Err(end) => break Err(end),
        }
    };
    // An answer whose last token has come stands, whatever becomes of its connection.
    if !answer.is_complete() || ended == Err(ConnectionError::TooLarge) {
        return Err(ended.err().unwrap_or(ConnectionError::Malformed));
    }
    if let Some(flow) = flow.filter(|flow| flow.begun()) {
        flow.end(std::mem::take(&mut answer.tokens)).await?;
    }
    let end = answer.error.clone().map(|code| ConnectionError::HostError(code).outcome());
    if ended.is_ok() && !answer.in_transaction && end != Some(AttemptOutcome::ConnectionReset) {
        attempt::keep(state, host, connection);
    }
    Ok(answer)
}

/// Reads up to the answer's end, or up to a pause once there is enough to be passed on; true at the end.
async fn read(
    connection: &mut HostConnection, answer: &mut HostResponse, held: &mut Reservation, pauses: bool,
) -> Result<bool, ConnectionError> {
    loop {
        let taken = answer.accept(connection.buffer.unread()).map_err(|_| ConnectionError::Malformed)?;
        connection.buffer.consume(taken);
        if answer.held_bytes() > HELD_WHOLE + MAX_TOKEN_BYTES || !held.resize_to(answer.held_bytes()) {
            return Err(ConnectionError::TooLarge);
        }
        if answer.is_ended() {
            return Ok(true);
        }
        // An error within the answer is known only once it is whole, up to here.
        if pauses && answer.tokens.len() >= HELD_WHOLE {
            return Ok(false);
        }
        match connection.buffer.fill(&connection.stream).await {
            Ok(1..) => {}
            // The host has no part in that.
            Err(error) if error.kind() == ErrorKind::OutOfMemory => return Err(ConnectionError::TooLarge),
            Ok(0) | Err(_) => return Err(ConnectionError::BrokenAfterSend),
        }
    }
}

/// Connects and logs in, so that what breaks until then is known never to have run.
async fn connect(
    state: &RouterState, ways: &TdsSettings, dial: SocketAddr,
) -> Result<HostConnection, ConnectionError> {
    let limit = state.config.deployment.connect_timeout.to_std();
    let permit = attempt::descriptor(state).await?;
    let open = async {
        let stream = Async::<TcpStream>::connect(dial).await.map_err(|_| ConnectionError::ConnectFailed)?;
        state.metrics.connections_opened.increment();
        let _ = stream.get_ref().set_nodelay(true);
        let buffer = Buffer::new(LARGEST_SIZE + 1, &state.memory);
        let session = SessionState { packet_size: FIRST_SIZE, reused: false };
        let idle_since = state.clock.now();
        let mut connection = HostConnection { stream, buffer, address: dial, idle_since, session, permit };
        prelogin(&mut connection).await?;
        log_in(state, ways, &mut connection).await?;
        Ok(connection)
    };
    open.or(after(limit, Err(ConnectionError::ConnectFailed))).await
}

async fn prelogin(connection: &mut HostConnection) -> Result<(), ConnectionError> {
    let (mut payload, mut wire) = (Vec::new(), Vec::new());
    Prelogin::default().put(&mut payload);
    put_message(&mut wire, Kind::Prelogin, FIRST_SIZE, &payload);
    (&connection.stream).write_all(&wire).await.map_err(|_| ConnectionError::ConnectFailed)?;
    let mut message = Assembly::new(LARGEST_PRELOGIN);
    while !message.over() {
        if connection.buffer.unread().is_empty() {
            match connection.buffer.fill(&connection.stream).await {
                Ok(0) | Err(_) => return Err(ConnectionError::ConnectFailed),
                Ok(_) => {}
            }
        }
        let taken = message.take(connection.buffer.unread()).map_err(|_| ConnectionError::ConnectFailed)?;
        connection.buffer.consume(taken);
    }
    let told = Prelogin::read(message.payload()).map_err(|_| ConnectionError::ConnectFailed)?;
    // A host that insists on encryption can't be spoken with.
    match told.encryption {
        Encryption::NotSupported | Encryption::Off => Ok(()),
        Encryption::On | Encryption::Required => Err(ConnectionError::ConnectFailed),
    }
}

async fn log_in(
    state: &RouterState, ways: &TdsSettings, connection: &mut HostConnection,
) -> Result<(), ConnectionError> {
    let login = Login {
        version: VERSION,
        packet_size: ways.packet_size as u32,
        host: state.config.name.clone(),
        user: ways.hosts.user.clone(),
        password: ways.hosts.password.clone(),
        application: "comethitch".into(),
        library: "comethitch".into(),
        database: ways.hosts.database.clone(),
        ..Login::default()
    };
    let (mut payload, mut wire) = (Vec::new(), Vec::new());
    login.put(&mut payload);
    put_message(&mut wire, Kind::Login, FIRST_SIZE, &payload);
    (&connection.stream).write_all(&wire).await.map_err(|_| ConnectionError::ConnectFailed)?;
    let (mut answer, mut held) = (HostResponse::new(), Reservation::new(&state.memory));
    let ended = read(connection, &mut answer, &mut held, false).await;
    match answer.error.take() {
        // Of the errors at a login one tells more than that no connection came up.
        Some(code) => match ConnectionError::HostError(code) {
            error if error.outcome() == AttemptOutcome::Overloaded => Err(ConnectionError::NoConnectionSlot),
            _ => Err(ConnectionError::ConnectFailed),
        },
        None if ended.is_ok() && answer.login_accepted => {
            connection.session.packet_size = answer.packet_size.unwrap_or(FIRST_SIZE).min(LARGEST_SIZE);
            Ok(())
        }
        None => Err(ConnectionError::ConnectFailed),
    }
}
