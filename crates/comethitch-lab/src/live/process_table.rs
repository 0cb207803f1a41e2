//! The table of router processes: spawns, signals and kills them, and records which requests each has in
//! flight.

use super::network::{Purpose, address};
use super::self_check;
use crate::error::RunError;
use crate::system_calls::{FaultLibrary, SystemCallFaults};
use comethitch_policy::time::Duration;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Environment variable with the path of a router's configuration file.
const CONFIGURATION_VARIABLE: &str = "RELAY_CONFIG";
/// Maximum delay after the deadline at which an answer counts as late and not as missing, as the rules define
/// it.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// A router process between two restarts or pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouterIncarnation {
    pub router: usize,
    pub incarnation: u32,
    /// Number of times that the router was killed or paused before.
    pub interruptions: u32,
}

/// A router process that exited without being stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exit {
    pub router: usize,
    pub status: ExitStatus,
}

#[derive(Default)]
struct RouterProcess {
    child: Option<Child>,
    /// Whether the process has answered a client.
    ready: bool,
    paused: bool,
    /// Whether the process was sent SIGTERM and has not exited.
    shutting_down: bool,
    incarnation: u32,
    interruptions: u32,
    requests_in_flight: BTreeSet<u64>,
}

impl RouterProcess {
    fn is_serving(&self) -> bool {
        self.ready && !self.paused && !self.shutting_down
    }

    /// Begins a new incarnation after a kill or pause, and returns the requests that the last one had in
    /// flight.
    fn interrupt(&mut self) -> BTreeSet<u64> {
        self.incarnation += 1;
        self.interruptions += 1;
        std::mem::take(&mut self.requests_in_flight)
    }
}

/// All router processes.
pub(super) struct RouterProcesses {
    pub daemon: PathBuf,
    /// Folder of the routers' configuration files and logs.
    folder: PathBuf,
    /// Whether to keep the folder at the end.
    keeps_folder: bool,
    /// Port that every router listens on for clients; the addresses differ.
    client_port: u16,
    /// Reserves the port, so that no host's listener gets it.
    _client_port_reservation: TcpListener,
    pub discovery_port: u16,
    fault_library: Option<FaultLibrary>,
    /// Faults of system calls, assigned to the routers in turn.
    system_call_faults: Vec<SystemCallFaults>,
    processes: Vec<RouterProcess>,
}

impl RouterProcesses {
    /// Creates a table of routers that do not run yet. Keeps files and logs in `logs`, if given.
    pub(super) fn new(
        daemon: &Path, routers: usize, logs: Option<&Path>,
    ) -> Result<RouterProcesses, RunError> {
        let reservation = TcpListener::bind("127.0.0.1:0").map_err(RunError::ClientPort)?;
        let client_port = reservation.local_addr().map_err(RunError::ClientPort)?.port();
        let folder = match logs {
            Some(logs) => logs.to_path_buf(),
            None => temporary_folder(client_port),
        };
        std::fs::create_dir_all(&folder).map_err(|source| RunError::File { path: folder.clone(), source })?;
        Ok(RouterProcesses {
            daemon: daemon.into(),
            folder,
            keeps_folder: logs.is_some(),
            client_port,
            _client_port_reservation: reservation,
            discovery_port: 0,
            fault_library: None,
            system_call_faults: Vec::new(),
            processes: (0..routers).map(|_| RouterProcess::default()).collect(),
        })
    }

    /// Injects faults of system calls into the routers that are started from now on.
    pub(super) fn inject_system_call_faults(&mut self, faults: &[SystemCallFaults]) -> Result<(), RunError> {
        if faults.iter().any(|faults| !faults.is_empty()) {
            let library = FaultLibrary::compile(&self.folder).map_err(RunError::SystemCalls)?;
            self.fault_library = Some(library);
            self.system_call_faults = faults.to_vec();
        }
        Ok(())
    }

    /// Returns how long after the deadline a router may answer. This is above zero for a router whose writes
    /// are delayed, because several delays may add up.
    pub(super) fn answer_delay_tolerance(&self, router: usize) -> Duration {
        if self.delays_writes(router) { MAX_ANSWER_DELAY } else { Duration::ZERO }
    }

    fn delays_writes(&self, router: usize) -> bool {
        let count = self.system_call_faults.len().max(1);
        let faults = self.system_call_faults.get(router % count);
        faults.is_some_and(SystemCallFaults::delays_writes)
    }

    /// Returns the address that a router listens on for clients.
    pub(super) fn client_address(&self, router: usize) -> SocketAddr {
        (address(router, Purpose::Clients), self.client_port).into()
    }

    /// Returns the routers that accept requests.
    pub(super) fn serving(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|router| self.processes[*router].is_serving()).collect()
    }

    /// Returns the current incarnation of a router.
    pub(super) fn current(&self, router: usize) -> RouterIncarnation {
        let RouterProcess { incarnation, interruptions, .. } = self.processes[router];
        RouterIncarnation { router, incarnation, interruptions }
    }

    /// Returns whether this is still the current incarnation: the router was not restarted, killed or paused
    /// since.
    pub(super) fn is_current(&self, router: RouterIncarnation) -> bool {
        self.current(router.router) == router
    }

    /// Returns whether a router must answer the requests that this incarnation received: it was not killed or
    /// paused.
    pub(super) fn must_answer(&self, router: RouterIncarnation) -> bool {
        self.processes[router.router].interruptions == router.interruptions
    }

    /// Returns whether a router was sent SIGTERM and has not exited.
    pub(super) fn is_shutting_down(&self, router: usize) -> bool {
        self.processes[router].shutting_down
    }

    /// Adds a request in flight at a router.
    pub(super) fn request_sent(&mut self, router: usize, request: u64) {
        self.processes[router].requests_in_flight.insert(request);
    }

    /// Removes a request in flight at a router.
    pub(super) fn request_ended(&mut self, router: usize, request: u64) {
        self.processes[router].requests_in_flight.remove(&request);
    }

    /// Kills a router, and returns the requests that it had in flight.
    pub(super) fn kill(&mut self, router: usize) -> BTreeSet<u64> {
        let process = &mut self.processes[router];
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        process.ready = false;
        process.shutting_down = false;
        process.interrupt()
    }

    /// Starts the graceful shutdown of a router (SIGTERM). It must answer the requests that it has received.
    pub(super) fn terminate(&mut self, router: usize) {
        self.signal(router, Signal::TERM);
        self.processes[router].shutting_down = true;
    }

    /// Returns the exit status of a router that was shutting down, or `None` if it has not exited. The router
    /// must have answered all requests that it received.
    pub(super) fn take_shutdown_status(&mut self, router: usize) -> Option<ExitStatus> {
        let process = &mut self.processes[router];
        let status = process.child.as_mut()?.try_wait().ok()??;
        process.child = None;
        process.ready = false;
        process.shutting_down = false;
        process.incarnation += 1;
        process.requests_in_flight.clear();
        Some(status)
    }

    /// Returns whether a process of a router runs.
    pub(super) fn is_running(&self, router: usize) -> bool {
        self.processes[router].child.is_some()
    }

    /// Returns whether the process of a router runs and serves clients, and is neither paused nor shutting
    /// down.
    pub(super) fn is_undisturbed(&self, router: usize) -> bool {
        let process = &self.processes[router];
        process.child.is_some() && process.is_serving()
    }

    /// Makes a router reload its configuration (SIGHUP).
    pub(super) fn reload(&mut self, router: usize) {
        self.signal(router, Signal::HUP);
    }

    /// Returns the log lines of violations that the routers' self-checks found, with the index of the router.
    pub(super) fn self_check_violations(&self) -> Vec<(usize, String)> {
        let mut found = Vec::new();
        for router in 0..self.processes.len() {
            let log = std::fs::read_to_string(self.folder.join(format!("r{router}.log"))).unwrap_or_default();
            let violations = self_check::violations(&log, self.delays_writes(router));
            found.extend(violations.map(|line| (router, line.to_string())));
        }
        found
    }

    /// Pauses a router (SIGSTOP), and returns the requests that it has in flight.
    pub(super) fn pause(&mut self, router: usize) -> BTreeSet<u64> {
        self.signal(router, Signal::STOP);
        let process = &mut self.processes[router];
        process.paused = true;
        process.interrupt()
    }

    /// Resumes a paused router (SIGCONT).
    pub(super) fn resume(&mut self, router: usize) {
        self.signal(router, Signal::CONT);
        self.processes[router].paused = false;
    }

    fn signal(&self, router: usize, signal: Signal) {
        if let Some(child) = &self.processes[router].child {
            // The process may have exited, which `take_exits` reports.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Returns the routers that exited by themselves since the last call.
    pub(super) fn take_exits(&mut self) -> Vec<Exit> {
        let mut exits = Vec::new();
        let running = self.processes.iter_mut().enumerate().filter(|(_, process)| !process.shutting_down);
        for (router, process) in running {
            let status = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = status {
                process.child = None;
                process.ready = false;
                exits.push(Exit { router, status });
            }
        }
        exits
    }

    /// Kills all processes, and removes the folder unless it is to be kept.
    pub(super) fn end_all(&mut self) {
        for router in 0..self.processes.len() {
            self.kill(router);
        }
        if !self.keeps_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    /// Marks a router as ready for clients, unless it was restarted or paused since.
    pub(super) fn mark_ready(&mut self, router: RouterIncarnation) {
        self.processes[router.router].ready = self.is_current(router);
    }

    /// Writes the configuration file of a router, and starts its process, which logs to a file.
    pub(super) fn spawn(&mut self, router: usize, configuration: &Value) -> io::Result<()> {
        let path = self.folder.join(format!("r{router}.json"));
        let log = self.folder.join(format!("r{router}.log"));
        std::fs::write(&path, configuration.to_string())?;
        let log = File::options().create(true).append(true).open(&log)?;
        let level = if self.keeps_folder { "info" } else { "warn" };
        let mut command = Command::new(&self.daemon);
        command.args(["serve", "--log", level]).env(CONFIGURATION_VARIABLE, &path);
        if let Some(library) = &self.fault_library {
            let faults = &self.system_call_faults[router % self.system_call_faults.len()];
            command.envs(library.environment(faults));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.processes[router].child = Some(command.spawn()?);
        Ok(())
    }
}

fn temporary_folder(client_port: u16) -> PathBuf {
    std::env::temp_dir().join(format!("comethitch-lab-{}-{client_port}", std::process::id()))
}
