//! Clients of a fleet of real processes: each router has its own, which send requests at a rate of their own, wait for
//! their timeout, and retry after a throttle.

use super::network::{Message, message_type, now, read_message, sleep, sleep_until};
use super::process_table::RouterIncarnation;
use super::processes;
use super::state::{LiveFleet, SLACK, SharedFleet};
use crate::clients::{ClientRequest, LEAST_RATE, MAX_RETRIES, RETRY_DELAY};
use crate::ledger::{Answer, Operation};
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_testkit::postgres::message;
use futures_lite::{AsyncWriteExt, future};
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;

/// How much longer than its timeout, and the slack of the ledger, a client waits for an answer that is late.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(100);
/// A close within this span of the query that it follows may have crossed it: the router had not read it.
const CROSSING_LIMIT: Duration = Duration::from_millis(150);
/// The code fields of errors that mean a throttle: `too_many_connections` and `cannot_connect_now`.
const THROTTLE_CODES: [&[u8]; 2] = [b"C53300\0", b"C57P03\0"];

/// A connection that waits for its next request.
struct IdleConnection {
    router: RouterIncarnation,
    stream: Async<TcpStream>,
}

/// The idle connections of one router's clients.
type Pool = Rc<RefCell<Vec<IdleConnection>>>;

/// What came back on a connection.
#[derive(Default)]
struct Reply {
    /// Whether anything came.
    begun: bool,
    answer: Option<Answer>,
}

/// Sends the requests of one router's clients, until the trial ends.
pub(super) async fn send_requests(fleet: SharedFleet, router: usize, rate: f64) {
    let pool = Pool::default();
    let interval = Exp::new(rate.max(LEAST_RATE)).expect("the rate is above 0");
    let mut next = now();
    loop {
        // Counted from the last arrival: a late timer takes nothing from the rate.
        let seconds = interval.sample(&mut *fleet.rng.borrow_mut());
        next = next + Duration::from_micros((seconds * 1e6) as u64);
        sleep_until(next).await;
        if !fleet.clients_send.get() {
            return;
        }
        let shard = fleet.rng.borrow_mut().random_range(0..fleet.trial.groups);
        let write = fleet.rng.borrow_mut().random_bool(fleet.trial.writes);
        let operation = Operation { id: fleet.next_number(), sent_at: now() };
        fleet.ledger.borrow_mut().operation_started(operation);
        let request = ClientRequest { operation, shard, write };
        fleet.spawn(send_with_retries(fleet.clone(), pool.clone(), router, request));
    }
}

async fn send_with_retries(fleet: SharedFleet, pool: Pool, router: usize, request: ClientRequest) {
    for _ in 0..=MAX_RETRIES {
        if send_once(&fleet, &pool, router, request).await != Some(Answer::Throttled) {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Sends a request with a number of its own. `None` if it got no answer.
async fn send_once(
    fleet: &LiveFleet, pool: &Pool, own_router: usize, request: ClientRequest,
) -> Option<Answer> {
    let router = match ending_router(fleet, pool, own_router) {
        Some(router) => router,
        None => serving_router(fleet, own_router)?,
    };
    let idle = take_idle(fleet, pool, router);
    let number = fleet.next_number();
    let taken_by = Cell::new(router);
    let exchange = Exchange { fleet, pool, router, request, number, course: RefCell::default(), taken_by };
    let late = async {
        sleep(exchange.timeout() + SLACK + LATE_ANSWER_GRACE).await;
        None
    };
    let Some(stay) = stay_of_leaving_client(fleet) else {
        let answer = future::or(exchange.run(idle), late).await;
        exchange.record(answer);
        return answer;
    };
    let left = async {
        sleep(stay).await;
        None
    };
    let answer = future::or(exchange.run(idle), left).await;
    // Dropping the exchange has closed the connection.
    if answer.is_none() {
        fleet.ledger.borrow_mut().client_left(exchange.number, now());
    }
    exchange.record(answer);
    answer
}

/// The clients' own router, if it was told to end and a connection to it is still open: clients send on it further.
fn ending_router(fleet: &LiveFleet, pool: &Pool, own_router: usize) -> Option<RouterIncarnation> {
    let processes = fleet.processes.borrow();
    let router = Some(processes.current(own_router)).filter(|_| processes.is_ending(own_router))?;
    pool.borrow().iter().any(|idle| idle.router == router).then_some(router)
}

/// How long a client waits that closes its connection before it has the answer; none for all others.
fn stay_of_leaving_client(fleet: &LiveFleet) -> Option<Duration> {
    let leaves = fleet.trial.leave > 0.0 && fleet.rng.borrow_mut().random_bool(fleet.trial.leave);
    let longest = Duration::from_millis(fleet.trial.target_ms);
    leaves.then(|| longest.scaled(fleet.draw()))
}

/// The clients' own router, or any other that serves if it does not.
fn serving_router(fleet: &LiveFleet, own_router: usize) -> Option<RouterIncarnation> {
    let processes = fleet.processes.borrow();
    let serving = processes.serving();
    if serving.contains(&own_router) {
        return Some(processes.current(own_router));
    }
    if serving.is_empty() {
        return None;
    }
    let drawn = fleet.rng.borrow_mut().random_range(0..serving.len());
    Some(processes.current(serving[drawn]))
}

/// Takes an idle connection to a router, and drops those to routers that were killed or stopped.
fn take_idle(fleet: &LiveFleet, pool: &Pool, router: RouterIncarnation) -> Option<Async<TcpStream>> {
    let processes = fleet.processes.borrow();
    let mut pool = pool.borrow_mut();
    pool.retain(|idle| processes.is_current(idle.router));
    let found = pool.iter().position(|idle| idle.router == router)?;
    Some(pool.swap_remove(found).stream)
}

/// One request and its answer.
struct Exchange<'a> {
    fleet: &'a LiveFleet,
    pool: &'a Pool,
    router: RouterIncarnation,
    request: ClientRequest,
    number: u64,
    /// What became of it on each connection, for the report of one that got no answer.
    course: RefCell<Vec<String>>,
    /// The router that had it last.
    taken_by: Cell<RouterIncarnation>,
}

impl Exchange<'_> {
    fn timeout(&self) -> Duration {
        Duration::from_millis(self.fleet.trial.timeout_ms)
    }

    /// Sends the request on an idle connection or a new one. The router may have closed an idle one as the request was
    /// on its way: then it is sent again on a new one.
    async fn run(&self, idle: Option<Async<TcpStream>>) -> Option<Answer> {
        let query = message(message_type::QUERY, self.query().as_bytes());
        let begun = now();
        let reused = idle.is_some();
        let stream = match idle {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        self.record_received();
        let reply = self.execute(stream, &query).await;
        // A close long after the query was sent does not cross it: the router had it, and owed an answer.
        let is_owed = self.fleet.processes.borrow().owes(self.router);
        if !reused || !is_owed || reply.begun || now() - begun > CROSSING_LIMIT {
            return reply.answer;
        }
        match self.connect().await {
            Some(stream) => self.execute(stream, &query).await.answer,
            // The router has ended meanwhile: its clients go elsewhere.
            None => self.execute_elsewhere(&query).await,
        }
    }

    fn query(&self) -> String {
        let number = self.number;
        let statement = if self.request.write {
            format!(r"INSERT INTO facts (code, data) VALUES ('{number:016x}', '\x9f03') RETURNING data")
        } else {
            format!("SELECT data FROM facts WHERE code = '{number:016x}'")
        };
        let group = if self.request.write { "write" } else { "read" };
        let timeout_ms = self.fleet.trial.timeout_ms;
        let shard = self.request.shard;
        format!("/* id={number:016x},c={group},d={timeout_ms},cluster={shard} */ {statement}\0")
    }

    async fn connect(&self) -> Option<Async<TcpStream>> {
        let address = self.fleet.processes.borrow().client_address(self.router.router);
        processes::connect(address).await.ok()
    }

    async fn execute_elsewhere(&self, query: &[u8]) -> Option<Answer> {
        let router = serving_router(self.fleet, self.router.router)?;
        let elsewhere = Exchange { router, course: RefCell::default(), taken_by: Cell::new(router), ..*self };
        let Some(stream) = elsewhere.connect().await else {
            self.add_course(&format!("no connection to router {}", router.router));
            return None;
        };
        let reply = elsewhere.execute(stream, query).await;
        // The other router may have been killed or stopped meanwhile: it owes nothing.
        self.taken_by.set(router);
        self.course.borrow_mut().append(&mut elsewhere.course.borrow_mut());
        reply.answer
    }

    fn add_course(&self, event: &str) {
        let millis = (now() - self.request.operation.sent_at).as_micros() / 1_000;
        self.course.borrow_mut().push(format!("{event} at router {}, {millis} ms", self.router.router));
    }

    fn record_received(&self) {
        let ClientRequest { operation, write, .. } = self.request;
        let allowed = self.fleet.processes.borrow().lateness_allowed(self.router.router);
        let deadline = now() + self.timeout() + allowed;
        self.fleet.processes.borrow_mut().request_sent(self.router.router, self.number);
        self.fleet.ledger.borrow_mut().request_received(
            self.number,
            self.router.router,
            operation,
            write,
            deadline,
        );
    }

    /// Sends the query and reads until the router is ready for the next one, or the connection ends.
    async fn execute(&self, mut stream: Async<TcpStream>, query: &[u8]) -> Reply {
        let mut reply = Reply::default();
        if stream.write_all(query).await.is_err() {
            self.add_course("not written");
            return reply;
        }
        self.add_course("written");
        while let Ok(Message { kind, body }) = read_message(&mut stream).await {
            reply.begun = true;
            match kind {
                message_type::READY_FOR_QUERY => {
                    self.keep(stream);
                    reply.answer = reply.answer.or(Some(Answer::Failed));
                    return reply;
                }
                message_type::DATA_ROW => reply.answer = Some(Answer::Answered),
                message_type::ERROR_RESPONSE => reply.answer = Some(error_answer(&body)),
                _ => {}
            }
        }
        self.add_course("closed");
        reply
    }

    fn keep(&self, stream: Async<TcpStream>) {
        if self.fleet.processes.borrow().is_current(self.router) {
            self.pool.borrow_mut().push(IdleConnection { router: self.router, stream });
        }
    }

    /// Records the outcome; a router that was killed or stopped meanwhile owes none.
    fn record(&self, answer: Option<Answer>) {
        let processes = self.fleet.processes.borrow();
        let is_owed = processes.owes(self.router) && processes.owes(self.taken_by.get());
        drop(processes);
        let mut ledger = self.fleet.ledger.borrow_mut();
        if !is_owed {
            ledger.router_lost(self.number);
        } else if answer.is_none() {
            ledger.unanswered(self.number, self.course.borrow().join(", "));
        } else if let Some(answer) = answer {
            ledger.answer_received(self.number, now(), answer);
        }
        self.fleet.processes.borrow_mut().request_ended(self.router.router, self.number);
    }
}

fn error_answer(body: &[u8]) -> Answer {
    let has_code = |code: &&[u8]| body.windows(code.len()).any(|part| part == *code);
    if THROTTLE_CODES.iter().any(has_code) { Answer::Throttled } else { Answer::Failed }
}
