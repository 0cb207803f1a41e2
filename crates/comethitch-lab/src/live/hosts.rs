//! Database hosts on loopback: the simulated hosts behind sockets that speak PostgreSQL's protocol.

use super::network::{
    Listener, Message, Purpose, address, dialling_router, listen, message_type, now, read_message,
};
use super::state::{JobId, LiveFleet, SharedFleet};
use crate::error::PlayError;
use crate::hosts::{Admission, Job, SimulatedHost, StartedJob};
use crate::ledger::Rule;
use crate::links::Destination;
use async_io::Async;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Host, Role, ShardId};
use comethitch_testkit::postgres::{error, message, row};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand_distr::{Distribution, Exp};
use std::io;
use std::net::TcpStream;

/// SQL states of errors.
const TOO_MANY_CONNECTIONS: &str = "53300";
const READ_ONLY_TRANSACTION: &str = "25006";
const PROTOCOL_VIOLATION: &str = "08P01";
/// The query of a health check.
const REPORT_QUERY: &str = "SHOW vitals";
/// The query that proves a connection alive.
const PING_QUERY: &str = "SELECT 1";
/// What marks a statement as a write.
const WRITE_KEYWORD: &str = "INSERT";
/// What precedes a request's number in its statement, and the number's hexadecimal digits.
const NUMBER_KEY: &str = "id=";
/// What precedes the milliseconds that the client has left.
const TOLD_KEY: &str = ",d=";
const NUMBER_DIGITS: usize = 16;
/// The length of a startup message's length field, which counts itself, and the longest message that is read, in bytes.
const LENGTH_FIELD: usize = 4;
const LONGEST_STARTUP: usize = 10_000;
/// The status of a connection outside of any transaction.
const IDLE_STATUS: &[u8] = b"I";
const AUTHENTICATION_OK: &[u8] = &[0; 4];

/// Adds a host, serves it, and returns its index.
pub(super) fn start(fleet: &SharedFleet, shard: ShardId, primary: bool) -> Result<usize, PlayError> {
    let Listener { listener, port } = listen()?;
    let index = fleet.hosts.borrow().len();
    let cores = fleet.trial.cores[index % fleet.trial.cores.len()];
    let host = Host { address: address(0, Purpose::Hosts).octets(), port };
    let simulated = SimulatedHost::new(host, shard, cores, primary, fleet.trial.queue_per_core);
    fleet.hosts.borrow_mut().push(simulated);
    fleet.ports.borrow_mut().push(port);
    let served = fleet.clone();
    fleet.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Some(router) = dialling_router(&stream) else { continue };
            let connection = Connection { fleet: served.clone(), host: index, router, stream };
            served.spawn(connection.run());
        }
    });
    Ok(index)
}

/// A router's connection to a host.
struct Connection {
    fleet: SharedFleet,
    host: usize,
    router: usize,
    stream: Async<TcpStream>,
}

/// A request as its statement carries it.
#[derive(Clone, Copy)]
struct HostRequest {
    number: u64,
    write: bool,
    /// How much time its router says that its client has left.
    told: Option<Duration>,
    received_at: Timestamp,
}

impl Connection {
    async fn run(mut self) {
        let fleet = self.fleet.clone();
        *fleet.open_connections.borrow_mut().entry(self.host).or_default() += 1;
        // An error ends the connection: its router closed it, or a fault was to.
        let _ = self.serve().await;
        *fleet.open_connections.borrow_mut().entry(self.host).or_default() -= 1;
    }

    fn reachable(&self) -> bool {
        self.fleet.hosts.borrow()[self.host].reachable()
    }

    async fn transmit(&self, destination: Destination) -> bool {
        self.fleet.transmit(self.router, self.host, destination).await
    }

    async fn serve(&mut self) -> io::Result<()> {
        let _ = self.stream.get_ref().set_nodelay(true);
        if !self.reachable() {
            return Ok(());
        }
        self.fleet.ledger.borrow_mut().connections += 1;
        if !self.start_session().await? {
            return Ok(());
        }
        while let Message { kind: message_type::QUERY, body } = read_message(&mut self.stream).await? {
            let received_at = now();
            if !self.transmit(Destination::Host).await || !self.reachable() {
                return Ok(());
            }
            let Some(reply) = self.reply(&body, received_at).await else { return Ok(()) };
            if !self.reachable() || !self.transmit(Destination::Router).await {
                return Ok(());
            }
            self.send_reply(reply).await?;
        }
        Ok(())
    }

    /// Reads the startup message and accepts it. `false` if the connection ends instead.
    async fn start_session(&mut self) -> io::Result<bool> {
        let mut length = [0; LENGTH_FIELD];
        self.stream.read_exact(&mut length).await?;
        let body_length =
            (u32::from_be_bytes(length) as usize).clamp(LENGTH_FIELD, LONGEST_STARTUP) - LENGTH_FIELD;
        self.stream.read_exact(&mut vec![0; body_length]).await?;
        if !self.transmit(Destination::Host).await {
            return Ok(false);
        }
        if self.is_full() {
            self.stream.write_all(&error(TOO_MANY_CONNECTIONS)).await?;
            return Ok(false);
        }
        if !self.transmit(Destination::Router).await {
            return Ok(false);
        }
        let authenticated = message(message_type::AUTHENTICATION, AUTHENTICATION_OK);
        let ready = message(message_type::READY_FOR_QUERY, IDLE_STATUS);
        self.stream.write_all(&[authenticated, ready].concat()).await?;
        Ok(true)
    }

    fn is_full(&self) -> bool {
        let slots = self.fleet.trial.slots;
        slots > 0 && self.fleet.open_connections.borrow()[&self.host] > slots
    }

    /// The messages that answer a query. `None` if the connection ends instead.
    async fn reply(&mut self, body: &[u8], received_at: Timestamp) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(body)).into_owned();
        match text.as_str() {
            REPORT_QUERY => {
                self.fleet.ledger.borrow_mut().health_checks += 1;
                Some(load_report(&self.fleet, self.host))
            }
            PING_QUERY => Some(row(b"1")),
            "" => Some(message(message_type::EMPTY_QUERY_RESPONSE, b"")),
            _ => {
                let Some(number) = request_number(&text) else { return Some(error(PROTOCOL_VIOLATION)) };
                let write = text.contains(WRITE_KEYWORD);
                self.execute(HostRequest { number, write, told: told_time(&text), received_at }).await
            }
        }
    }

    /// Sends a reply, the host's role, and that it is ready for the next query.
    async fn send_reply(&mut self, reply: Vec<u8>) -> io::Result<()> {
        let rank = if self.fleet.hosts.borrow()[self.host].primary { "source" } else { "copy" };
        let rank = message(message_type::PARAMETER_STATUS, format!("rank\0{rank}\0").as_bytes());
        let ready = message(message_type::READY_FOR_QUERY, IDLE_STATUS);
        self.stream.write_all(&[reply, rank, ready].concat()).await
    }

    /// Runs a request, or rejects it. `None` if it is not answered any more.
    async fn execute(&mut self, request: HostRequest) -> Option<Vec<u8>> {
        let HostRequest { number, write, received_at, .. } = request;
        self.fleet.ledger.borrow_mut().attempt_sent(number, self.router, self.host, received_at);
        if let Some(told) = request.told {
            self.fleet.ledger.borrow_mut().time_told(number, told, received_at);
        }
        let second = self.fleet.second();
        if !write {
            let cores = self.fleet.hosts.borrow()[self.host].cores;
            self.fleet.ledger.borrow_mut().read_arrived(second, self.host, cores);
        } else if !self.fleet.hosts.borrow()[self.host].primary {
            return Some(error(READ_ONLY_TRANSACTION));
        }
        let work = draw_work(&self.fleet);
        let job = Job { router: self.router, request: self.fleet.next_job(), attempt: 0, work };
        let (waiter, finished) = async_channel::bounded(1);
        match self.admit(job, second) {
            Admission::Runs(duration) => {
                self.await_job(job, waiter);
                self.fleet.run_job(self.host, StartedJob { job, duration });
            }
            Admission::Queued => self.await_job(job, waiter),
            Admission::QueueFull => return Some(error(TOO_MANY_CONNECTIONS)),
            Admission::Unreachable => return None,
        }
        self.fleet.ledger.borrow_mut().attempt_may_run(number);
        // A router cancels an attempt by closing the connection.
        let cancelled = async {
            let _ = self.stream.read(&mut [0]).await;
            false
        };
        if future::or(async { finished.recv().await.is_ok() }, cancelled).await {
            self.check_staleness(request);
            return Some(row(format!("{number:016x}").as_bytes()));
        }
        self.withdraw(job, number);
        None
    }

    fn await_job(&self, job: Job, waiter: async_channel::Sender<()>) {
        let id = JobId { host: self.host, job: job.request };
        self.fleet.job_waiters.borrow_mut().insert(id, waiter);
    }

    /// Passes a job to the host, and records what that does to a warming one.
    fn admit(&self, job: Job, second: u64) -> Admission {
        let host = self.host;
        let mut hosts = self.fleet.hosts.borrow_mut();
        let simulated = &mut hosts[host];
        let crashed_before = simulated.crashed;
        let load_before = simulated.peak_cold_load;
        let admission = simulated.arrive(job, &self.fleet.trial.cold_start(), now());
        let mut ledger = self.fleet.ledger.borrow_mut();
        if !crashed_before && simulated.crashed {
            ledger.record_violation(Rule::SlowStart, format!("host {host} crashed in second {second}"));
        }
        ledger.cold_load_changed(host, load_before, simulated.peak_cold_load);
        admission
    }

    fn check_staleness(&self, request: HostRequest) {
        let HostRequest { number, write, received_at, .. } = request;
        let host = self.host;
        let lag = Duration::from_millis(self.fleet.trial.lag_ms);
        let bound = Duration::from_millis(self.fleet.trial.bound_ms);
        let staleness = self.fleet.hosts.borrow()[host].staleness(lag, received_at);
        if !write && staleness > bound {
            let description = format!("command {number:x} ran at host {host}");
            self.fleet.record_violation(Rule::Staleness, description);
        }
    }

    fn withdraw(&self, job: Job, number: u64) {
        if self.fleet.hosts.borrow_mut()[self.host].withdraw(&job) {
            self.fleet.ledger.borrow_mut().attempt_never_ran(number);
        }
        let id = JobId { host: self.host, job: job.request };
        self.fleet.job_waiters.borrow_mut().remove(&id);
    }
}

fn draw_work(fleet: &LiveFleet) -> Duration {
    let factor = Exp::new(1.0).expect("the rate is above 0").sample(&mut *fleet.rng.borrow_mut());
    Duration::from_micros((factor * fleet.trial.work_ms * 1e3).max(1.0) as u64)
}

/// The reply to a health check: position in seconds, role, and queue.
fn load_report(fleet: &LiveFleet, host: usize) -> Vec<u8> {
    let lag = Duration::from_millis(fleet.trial.lag_ms);
    let interval = Duration::from_millis(fleet.trial.report_ms);
    let report = fleet.hosts.borrow_mut()[host].report(lag, interval, now());
    let position_ms = report.position.unwrap_or(Timestamp::ZERO).as_micros() / 1000;
    let queue = report.queue.unwrap_or_default();
    let primary = u8::from(report.role == Some(Role::Primary));
    let seconds = position_ms / 1000;
    let milliseconds = position_ms % 1000;
    row(format!("x0={seconds}.{milliseconds:03},x1={primary},queue={queue}").as_bytes())
}

/// The time that a statement says its client has left.
fn told_time(text: &str) -> Option<Duration> {
    let (_, rest) = text.split_once(TOLD_KEY)?;
    let digits = rest.split(|letter: char| !letter.is_ascii_digit()).next()?;
    digits.parse().ok().map(Duration::from_millis)
}

/// The number that a statement carries as its id.
fn request_number(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once(NUMBER_KEY)?;
    u64::from_str_radix(rest.get(..NUMBER_DIGITS)?, 16).ok()
}
