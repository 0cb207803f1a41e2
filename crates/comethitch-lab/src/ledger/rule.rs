//! The rules that a trial is checked against.

use std::fmt::{self, Display, Formatter};

/// What the ledger checks. Its name begins the text of each violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets one final answer, in time, and no attempt after it.
    OneFinalAnswer,
    /// A write that may have run is neither sent again nor throttled.
    NoDuplicateWrite,
    /// Nothing is sent to a draining host past the grace.
    Drain,
    /// No warming host is overloaded.
    SlowStart,
    /// No read is answered from data past the staleness bound.
    Staleness,
    /// A host is told no more time than the client has left.
    ToldTime,
    /// Nothing begins for a client that has gone.
    ClientGone,
    /// A client that stops within a request gets its error, or is closed, in time.
    StalledClient,
    /// A router's own checks find no broken rule.
    OwnCheck,
    /// Every process starts.
    ProcessStart,
    /// No router process ends by itself.
    ProcessCrash,
}

impl Display for Rule {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::OneFinalAnswer => "lost",
            Rule::NoDuplicateWrite => "twice",
            Rule::Drain => "drains",
            Rule::SlowStart => "cold",
            Rule::Staleness => "stale",
            Rule::ToldTime => "told",
            Rule::ClientGone => "gone",
            Rule::StalledClient => "stalled",
            Rule::OwnCheck => "own check",
            Rule::ProcessStart => "start",
            Rule::ProcessCrash => "crash",
        })
    }
}
