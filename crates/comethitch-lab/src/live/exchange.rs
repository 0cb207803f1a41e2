//! One request of a client and its answer, on one or several connections.

use super::clients::serving_router;
use super::network::{Message, connect_client, message_type, now, read_message};
use super::process_table::RouterIncarnation;
use super::state::LiveFleet;
use crate::clients::ClientRequest;
use crate::ledger::Answer;
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_testkit::postgres::message;
use futures_lite::AsyncWriteExt;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;

/// Maximum time after the start of an exchange at which the close of its reused connection may be due to a
/// race: the router may have closed the idle connection before it read the query.
const CLOSE_RACE_LIMIT: Duration = Duration::from_millis(150);
/// Code fields of the errors that throttle a request: `too_many_connections` and `cannot_connect_now`.
const THROTTLE_CODES: [&[u8]; 2] = [b"C53300\0", b"C57P03\0"];

/// A connection without a request in flight.
pub(super) struct IdleConnection {
    pub router: RouterIncarnation,
    pub stream: Async<TcpStream>,
}

/// The idle connections of one router's clients.
pub(super) type Pool = Rc<RefCell<Vec<IdleConnection>>>;

/// What was received on a connection in response to a query.
#[derive(Default)]
struct Reply {
    /// Whether anything was received.
    started: bool,
    /// The final answer, or `None` if the connection ended before it.
    answer: Option<Answer>,
}

/// A request in flight.
pub(super) struct Exchange<'a> {
    fleet: &'a LiveFleet,
    pool: &'a Pool,
    router: RouterIncarnation,
    request: ClientRequest,
    /// Number of the request, unique over all routers.
    number: u64,
    /// Events on each connection, for the description of a violation.
    events: RefCell<Vec<String>>,
    /// The router that the request was last sent to.
    last_router: Cell<RouterIncarnation>,
}

impl<'a> Exchange<'a> {
    /// Creates an exchange with a router under a new request number.
    pub(super) fn new(
        fleet: &'a LiveFleet, pool: &'a Pool, router: RouterIncarnation, request: ClientRequest,
    ) -> Exchange<'a> {
        let number = fleet.next_number();
        let last_router = Cell::new(router);
        Exchange { fleet, pool, router, request, number, events: RefCell::default(), last_router }
    }

    /// Returns the timeout of the client.
    pub(super) fn timeout(&self) -> Duration {
        Duration::from_millis(self.fleet.trial.timeout_ms)
    }

    /// Sends the request on the idle connection or a new one, and waits for the answer. Sends it again on a
    /// new connection if the router may have closed the idle one before it read the request. Returns `None`
    /// if there is no answer.
    pub(super) async fn run(&self, idle: Option<Async<TcpStream>>) -> Option<Answer> {
        let started = now();
        let reused = idle.is_some();
        let stream = match idle {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        self.record_received();
        let first_sent = now();
        let reply = self.execute(stream, &self.query(self.timeout())).await;
        let must_answer = self.fleet.processes.borrow().must_answer(self.router);
        if !reused || !must_answer || reply.started || now() - started > CLOSE_RACE_LIMIT {
            return reply.answer;
        }
        let connection = self.connect().await;
        // The second query has the deadline of the first one.
        let query = self.query(self.timeout() - (now() - first_sent));
        match connection {
            Some(stream) => self.execute(stream, &query).await.answer,
            // The router has shut down in the meantime.
            None => self.execute_at_other_router(&query).await,
        }
    }

    fn query(&self, remaining_timeout: Duration) -> Vec<u8> {
        let text = query_text(self.number, self.request, remaining_timeout);
        message(message_type::QUERY, text.as_bytes())
    }

    async fn connect(&self) -> Option<Async<TcpStream>> {
        let address = self.fleet.processes.borrow().client_address(self.router.router);
        connect_client(address).await.ok()
    }

    async fn execute_at_other_router(&self, query: &[u8]) -> Option<Answer> {
        let router = serving_router(self.fleet, self.router.router)?;
        let other = Exchange { router, events: RefCell::default(), last_router: Cell::new(router), ..*self };
        let Some(stream) = other.connect().await else {
            self.add_event(&format!("no connection to router {}", router.router));
            return None;
        };
        let reply = other.execute(stream, query).await;
        self.last_router.set(router);
        self.events.borrow_mut().append(&mut other.events.borrow_mut());
        reply.answer
    }

    fn add_event(&self, event: &str) {
        let elapsed_ms = (now() - self.request.operation.sent_at).as_micros() / 1_000;
        self.events.borrow_mut().push(format!("{event} at router {}, {elapsed_ms} ms", self.router.router));
    }

    fn record_received(&self) {
        let ClientRequest { operation, write, .. } = self.request;
        let router = self.router.router;
        let tolerance = self.fleet.processes.borrow().answer_delay_tolerance(router);
        let deadline = now() + self.timeout() + tolerance;
        self.fleet.processes.borrow_mut().request_sent(router, self.number);
        let mut ledger = self.fleet.ledger.borrow_mut();
        ledger.request_received(self.number, router, operation, write, deadline);
    }

    /// Sends the query and reads until the router is ready for the next one, or the connection ends.
    async fn execute(&self, mut stream: Async<TcpStream>, query: &[u8]) -> Reply {
        let mut reply = Reply::default();
        if stream.write_all(query).await.is_err() {
            self.add_event("query not written");
            return reply;
        }
        self.add_event("query written");
        while let Ok(Message { kind, body }) = read_message(&mut stream).await {
            reply.started = true;
            match kind {
                message_type::READY_FOR_QUERY => {
                    self.return_to_pool(stream);
                    reply.answer = reply.answer.or(Some(Answer::Failed));
                    return reply;
                }
                message_type::DATA_ROW => reply.answer = Some(Answer::Answered),
                message_type::ERROR_RESPONSE => reply.answer = Some(error_answer(&body)),
                _ => {}
            }
        }
        self.add_event("connection closed");
        reply
    }

    fn return_to_pool(&self, stream: Async<TcpStream>) {
        if self.fleet.processes.borrow().is_current(self.router) {
            self.pool.borrow_mut().push(IdleConnection { router: self.router, stream });
        }
    }

    /// Records that the client has closed its connection before the answer.
    pub(super) fn record_disconnect(&self) {
        self.fleet.ledger.borrow_mut().client_disconnected(self.number, now());
    }

    /// Records the outcome. No answer is required from a router that was killed or paused in the meantime.
    pub(super) fn record(&self, answer: Option<Answer>) {
        let processes = self.fleet.processes.borrow();
        let must_answer = processes.must_answer(self.router) && processes.must_answer(self.last_router.get());
        drop(processes);
        let mut ledger = self.fleet.ledger.borrow_mut();
        match answer {
            _ if !must_answer => ledger.router_lost(self.number),
            None => ledger.request_unanswered(self.number, self.events.borrow().join(", ")),
            Some(answer) => ledger.answer_received(self.number, now(), answer),
        }
        self.fleet.processes.borrow_mut().request_ended(self.router.router, self.number);
    }
}

/// Returns the query of a request, with the remaining timeout of its client. The stated timeout is at least
/// one millisecond, because 0 would mean no timeout.
fn query_text(number: u64, request: ClientRequest, remaining_timeout: Duration) -> String {
    let statement = if request.write {
        format!(r"INSERT INTO facts (code, data) VALUES ('{number:016x}', '\x9f03') RETURNING data")
    } else {
        format!("SELECT data FROM facts WHERE code = '{number:016x}'")
    };
    let class = if request.write { "write" } else { "read" };
    let timeout_ms = (remaining_timeout.as_micros() / 1_000).max(1);
    let shard = request.shard;
    format!("/* id={number:016x},c={class},d={timeout_ms},cluster={shard} */ {statement}\0")
}

fn error_answer(body: &[u8]) -> Answer {
    let has_code = |code: &&[u8]| body.windows(code.len()).any(|bytes| bytes == *code);
    if THROTTLE_CODES.iter().any(has_code) { Answer::Throttled } else { Answer::Failed }
}

#[cfg(test)]
mod tests;
