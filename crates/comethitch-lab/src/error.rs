//! The errors of running a trial, in simulated time or with real processes.

use crate::trial::TrialError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a trial could not be run to its end.
#[derive(Debug, Error)]
pub enum RunError {
    /// The trial is invalid.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// A fault cannot be injected in simulated time.
    #[error(
        "faults[{index}] can only be injected into real processes; run the trial with comethitch-lab live"
    )]
    FaultNeedsProcesses {
        /// Index in the trial's list of faults.
        index: usize,
    },
    /// A key has no effect in simulated time.
    #[error("{key} only has an effect with real processes; run the trial with comethitch-lab live")]
    KeyNeedsProcesses {
        /// Key of the trial.
        key: &'static str,
    },
    /// The simulation has too many events.
    #[error("the trial has more than {limit} events; reduce its routers, seconds or load")]
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
    #[error("cannot handle SIGINT and SIGTERM: {0}")]
    Signals(#[source] io::Error),
    /// SIGINT or SIGTERM interrupted the trial.
    #[error("the trial was interrupted by a signal")]
    Interrupted,
    /// A router did not answer clients in time after its start.
    #[error("not all routers were ready for clients within {seconds} s")]
    NotReady {
        /// How long the trial waited, in seconds.
        seconds: u64,
    },
    /// A router exited before it was ready.
    #[error("router {router} exited before it was ready: {status}")]
    RouterEnded {
        /// Index of the router.
        router: usize,
        /// Exit status.
        status: std::process::ExitStatus,
    },
    /// The library that injects faults of system calls cannot be compiled.
    #[error("cannot compile the library that injects the faults of system_calls: {0}")]
    SystemCalls(#[source] io::Error),
    /// A host or service discovery cannot listen on a port.
    #[error("cannot listen on a port for a host or service discovery: {0}")]
    Listen(#[source] io::Error),
    /// A port for the routers' clients cannot be reserved.
    #[error("cannot reserve a port for the routers' clients: {0}")]
    ClientPort(#[source] io::Error),
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
