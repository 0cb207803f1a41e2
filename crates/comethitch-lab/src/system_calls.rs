//! Faults of system calls in a process under test: interrupted, short, delayed or failing calls, a wrong wall
//! clock and limited processor time.
//!
//! [`SystemCallFaults`] describes the faults of one process. [`FaultLibrary`] injects them: a small library in
//! C, loaded in front of the C library.

mod library;
mod parse;

pub use library::FaultLibrary;
pub use parse::ParseFaultsError;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// A fault of the system calls of a process. `one_in` is the mean number of calls per failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCallFault {
    /// Reads and writes of sockets fail with EINTR.
    InterruptedTransfers {
        /// Calls per failure.
        one_in: u32,
    },
    /// Reads and writes of TCP sockets transfer at most this many bytes.
    ShortTransfers {
        /// Maximum length of a transfer.
        max_bytes: u32,
    },
    /// Calls that create a socket fail with ENFILE, ENOBUFS, EMFILE or ENOMEM.
    FailedSockets {
        /// Calls per failure.
        one_in: u32,
    },
    /// The first calls of the process that create a socket fail with the same errors.
    FailedFirstSockets {
        /// Number of failures.
        count: u32,
    },
    /// Calls that accept a connection fail with ECONNABORTED, ENFILE, ENOBUFS or EMFILE.
    FailedAccepts {
        /// Calls per failure.
        one_in: u32,
    },
    /// Calls that open a connection fail with EADDRNOTAVAIL, ENETUNREACH, ENOBUFS or EINTR.
    FailedConnects {
        /// Calls per failure.
        one_in: u32,
    },
    /// Calls that wait for events fail with EINTR.
    InterruptedWaits {
        /// Calls per failure.
        one_in: u32,
    },
    /// Writes of TCP sockets are delayed.
    DelayedWrites {
        /// Calls per delay.
        one_in: u32,
        /// Length of a delay, in milliseconds.
        delay_ms: u32,
    },
    /// Writes to standard error fail with ENOSPC or EIO.
    FailedLogWrites {
        /// Calls per failure.
        one_in: u32,
    },
    /// The wall clock is wrong by an offset.
    WrongWallClock {
        /// Error of the wall clock, in milliseconds.
        offset_ms: i64,
        /// When it is corrected, in milliseconds since the start of the process. `None` means never.
        corrected_after_ms: Option<u32>,
    },
    /// The wall clock is stepped by an offset and back, alternately.
    SteppedWallClock {
        /// Offset of a step, in milliseconds.
        step_ms: i64,
        /// Time between two steps, in milliseconds.
        interval_ms: u32,
    },
    /// The process has only a fraction of the time of one core.
    LimitedProcessor {
        /// Reciprocal of the fraction.
        one_in: u32,
    },
    /// System calls fail only after this time.
    From {
        /// Milliseconds since the start of the process.
        ms: u32,
    },
    /// System calls fail only before this time.
    Until {
        /// Milliseconds since the start of the process.
        ms: u32,
    },
}

impl Display for SystemCallFault {
    /// Writes the settings of `shim/system_calls.c`.
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            SystemCallFault::InterruptedTransfers { one_in } => write!(f, "interrupt={one_in}"),
            SystemCallFault::ShortTransfers { max_bytes } => write!(f, "short={max_bytes}"),
            SystemCallFault::FailedSockets { one_in } => write!(f, "socket={one_in}"),
            SystemCallFault::FailedFirstSockets { count } => write!(f, "socket_first={count}"),
            SystemCallFault::FailedAccepts { one_in } => write!(f, "accept={one_in}"),
            SystemCallFault::FailedConnects { one_in } => write!(f, "connect={one_in}"),
            SystemCallFault::InterruptedWaits { one_in } => write!(f, "wait={one_in}"),
            SystemCallFault::DelayedWrites { one_in, delay_ms } => {
                write!(f, "hold={one_in},hold_ms={delay_ms}")
            }
            SystemCallFault::FailedLogWrites { one_in } => write!(f, "stderr={one_in}"),
            SystemCallFault::WrongWallClock { offset_ms, corrected_after_ms: None } => {
                write!(f, "wall_ms={offset_ms}")
            }
            SystemCallFault::WrongWallClock { offset_ms, corrected_after_ms: Some(ms) } => {
                write!(f, "wall_ms={offset_ms},mend_ms={ms}")
            }
            SystemCallFault::SteppedWallClock { step_ms, interval_ms } => {
                write!(f, "step_ms={step_ms},step_every_ms={interval_ms}")
            }
            SystemCallFault::LimitedProcessor { one_in } => write!(f, "share={one_in}"),
            SystemCallFault::From { ms } => write!(f, "from_ms={ms}"),
            SystemCallFault::Until { ms } => write!(f, "until_ms={ms}"),
        }
    }
}

/// The faults of the system calls of one process, with the seed of their random draws.
///
/// In text form, as in trial files, they are settings of `shim/system_calls.c`. An empty text means no
/// faults.
///
/// ```
/// use comethitch_lab::system_calls::{SystemCallFault, SystemCallFaults};
/// let faults: SystemCallFaults = "seed=3,interrupt=30".parse().unwrap();
/// assert_eq!(faults.seed, Some(3));
/// assert_eq!(faults.faults, [SystemCallFault::InterruptedTransfers { one_in: 30 }]);
/// assert_eq!(faults.to_string(), "seed=3,interrupt=30");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SystemCallFaults {
    /// Seed of the random draws of failing calls.
    pub seed: Option<u64>,
    /// The faults.
    pub faults: Vec<SystemCallFault>,
}

impl SystemCallFaults {
    /// Returns whether no system call fails.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Returns whether writes are delayed.
    pub fn delays_writes(&self) -> bool {
        self.faults.iter().any(|fault| matches!(fault, SystemCallFault::DelayedWrites { .. }))
    }

    /// Returns whether the process has only a fraction of a core.
    pub fn limits_processor(&self) -> bool {
        self.faults.iter().any(|fault| matches!(fault, SystemCallFault::LimitedProcessor { .. }))
    }
}

impl Display for SystemCallFaults {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let seed = self.seed.map(|seed| format!("seed={seed}"));
        let settings: Vec<String> =
            seed.into_iter().chain(self.faults.iter().map(ToString::to_string)).collect();
        f.write_str(&settings.join(","))
    }
}

impl From<SystemCallFaults> for String {
    fn from(faults: SystemCallFaults) -> String {
        faults.to_string()
    }
}

#[cfg(test)]
mod tests;
