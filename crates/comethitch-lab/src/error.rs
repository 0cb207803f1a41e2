//! The error of playing trials, in simulated time or with real processes.

use crate::trial::TrialError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a trial could not be played to its end.
#[derive(Debug, Error)]
pub enum PlayError {
    /// The trial itself is unusable.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// A fault that simulated time cannot play.
    #[error("faults[{index}] is played with real processes alone: comethitch-lab live")]
    FaultNeedsProcesses {
        /// Its place in the trial's list of faults.
        index: usize,
    },
    /// A key that simulated time would ignore.
    #[error("{key} has an effect with real processes alone: comethitch-lab live")]
    KeyNeedsProcesses {
        /// The key of the trial.
        key: &'static str,
    },
    /// The simulation would take too long.
    #[error("more than {limit} events: fewer routers, seconds or load")]
    TooManyEvents {
        /// The most events of one trial.
        limit: u64,
    },
    /// More router processes than one machine is asked to run.
    #[error("routers must be at most {limit} with real processes, not {routers}")]
    TooManyProcesses {
        /// The most routers of a trial with real processes.
        limit: u16,
        /// The trial's routers.
        routers: u16,
    },
    /// SIGINT and SIGTERM cannot be waited for.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// SIGINT or SIGTERM ended the trial.
    #[error("interrupted")]
    Interrupted,
    /// Some router did not answer its clients in time.
    #[error("not every router was ready within {seconds} s")]
    NotReady {
        /// How long the trial waited.
        seconds: u64,
    },
    /// A router ended before it was ready.
    #[error("router {router} ended before it was ready: {status}")]
    RouterEnded {
        /// Its number.
        router: usize,
        /// How it ended.
        status: std::process::ExitStatus,
    },
    /// The library of failing system calls can't be made.
    #[error("system_calls: {0}")]
    SystemCalls(#[source] io::Error),
    /// A host or the discovery server got no port.
    #[error("no port to listen on: {0}")]
    Listen(#[source] io::Error),
    /// No port for the routers' clients.
    #[error(transparent)]
    ClientPort(io::Error),
    /// A router's program, file or folder is unusable.
    #[error("{}: {source}", path.display())]
    File {
        /// The program, file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// One seed gives no pairs to estimate an error from.
    #[error("at least two seeds are needed to tell a difference from chance")]
    TooFewSeeds,
}
