//! Records what happens in a trial, checks it against the rules, and summarizes it.
//!
//! The fleet in simulated time and the fleet of real processes both report to a [`Ledger`]. Request numbers
//! are unique over all routers; routers and hosts are identified by their index. [`Ledger::close`] returns
//! the [`Report`].

mod answers;
mod evenness;
mod operations;
mod report;
mod requests;
mod rule;

use answers::AnswerTotals;
use comethitch_policy::time::{Duration, Timestamp};
use evenness::LoadByHost;
pub use operations::Operation;
use operations::Operations;
pub use report::{Report, Second};
pub use requests::Answer;
use requests::RequestRecord;
use rule::ViolationLog;
pub use rule::{Rule, Violation};
use std::collections::BTreeMap;

/// Maximum load of a host during slow start, as a fraction of the bound on its requests.
const MAX_WARMUP_LOAD: f64 = 1.0;

/// The record of a trial in progress.
#[derive(Debug)]
pub struct Ledger {
    latency_objective: Duration,
    /// Tolerance of all time limits, because the ledger may observe an event later than the router.
    slack: Duration,
    /// How long a router may still send to a host after it was notified that the host is draining.
    drain_grace: Duration,
    /// When a router was first notified that a host is draining, by router and host.
    drain_notifications: BTreeMap<(usize, usize), Timestamp>,
    start: Timestamp,
    requests: BTreeMap<u64, RequestRecord>,
    operations: Operations,
    /// What the clients of unanswered requests observed, by request.
    client_events: BTreeMap<u64, String>,
    violations: ViolationLog,
    peak_warmup_load: f64,
    answers: AnswerTotals,
    loads: LoadByHost,
    /// Health checks so far.
    pub health_checks: u64,
    /// Connections that routers opened so far.
    pub connections: u64,
}

impl Ledger {
    /// Creates an empty ledger of a trial that starts at this time.
    pub fn new(latency_objective: Duration, drain_grace: Duration, start: Timestamp) -> Ledger {
        Ledger {
            latency_objective,
            slack: Duration::ZERO,
            drain_grace,
            drain_notifications: BTreeMap::new(),
            start,
            requests: BTreeMap::new(),
            operations: Operations::default(),
            client_events: BTreeMap::new(),
            violations: ViolationLog::default(),
            peak_warmup_load: 0.0,
            answers: AnswerTotals::default(),
            loads: LoadByHost::default(),
            health_checks: 0,
            connections: 0,
        }
    }

    /// Returns the ledger with this slack. Real processes need one because they are observed from outside.
    pub fn with_slack(self, slack: Duration) -> Ledger {
        Ledger { slack, ..self }
    }

    /// Changes the slack of time limits from now on.
    pub fn set_slack(&mut self, slack: Duration) {
        self.slack = slack;
    }

    /// Sets the start of the trial, from which seconds are counted.
    pub fn set_start(&mut self, start: Timestamp) {
        self.start = start;
    }

    /// Records a violation of a rule.
    pub fn record_violation(&mut self, rule: Rule, description: String) {
        self.violations.record(Violation { rule, description });
    }

    /// Records that a client starts an operation. An operation that no router accepts counts as not answered
    /// in time.
    pub fn operation_started(&mut self, operation: Operation) {
        self.operations.start(operation);
    }

    /// Records that a router receives a request, the first of its operation or a retry.
    pub fn request_received(
        &mut self, request: u64, router: usize, operation: Operation, write: bool, deadline: Timestamp,
    ) {
        self.operations.start(operation);
        let record = RequestRecord::new(request, router, operation, write, deadline);
        self.requests.insert(request, record);
    }

    /// Records that a router was notified that a host is draining. Later notifications change nothing.
    pub fn drain_notified(&mut self, router: usize, host: usize, at: Timestamp) {
        self.drain_notifications.entry((router, host)).or_insert(at);
    }

    /// Records that a router sent an attempt to a host.
    pub fn attempt_sent(&mut self, request: u64, router: usize, host: usize, at: Timestamp) {
        let notified = self.drain_notifications.get(&(router, host));
        if notified.is_some_and(|notified| at > *notified + self.drain_grace + self.slack) {
            let description = format!(
                "request {request} was sent at {at:?} to host {host} after router {router} was notified that it drains"
            );
            self.record_violation(Rule::Drain, description);
        }
        self.check_attempt(request, at);
    }

    fn check_attempt(&mut self, request: u64, at: Timestamp) {
        let Some(record) = self.requests.get(&request) else { return };
        for violation in record.check_attempt(at, self.slack) {
            self.violations.record(violation);
        }
    }

    /// Records the timeout that a router forwarded to a host: the remaining time of the request.
    pub fn timeout_forwarded(&mut self, request: u64, timeout: Duration, at: Timestamp) {
        let Some(record) = self.requests.get(&request) else { return };
        if let Some(violation) = record.check_forwarded_timeout(timeout, at, self.slack) {
            self.violations.record(violation);
        }
    }

    /// Records that an attempt reached a host that will run it.
    pub fn attempt_may_run(&mut self, request: u64) {
        let Some(record) = self.requests.get_mut(&request) else { return };
        if let Some(violation) = record.add_possible_run() {
            self.violations.record(violation);
        }
    }

    /// Records that an attempt was withdrawn before it ran.
    pub fn attempt_never_ran(&mut self, request: u64) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.remove_possible_run();
        }
    }

    /// Records that a client received a final answer.
    pub fn answer_received(&mut self, request: u64, at: Timestamp, answer: Answer) {
        let Some(record) = self.requests.get_mut(&request) else { return };
        let operation = record.operation;
        let violations = record.receive_answer(answer, at, self.slack);
        let latency = at - operation.sent_at;
        self.answers.count(answer, latency);
        if answer == Answer::Answered && latency <= self.latency_objective {
            self.operations.mark_in_time(operation);
        }
        for violation in violations {
            self.violations.record(violation);
        }
    }

    /// Records that a request got no answer, and what its client observed.
    pub fn request_unanswered(&mut self, request: u64, client_events: String) {
        self.client_events.insert(request, client_events);
    }

    /// Records that the client of a request closed its connection.
    pub fn client_disconnected(&mut self, request: u64, at: Timestamp) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.client_disconnected(at);
        }
    }

    /// Records that the router of a request was killed or paused, so that no answer is required any more.
    pub fn router_lost(&mut self, request: u64) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.router_lost();
        }
    }

    /// Records a change of a host's peak load during slow start, as a fraction of the bound on its requests.
    pub fn warmup_load_changed(&mut self, host: usize, before: f64, now: f64) {
        self.peak_warmup_load = self.peak_warmup_load.max(now);
        if before <= MAX_WARMUP_LOAD && now > MAX_WARMUP_LOAD {
            let description = format!("host {host} received {now:.2} times the bound on requests to it");
            self.record_violation(Rule::SlowStart, description);
        }
    }

    /// Records that a host was usable at the start of this second.
    pub fn host_usable(&mut self, second: u64, host: usize) {
        self.loads.add(second, host, 0.0);
    }

    /// Records that a read reached a host with this many cores.
    pub fn read_arrived(&mut self, second: u64, host: usize, cores: u16) {
        self.loads.add(second, host, 1.0 / f64::from(cores));
    }

    /// Ends the trial and summarizes it. `is_usable_throughout` returns whether a host was usable throughout
    /// a second.
    pub fn close(mut self, end: Timestamp, is_usable_throughout: &dyn Fn(u64, usize) -> bool) -> Report {
        self.check_all_answered(end);
        let evenness = self.loads.summary(is_usable_throughout);
        let mut seconds = self.operations.by_second(self.start);
        for (second, spread) in &evenness.by_second {
            let entry = seconds.entry(*second).or_default();
            entry.variation = spread.variation;
            entry.peak_to_mean = spread.peak_to_mean;
        }
        let per_request = |count: u64| count as f64 / self.requests.len().max(1) as f64;
        let per_answer = |count: u64| count as f64 / self.answers.answered.max(1) as f64;
        Report {
            operations: self.operations.count(),
            in_time: self.operations.in_time_fraction(),
            throttled: per_request(self.answers.throttled),
            failed: per_request(self.answers.failed),
            p50_ms: self.answers.latency_quantile_ms(0.5),
            p99_ms: self.answers.latency_quantile_ms(0.99),
            health_checks: per_answer(self.health_checks),
            connections: per_answer(self.connections),
            variation: evenness.mean_variation(),
            peak_to_mean: evenness.mean_peak_to_mean(),
            longest_idle_s: evenness.longest_idle_s,
            violation_count: self.violations.count(),
            peak_warmup_load: self.peak_warmup_load,
            violations: self.violations.into_descriptions(),
            seconds: seconds.into_iter().collect(),
        }
    }

    fn check_all_answered(&mut self, end: Timestamp) {
        let unanswered = self.requests.iter().filter(|(_, record)| record.is_missing_answer(end));
        let unanswered: Vec<u64> = unanswered.map(|(request, _)| *request).collect();
        for request in unanswered {
            let client_events = self.client_events.remove(&request).unwrap_or_default();
            let description = format!("request {request} got no final answer: {client_events}");
            self.record_violation(Rule::OneFinalAnswer, description);
        }
    }
}

#[cfg(test)]
mod tests;
