//! Database hosts on loopback, which serve the simulated hosts over the PostgreSQL protocol.

use super::network::{
    Listener, Message, Purpose, address, connecting_router, listen, message_type, now, read_message,
};
use super::state::{JobId, LiveFleet, SharedFleet};
use crate::error::RunError;
use crate::hosts::{Admission, Job, SimulatedHost, StartedJob};
use crate::ledger::Rule;
use crate::links::Destination;
use async_io::Async;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Host, Role, ShardId};
use comethitch_testkit::postgres::{
    TransactionStatus, answer_without_effect, error, message, one_row_answer, parameter_status,
    ready_for_query,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand_distr::{Distribution, Exp};
use std::io;
use std::net::TcpStream;

/// SQLSTATE of a host that has a full queue or too many connections.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE of a replica that receives a write.
const READ_ONLY_TRANSACTION: &str = "25006";
/// SQLSTATE of a host that receives a statement without a request number.
const PROTOCOL_VIOLATION: &str = "08P01";
/// Query of a health check.
const HEALTH_CHECK_QUERY: &str = "SHOW vitals";
/// Query that checks whether a connection is alive.
const PING_QUERY: &str = "SELECT 1";
/// Keyword of statements that write.
const WRITE_KEYWORD: &str = "INSERT";
/// Key of the request number in the comment of a statement.
const NUMBER_KEY: &str = "id=";
/// Key of the forwarded timeout, in milliseconds, in the comment of a statement.
const TIMEOUT_KEY: &str = ",d=";
/// Number of hexadecimal digits of a request number.
const NUMBER_DIGITS: usize = 16;
/// Length of the length field of a startup message, which counts itself.
const LENGTH_FIELD_BYTES: usize = 4;
/// Maximum length of a startup message.
const MAX_STARTUP_BYTES: usize = 10_000;
const AUTHENTICATION_OK: &[u8] = &[0; 4];

/// Adds a host, serves it, and returns its index.
pub(super) fn start(fleet: &SharedFleet, shard: ShardId, primary: bool) -> Result<usize, RunError> {
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
            let Some(router) = connecting_router(&stream) else { continue };
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

/// A request, parsed from its statement.
#[derive(Clone, Copy)]
struct HostRequest {
    number: u64,
    write: bool,
    /// Remaining time of the client that the router forwarded, if any.
    forwarded_timeout: Option<Duration>,
    received_at: Timestamp,
}

impl Connection {
    async fn run(mut self) {
        let fleet = self.fleet.clone();
        *fleet.open_connections.borrow_mut().entry(self.host).or_default() += 1;
        // An error means that the router or a fault has closed the connection.
        let _ = self.serve().await;
        *fleet.open_connections.borrow_mut().entry(self.host).or_default() -= 1;
    }

    fn is_reachable(&self) -> bool {
        self.fleet.hosts.borrow()[self.host].is_reachable()
    }

    async fn transmit(&self, destination: Destination) -> bool {
        self.fleet.transmit(self.router, self.host, destination).await
    }

    async fn serve(&mut self) -> io::Result<()> {
        let _ = self.stream.get_ref().set_nodelay(true);
        if !self.is_reachable() {
            return Ok(());
        }
        self.fleet.ledger.borrow_mut().connections += 1;
        if !self.start_session().await? {
            return Ok(());
        }
        while let Message { kind: message_type::QUERY, body } = read_message(&mut self.stream).await? {
            let received_at = now();
            if !self.transmit(Destination::Host).await || !self.is_reachable() {
                return Ok(());
            }
            let Some(reply) = self.reply(&body, received_at).await else { return Ok(()) };
            if !self.is_reachable() || !self.transmit(Destination::Router).await {
                return Ok(());
            }
            self.send_reply(reply).await?;
        }
        Ok(())
    }

    /// Reads the startup message and accepts the connection. Returns `false` if it closes the connection
    /// instead.
    async fn start_session(&mut self) -> io::Result<bool> {
        let mut length = [0; LENGTH_FIELD_BYTES];
        self.stream.read_exact(&mut length).await?;
        let body_length = (u32::from_be_bytes(length) as usize).clamp(LENGTH_FIELD_BYTES, MAX_STARTUP_BYTES)
            - LENGTH_FIELD_BYTES;
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
        let ready = ready_for_query(TransactionStatus::Idle);
        self.stream.write_all(&[authenticated, ready].concat()).await?;
        Ok(true)
    }

    fn is_full(&self) -> bool {
        let limit = self.fleet.trial.max_connections_per_host;
        limit > 0 && self.fleet.open_connections.borrow()[&self.host] > limit
    }

    /// Returns the answer to a query, or `None` if the connection is to be closed.
    async fn reply(&mut self, body: &[u8], received_at: Timestamp) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(body)).into_owned();
        if let Some(answer) = answer_without_effect(&text) {
            return Some(answer);
        }
        match text.as_str() {
            HEALTH_CHECK_QUERY => {
                self.fleet.ledger.borrow_mut().health_checks += 1;
                Some(load_report(&self.fleet, self.host))
            }
            PING_QUERY => Some(one_row_answer(b"1")),
            _ => {
                let Some(number) = request_number(&text) else { return Some(error(PROTOCOL_VIOLATION)) };
                let write = text.contains(WRITE_KEYWORD);
                let forwarded_timeout = forwarded_timeout(&text);
                self.execute(HostRequest { number, write, forwarded_timeout, received_at }).await
            }
        }
    }

    /// Sends a reply, the role of the host, and `ReadyForQuery`.
    async fn send_reply(&mut self, reply: Vec<u8>) -> io::Result<()> {
        let rank = if self.fleet.hosts.borrow()[self.host].primary { "source" } else { "copy" };
        let rank = parameter_status("rank", rank);
        let ready = ready_for_query(TransactionStatus::Idle);
        self.stream.write_all(&[reply, rank, ready].concat()).await
    }

    /// Runs or rejects a request. Returns `None` if it is cancelled or the host is unreachable.
    async fn execute(&mut self, request: HostRequest) -> Option<Vec<u8>> {
        let HostRequest { number, write, received_at, .. } = request;
        self.fleet.ledger.borrow_mut().attempt_sent(number, self.router, self.host, received_at);
        if let Some(timeout) = request.forwarded_timeout {
            self.fleet.ledger.borrow_mut().timeout_forwarded(number, timeout, received_at);
        }
        let second = self.fleet.current_second();
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
        // Routers cancel an attempt by closing the connection.
        let cancelled = async {
            let _ = self.stream.read(&mut [0]).await;
            false
        };
        if future::or(async { finished.recv().await.is_ok() }, cancelled).await {
            self.check_staleness(request);
            return Some(one_row_answer(format!("{number:016x}").as_bytes()));
        }
        self.withdraw(job, number);
        None
    }

    fn await_job(&self, job: Job, waiter: async_channel::Sender<()>) {
        let id = JobId { host: self.host, job: job.request };
        self.fleet.job_waiters.borrow_mut().insert(id, waiter);
    }

    /// Passes a job to the host, and records a crash or the load of a host in slow start.
    fn admit(&self, job: Job, second: u64) -> Admission {
        let host = self.host;
        let mut hosts = self.fleet.hosts.borrow_mut();
        let simulated = &mut hosts[host];
        let crashed_before = simulated.crashed;
        let load_before = simulated.peak_warmup_load;
        let admission = simulated.arrive(job, &self.fleet.trial.slow_start(), now());
        let mut ledger = self.fleet.ledger.borrow_mut();
        if !crashed_before && simulated.crashed {
            ledger.record_violation(Rule::SlowStart, format!("host {host} crashed in second {second}"));
        }
        ledger.warmup_load_changed(host, load_before, simulated.peak_warmup_load);
        admission
    }

    fn check_staleness(&self, request: HostRequest) {
        let HostRequest { number, write, received_at, .. } = request;
        let host = self.host;
        let lag = Duration::from_millis(self.fleet.trial.replication_lag_ms);
        let bound = Duration::from_millis(self.fleet.trial.staleness_bound_ms);
        let staleness = self.fleet.hosts.borrow()[host].staleness(lag, received_at);
        if !write && staleness > bound {
            let description =
                format!("request {number} was answered by host {host} from data {staleness:?} old");
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
    Duration::from_micros((factor * fleet.trial.mean_work_ms * 1e3).max(1.0) as u64)
}

/// Returns the answer to a health check: replication position in seconds, role, and queue length.
fn load_report(fleet: &LiveFleet, host: usize) -> Vec<u8> {
    let lag = Duration::from_millis(fleet.trial.replication_lag_ms);
    let interval = Duration::from_millis(fleet.trial.report_interval_ms);
    let report = fleet.hosts.borrow_mut()[host].report(lag, interval, now());
    let position_ms = report.position.unwrap_or(Timestamp::ZERO).as_micros() / 1000;
    let queue_length = report.queue_length.unwrap_or_default();
    let primary = u8::from(report.role == Some(Role::Primary));
    let seconds = position_ms / 1000;
    let milliseconds = position_ms % 1000;
    one_row_answer(format!("x0={seconds}.{milliseconds:03},x1={primary},queue={queue_length}").as_bytes())
}

/// Returns the remaining time of the client from the comment of a statement.
fn forwarded_timeout(text: &str) -> Option<Duration> {
    let (_, rest) = text.split_once(TIMEOUT_KEY)?;
    let digits = rest.split(|character: char| !character.is_ascii_digit()).next()?;
    digits.parse().ok().map(Duration::from_millis)
}

/// Returns the request number from the comment of a statement.
fn request_number(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once(NUMBER_KEY)?;
    u64::from_str_radix(rest.get(..NUMBER_DIGITS)?, 16).ok()
}
