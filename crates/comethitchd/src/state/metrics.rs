//! Counters of what the router did, for the log.

use crate::state::step_times::StepTimes;
use comethitch_policy::{AttemptOutcome, Host};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// A count since it was last taken.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one more.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count, which starts from zero again.
    pub fn take(&self) -> u64 {
        self.0.take()
    }
}

/// One count for each kind that occurred, by kind.
pub struct CounterByKind<K>(RefCell<BTreeMap<K, u64>>);

impl<K> Default for CounterByKind<K> {
    fn default() -> CounterByKind<K> {
        CounterByKind(RefCell::default())
    }
}

impl<K: Ord> CounterByKind<K> {
    /// Counts one more of a kind.
    pub fn increment(&self, kind: K) {
        *self.0.borrow_mut().entry(kind).or_default() += 1;
    }

    /// The counts, which start from zero again.
    pub fn take(&self) -> Vec<(K, u64)> {
        self.0.take().into_iter().collect()
    }
}

/// The counters and step times of a router.
#[derive(Default)]
pub struct Metrics {
    /// Time that the event loop's steps took.
    pub steps: StepTimes,
    /// Requests handed to the policy.
    pub requests_received: Counter,
    /// Requests answered with a value.
    pub answered: Counter,
    /// Requests throttled, by the policy or by a client's budget for parsing statements.
    pub throttled: Counter,
    /// Requests throttled at the limit of requests in progress, and connections ended for lack of memory.
    pub throttled_at_limit: Counter,
    /// Requests failed.
    pub failed: Counter,
    /// Clients that disconnected with a request in progress, or cancelled it.
    pub clients_disconnected: Counter,
    /// Statements that are no valid request, and connections that broke their protocol.
    pub invalid_requests: Counter,
    /// Health checks sent.
    pub health_checks: Counter,
    /// Health checks that were not answered.
    pub health_checks_failed: Counter,
    /// Connections opened to hosts.
    pub connections_opened: Counter,
    /// Connections of clients that could not be accepted, counted by tries.
    pub accepts_failed: Counter,
    /// Attempts that have ended, by outcome.
    pub attempts: CounterByKind<AttemptOutcome>,
    /// Attempts that were not sent although a connection was there, by the name of the reason.
    pub sends_refused: CounterByKind<&'static str>,
    /// Rules that the router found broken by itself, by name.
    pub violations: CounterByKind<&'static str>,
    /// Requests that the policy rejected, by the name of its reason.
    pub rejections: CounterByKind<&'static str>,
    /// Attempts and health checks that were neither answered nor cancelled, by host.
    pub host_faults: CounterByKind<(Host, AttemptOutcome)>,
}

impl Metrics {
    /// The counts since the last call, by name, without those of zero. Faults by host are taken apart from these.
    pub fn take_counts(&self) -> Vec<(String, u64)> {
        let named = [
            ("requests_received", &self.requests_received),
            ("answered", &self.answered),
            ("throttled", &self.throttled),
            ("throttled_at_limit", &self.throttled_at_limit),
            ("failed", &self.failed),
            ("clients_disconnected", &self.clients_disconnected),
            ("invalid_requests", &self.invalid_requests),
            ("health_checks", &self.health_checks),
            ("health_checks_failed", &self.health_checks_failed),
            ("connections_opened", &self.connections_opened),
            ("accepts_failed", &self.accepts_failed),
        ];
        let counts = named.into_iter().map(|(name, counter)| (name.to_string(), counter.take()));
        let attempts = self.attempts.take().into_iter();
        let attempts = attempts.map(|(outcome, count)| (attempts_name(outcome).to_string(), count));
        let rejections = self.rejections.take().into_iter();
        let rejections = rejections.map(|(reason, count)| (format!("rejected_{reason}"), count));
        let refused = self.sends_refused.take().into_iter();
        let refused = refused.map(|(reason, count)| (format!("sends_refused_{reason}"), count));
        let violations = self.violations.take().into_iter();
        let violations = violations.map(|(rule, count)| (format!("rule_broken_{rule}"), count));
        let rejections = rejections.chain(refused).chain(violations);
        counts.chain(attempts).chain(rejections).filter(|(_, count)| *count > 0).collect()
    }
}

/// The name under which attempts of an outcome are counted.
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
