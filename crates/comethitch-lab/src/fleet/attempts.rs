//! Attempts and health checks of a simulated fleet, on their way from a router to a host and back.

use super::events::{AttemptId, Event, HostResult, RouterId};
use super::routers::{Attempt, attempt_end};
use super::{Fleet, START};
use crate::hosts::{Admission, Job, StartedJob};
use crate::ledger::{Answer, Rule};
use crate::trial::Routing;
use comethitch_policy::time::Duration;
use comethitch_policy::{AttemptOutcome, Host, LoadReport, RequestId};
use rand_distr::{Distribution, Exp};

impl Fleet<'_> {
    /// Sends an attempt on a connection of its own, and draws its service time.
    pub(super) fn send_attempt(&mut self, router: usize, id: RequestId, host: Host, timeout: Duration) {
        let host = self.host_index[&host];
        self.acquire_connection(router, host);
        let work = self.draw_work();
        let incarnation = self.routers[router].incarnation;
        let Some(in_flight) = self.routers[router].requests.get_mut(&id) else { return };
        let attempt = in_flight.attempts.len() as u16;
        in_flight.attempts.push(Attempt { host, work, sent_at: self.now, in_flight: true });
        let write = in_flight.request.write;
        self.ledger.attempt_sent(in_flight.number, router, host, self.now);
        let job = Job { router, request: id, attempt, work };
        self.after_network_delay(Event::AttemptReachesHost { host, incarnation, job, write });
        let attempt = AttemptId { router: RouterId { index: router, incarnation }, request: id, attempt };
        self.events.push(self.now + timeout, Event::AttemptTimesOut { attempt });
    }

    fn draw_work(&mut self) -> Duration {
        let factor = Exp::new(1.0).expect("the rate is above 0").sample(&mut self.rng);
        let micros = factor * self.trial.mean_work_ms * 1e3;
        Duration::from_micros(micros.max(1.0) as u64)
    }

    /// Starts an attempt at its host, or rejects it there.
    pub(super) fn attempt_reaches_host(&mut self, host: usize, incarnation: u32, job: Job, write: bool) {
        let router = RouterId { index: job.router, incarnation };
        let attempt = AttemptId { router, request: job.request, attempt: job.attempt };
        if write && !self.hosts[host].primary {
            let result = HostResult::NotPrimary;
            self.after_network_delay(Event::AttemptReturns { attempt, host, result });
            return;
        }
        if !write {
            let second = (self.now - START).as_micros() / 1_000_000;
            self.ledger.read_arrived(second, host, self.hosts[host].cores);
        }
        let rejection = match self.admit(host, job) {
            Admission::Runs(duration) => {
                self.events.push(self.now + duration, Event::JobFinishes { host, job });
                None
            }
            Admission::Queued => None,
            Admission::QueueFull => Some(HostResult::QueueFull),
            Admission::Unreachable => Some(HostResult::ConnectionReset),
        };
        if let Some(result) = rejection {
            self.after_network_delay(Event::AttemptReturns { attempt, host, result });
        } else if let Some(in_flight) = self.routers[job.router].requests.get(&job.request) {
            self.ledger.attempt_may_run(in_flight.number);
        }
    }

    /// Passes a job to a host, and records a crash or the load of a host in slow start.
    fn admit(&mut self, host: usize, job: Job) -> Admission {
        let crashed_before = self.hosts[host].crashed;
        let load_before = self.hosts[host].peak_warmup_load;
        let admission = self.hosts[host].arrive(job, &self.slow_start, self.now);
        if !crashed_before && self.hosts[host].crashed {
            let description = format!("host {host} crashed at {:?}", self.now - START);
            self.ledger.record_violation(Rule::SlowStart, description);
        }
        self.ledger.warmup_load_changed(host, load_before, self.hosts[host].peak_warmup_load);
        admission
    }

    /// Finishes a job: starts the next one, and sends the answer to the current incarnation of the router.
    pub(super) fn job_finishes(&mut self, host: usize, job: Job) {
        let next = self.hosts[host].finish(&job, &self.slow_start, self.now);
        if let Some(StartedJob { job, duration }) = next {
            self.events.push(self.now + duration, Event::JobFinishes { host, job });
        }
        if self.hosts[host].removed {
            return;
        }
        let router = self.current_id(job.router);
        let attempt = AttemptId { router, request: job.request, attempt: job.attempt };
        self.after_network_delay(Event::AttemptReturns { attempt, host, result: HostResult::Answered });
    }

    /// Delivers the result of an attempt to its router, and an answer to the client.
    pub(super) fn attempt_returns(&mut self, id: AttemptId, host: usize, result: HostResult) {
        let router = id.router.index;
        let Some(in_flight) = self.routers[router].requests.get(&id.request) else { return };
        let attempt = in_flight.attempts.get(usize::from(id.attempt)).copied();
        let attempt = attempt.filter(|attempt| attempt.in_flight);
        let answered = result == HostResult::Answered;
        if let Some(attempt) = attempt {
            if answered {
                self.answer(router, id.request, attempt);
            } else if self.trial.routing == Routing::Perfect {
                self.reject(router, id.request, Answer::Throttled);
            }
        }
        let mut end = attempt_end(id.attempt, result.outcome());
        end.request_finished = answered;
        if result != HostResult::ConnectionReset {
            end.trailer.role = Some(self.hosts[host].role());
        }
        self.attempt_ended(router, id.request, end);
    }

    /// Passes the answer of an attempt to the client, unless the request is finished. Records a violation if
    /// a read was answered from data past the staleness bound.
    fn answer(&mut self, router: usize, id: RequestId, attempt: Attempt) {
        let Some(in_flight) = self.routers[router].requests.get_mut(&id) else { return };
        if in_flight.finished {
            return;
        }
        in_flight.finished = true;
        let number = in_flight.number;
        let write = in_flight.request.write;
        self.ledger.answer_received(number, self.now, Answer::Answered);
        let lag = Duration::from_millis(self.trial.replication_lag_ms);
        let staleness = self.hosts[attempt.host].staleness(lag, attempt.sent_at);
        if !write && staleness > Duration::from_millis(self.trial.staleness_bound_ms) {
            let description = format!(
                "request {number}, sent at {:?}, was answered from data {staleness:?} old",
                attempt.sent_at
            );
            self.ledger.record_violation(Rule::Staleness, description);
        }
    }

    /// Reports to the router that an attempt has timed out.
    pub(super) fn attempt_times_out(&mut self, id: AttemptId) {
        let end = attempt_end(id.attempt, AttemptOutcome::TimedOut);
        self.attempt_ended(id.router.index, id.request, end);
    }

    /// Sends back the load report of a host, or a failure if the host is unreachable.
    pub(super) fn health_check_reaches_host(&mut self, router: RouterId, host: usize) {
        let lag = Duration::from_millis(self.trial.replication_lag_ms);
        let interval = Duration::from_millis(self.trial.report_interval_ms);
        let report = self.hosts[host].report(lag, interval, self.now);
        let report = self.hosts[host].is_reachable().then_some(report);
        self.after_network_delay(Event::HealthCheckReturns { router, host, report });
    }

    /// Reports the result of a health check to the router.
    pub(super) fn health_check_returns(&mut self, router: RouterId, host: usize, report: Option<LoadReport>) {
        let host = self.hosts[host].host;
        let outcome =
            if report.is_some() { AttemptOutcome::Answered } else { AttemptOutcome::ConnectionReset };
        let report = report.unwrap_or_default();
        self.call_policy(router.index, |router, out| router.health_checked(host, outcome, report, out));
    }
}
