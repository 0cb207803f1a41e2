//! The ledger: records what happens in a trial, checks it against the rules, and adds it up.
//!
//! Both fleets, in simulated time and of real processes, write to it. Requests have numbers of their own over all
//! routers; routers and hosts are named by their index. [`Ledger::close`] turns it into a [`Report`].

mod evenness;
mod report;
mod rule;

use comethitch_policy::time::{Duration, Timestamp};
use evenness::LoadByHost;
use hdrhistogram::Histogram;
pub use report::{Report, Second};
pub use rule::Rule;
use std::collections::BTreeMap;

/// How many violations are written out; all are counted.
const SHOWN_VIOLATIONS: usize = 20;
/// The longest latency that is distinguished from longer ones, in microseconds.
const LONGEST_LATENCY_MICROS: u64 = 600_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;
/// By how much the time told to a host may exceed what its client has left.
const TOLD_TIME_SLACK: Duration = Duration::from_millis(150);
/// For how long after its client has gone an attempt may still begin.
const CLIENT_GONE_GRACE: Duration = Duration::from_millis(100);
/// The share of its bound from which the load of a warming host breaks the rule.
const COLD_LOAD_LIMIT: f64 = 1.0;

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request was executed.
    Answered,
    /// Rejected; trying again is harmless.
    Throttled,
    /// Failed; it may have had an effect or not.
    Failed,
}

/// What a client wants, over all its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Its number.
    pub id: u64,
    /// When the client first sent it.
    pub sent_at: Timestamp,
}

#[derive(Debug)]
struct OperationRecord {
    sent_at: Timestamp,
    /// Whether one of its requests was answered within the latency objective.
    in_time: bool,
}

#[derive(Debug)]
struct FinalAnswer {
    at: Timestamp,
}

/// A request: a request's first, or a client's retry.
#[derive(Debug)]
struct RequestRecord {
    /// The router that its client sent it to first.
    router: usize,
    operation: Operation,
    write: bool,
    deadline: Timestamp,
    answer: Option<FinalAnswer>,
    /// Attempts that ran, or may have.
    possible_runs: u32,
    /// Its router was killed or stopped while it was in flight: no answer is owed.
    router_lost: bool,
    /// When its client closed its connection: no answer is owed, and nothing may begin soon after.
    client_left: Option<Timestamp>,
}

impl RequestRecord {
    fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    fn is_owed_an_answer(&self, end: Timestamp) -> bool {
        self.answer.is_none() && !self.router_lost && self.client_left.is_none() && self.deadline < end
    }
}

/// The record of a trial that is being played.
#[derive(Debug)]
pub struct Ledger {
    latency_objective: Duration,
    /// By how much what is seen from outside may differ from what the router saw.
    slack: Duration,
    /// How long a router may still send to a host after it was notified that the host drains.
    drain_grace: Duration,
    /// By router and host: when the router was notified that the host drains.
    drain_notifications: BTreeMap<(usize, usize), Timestamp>,
    start: Timestamp,
    requests: BTreeMap<u64, RequestRecord>,
    operations: BTreeMap<u64, OperationRecord>,
    /// What became of requests that got no answer, as their clients saw it.
    courses: BTreeMap<u64, String>,
    violations: Vec<String>,
    violation_count: u64,
    peak_cold_load: f64,
    answered: u64,
    throttled: u64,
    failed: u64,
    latencies: Histogram<u64>,
    loads: LoadByHost,
    /// Health checks so far.
    pub health_checks: u64,
    /// Connections that routers opened so far.
    pub connections: u64,
}

impl Ledger {
    /// An empty ledger of a trial that starts at this time.
    pub fn new(latency_objective: Duration, drain_grace: Duration, start: Timestamp) -> Ledger {
        Ledger {
            latency_objective,
            slack: Duration::ZERO,
            drain_grace,
            drain_notifications: BTreeMap::new(),
            start,
            requests: BTreeMap::new(),
            operations: BTreeMap::new(),
            courses: BTreeMap::new(),
            violations: Vec::new(),
            violation_count: 0,
            peak_cold_load: 0.0,
            answered: 0,
            throttled: 0,
            failed: 0,
            latencies: Histogram::new_with_bounds(1, LONGEST_LATENCY_MICROS, LATENCY_DIGITS)
                .expect("bounds and digits are allowed"),
            loads: LoadByHost::default(),
            health_checks: 0,
            connections: 0,
        }
    }

    /// The same for real processes, which are seen from outside and later than they act.
    pub fn with_slack(self, slack: Duration) -> Ledger {
        Ledger { slack, ..self }
    }

    /// Sets by how much what is seen from outside may differ from what the router saw, from now on.
    pub fn set_slack(&mut self, slack: Duration) {
        self.slack = slack;
    }

    /// A request got no answer: what its client saw.
    pub fn unanswered(&mut self, request: u64, course: String) {
        self.courses.insert(request, course);
    }

    /// A request's client closed its connection.
    pub fn client_left(&mut self, request: u64, at: Timestamp) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.client_left = Some(at);
        }
    }

    /// A host was told how much time a request's client has left.
    pub fn time_told(&mut self, request: u64, told: Duration, at: Timestamp) {
        let Some(record) = self.requests.get(&request) else { return };
        let left = record.deadline - at;
        if told > left + TOLD_TIME_SLACK + self.slack {
            let description = format!("command {request} had {left:?} left, and its host was told {told:?}");
            self.record_violation(Rule::ToldTime, description);
        }
    }

    /// Sets the start of the trial, which seconds are counted from.
    pub fn set_start(&mut self, start: Timestamp) {
        self.start = start;
    }

    /// Records a violation of a rule.
    pub fn record_violation(&mut self, rule: Rule, description: String) {
        self.violation_count += 1;
        if self.violations.len() < SHOWN_VIOLATIONS {
            self.violations.push(format!("{rule}: {description}"));
        }
    }

    /// The peak load of a warming host, over what counts as chance, was `before` and is `now`.
    pub fn cold_load_changed(&mut self, host: usize, before: f64, now: f64) {
        self.peak_cold_load = self.peak_cold_load.max(now);
        if before <= COLD_LOAD_LIMIT && now > COLD_LOAD_LIMIT {
            let description = format!("host {host} got {now:.2} times what counts as chance");
            self.record_violation(Rule::SlowStart, description);
        }
    }

    /// A client sends a request, whether or not a router accepts it: one that no router accepts is not answered in
    /// time.
    pub fn operation_started(&mut self, operation: Operation) {
        let record = OperationRecord { sent_at: operation.sent_at, in_time: false };
        self.operations.entry(operation.id).or_insert(record);
    }

    /// A router receives a request, of a request that is new or retried.
    pub fn request_received(
        &mut self, request: u64, router: usize, operation: Operation, write: bool, deadline: Timestamp,
    ) {
        self.operation_started(operation);
        let record = RequestRecord {
            router,
            operation,
            write,
            deadline,
            answer: None,
            possible_runs: 0,
            router_lost: false,
            client_left: None,
        };
        self.requests.insert(request, record);
    }

    /// A router was notified that a host drains; later notifications change nothing.
    pub fn drain_notified(&mut self, router: usize, host: usize, at: Timestamp) {
        self.drain_notifications.entry((router, host)).or_insert(at);
    }

    /// A router sent an attempt to a host.
    pub fn attempt_sent(&mut self, request: u64, router: usize, host: usize, at: Timestamp) {
        let notified = self.drain_notifications.get(&(router, host));
        if notified.is_some_and(|notified| at > *notified + self.drain_grace + self.slack) {
            let description = format!(
                "command {request} was sent at {at:?} to host {host}, which router {router} knew drains"
            );
            self.record_violation(Rule::Drain, description);
        }
        self.check_attempt_allowed(request, at);
    }

    fn check_attempt_allowed(&mut self, request: u64, at: Timestamp) {
        let Some(record) = self.requests.get(&request) else { return };
        let exact = self.slack == Duration::ZERO;
        let after_answer = record.answer.as_ref().is_some_and(|answer| exact || at > answer.at + self.slack);
        let duplicate_write = record.write && record.may_have_run();
        let gone_at = record.client_left.filter(|left| at > *left + CLIENT_GONE_GRACE + self.slack);
        if let Some(left) = gone_at {
            let description =
                format!("command {request} was sent at {at:?}, its client had left at {left:?}");
            self.record_violation(Rule::ClientGone, description);
        }
        if after_answer {
            let description = format!("command {request} was sent at {at:?}, after its final answer");
            self.record_violation(Rule::OneFinalAnswer, description);
        }
        if duplicate_write {
            let description = format!("write {request} was sent again at {at:?}, though it may have run");
            self.record_violation(Rule::NoDuplicateWrite, description);
        }
    }

    /// An attempt reached a host that will run it.
    pub fn attempt_may_run(&mut self, request: u64) {
        let Some(record) = self.requests.get_mut(&request) else { return };
        record.possible_runs += 1;
        if record.write && record.possible_runs > 1 {
            self.record_violation(Rule::NoDuplicateWrite, format!("write {request} ran twice"));
        }
    }

    /// An attempt was withdrawn before it ran.
    pub fn attempt_never_ran(&mut self, request: u64) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.possible_runs = record.possible_runs.saturating_sub(1);
        }
    }

    /// A client received a final answer.
    pub fn answer_received(&mut self, request: u64, at: Timestamp, answer: Answer) {
        let Some(record) = self.requests.get_mut(&request) else { return };
        let RequestRecord { deadline, operation, router, .. } = *record;
        let is_second = record.answer.replace(FinalAnswer { at }).is_some();
        let is_late = at > deadline + self.slack;
        let throttled_after_run = answer == Answer::Throttled && record.write && record.may_have_run();
        self.count_answer(operation, at, answer);
        if is_second {
            let description = format!("command {request} has two final answers, the second at {at:?}");
            self.record_violation(Rule::OneFinalAnswer, description);
        }
        if is_late {
            let late = at - deadline;
            let description = format!(
                "command {request} was {answer:?} by router {router} at {at:?}, {late:?} late: its time was {deadline:?}"
            );
            self.record_violation(Rule::OneFinalAnswer, description);
        }
        if throttled_after_run {
            let description = format!("write {request} was throttled, though it may have run");
            self.record_violation(Rule::NoDuplicateWrite, description);
        }
    }

    fn count_answer(&mut self, operation: Operation, at: Timestamp, answer: Answer) {
        match answer {
            Answer::Answered => self.count_latency(operation, at - operation.sent_at),
            Answer::Throttled => self.throttled += 1,
            Answer::Failed => self.failed += 1,
        }
    }

    fn count_latency(&mut self, operation: Operation, latency: Duration) {
        self.answered += 1;
        self.latencies.saturating_record(latency.as_micros());
        if latency <= self.latency_objective {
            let record = OperationRecord { sent_at: operation.sent_at, in_time: true };
            self.operations.insert(operation.id, record);
        }
    }

    /// The router of this request was killed or stopped.
    pub fn router_lost(&mut self, request: u64) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.router_lost = true;
        }
    }

    /// A host was usable at the start of this second.
    pub fn host_usable(&mut self, second: u64, host: usize) {
        self.loads.add(second, host, 0.0);
    }

    /// A read reached a host with this many cores.
    pub fn read_arrived(&mut self, second: u64, host: usize, cores: u16) {
        self.loads.add(second, host, 1.0 / f64::from(cores));
    }

    /// Ends the trial and adds it up; `usable` returns whether a host was usable throughout a second.
    pub fn close(mut self, end: Timestamp, usable: &dyn Fn(u64, usize) -> bool) -> Report {
        self.check_all_answered(end);
        let evenness = self.loads.summary(usable);
        let mut seconds = self.requests_by_second();
        for (second, spread) in &evenness.by_second {
            let entry = seconds.entry(*second).or_default();
            entry.variation = spread.variation;
            entry.greatest = spread.greatest;
        }
        let operations = self.operations.len() as u64;
        let in_time = self.operations.values().filter(|operation| operation.in_time).count();
        let of_commands = |count: u64| count as f64 / self.requests.len().max(1) as f64;
        let per_answer = |count: u64| count as f64 / self.answered.max(1) as f64;
        let latency_ms = |quantile: f64| self.latencies.value_at_quantile(quantile) as f64 / 1e3;
        Report {
            asked: operations,
            in_time: in_time as f64 / operations.max(1) as f64,
            throttled: of_commands(self.throttled),
            failed: of_commands(self.failed),
            p50_ms: latency_ms(0.5),
            p99_ms: latency_ms(0.99),
            probes: per_answer(self.health_checks),
            connections: per_answer(self.connections),
            variation: evenness.mean_variation(),
            greatest: evenness.mean_greatest(),
            idle: evenness.longest_idle,
            breaks: self.violation_count,
            cold_most: self.peak_cold_load,
            broken: self.violations,
            seconds: seconds.into_iter().collect(),
        }
    }

    fn check_all_answered(&mut self, end: Timestamp) {
        let unanswered = self.requests.iter().filter(|(_, record)| record.is_owed_an_answer(end));
        let unanswered: Vec<u64> = unanswered.map(|(request, _)| *request).collect();
        for request in unanswered {
            let course = self.courses.remove(&request).unwrap_or_default();
            let description = format!("command {request} got no final answer: {course}");
            self.record_violation(Rule::OneFinalAnswer, description);
        }
    }

    fn requests_by_second(&self) -> BTreeMap<u64, Second> {
        let mut seconds: BTreeMap<u64, Second> = BTreeMap::new();
        for operation in self.operations.values() {
            let second = (operation.sent_at - self.start).as_micros() / 1_000_000;
            let entry = seconds.entry(second).or_default();
            entry.asked += 1;
            entry.in_time += u64::from(operation.in_time);
        }
        seconds
    }
}

#[cfg(test)]
mod tests;
