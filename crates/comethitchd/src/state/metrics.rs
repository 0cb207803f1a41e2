//! The metrics of a router: counters of events and the times of the event loop's steps, for the log.

use crate::state::log_fields::LogFields;
use crate::state::step_times::StepTimes;
use comethitch_policy::{AttemptOutcome, Host};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Counts events since the last call of [`Counter::take`].
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Returns the count and resets it.
    pub fn take(&self) -> u64 {
        self.0.take()
    }
}

/// Counts events by kind since the last call of [`CounterByKind::take`].
pub struct CounterByKind<K>(RefCell<BTreeMap<K, u64>>);

impl<K> Default for CounterByKind<K> {
    fn default() -> CounterByKind<K> {
        CounterByKind(RefCell::default())
    }
}

impl<K: Ord> CounterByKind<K> {
    /// Adds one to the count of a kind.
    pub fn increment(&self, kind: K) {
        *self.0.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Returns the counts of the kinds that occurred, in the order of kinds, and resets them.
    pub fn take(&self) -> Vec<(K, u64)> {
        self.0.take().into_iter().collect()
    }
}

/// The counters and step times of a router.
#[derive(Default)]
pub struct Metrics {
    /// Time that the event loop's steps took.
    pub steps: StepTimes,
    /// Requests submitted to the policy.
    pub requests_received: Counter,
    /// Requests answered with a value.
    pub answered: Counter,
    /// Requests answered as throttled by the policy or by a client's budget for parsing statements.
    pub throttled: Counter,
    /// Requests throttled at the limit of requests in progress, and connections closed for lack of memory.
    pub throttled_at_limit: Counter,
    /// Requests answered as failed.
    pub failed: Counter,
    /// Clients that disconnected with a request in progress, or cancelled it.
    pub clients_disconnected: Counter,
    /// Statements that are not valid requests, and protocol violations of clients.
    pub invalid_requests: Counter,
    /// Pauses in reading from clients that sent too many messages without a request.
    pub clients_paused: Counter,
    /// Health checks sent.
    pub health_checks: Counter,
    /// Health checks that were not answered.
    pub health_checks_failed: Counter,
    /// Connections opened to hosts.
    pub connections_opened: Counter,
    /// Connections on which a host sent more than the responses that were due.
    pub surplus_responses: Counter,
    /// Failed calls to accept a client connection.
    pub accepts_failed: Counter,
    /// Attempts that have ended, by outcome.
    pub attempts: CounterByKind<AttemptOutcome>,
    /// Attempts that were refused right before the send, with a connection available, by the name of the
    /// reason.
    pub sends_refused: CounterByKind<&'static str>,
    /// Violations of the router's own rules that its checks found, by the name of the rule.
    pub violations: CounterByKind<&'static str>,
    /// Requests that the policy rejected, by the name of its reason.
    pub rejections: CounterByKind<&'static str>,
    /// Attempts and health checks that were neither answered nor cancelled, by host.
    pub host_faults: CounterByKind<(Host, AttemptOutcome)>,
}

impl Metrics {
    /// Returns the nonzero counts since the last call, by name. Step times and faults by host are taken
    /// separately.
    pub fn take_counts(&self) -> LogFields {
        let mut counts = LogFields::default();
        counts.push_nonzero("requests_received", self.requests_received.take());
        counts.push_nonzero("answered", self.answered.take());
        counts.push_nonzero("throttled", self.throttled.take());
        counts.push_nonzero("throttled_at_limit", self.throttled_at_limit.take());
        counts.push_nonzero("failed", self.failed.take());
        counts.push_nonzero("clients_disconnected", self.clients_disconnected.take());
        counts.push_nonzero("invalid_requests", self.invalid_requests.take());
        counts.push_nonzero("clients_paused", self.clients_paused.take());
        counts.push_nonzero("health_checks", self.health_checks.take());
        counts.push_nonzero("health_checks_failed", self.health_checks_failed.take());
        counts.push_nonzero("connections_opened", self.connections_opened.take());
        counts.push_nonzero("surplus_responses", self.surplus_responses.take());
        counts.push_nonzero("accepts_failed", self.accepts_failed.take());
        for (outcome, count) in self.attempts.take() {
            counts.push_nonzero(attempts_name(outcome), count);
        }
        for (reason, count) in self.rejections.take() {
            counts.push_nonzero(format!("rejected_{reason}"), count);
        }
        for (reason, count) in self.sends_refused.take() {
            counts.push_nonzero(format!("sends_refused_{reason}"), count);
        }
        for (rule, count) in self.violations.take() {
            counts.push_nonzero(format!("rule_broken_{rule}"), count);
        }
        counts
    }
}

/// Returns the name under which attempts of an outcome are counted.
fn attempts_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered => "attempts_answered",
        AttemptOutcome::Error => "attempts_error",
        AttemptOutcome::Overloaded => "attempts_overloaded",
        AttemptOutcome::NoConnectionSlot => "attempts_no_connection_slot",
        AttemptOutcome::TimedOut => "attempts_timed_out",
        AttemptOutcome::ConnectionFailed => "attempts_connection_failed",
        AttemptOutcome::ConnectionReset => "attempts_connection_reset",
        AttemptOutcome::Cancelled => "attempts_cancelled",
        AttemptOutcome::NotSent => "attempts_not_sent",
        AttemptOutcome::NotPrimary => "attempts_not_primary",
    }
}
