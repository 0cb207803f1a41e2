//! The routers: processes of the program, each with a file of its own, started, stopped, killed and ended by id.

use super::{Shared, TO_DISCOVERY, address, list, read, rest};
use crate::error::PlayError;
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_testkit::postgres::message;
use futures_lite::AsyncWriteExt;
use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

const SAMPLE: &str = include_str!("../../../../deploy/configuration.json");
/// Where clients reach a router.
const OWN: u8 = 2;

#[derive(Default)]
struct Process {
    child: Option<Child>,
    /// The front has seen it ready.
    ready: bool,
    stopped: bool,
    epoch: u32,
    /// Commands in hand.
    open: BTreeSet<u64>,
}

pub(super) struct Fleet {
    daemon: PathBuf,
    /// Files and logs, removed at the end unless they are to be kept.
    folder: PathBuf,
    kept: bool,
    port: u16,
    pub discovery: u16,
    of: Vec<Process>,
}

impl Fleet {
    pub fn new(daemon: &Path, routers: usize, logs: Option<&Path>) -> Result<Fleet, PlayError> {
        let port = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .map_err(PlayError::ClientPort)?
            .port();
        let own = || std::env::temp_dir().join(format!("comethitch-lab-{}-{port}", std::process::id()));
        let (folder, kept) = (logs.map_or_else(own, Path::to_path_buf), logs.is_some());
        std::fs::create_dir_all(&folder)
            .map_err(|source| PlayError::File { path: folder.clone(), source })?;
        let of = (0..routers).map(|_| Process::default()).collect();
        Ok(Fleet { daemon: daemon.into(), folder, kept, port, discovery: 0, of })
    }

    pub fn address(&self, router: usize) -> SocketAddr {
        (address(router, OWN), self.port).into()
    }

    /// Routers that take clients.
    pub fn up(&self) -> Vec<usize> {
        let up = |router: &usize| self.of[*router].ready && !self.of[*router].stopped;
        (0..self.of.len()).filter(up).collect()
    }

    /// A command goes to a router: which life of it this is.
    pub fn takes(&mut self, router: usize, number: u64) -> u32 {
        self.of[router].open.insert(number);
        self.of[router].epoch
    }

    pub fn ended_with(&mut self, router: usize, number: u64) {
        self.of[router].open.remove(&number);
    }

    pub fn epoch(&self, router: usize) -> u32 {
        self.of[router].epoch
    }

    /// Kills one; the commands that it had in hand.
    pub fn kill(&mut self, router: usize) -> BTreeSet<u64> {
        let process = &mut self.of[router];
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        (process.ready, process.epoch) = (false, process.epoch + 1);
        std::mem::take(&mut process.open)
    }

    /// It stands still; the commands that it has in hand.
    pub fn stop(&mut self, router: usize) -> BTreeSet<u64> {
        self.signal(router, Signal::STOP);
        let process = &mut self.of[router];
        (process.stopped, process.epoch) = (true, process.epoch + 1);
        std::mem::take(&mut process.open)
    }

    pub fn go_on(&mut self, router: usize) {
        self.signal(router, Signal::CONT);
        self.of[router].stopped = false;
    }

    fn signal(&self, router: usize, signal: Signal) {
        if let Some(child) = &self.of[router].child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Those that ended though nobody ended them.
    pub fn ended(&mut self) -> Vec<(usize, ExitStatus)> {
        let mut found = Vec::new();
        for (nth, process) in self.of.iter_mut().enumerate() {
            if let Some(status) = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten()) {
                (process.child, process.ready) = (None, false);
                found.push((nth, status));
            }
        }
        found
    }

    /// Ends all: however a trial ends, it leaves no process and no file.
    pub fn end(&mut self) {
        (0..self.of.len()).for_each(|router| _ = self.kill(router));
        if !self.kept {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn file(live: &super::Live, router: usize) -> Value {
    let trial = &live.trial;
    let mut all: Value = serde_json::from_str(SAMPLE).expect("the sample is JSON");
    let processes = live.processes.borrow();
    let ms = |ms: u64| Value::from(ms * 1000);
    let namesake = router < usize::from(trial.namesakes);
    all["name"] = if namesake { "r0".into() } else { format!("r{router}").into() };
    all["listen"] = processes.address(router).to_string().into();
    all["discovery"] = format!("{}:{}", address(router, TO_DISCOVERY), processes.discovery).into();
    let seed = if namesake { trial.seed } else { live.rng.borrow_mut().next_u64() };
    all["seed"] = format!("{seed:016x}").into();
    all["limits"] = json!({"cores": 1.0, "memory_mb": 64, "sockets": 1024});
    all["known"] = list::whole(live, router);
    let settings = &mut all["settings"];
    settings["siblings"] = trial.routers.into();
    settings["dcs"] = json!(["north"]);
    settings["classes"] = json!([
        {"name": "read", "effect": "repeatable", "target_us": ms(trial.target_ms), "deadline_us": ms(trial.timeout_ms),
         "value": 1.0},
        {"name": "write", "effect": "once", "target_us": ms(trial.target_ms), "deadline_us": ms(trial.timeout_ms),
         "value": 2.0}
    ]);
    settings["domain"]["class_read"] = json!(["bounded", "write"]);
    settings["domain"]["oldest_data_us"] = json!([trial.bound_ms * 1000, 0]);
    settings["load_info"]["names"] = json!(["x0", "x1", "queue"]);
    settings["rules"] = json!({
        "drain_grace_us": ms(trial.drain_grace_ms), "cold_from": trial.cold_from,
        "warm_within_us": ms(trial.warm_within_ms), "fall_multiple": trial.fall_multiple, "fall_us": ms(trial.fall_ms)
    });
    for (key, value) in &trial.settings {
        settings[key] = value.clone();
    }
    all
}

/// Starts one, or starts it anew.
pub(super) fn start(live: &super::Live, router: usize) -> Result<(), PlayError> {
    let site = file(live, router);
    let mut processes = live.processes.borrow_mut();
    let path = processes.folder.join(format!("r{router}.json"));
    let log = processes.folder.join(format!("r{router}.log"));
    let begun = std::fs::write(&path, site.to_string())
        .and_then(|()| File::options().create(true).append(true).open(&log));
    let begun = begun.and_then(|log| {
        let mut command = Command::new(&processes.daemon);
        command
            .args(["serve", "--log", if processes.kept { "info" } else { "warn" }])
            .env("RELAY_CONFIG", &path);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()
    });
    let child = begun.map_err(|source| PlayError::File { path: processes.daemon.clone(), source })?;
    processes.of[router].child = Some(child);
    Ok(())
}

/// A connection to a router, let in.
pub(super) async fn connect(at: SocketAddr) -> std::io::Result<Async<TcpStream>> {
    let mut stream = Async::<TcpStream>::connect(at).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let body = [&(3u32 << 16).to_be_bytes()[..], b"user\0portal\0database\0crm\0\0"].concat();
    stream.write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()).await?;
    while read(&mut stream).await?.0 != b'Z' {}
    Ok(stream)
}

/// Waits until a router replies to an empty query, and takes it in.
pub(super) async fn watch(live: Shared, router: usize) {
    let (at, epoch) = (live.processes.borrow().address(router), live.processes.borrow().epoch(router));
    let asked = async || -> std::io::Result<bool> {
        let mut stream = connect(at).await?;
        stream.write_all(&message(b'Q', b"\0")).await?;
        Ok(read(&mut stream).await?.0 == b'I')
    };
    while live.processes.borrow().epoch(router) == epoch {
        if asked().await.unwrap_or(false) {
            let process = &mut live.processes.borrow_mut().of[router];
            process.ready = process.epoch == epoch;
            return;
        }
        rest(Duration::from_millis(20)).await;
    }
}
