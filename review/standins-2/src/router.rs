//! A router: a process started with the command of the deploy file.

use crate::discovery::Discovery;
use crate::guard;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The settings that differ between cases.
pub struct Options {
    pub memory_mb: u64,
    pub sockets: u64,
    pub settings: &'static str,
}

impl Default for Options {
    fn default() -> Options {
        Options { memory_mb: 192, sockets: 1024, settings: LECTOR }
    }
}

/// The settings of `lector-heredia`: three classes, bounded, fresh and write; replicas answer reads from
/// what they have.
pub const LECTOR: &str = r#"{
  "me": 0, "my_zone": 0, "siblings": 1, "tick_us": 5000, "membership_mode": "automatic", "service_type": "replicas",
  "dcs": ["sala-norte", "sala-sur"], "kinds": ["tipo-a"], "tenants": [], "stages": ["lector-db"], "tier": 0,
  "weights": "rough", "value_by": "request",
  "classes": [
    {"name": "leer-pagina", "effect": "repeatable", "group": "all", "target_us": 250000, "deadline_us": 600000, "value": 3.0, "late_value": 0.0, "stream": false, "window_us": 5000000},
    {"name": "ver-saldo", "effect": "repeatable", "group": "all", "target_us": 250000, "deadline_us": 750000, "value": 3.0, "late_value": 0.2, "stream": false, "window_us": 5000000},
    {"name": "desbloquear", "effect": "once", "group": "all", "target_us": 300000, "deadline_us": 3000000, "value": 6.0, "late_value": 0.3, "stream": false, "window_us": 5000000}
  ],
  "domain": {"class_read": ["bounded", "fresh", "write"], "oldest_data_us": [3000000, 0, 0], "guards": "off",
    "list_role": "late", "positions": false, "sync": false, "tokens": "carried", "wait_us": 0},
  "load_info": {"names": ["x0", "x1", "queue"], "source": "on_probe"},
  "permissions": {"cancel": true, "may_probe": true, "second_copies": true, "max_attempts": 6, "max_open": 20000,
    "retry_after": false, "max_retry_after_us": 2000000, "connect_timeout_us": 250000, "conn_idle_us": 30000000,
    "peer_messages": false, "streams_per_conn": 1},
  "prices": {"probe": 0.015, "cross_zone": 0.04, "waste": 0.047, "late_fail": 0.03},
  "rules": {"answer_slack_us": 20000, "drain_grace_us": 2000000, "cold_from": 0.16, "warm_within_us": 18000000,
    "fall_multiple": 2.5, "fall_us": 1500000}
}"#;

/// The settings of `tallinn-bookings`: replicas turn reads away that they are too far behind for, and answers hold
/// load reports.
pub const TALLINN: &str = r#"{
  "me": 0, "my_zone": 0, "siblings": 1, "tick_us": 5000, "membership_mode": "subscribe", "service_type": "replicas",
  "dcs": ["ulemiste", "lasnamae", "mustamae"], "kinds": ["fast-3c"], "tenants": [], "stages": ["bookings-db"], "tier": 0,
  "weights": "rough", "value_by": "request",
  "classes": [
    {"name": "browse", "effect": "repeatable", "group": "all", "target_us": 600000, "deadline_us": 2500000, "value": 1.0, "late_value": 0.0, "stream": false, "window_us": 3000000},
    {"name": "own-view", "effect": "repeatable", "group": "all", "target_us": 300000, "deadline_us": 1000000, "value": 1.0, "late_value": 0.2, "stream": false, "window_us": 3000000},
    {"name": "live-check", "effect": "repeatable", "group": "all", "target_us": 600000, "deadline_us": 2500000, "value": 1.0, "late_value": 0.0, "stream": false, "window_us": 3000000},
    {"name": "book", "effect": "by_key", "group": "cell", "target_us": 1000000, "deadline_us": 3000000, "value": 3.0, "late_value": 0.3, "stream": false, "window_us": 3000000}
  ],
  "domain": {"class_read": ["bounded", "session", "fresh", "write"], "oldest_data_us": [800000, 0, 0, 0], "guards": "refuse",
    "list_role": "late", "positions": false, "sync": false, "tokens": "remembered", "wait_us": 0},
  "load_info": {"names": ["x0", "x1", "util", "queue"], "source": "inline"},
  "permissions": {"cancel": true, "may_probe": true, "second_copies": false, "max_attempts": 10, "max_open": 20000,
    "retry_after": false, "max_retry_after_us": 2000000, "connect_timeout_us": 250000, "conn_idle_us": 30000000,
    "peer_messages": false, "streams_per_conn": 1},
  "prices": {"probe": 0.057, "cross_zone": 0.014, "waste": 0.03, "late_fail": 0.037},
  "rules": {"answer_slack_us": 20000, "drain_grace_us": 2000000, "cold_from": 0.19, "warm_within_us": 15000000,
    "fall_multiple": 2.0, "fall_us": 1500000, "must_ask_in_us": 10000000}
}"#;

/// The settings of `sapporo-tables`: session reads, and replicas that wait a little for the log.
pub const SAPPORO: &str = r#"{
  "me": 0, "my_zone": 0, "siblings": 1, "tick_us": 5000, "membership_mode": "subscribe", "service_type": "replicas",
  "dcs": ["kita-hall", "higashi-hall", "ebetsu-hall"], "kinds": ["std-11c"], "tenants": [], "stages": ["tables-db"], "tier": 0,
  "weights": "off", "value_by": "request",
  "classes": [
    {"name": "lobby-list", "effect": "repeatable", "group": "all", "target_us": 200000, "deadline_us": 800000, "value": 1.0, "late_value": 0.2, "stream": false, "window_us": 5000000},
    {"name": "own-table", "effect": "repeatable", "group": "all", "target_us": 200000, "deadline_us": 500000, "value": 1.0, "late_value": 0.2, "stream": false, "window_us": 5000000},
    {"name": "turn-check", "effect": "repeatable", "group": "all", "target_us": 250000, "deadline_us": 750000, "value": 1.0, "late_value": 0.0, "stream": false, "window_us": 5000000},
    {"name": "season-report", "effect": "repeatable", "group": "all", "target_us": 1500000, "deadline_us": 3000000, "value": 4.0, "late_value": 0.2, "stream": false, "window_us": 5000000},
    {"name": "move-commit", "effect": "once", "group": "all", "target_us": 500000, "deadline_us": 2000000, "value": 6.0, "late_value": 0.5, "stream": false, "window_us": 5000000}
  ],
  "domain": {"class_read": ["bounded", "session", "fresh", "any", "write"], "oldest_data_us": [300000, 0, 0, 0, 0], "guards": "wait",
    "list_role": "start", "positions": true, "sync": false, "tokens": "remembered", "wait_us": 50000},
  "load_info": {"names": ["x0", "x1"], "source": "on_probe"},
  "permissions": {"cancel": true, "may_probe": true, "second_copies": false, "max_attempts": 10, "max_open": 20000,
    "retry_after": false, "max_retry_after_us": 2000000, "connect_timeout_us": 250000, "conn_idle_us": 30000000,
    "peer_messages": false, "streams_per_conn": 1},
  "prices": {"probe": 0.01, "cross_zone": 0.02, "waste": 0.05, "late_fail": 0.05},
  "rules": {"answer_slack_us": 20000, "drain_grace_us": 2000000, "cold_from": 0.19, "warm_within_us": 17000000,
    "fall_multiple": 2.0, "fall_us": 1500000, "must_ask_in_us": 10000000}
}"#;

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let file = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = file.lines().find_map(|line| line.strip_prefix("run")?.trim_start().strip_prefix('='));
    let command = line.map(|line| line.trim().trim_matches('"').to_string());
    command.ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))
}

pub struct Router {
    pub address: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

impl Router {
    pub fn start(root: &Path, discovery: &Discovery, options: &Options) -> io::Result<Router> {
        let agent = discovery.start()?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let folder =
            std::env::temp_dir().join(format!("review-case-{}-{}", std::process::id(), address.port()));
        fs::create_dir_all(&folder)?;
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","discovery":"{agent}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            options.memory_mb,
            options.sockets,
            discovery.known(),
            options.settings
        );
        let path = folder.join("config.json");
        fs::write(&path, config)?;
        let log = fs::File::create(folder.join("log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command(root)?])
            .current_dir(root)
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", agent.to_string())
            .env("RELAY_CONFIG", &path)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        guard::started(child.id(), &folder.to_string_lossy());
        Ok(Router { address, child, folder })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOG").is_some() {
            eprintln!("{}", self.log());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
        guard::ended(self.child.id());
    }
}
