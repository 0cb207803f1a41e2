//! The daemon as a separate process, with its configuration file, log and signals.

use comethitch_lab::system_calls::{FaultLibrary, SystemCallFaults};
use serde_json::Value;
use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Handle of a daemon that has logged the address it listens on.
pub(crate) struct Daemon {
    /// The process, which is killed when the handle is dropped.
    pub child: Child,
    /// The configuration file, which the daemon reads again on `SIGHUP`.
    pub configuration_file: PathBuf,
    /// The log lines that have not been read yet.
    pub log: Box<dyn Iterator<Item = String> + Send>,
    /// Address that clients connect to.
    pub address: SocketAddr,
}

impl Daemon {
    /// Starts the daemon with a configuration. `name` identifies the configuration file and must be unique
    /// within the test binary.
    pub(crate) fn start(name: &str, config: &Value) -> Daemon {
        Daemon::start_with_options(name, config, &[])
    }

    /// Starts the daemon with additional command-line options.
    pub(crate) fn start_with_options(name: &str, config: &Value, options: &[&str]) -> Daemon {
        Daemon::start_in_environment(name, config, options, &[])
    }

    /// Starts the daemon with injected system call faults, in the text form of [`SystemCallFaults`].
    pub(crate) fn start_with_faults(name: &str, config: &Value, faults: &str) -> Daemon {
        let faults: SystemCallFaults = faults.parse().expect("the faults are valid");
        Daemon::start_in_environment(name, config, &[], &fault_library().environment(&faults))
    }

    fn start_in_environment(
        name: &str, config: &Value, options: &[&str], environment: &[(&str, OsString)],
    ) -> Daemon {
        let file = std::env::temp_dir().join(format!("comethitchd-{}-{name}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("the configuration is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_comethitchd"))
            .arg("serve")
            .args(options)
            .env("RELAY_CONFIG", &file)
            .envs(environment.iter().cloned())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let lines = BufReader::new(child.stderr.take().expect("standard error is piped")).lines();
        let mut log: Box<dyn Iterator<Item = String> + Send> = Box::new(lines.map_while(Result::ok));
        let line =
            log.find(|line| line.contains("listening")).expect("the daemon logs the address it listens on");
        let address = logged_address(&line).expect("the log line holds an address");
        Daemon { child, configuration_file: file, log, address }
    }

    /// Replaces the configuration file without telling the daemon to reload it.
    pub(crate) fn write_configuration(&self, text: &str) {
        std::fs::write(&self.configuration_file, text).expect("the configuration is written");
    }

    /// Sends a signal, given by its name without the prefix `SIG`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
        assert!(sent.expect("the signal is sent").success(), "failed to send SIG{name} to process {id}");
    }

    /// Kills the daemon after a time unless the timer is cancelled. Ends the log, and thereby fails a test
    /// that waits for a missing log line.
    pub(crate) fn kill_after(&self, limit: Duration) -> KillTimer {
        let (id, cancelled) = (self.child.id().to_string(), Arc::new(AtomicBool::new(false)));
        let timer = KillTimer(cancelled.clone());
        spawn(move || {
            sleep(limit);
            if !cancelled.load(SeqCst) {
                let _ = Command::new("kill").args(["-9", &id]).status();
            }
        });
        timer
    }

    /// Reads the log up to and including a line that contains the text.
    pub(crate) fn wait_for_log(&mut self, text: &str) {
        self.log.find(|line| line.contains(text)).expect(text);
    }

    /// Reads the rest of the log on a separate thread and collects the lines that contain the text.
    pub(crate) fn collect_log(&mut self, text: &'static str) -> Arc<Mutex<Vec<String>>> {
        let log = std::mem::replace(&mut self.log, Box::new(std::iter::empty()));
        let collected = Arc::new(Mutex::new(Vec::new()));
        let lines = collected.clone();
        spawn(move || {
            for line in log.filter(|line| line.contains(text)) {
                lines.lock().expect("no thread panics while it holds the lock").push(line);
            }
        });
        collected
    }

    /// Sends SIGTERM and waits until the daemon has exited with status 0.
    pub(crate) fn shut_down(self) {
        self.signal("TERM");
        self.wait_for_exit();
    }

    /// Waits until the daemon exits, and asserts that its status is 0.
    pub(crate) fn wait_for_exit(mut self) {
        let status = self.child.wait().expect("the process ends with a status");
        assert!(status.success(), "the daemon must exit with status 0, but exited with {status}");
        std::fs::remove_file(&self.configuration_file).expect("the configuration is removed");
    }
}

/// Kills the daemon of a failed test, which would otherwise keep the output of the test open.
impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Handle of a timer that kills a daemon.
pub(crate) struct KillTimer(Arc<AtomicBool>);

impl KillTimer {
    /// Cancels the timer, so that the daemon keeps running.
    pub(crate) fn cancel(&self) {
        self.0.store(true, SeqCst);
    }
}

/// Returns the address in a log line, `address=HOST:PORT` in text or `"address":"HOST:PORT"` in JSON.
fn logged_address(line: &str) -> Option<SocketAddr> {
    let value = line.split("address").nth(1)?.trim_start_matches(['=', ':', '"']);
    value.split([' ', '"']).next()?.parse().ok()
}

/// Returns the library that injects system call faults, which is compiled once per test binary.
fn fault_library() -> &'static FaultLibrary {
    static LIBRARY: OnceLock<FaultLibrary> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        FaultLibrary::compile(Path::new(env!("CARGO_TARGET_TMPDIR")))
            .expect("the C compiler that links this test is installed")
    })
}
