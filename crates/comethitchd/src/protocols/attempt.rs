//! What any back does with a dispatch: it is numbered, given its time, put on a connection that is kept or new, and
//! its end told. What is said on the connection is the protocol's.

use crate::protocols::flow::Flow;
use crate::stages::policy_driver;
use crate::state::clock::after;
use crate::state::descriptors::DescriptorPermit;
use crate::state::host_connection::{ConnectionError, HostConnection};
use crate::state::pending_commands::Statement;
use crate::state::protocol::AttemptResult;
use crate::state::router_state::RouterState;
use async_io::Timer;
use comethitch_policy::time::Duration;
use comethitch_policy::{CommandId, Host};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration as StdDuration;

/// While no descriptor is free, a connection waits this long before it looks again.
const PAUSE: StdDuration = StdDuration::from_millis(2);

/// One dispatch of a command.
pub struct Dispatch {
    pub state: Rc<RouterState>,
    pub host: Host,
    pub time_out: Duration,
    pub statement: Rc<Statement>,
    pub flow: Flow,
    id: CommandId,
    nth: u16,
}

impl Dispatch {
    /// Whether the module still lets it go, once a new connection has come up.
    pub fn may_go(&self) -> bool {
        let router = self.state.router.borrow();
        router
            .handle(self.id)
            .is_some_and(|handle| handle.may_still_send(&router, self.nth, self.state.clock.now()))
    }
}

/// Starts the command's next dispatch. One that is too late before it begins, as after the router stood still,
/// is not tried, and its number returned: the host has no part in that.
pub fn start<F: Future<Output = AttemptResult> + 'static>(
    state: &Rc<RouterState>, id: CommandId, host: Host, time_out: Duration,
    send: impl FnOnce(Rc<Dispatch>) -> F + 'static,
) -> Option<u16> {
    let mut commands = state.commands.borrow_mut();
    let statement = commands.statement(id)?;
    let nth = commands.next_attempt(id);
    if time_out == Duration::ZERO {
        commands.record_attempt(id, None);
        return Some(nth);
    }
    let (hub_held, flow) = (state.clone(), Flow::new(state, id, nth));
    let dispatch = Rc::new(Dispatch { state: hub_held, host, time_out, statement, flow, id, nth });
    let task = state.tasks.spawn(async move {
        let state = dispatch.state.clone();
        let began = state.clock.now();
        let mut result = send(dispatch.clone()).await;
        result.already_reported = dispatch.flow.begun();
        let shape = dispatch.statement.shape.as_ref();
        if let Some(shape) = shape.filter(|_| result.completion.is_ok()) {
            state.record_statement_latency(shape, state.clock.now() - began);
        }
        state.record_host_outcome(host, result.outcome(), result.note.role);
        policy_driver::attempt_ended(&state, id, nth, result);
    });
    commands.record_attempt(id, Some(task));
    None
}

/// An exchange within its time; what has begun to flow to the client may take longer, as long as it moves.
pub async fn within<T>(
    state: &RouterState, time_out: Duration, written: &Cell<bool>, flow: Option<&Flow>,
    exchange: impl Future<Output = Result<T, ConnectionError>>,
) -> Result<T, ConnectionError> {
    let late = async {
        Timer::after(time_out.to_std()).await;
        if let Some(flow) = flow {
            flow.stalled(state.longest_timeout.to_std()).await;
        }
        Err(if written.get() { ConnectionError::TimedOut } else { ConnectionError::BrokenBeforeSend })
    };
    exchange.or(late).await
}

/// A connection to a host, kept or new, on which the bytes that `wire` gives for it were written whole. A new
/// connection can take long to come up, and so can this task's turn, so the module is asked just before whether they
/// `may_go` still.
pub async fn written(
    state: &RouterState, host: Host, may_go: impl Fn() -> bool,
    connect: impl AsyncFn(SocketAddr) -> Result<HostConnection, ConnectionError>,
    wire: impl Fn(&HostConnection) -> Vec<u8>,
) -> Result<HostConnection, ConnectionError> {
    let dial = state.endpoints.borrow().address(host).ok_or(ConnectionError::NotSent)?;
    loop {
        let kept = state.pool.borrow_mut().take(host, dial, state.clock.now());
        let fresh = kept.is_none();
        let connection = match kept {
            Some(kept) => kept,
            None => connect(dial).await.inspect_err(|end| {
                if *end == ConnectionError::NoConnectionSlot {
                    state.pool.borrow_mut().record_no_slot(state.clock.now());
                }
            })?,
        };
        if !may_go() {
            keep(state, host, connection);
            return Err(ConnectionError::NotSent);
        }
        let bytes = wire(&connection);
        match (&connection.stream).write_all(&bytes).await {
            Ok(()) => return Ok(connection),
            // The host had closed a kept connection: nothing of this has run, another one will do.
            Err(_) if !fresh => {}
            Err(_) => return Err(ConnectionError::BrokenBeforeSend),
        }
    }
}

/// Keeps a connection for the next use, if the host is still listed where it goes to and nothing is left to read.
pub fn keep(state: &RouterState, host: Host, connection: HostConnection) {
    let listed = state.endpoints.borrow().is_listed_at(host, connection.address);
    if listed && connection.buffer.unread().is_empty() {
        state.pool.borrow_mut().put(host, connection, state.clock.now());
    }
}

/// The right to a descriptor for a connection to a host, waited for no longer than a connection may take.
pub async fn descriptor(state: &RouterState) -> Result<DescriptorPermit, ConnectionError> {
    let free = async {
        loop {
            match state.acquire_host_descriptor() {
                Some(permit) => break Ok(permit),
                None => Timer::after(PAUSE).await,
            };
        }
    };
    let limit = state.config.deployment.connect_timeout.to_std();
    free.or(after(limit, Err(ConnectionError::NotSent))).await
}
