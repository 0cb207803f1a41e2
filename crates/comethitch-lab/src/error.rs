//! The error of playing a trial, in simulated time or with real processes.

use crate::trial::TrialError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a trial could not be played to its end.
#[derive(Debug, Error)]
pub enum PlayError {
    /// The trial is invalid.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// A fault cannot be played in simulated time.
    #[error("faults[{index}] is played with real processes alone: comethitch-lab live")]
    FaultNeedsProcesses {
        /// Index in the trial's list of faults.
        index: usize,
    },
    /// A key has no effect in simulated time.
    #[error("{key} has an effect with real processes alone: comethitch-lab live")]
    KeyNeedsProcesses {
        /// Key of the trial.
        key: &'static str,
    },
    /// The simulation has too many events.
    #[error("more than {limit} events: fewer routers, seconds or load")]
    TooManyEvents {
        /// Maximum number of events of a trial.
        limit: u64,
    },
    /// The trial has too many router processes.
    #[error("routers must be at most {limit} with real processes, not {routers}")]
    TooManyProcesses {
        /// Maximum number of routers with real processes.
        limit: u16,
        /// Number of routers of the trial.
        routers: u16,
    },
    /// Handlers of SIGINT and SIGTERM cannot be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// SIGINT or SIGTERM interrupted the trial.
    #[error("interrupted")]
    Interrupted,
    /// A router did not answer clients in time after its start.
    #[error("not every router was ready within {seconds} s")]
    NotReady {
        /// How long the trial waited, in seconds.
        seconds: u64,
    },
    /// A router exited before it was ready.
    #[error("router {router} ended before it was ready: {status}")]
    RouterEnded {
        /// Index of the router.
        router: usize,
        /// Exit status.
        status: std::process::ExitStatus,
    },
    /// The library that injects faults of system calls cannot be compiled.
    #[error("system_calls: {0}")]
    SystemCalls(#[source] io::Error),
    /// No port is free for a host or service discovery.
    #[error("no port to listen on: {0}")]
    Listen(#[source] io::Error),
    /// No port is free for the routers' clients.
    #[error(transparent)]
    ClientPort(io::Error),
    /// A program, file or folder of a router cannot be used.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the program, file or folder.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// A standard error needs at least two seeds.
    #[error("at least two seeds are needed to tell a difference from chance")]
    TooFewSeeds,
}
