//! The router processes: their configuration, and starting, stopping, killing and ending them by process id.

use super::discovery;
use super::network::{Purpose, address, message_type, read_message, sleep};
use super::state::{LiveFleet, SharedFleet};
use crate::error::PlayError;
use crate::trial::Trial;
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_testkit::postgres::message;
use futures_lite::AsyncWriteExt;
use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// The configuration that each router's is derived from.
const SAMPLE: &str = include_str!("../../../../deploy/configuration.json");
/// The environment variable that names a router's configuration file.
const CONFIGURATION_VARIABLE: &str = "RELAY_CONFIG";
/// How often a router that starts is polled until it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// PostgreSQL's protocol version 3.0.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// The parameters of a startup message.
const STARTUP_PARAMETERS: &[u8] = b"user\0portal\0database\0crm\0\0";

/// A router between two restarts or stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouterIncarnation {
    pub router: usize,
    pub incarnation: u32,
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
    incarnation: u32,
    commands_in_flight: BTreeSet<u64>,
}

impl RouterProcess {
    fn is_serving(&self) -> bool {
        self.ready && !self.stopped
    }

    /// Begins a new incarnation; returns the commands that the last one had in flight.
    fn lose_commands(&mut self) -> BTreeSet<u64> {
        self.incarnation += 1;
        std::mem::take(&mut self.commands_in_flight)
    }
}

/// All router processes.
pub(super) struct RouterProcesses {
    daemon: PathBuf,
    /// Their configuration and logs.
    folder: PathBuf,
    /// Whether the folder is kept at the end.
    folder_is_kept: bool,
    /// Where clients reach each router, at its own address.
    client_port: u16,
    pub discovery_port: u16,
    processes: Vec<RouterProcess>,
}

impl RouterProcesses {
    /// None is running yet. Files and logs are kept in `logs`, if it is given.
    pub fn new(daemon: &Path, routers: usize, logs: Option<&Path>) -> Result<RouterProcesses, PlayError> {
        let client_port = free_port().map_err(PlayError::ClientPort)?;
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
            discovery_port: 0,
            processes: (0..routers).map(|_| RouterProcess::default()).collect(),
        })
    }

    /// Where clients reach a router.
    pub fn client_address(&self, router: usize) -> SocketAddr {
        (address(router, Purpose::Clients), self.client_port).into()
    }

    /// The routers that take commands.
    pub fn serving(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|router| self.processes[*router].is_serving()).collect()
    }

    /// A router's present incarnation.
    pub fn current(&self, router: usize) -> RouterIncarnation {
        RouterIncarnation { router, incarnation: self.processes[router].incarnation }
    }

    /// Whether a router has neither been killed nor stopped since.
    pub fn is_current(&self, router: RouterIncarnation) -> bool {
        self.current(router.router) == router
    }

    /// Counts a command as in flight at a router.
    pub fn command_sent(&mut self, router: usize, command: u64) {
        self.processes[router].commands_in_flight.insert(command);
    }

    /// A command is no longer in flight.
    pub fn command_ended(&mut self, router: usize, command: u64) {
        self.processes[router].commands_in_flight.remove(&command);
    }

    /// Kills a router; returns the commands that it had in flight.
    pub fn kill(&mut self, router: usize) -> BTreeSet<u64> {
        let process = &mut self.processes[router];
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        process.ready = false;
        process.lose_commands()
    }

    /// Stops a router (SIGSTOP); returns the commands that it has in flight.
    pub fn stop(&mut self, router: usize) -> BTreeSet<u64> {
        self.signal(router, Signal::STOP);
        let process = &mut self.processes[router];
        process.stopped = true;
        process.lose_commands()
    }

    /// Lets a stopped router go on (SIGCONT).
    pub fn resume(&mut self, router: usize) {
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
    pub fn take_exits(&mut self) -> Vec<Exit> {
        let mut exits = Vec::new();
        for (router, process) in self.processes.iter_mut().enumerate() {
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
    pub fn end_all(&mut self) {
        for router in 0..self.processes.len() {
            self.kill(router);
        }
        if !self.folder_is_kept {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    /// Writes a router's configuration, and starts a process with it whose log goes to a file.
    fn spawn(&mut self, router: usize, configuration: &Value) -> io::Result<()> {
        let path = self.folder.join(format!("r{router}.json"));
        let log = self.folder.join(format!("r{router}.log"));
        std::fs::write(&path, configuration.to_string())?;
        let log = File::options().create(true).append(true).open(&log)?;
        let level = if self.folder_is_kept { "info" } else { "warn" };
        let mut command = Command::new(&self.daemon);
        command.args(["serve", "--log", level]).env(CONFIGURATION_VARIABLE, &path);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.processes[router].child = Some(command.spawn()?);
        Ok(())
    }
}

/// A port that is free at this moment.
fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

fn temporary_folder(client_port: u16) -> PathBuf {
    std::env::temp_dir().join(format!("comethitch-lab-{}-{client_port}", std::process::id()))
}

/// A router's configuration.
fn configuration(fleet: &LiveFleet, router: usize) -> Value {
    let trial = &fleet.trial;
    let processes = fleet.processes.borrow();
    let discovery = address(router, Purpose::Discovery);
    let is_namesake = router < usize::from(trial.namesakes);
    let name = if is_namesake { "r0".into() } else { format!("r{router}") };
    let seed = if is_namesake { trial.seed } else { fleet.rng.borrow_mut().next_u64() };
    let mut configuration: Value = serde_json::from_str(SAMPLE).expect("the sample is JSON");
    configuration["name"] = name.into();
    configuration["listen"] = processes.client_address(router).to_string().into();
    configuration["discovery"] = format!("{discovery}:{}", processes.discovery_port).into();
    configuration["seed"] = format!("{seed:016x}").into();
    configuration["limits"] = json!({"cores": 1.0, "memory_mb": 64, "sockets": 1024});
    configuration["known"] = discovery::endpoint_list(fleet, router);
    apply_settings(&mut configuration["settings"], trial);
    configuration
}

/// Sets what the trial defines, and then the settings that the trial replaces.
fn apply_settings(settings: &mut Value, trial: &Trial) {
    let micros = |ms: u64| Value::from(ms * 1000);
    settings["siblings"] = trial.routers.into();
    settings["dcs"] = json!(["north"]);
    settings["classes"] = json!([
        {"name": "read", "effect": "repeatable", "target_us": micros(trial.target_ms),
         "deadline_us": micros(trial.timeout_ms), "value": 1.0},
        {"name": "write", "effect": "once", "target_us": micros(trial.target_ms),
         "deadline_us": micros(trial.timeout_ms), "value": 2.0}
    ]);
    settings["domain"]["class_read"] = json!(["bounded", "write"]);
    settings["domain"]["oldest_data_us"] = json!([trial.bound_ms * 1000, 0]);
    settings["load_info"]["names"] = json!(["x0", "x1", "queue"]);
    settings["rules"] = json!({
        "drain_grace_us": micros(trial.drain_grace_ms), "cold_from": trial.cold_from,
        "warm_within_us": micros(trial.warm_within_ms), "fall_multiple": trial.fall_multiple,
        "fall_us": micros(trial.fall_ms)
    });
    for (key, value) in &trial.settings {
        settings[key] = value.clone();
    }
}

/// Starts a router, for the first time or again.
pub(super) fn start(fleet: &LiveFleet, router: usize) -> Result<(), PlayError> {
    let configuration = configuration(fleet, router);
    let mut processes = fleet.processes.borrow_mut();
    processes
        .spawn(router, &configuration)
        .map_err(|source| PlayError::File { path: processes.daemon.clone(), source })
}

/// Opens a client's connection to a router, and waits until the router has accepted it.
pub(super) async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let body = [&PROTOCOL_VERSION.to_be_bytes()[..], STARTUP_PARAMETERS].concat();
    let length = (body.len() as u32 + 4).to_be_bytes();
    stream.write_all(&[&length[..], &body].concat()).await?;
    while read_message(&mut stream).await?.kind != message_type::READY_FOR_QUERY {}
    Ok(stream)
}

/// Waits until a router answers an empty query, and marks it as ready.
pub(super) async fn wait_until_ready(fleet: SharedFleet, router: usize) {
    let client_address = fleet.processes.borrow().client_address(router);
    let incarnation = fleet.processes.borrow().current(router);
    while fleet.processes.borrow().is_current(incarnation) {
        if answers_empty_query(client_address).await.unwrap_or(false) {
            let mut processes = fleet.processes.borrow_mut();
            processes.processes[router].ready = processes.is_current(incarnation);
            return;
        }
        sleep(READY_POLL_INTERVAL).await;
    }
}

async fn answers_empty_query(client_address: SocketAddr) -> io::Result<bool> {
    let mut stream = connect(client_address).await?;
    stream.write_all(&message(message_type::QUERY, b"\0")).await?;
    Ok(read_message(&mut stream).await?.kind == message_type::EMPTY_QUERY_RESPONSE)
}
