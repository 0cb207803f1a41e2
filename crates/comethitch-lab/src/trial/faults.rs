//! The faults of a trial: what goes wrong, or is done, and when.

use super::{LONGEST_MS, TrialError, check_range};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The longest delay of a link, in milliseconds.
const LONGEST_DELAY_MS: f64 = 60_000.0;

/// What a fault does. Each `part` is a fraction from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Trouble", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// This part of the replicas is drained and replaced by newly started ones, spread over some milliseconds.
    Release {
        /// The part of the replicas.
        part: f64,
        /// Over how many milliseconds.
        over_ms: u64,
    },
    /// This part of the routers is killed at once and restarts later, knowing only the endpoint list.
    Herd {
        /// The part of the routers.
        part: f64,
        /// After how many milliseconds they restart.
        back_ms: u64,
    },
    /// This part of the replicas becomes slower.
    Slow {
        /// The part of the replicas.
        part: f64,
        /// By what factor their requests take longer.
        factor: f64,
    },
    /// Replication to this part of each group's replicas stalls; afterwards they have caught up at once.
    Stall {
        /// The part of each group's replicas.
        part: f64,
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// The primaries of this part of the groups die at once; later a replica of each is promoted.
    Takeover {
        /// The part of the groups.
        part: f64,
        /// After how many milliseconds a replica is promoted.
        after_ms: u64,
    },
    /// This part of the routers is stopped (SIGSTOP) for a while. Real processes alone.
    Stop {
        /// The part of the routers.
        part: f64,
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// This part of the routers is told to end (SIGTERM), one after the other, and each is started again once it has
    /// ended; it owes all that it has taken. Real processes alone.
    Restart {
        /// The part of the routers.
        part: f64,
        /// Over how many milliseconds they are told.
        over_ms: u64,
    },
    /// This part of the routers reads its configuration again (SIGHUP). Real processes alone.
    Reload {
        /// The part of the routers.
        part: f64,
    },
    /// This part of the routers gets signals in a series: SIGHUP again and again, then SIGTERM and, while it ends, both
    /// again; each is started again once it has ended. Real processes alone.
    Signals {
        /// The part of the routers.
        part: f64,
        /// Over how many milliseconds the signals before the end come.
        over_ms: u64,
    },
    /// A fault of the links between parts of the routers and of the hosts. Routers cut off in both directions hear of
    /// endpoint updates only afterwards. Real processes alone.
    Links {
        /// The part of the routers.
        routers: f64,
        /// The part of the hosts.
        hosts: f64,
        /// Which direction is affected.
        #[serde(rename = "way")]
        direction: Direction,
        /// What happens to messages.
        #[serde(rename = "harm")]
        fault: LinkFault,
        /// For how many milliseconds.
        for_ms: u64,
    },
}

impl FaultKind {
    /// How long the fault lasts, in milliseconds; 0 if it has no end.
    fn duration_ms(self) -> u64 {
        match self {
            FaultKind::Release { over_ms: ms, .. }
            | FaultKind::Restart { over_ms: ms, .. }
            | FaultKind::Signals { over_ms: ms, .. }
            | FaultKind::Herd { back_ms: ms, .. }
            | FaultKind::Takeover { after_ms: ms, .. }
            | FaultKind::Stop { for_ms: ms, .. }
            | FaultKind::Stall { for_ms: ms, .. }
            | FaultKind::Links { for_ms: ms, .. } => ms,
            FaultKind::Slow { .. } | FaultKind::Reload { .. } => 0,
        }
    }

    fn check(self, index: usize) -> Result<(), TrialError> {
        match self {
            FaultKind::Release { part, .. }
            | FaultKind::Herd { part, .. }
            | FaultKind::Slow { part, .. }
            | FaultKind::Stall { part, .. }
            | FaultKind::Takeover { part, .. }
            | FaultKind::Stop { part, .. }
            | FaultKind::Restart { part, .. }
            | FaultKind::Signals { part, .. }
            | FaultKind::Reload { part } => check_range(&format!("faults[{index}].part"), part, 0.0, 1.0),
            FaultKind::Links { routers, hosts, fault, .. } => {
                check_range(&format!("faults[{index}].routers"), routers, 0.0, 1.0)?;
                check_range(&format!("faults[{index}].hosts"), hosts, 0.0, 1.0)?;
                fault.check(index)
            }
        }
    }
}

/// Which direction of a link is affected: from routers to hosts, from hosts to routers, or both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Way", rename_all = "snake_case")]
#[expect(
    missing_docs,
    reason = "with a description of each variant the printed schema would change its form"
)]
pub enum Direction {
    Both,
    ToHosts,
    ToRouters,
}

/// What a faulty link does to messages.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Harm", rename_all = "snake_case")]
pub enum LinkFault {
    /// Nothing passes, and neither end is notified.
    Cut,
    /// Each message arrives later by this many milliseconds.
    DelayMs(u64),
    /// The probability that a message ends in a reset connection.
    Reset(f64),
}

impl LinkFault {
    fn check(self, index: usize) -> Result<(), TrialError> {
        match self {
            LinkFault::Reset(part) => check_range(&format!("faults[{index}].harm.reset"), part, 0.0, 1.0),
            LinkFault::DelayMs(ms) => {
                check_range(&format!("faults[{index}].harm.delay_ms"), ms as f64, 0.0, LONGEST_DELAY_MS)
            }
            LinkFault::Cut => Ok(()),
        }
    }
}

/// A fault at a time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Milliseconds after the start of the trial.
    pub at_ms: u64,
    /// What happens then.
    #[serde(rename = "trouble")]
    pub kind: FaultKind,
}

impl Fault {
    pub(super) fn check(&self, index: usize) -> Result<(), TrialError> {
        let duration_ms = self.kind.duration_ms();
        check_range(&format!("faults[{index}].at_ms"), self.at_ms as f64, 0.0, LONGEST_MS)?;
        check_range(&format!("faults[{index}]: its span in ms"), duration_ms as f64, 0.0, LONGEST_MS)?;
        self.kind.check(index)
    }
}
