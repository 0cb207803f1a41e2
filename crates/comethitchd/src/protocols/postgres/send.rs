//! Fourth stage: one dispatch, or one probe, on a connection to a host.

use crate::memory::buffer::{Buffer, Held};
use crate::memory::clock::{after, duration};
use crate::memory::commands::Statement;
use crate::memory::connection::{Code, ConnectionEnd, HostConnection, Kept};
use crate::memory::hub::Hub;
use crate::memory::tally::count;
use crate::memory::tongue::Outcome;
use crate::protocols::flow::{Flow, HELD_WHOLE};
use crate::stages::route;
use crate::wire::postgres::{self, Answer, Form, LARGEST_MESSAGE};
use crate::wire::standing;
use async_io::{Async, Timer};
use comethitch::time::Span;
use comethitch::{CommandId, Ending, Host, Standing};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

impl From<Result<Answer, ConnectionEnd>> for Outcome {
    fn from(ended: Result<Answer, ConnectionEnd>) -> Outcome {
        match ended {
            Ok(answer) => Outcome {
                noted: standing::noted(&answer),
                reported: answer.vitals.as_deref().map(standing::reported).unwrap_or_default(),
                end: answer
                    .code
                    .map_or(ConnectionEnd::Whole, |code| ConnectionEnd::Told(Code::Postgres(code))),
                value: if answer.error.is_empty() { answer.value } else { answer.error },
                told: false,
            },
            Err(end) => Outcome {
                end,
                noted: Standing::default(),
                reported: Standing::default(),
                value: Vec::new(),
                told: false,
            },
        }
    }
}

/// Starts the command's next dispatch. One that is too late before it begins, as after the router stood still,
/// is not tried, and its number returned: the host has no part in that.
pub fn start(hub: &Rc<Hub>, id: CommandId, host: Host, time_out: Span) -> Option<u16> {
    let mut commands = hub.commands.borrow_mut();
    let statement = commands.statement(id)?;
    let nth = commands.next_dispatch(id);
    if time_out == Span(0) {
        commands.dispatched(id, None);
        return Some(nth);
    }
    let held = hub.clone();
    let task = hub.tasks.spawn(async move {
        let query = query(&statement, time_out);
        let may_go = || {
            let router = held.router.borrow();
            router.handle(id).is_some_and(|handle| handle.may_go(&router, nth, held.clock.now()))
        };
        let began = held.clock.now();
        let flow = Flow::new(&held, id, nth);
        let mut outcome: Outcome = within(&held, host, query, time_out, may_go, Some(&flow)).await.into();
        outcome.told = flow.begun();
        if let Some(known) = statement.known.as_ref().filter(|_| outcome.end == ConnectionEnd::Whole) {
            held.answered_after(known, held.clock.now() - began);
        }
        held.met(host, outcome.end.ending(), outcome.noted.role);
        route::ended(&held, id, nth, outcome);
    });
    commands.dispatched(id, Some(task));
    None
}

/// The statement as it came, but for how long the router waits.
fn query(statement: &Statement, time_out: Span) -> Vec<u8> {
    let (text, mut out) = (&statement.text, Vec::with_capacity(statement.text.len() + 16));
    match &statement.wait_at {
        Some(at) => {
            let wait = (time_out.0 / 1_000).to_string();
            postgres::put_query(&mut out, &[&text[..at.start], wait.as_bytes(), &text[at.end..]]);
        }
        None => postgres::put_query(&mut out, &[text]),
    }
    out
}

/// Asks a host how it stands. A probe waits no longer than a connection may take.
pub fn probe(hub: &Rc<Hub>, host: Host) {
    count(&hub.tally.probes);
    let held = hub.clone();
    let probe = async move {
        let mut query = Vec::new();
        postgres::put_query(&mut query, &[b"SHOW vitals"]);
        let ended = within(&held, host, query, held.site.deployment.connect_timeout, || true, None).await;
        let row =
            ended.as_ref().ok().and_then(|answer| answer.column().map(|text| standing::reported(&text)));
        let outcome = Outcome::from(ended);
        if outcome.end != ConnectionEnd::Whole {
            count(&held.tally.probes_failed);
        }
        let told = row.unwrap_or(outcome.reported);
        held.met(host, outcome.end.ending(), told.role);
        log::debug!("probe of {}: {:?}, {told:?}", held.list.borrow().name(host), outcome.end);
        route::decide(&held, |router, out| router.probed(host, outcome.end.ending(), told, out));
    };
    hub.tasks.spawn(probe).detach();
}

/// Asks a host within a time. A new connection can take long to come up, so the module is asked then
/// whether the query `may_go` still.
async fn within(
    hub: &Hub, host: Host, query: Vec<u8>, time_out: Span, may_go: impl Fn() -> bool, flow: Option<&Flow>,
) -> Result<Answer, ConnectionEnd> {
    let written = Cell::new(false);
    let late = async {
        Timer::after(duration(time_out)).await;
        if let Some(flow) = flow {
            flow.stalled(duration(hub.longest_timeout)).await;
        }
        Err(if written.get() { ConnectionEnd::Silent } else { ConnectionEnd::Unsent })
    };
    exchange(hub, host, query, may_go, &written, flow).or(late).await
}

async fn exchange(
    hub: &Hub, host: Host, query: Vec<u8>, may_go: impl Fn() -> bool, written: &Cell<bool>,
    flow: Option<&Flow>,
) -> Result<Answer, ConnectionEnd> {
    let dial = hub.list.borrow().dial(host).ok_or(ConnectionEnd::NotTried)?;
    let mut connection = loop {
        let kept = hub.pool.borrow_mut().take(host, dial, hub.clock.now());
        let fresh = kept.is_none();
        let connection = match kept {
            Some(kept) => kept,
            None => connect(hub, dial).await?,
        };
        if fresh && !may_go() {
            hub.pool.borrow_mut().put(host, connection, hub.clock.now());
            return Err(ConnectionEnd::NotTried);
        }
        match (&connection.stream).write_all(&query).await {
            Ok(()) => break connection,
            // The host had closed a kept connection: nothing of this has run, another one will do.
            Err(_) if !fresh => {}
            Err(_) => return Err(ConnectionEnd::Unsent),
        }
    };
    written.set(true);
    drop(query);
    let form = if hub.desk.borrow().is_some() { Form::Any } else { Form::OneValue };
    let flow = flow.filter(|_| form == Form::Any);
    let (mut answer, mut held) = (Answer::of(form), Held::new(&hub.room));
    let ended = loop {
        let has_room = |answer: &Answer| form == Form::OneValue || held.is(answer.value.len());
        let pauses = |answer: &Answer| flow.is_some() && answer.value.len() >= HELD_WHOLE;
        match read(&mut connection, &mut answer, has_room, pauses).await {
            Ok(false) => {
                let bytes = answer.pass();
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
        let rest = [answer.pass(), std::mem::take(&mut answer.error)].concat();
        flow.end(rest).await?;
        answer.code = None;
    } else if ended == Err(ConnectionEnd::TooLarge) {
        return Err(ConnectionEnd::TooLarge);
    }
    // A value or a code stands if the connection breaks behind it, but not if nonsense follows.
    let told = answer.whole() || answer.code.is_some();
    if !told || ended == Err(ConnectionEnd::Malformed) {
        return Err(ended.err().unwrap_or(ConnectionEnd::Malformed));
    }
    let listed = hub.list.borrow().is_at(host, connection.dial);
    if ended.is_ok() && listed && !answer.in_transaction && connection.buffer.unread().is_empty() {
        hub.pool.borrow_mut().put(host, connection, hub.clock.now());
    }
    Ok(answer)
}

/// Reads up to the host's word that it is ready, or up to a pause; true where it is ready.
async fn read(
    connection: &mut HostConnection, answer: &mut Answer, mut has_room: impl FnMut(&Answer) -> bool,
    pauses: impl Fn(&Answer) -> bool,
) -> Result<bool, ConnectionEnd> {
    loop {
        while let Some(message) =
            answer.next(connection.buffer.unread()).map_err(|_| ConnectionEnd::Malformed)?
        {
            answer.take(&message).map_err(|malformed| match malformed {
                postgres::TOO_LARGE => ConnectionEnd::TooLarge,
                _ => ConnectionEnd::Malformed,
            })?;
            if !has_room(answer) {
                return Err(ConnectionEnd::TooLarge);
            }
            let length = message.raw.len();
            connection.buffer.consume(length);
            if answer.ready() {
                return Ok(true);
            }
            if pauses(answer) {
                return Ok(false);
            }
        }
        match connection.buffer.fill(&connection.stream).await {
            Ok(0) | Err(_) => return Err(ConnectionEnd::Broken),
            Ok(_) => {}
        }
    }
}

/// Connects and lets the host greet, so that what breaks until then is known never to have run.
async fn connect(hub: &Hub, dial: SocketAddr) -> Result<HostConnection, ConnectionEnd> {
    let free = async {
        loop {
            match hub.host_descriptor() {
                Some(permit) => break Ok(permit),
                None => Timer::after(Duration::from_millis(2)).await,
            };
        }
    };
    let limit = duration(hub.site.deployment.connect_timeout);
    let permit = free.or(after(limit, Err(ConnectionEnd::NotTried))).await?;
    let open = async {
        let stream = Async::<TcpStream>::connect(dial).await.map_err(|_| ConnectionEnd::NeverUp)?;
        count(&hub.tally.connected);
        let _ = stream.get_ref().set_nodelay(true);
        let mut startup = Vec::new();
        postgres::put_startup(&mut startup, "portal", "crm");
        (&stream).write_all(&startup).await.map_err(|_| ConnectionEnd::NeverUp)?;
        let buffer = Buffer::new(LARGEST_MESSAGE + 1, &hub.room);
        let mut connection = HostConnection {
            stream,
            buffer,
            dial,
            idle_since: hub.clock.now(),
            kept: Kept::default(),
            permit,
        };
        let mut greeting = Answer::default();
        let greeted = read(&mut connection, &mut greeting, |_| true, |_| false).await;
        // Of the codes in a greeting, one tells more than that no connection came up.
        let full = greeting
            .code
            .map(|code| ConnectionEnd::Told(Code::Postgres(code)))
            .filter(|end| end.ending() == Ending::Full);
        match full {
            Some(full) => Err(full),
            None if greeted.is_ok() => Ok(connection),
            None => Err(ConnectionEnd::NeverUp),
        }
    };
    open.or(after(limit, Err(ConnectionEnd::NeverUp))).await
}
