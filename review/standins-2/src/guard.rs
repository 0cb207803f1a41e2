//! A process that ends what a case has started, by id, once the case has ended in whatever way, also when it was killed. It
//! learns what was started over its standard input, whose end tells it that the case is over.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

static GUARD: Mutex<Option<Child>> = Mutex::new(None);

/// Starts the guard of this case, in a process group of its own, so that a signal to the case's group spares it.
pub fn start() -> io::Result<()> {
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("guard").stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
    *GUARD.lock().unwrap() = Some(command.process_group(0).spawn()?);
    Ok(())
}

fn tell(line: &str) {
    if let Some(input) = GUARD.lock().unwrap().as_mut().and_then(|guard| guard.stdin.as_mut()) {
        let _ = writeln!(input, "{line}");
    }
}

pub fn started(pid: u32, folder: &str) {
    tell(&format!("{pid} {folder}"));
}

pub fn ended(pid: u32) {
    tell(&pid.to_string());
}

/// Ends what is left, and waits for it.
pub fn finish() {
    if let Some(mut guard) = GUARD.lock().unwrap().take() {
        drop(guard.stdin.take());
        let _ = guard.wait();
    }
}

/// The guard's own process.
pub fn run() {
    let mut left = BTreeMap::new();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        match line.split_once(' ') {
            Some((pid, folder)) => left.insert(pid.to_string(), folder.to_string()),
            None => left.remove(&line),
        };
    }
    for (pid, folder) in left {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
        let _ = std::fs::remove_dir_all(folder);
    }
}
