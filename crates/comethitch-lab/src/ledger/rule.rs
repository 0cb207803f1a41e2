//! The rules that a trial is checked against, and their violations.

use std::fmt::{self, Display, Formatter};

/// Maximum number of violations that are described; all are counted.
const MAX_DESCRIBED_VIOLATIONS: usize = 20;

/// A rule that the ledger checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets one final answer before its deadline, and no attempt starts after it.
    OneFinalAnswer,
    /// A write that may have been executed is neither sent again nor throttled.
    NoDuplicateWrite,
    /// No attempt is sent to a draining host after the drain grace.
    Drain,
    /// No host is overloaded during slow start.
    SlowStart,
    /// No read is answered from data past the staleness bound.
    Staleness,
    /// The timeout forwarded to a host is not longer than the time that the client has left.
    ForwardedTimeout,
    /// No attempt starts for a client that has disconnected.
    ClientDisconnected,
    /// A client that sends only a part of a request is disconnected in time, with or without an error.
    IncompleteRequest,
    /// The routers' self-checks find no violation.
    SelfCheck,
    /// Every process starts.
    ProcessStart,
    /// No router process ends by itself, and each exits with success and in time after SIGTERM.
    ProcessCrash,
}

impl Display for Rule {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::OneFinalAnswer => "one final answer",
            Rule::NoDuplicateWrite => "duplicate write",
            Rule::Drain => "drain",
            Rule::SlowStart => "slow start",
            Rule::Staleness => "staleness",
            Rule::ForwardedTimeout => "forwarded timeout",
            Rule::ClientDisconnected => "client disconnected",
            Rule::IncompleteRequest => "incomplete request",
            Rule::SelfCheck => "self-check",
            Rule::ProcessStart => "process start",
            Rule::ProcessCrash => "process crash",
        })
    }
}

/// A violation of a rule. Its text begins with the name of the rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What happened.
    pub description: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.description)
    }
}

/// Counts all violations and keeps the descriptions of the first ones.
#[derive(Debug, Default)]
pub(super) struct ViolationLog {
    descriptions: Vec<String>,
    count: u64,
}

impl ViolationLog {
    /// Records a violation.
    pub(super) fn record(&mut self, violation: Violation) {
        self.count += 1;
        if self.descriptions.len() < MAX_DESCRIBED_VIOLATIONS {
            self.descriptions.push(violation.to_string());
        }
    }

    /// Returns the number of violations.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Returns the descriptions of the first violations.
    pub(super) fn into_descriptions(self) -> Vec<String> {
        self.descriptions
    }
}
