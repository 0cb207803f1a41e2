//! The faults and planned changes of a trial, with their start times.

use super::{MAX_DURATION_MS, TrialError, check_range};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Maximum delay of a link, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;

/// What a fault does. Fractions are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Trouble", deny_unknown_fields)]
pub enum FaultKind {
    /// Drains replicas one after the other and replaces each by a newly started one.
    #[serde(rename = "release")]
    ReplaceReplicas {
        /// Fraction of the replicas.
        #[serde(rename = "part")]
        fraction: f64,
        /// Time over which the replacements are spread, in milliseconds.
        over_ms: u64,
    },
    /// Kills routers at once and restarts them later. They keep no state, and start with only the endpoint
    /// list.
    #[serde(rename = "herd")]
    KillRouters {
        /// Fraction of the routers.
        #[serde(rename = "part")]
        fraction: f64,
        /// Time until they are restarted, in milliseconds.
        #[serde(rename = "back_ms")]
        restart_after_ms: u64,
    },
    /// Slows replicas down.
    #[serde(rename = "slow")]
    SlowReplicas {
        /// Fraction of the replicas.
        #[serde(rename = "part")]
        fraction: f64,
        /// Factor by which their requests take longer.
        factor: f64,
    },
    /// Stalls the replication to some replicas of each shard. At the end they catch up at once.
    #[serde(rename = "stall")]
    StallReplication {
        /// Fraction of each shard's replicas.
        #[serde(rename = "part")]
        fraction: f64,
        /// Duration in milliseconds.
        #[serde(rename = "for_ms")]
        duration_ms: u64,
    },
    /// Crashes the primaries of some shards at once; later a replica of each is promoted.
    #[serde(rename = "takeover")]
    Failover {
        /// Fraction of the shards.
        #[serde(rename = "part")]
        fraction: f64,
        /// Time until the promotion, in milliseconds.
        #[serde(rename = "after_ms")]
        promotion_after_ms: u64,
    },
    /// Pauses routers (SIGSTOP) for a while. Real processes only.
    #[serde(rename = "stop")]
    PauseRouters {
        /// Fraction of the routers.
        #[serde(rename = "part")]
        fraction: f64,
        /// Duration in milliseconds.
        #[serde(rename = "for_ms")]
        duration_ms: u64,
    },
    /// Shuts routers down gracefully (SIGTERM), one after the other, and starts each again once it has ended.
    /// They must answer all requests that they have received. Real processes only.
    #[serde(rename = "restart")]
    RestartRouters {
        /// Fraction of the routers.
        #[serde(rename = "part")]
        fraction: f64,
        /// Time over which the shutdowns are spread, in milliseconds.
        over_ms: u64,
    },
    /// Makes routers reload their configuration (SIGHUP). Real processes only.
    #[serde(rename = "reload")]
    ReloadRouters {
        /// Fraction of the routers.
        #[serde(rename = "part")]
        fraction: f64,
    },
    /// Sends routers a series of signals: SIGHUP several times, then SIGTERM, and both several times while
    /// they shut down. Each is started again once it has ended. Real processes only.
    #[serde(rename = "signals")]
    SignalRouters {
        /// Fraction of the routers.
        #[serde(rename = "part")]
        fraction: f64,
        /// Time over which the signals before the shutdown are spread, in milliseconds.
        over_ms: u64,
    },
    /// Disturbs the links between some routers and some hosts. Routers cut off in both directions receive
    /// endpoint updates only afterwards. Real processes only.
    #[serde(rename = "links")]
    DisturbLinks {
        /// Fraction of the routers.
        routers: f64,
        /// Fraction of the hosts.
        hosts: f64,
        /// Direction that is affected.
        #[serde(rename = "way")]
        direction: Direction,
        /// What happens to messages.
        #[serde(rename = "harm")]
        fault: LinkFault,
        /// Duration in milliseconds.
        #[serde(rename = "for_ms")]
        duration_ms: u64,
    },
}

impl FaultKind {
    /// Returns how long the fault lasts, in milliseconds, and 0 if it has no end.
    fn duration_ms(self) -> u64 {
        match self {
            FaultKind::ReplaceReplicas { over_ms: ms, .. }
            | FaultKind::RestartRouters { over_ms: ms, .. }
            | FaultKind::SignalRouters { over_ms: ms, .. }
            | FaultKind::KillRouters { restart_after_ms: ms, .. }
            | FaultKind::Failover { promotion_after_ms: ms, .. }
            | FaultKind::PauseRouters { duration_ms: ms, .. }
            | FaultKind::StallReplication { duration_ms: ms, .. }
            | FaultKind::DisturbLinks { duration_ms: ms, .. } => ms,
            FaultKind::SlowReplicas { .. } | FaultKind::ReloadRouters { .. } => 0,
        }
    }

    /// Returns whether the fault can be injected in simulated time. Other faults need real processes.
    pub(crate) fn is_simulated(self) -> bool {
        match self {
            FaultKind::ReplaceReplicas { .. }
            | FaultKind::KillRouters { .. }
            | FaultKind::SlowReplicas { .. }
            | FaultKind::StallReplication { .. }
            | FaultKind::Failover { .. } => true,
            FaultKind::PauseRouters { .. }
            | FaultKind::RestartRouters { .. }
            | FaultKind::ReloadRouters { .. }
            | FaultKind::SignalRouters { .. }
            | FaultKind::DisturbLinks { .. } => false,
        }
    }

    fn check(self, index: usize) -> Result<(), TrialError> {
        match self {
            FaultKind::ReplaceReplicas { fraction, .. }
            | FaultKind::KillRouters { fraction, .. }
            | FaultKind::SlowReplicas { fraction, .. }
            | FaultKind::StallReplication { fraction, .. }
            | FaultKind::Failover { fraction, .. }
            | FaultKind::PauseRouters { fraction, .. }
            | FaultKind::RestartRouters { fraction, .. }
            | FaultKind::SignalRouters { fraction, .. }
            | FaultKind::ReloadRouters { fraction } => {
                check_range(&format!("faults[{index}].part"), fraction, 0.0, 1.0)
            }
            FaultKind::DisturbLinks { routers, hosts, fault, .. } => {
                check_range(&format!("faults[{index}].routers"), routers, 0.0, 1.0)?;
                check_range(&format!("faults[{index}].hosts"), hosts, 0.0, 1.0)?;
                fault.check(index)
            }
        }
    }
}

/// Direction of a link: from routers to hosts, from hosts to routers, or both.
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
    /// Drops all messages without notice.
    Cut,
    /// Delays each message by this many milliseconds.
    DelayMs(u64),
    /// Resets the connection with this probability, at each message.
    Reset(f64),
}

impl LinkFault {
    fn check(self, index: usize) -> Result<(), TrialError> {
        match self {
            LinkFault::Reset(probability) => {
                check_range(&format!("faults[{index}].harm.reset"), probability, 0.0, 1.0)
            }
            LinkFault::DelayMs(ms) => {
                check_range(&format!("faults[{index}].harm.delay_ms"), ms as f64, 0.0, MAX_DELAY_MS)
            }
            LinkFault::Cut => Ok(()),
        }
    }
}

/// A fault and its start time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in milliseconds after the start of the trial.
    pub at_ms: u64,
    /// What the fault does.
    #[serde(rename = "trouble")]
    pub kind: FaultKind,
}

impl Fault {
    /// Checks the times and values of the fault. `index` is its index in the file's list of faults.
    pub(super) fn check(&self, index: usize) -> Result<(), TrialError> {
        let duration_ms = self.kind.duration_ms();
        check_range(&format!("faults[{index}].at_ms"), self.at_ms as f64, 0.0, MAX_DURATION_MS)?;
        check_range(&format!("faults[{index}]: duration in ms"), duration_ms as f64, 0.0, MAX_DURATION_MS)?;
        self.kind.check(index)
    }
}
