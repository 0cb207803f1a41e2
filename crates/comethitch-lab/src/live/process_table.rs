//! The router processes: spawned, stopped, resumed, killed and ended by process id.

use super::network::{Purpose, address};
use crate::error::PlayError;
use crate::system_calls::SystemCallFaults;
use comethitch_policy::time::Duration;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// The environment variable that names a router's configuration file.
const CONFIGURATION_VARIABLE: &str = "RELAY_CONFIG";

/// The setting of the library of failing calls that says for how long a write is held up.
const HELD_UP_SETTING: &str = "hold_ms=";
/// By the rules an answer that comes up to so long after its time earns nothing, and is not lost.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// What a router logs when its own checks find a broken rule.
const OWN_VIOLATION: &str = "rule broken";

/// A router between two restarts or stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouterIncarnation {
    pub router: usize,
    pub incarnation: u32,
    /// How often it was killed or stopped before.
    pub losses: u32,
}

/// A router process that ended by itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exit {
    pub router: usize,
    pub status: ExitStatus,
}

#[derive(Default)]
struct RouterProcess {
    child: Option<Child>,
    /// It has answered a client.
    ready: bool,
    stopped: bool,
    /// It was told to end.
    ending: bool,
    incarnation: u32,
    losses: u32,
    requests_in_flight: BTreeSet<u64>,
}

impl RouterProcess {
    fn is_serving(&self) -> bool {
        self.ready && !self.stopped && !self.ending
    }

    /// Begins a new incarnation; returns the commands that the last one had in flight.
    fn lose_requests(&mut self) -> BTreeSet<u64> {
        self.incarnation += 1;
        self.losses += 1;
        std::mem::take(&mut self.requests_in_flight)
    }
}

/// All router processes.
pub(super) struct RouterProcesses {
    pub daemon: PathBuf,
    /// Their configuration and logs.
    folder: PathBuf,
    /// Whether the folder is kept at the end.
    folder_is_kept: bool,
    /// Where clients reach each router, at its own address.
    client_port: u16,
    /// Holds that port at an address of its own, so that no host's listener is given it.
    _client_port_holder: TcpListener,
    pub discovery_port: u16,
    /// The library of failing system calls, and its settings, dealt out to the routers in turn.
    system_calls: Option<SystemCallFaults>,
    system_call_settings: Vec<String>,
    processes: Vec<RouterProcess>,
}

impl RouterProcesses {
    /// None is running yet. Files and logs are kept in `logs`, if it is given.
    pub(super) fn new(
        daemon: &Path, routers: usize, logs: Option<&Path>,
    ) -> Result<RouterProcesses, PlayError> {
        let holder = TcpListener::bind("127.0.0.1:0").map_err(PlayError::ClientPort)?;
        let client_port = holder.local_addr().map_err(PlayError::ClientPort)?.port();
        let folder = match logs {
            Some(logs) => logs.to_path_buf(),
            None => temporary_folder(client_port),
        };
        std::fs::create_dir_all(&folder)
            .map_err(|source| PlayError::File { path: folder.clone(), source })?;
        Ok(RouterProcesses {
            daemon: daemon.into(),
            folder,
            folder_is_kept: logs.is_some(),
            client_port,
            _client_port_holder: holder,
            discovery_port: 0,
            system_calls: None,
            system_call_settings: Vec::new(),
            processes: (0..routers).map(|_| RouterProcess::default()).collect(),
        })
    }

    /// Lets system calls of the routers that are started from now on fail by these settings.
    pub(super) fn let_system_calls_fail(&mut self, settings: &[String]) -> Result<(), PlayError> {
        if settings.iter().any(|settings| !settings.is_empty()) {
            let library = SystemCallFaults::compile(&self.folder).map_err(PlayError::SystemCalls)?;
            self.system_calls = Some(library);
            self.system_call_settings = settings.to_vec();
        }
        Ok(())
    }

    /// How late a router's answers may come for what its settings of failing calls do to it. Deadlines allow for writes
    /// that are held up, of which several may come in a row: up to where an answer counts as lost.
    pub(super) fn lateness_allowed(&self, router: usize) -> Duration {
        let count = self.system_call_settings.len().max(1);
        let settings = self.system_call_settings.get(router % count);
        let is_held_up = settings.is_some_and(|settings| settings.contains(HELD_UP_SETTING));
        if is_held_up { LOST_AFTER } else { Duration::ZERO }
    }

    /// Where clients reach a router.
    pub(super) fn client_address(&self, router: usize) -> SocketAddr {
        (address(router, Purpose::Clients), self.client_port).into()
    }

    /// The routers that take commands.
    pub(super) fn serving(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|router| self.processes[*router].is_serving()).collect()
    }

    /// A router's present incarnation.
    pub(super) fn current(&self, router: usize) -> RouterIncarnation {
        let RouterProcess { incarnation, losses, .. } = self.processes[router];
        RouterIncarnation { router, incarnation, losses }
    }

    /// Whether a router has neither been killed nor stopped since.
    pub(super) fn is_current(&self, router: RouterIncarnation) -> bool {
        self.current(router.router) == router
    }

    /// Whether a router owes answers to what it was sent then: it was neither killed nor stopped since.
    pub(super) fn owes(&self, router: RouterIncarnation) -> bool {
        self.processes[router.router].losses == router.losses
    }

    /// Whether a router was told to end and has not ended.
    pub(super) fn is_ending(&self, router: usize) -> bool {
        self.processes[router].ending
    }

    /// Counts a command as in flight at a router.
    pub(super) fn request_sent(&mut self, router: usize, command: u64) {
        self.processes[router].requests_in_flight.insert(command);
    }

    /// A command is no longer in flight.
    pub(super) fn request_ended(&mut self, router: usize, command: u64) {
        self.processes[router].requests_in_flight.remove(&command);
    }

    /// Kills a router; returns the commands that it had in flight.
    pub(super) fn kill(&mut self, router: usize) -> BTreeSet<u64> {
        let process = &mut self.processes[router];
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        process.ready = false;
        process.ending = false;
        process.lose_requests()
    }

    /// Tells a router to end (SIGTERM); it owes what it has taken.
    pub(super) fn terminate(&mut self, router: usize) {
        self.signal(router, Signal::TERM);
        self.processes[router].ending = true;
    }

    /// How a router that was told to end has ended, once it has. Its clients still find out what it owed them.
    pub(super) fn take_end(&mut self, router: usize) -> Option<ExitStatus> {
        let process = &mut self.processes[router];
        let status = process.child.as_mut()?.try_wait().ok()??;
        process.child = None;
        process.ready = false;
        process.ending = false;
        process.incarnation += 1;
        process.requests_in_flight.clear();
        Some(status)
    }

    /// Whether a process of a router runs.
    pub(super) fn is_running(&self, router: usize) -> bool {
        self.processes[router].child.is_some()
    }

    /// Whether a router runs, and was neither stopped nor told to end.
    pub(super) fn is_undisturbed(&self, router: usize) -> bool {
        let process = &self.processes[router];
        process.child.is_some() && process.is_serving()
    }

    /// Tells a router to read its configuration again (SIGHUP).
    pub(super) fn reload(&mut self, router: usize) {
        self.signal(router, Signal::HUP);
    }

    /// What the routers' own checks found, line by line, with the router's number.
    pub(super) fn own_violations(&self) -> Vec<(usize, String)> {
        let mut found = Vec::new();
        for router in 0..self.processes.len() {
            let log = std::fs::read_to_string(self.folder.join(format!("r{router}.log"))).unwrap_or_default();
            let broken = log.lines().filter(|line| line.contains(OWN_VIOLATION));
            found.extend(broken.map(|line| (router, line.to_string())));
        }
        found
    }

    /// Stops a router (SIGSTOP); returns the commands that it has in flight.
    pub(super) fn stop(&mut self, router: usize) -> BTreeSet<u64> {
        self.signal(router, Signal::STOP);
        let process = &mut self.processes[router];
        process.stopped = true;
        process.lose_requests()
    }

    /// Lets a stopped router go on (SIGCONT).
    pub(super) fn resume(&mut self, router: usize) {
        self.signal(router, Signal::CONT);
        self.processes[router].stopped = false;
    }

    fn signal(&self, router: usize, signal: Signal) {
        if let Some(child) = &self.processes[router].child {
            // It may have ended by itself: that is reported elsewhere.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// The routers that ended by themselves since the last call.
    pub(super) fn take_exits(&mut self) -> Vec<Exit> {
        let mut exits = Vec::new();
        let running = self.processes.iter_mut().enumerate().filter(|(_, process)| !process.ending);
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

    /// Ends all: however a trial ends, it leaves no process, and no file that is not to be kept.
    pub(super) fn end_all(&mut self) {
        for router in 0..self.processes.len() {
            self.kill(router);
        }
        if !self.folder_is_kept {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    /// Marks a router as ready for clients, unless it was restarted or stopped since.
    pub(super) fn mark_ready(&mut self, router: RouterIncarnation) {
        self.processes[router.router].ready = self.is_current(router);
    }

    /// Writes a router's configuration, and starts a process with it whose log goes to a file.
    pub(super) fn spawn(&mut self, router: usize, configuration: &Value) -> io::Result<()> {
        let path = self.folder.join(format!("r{router}.json"));
        let log = self.folder.join(format!("r{router}.log"));
        std::fs::write(&path, configuration.to_string())?;
        let log = File::options().create(true).append(true).open(&log)?;
        let level = if self.folder_is_kept { "info" } else { "warn" };
        let mut command = Command::new(&self.daemon);
        command.args(["serve", "--log", level]).env(CONFIGURATION_VARIABLE, &path);
        if let Some(library) = &self.system_calls {
            let settings = &self.system_call_settings[router % self.system_call_settings.len()];
            command.envs(library.environment(settings));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.processes[router].child = Some(command.spawn()?);
        Ok(())
    }
}

fn temporary_folder(client_port: u16) -> PathBuf {
    std::env::temp_dir().join(format!("comethitch-lab-{}-{client_port}", std::process::id()))
}
