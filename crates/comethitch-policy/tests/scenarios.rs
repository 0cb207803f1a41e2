//! Plays every file of `scenarios/`. The notation has one step per line; `#` begins a comment:
//!
//! ```text
//! set KEY=VALUE                a setting that differs from the base settings, before anything else
//! list a primary, b, c warming the complete endpoint list: role, `warming` (started now), `draining` or `removed`
//! pair                         lists primary a and replica b, and checks a; the time is 10ms
//! hosts 600s ahead|behind      the offset of the hosts' clock from the router's, from now on
//! at 40ms                      advances the time, counted from the start, and makes the ticks that are due
//! checked a,b ok primary -20ms the end of a health check of each host, and its report (q9: nine requests are queued)
//! late 200ms                   the event-loop lag of ticks from now on
//! submit 1 bounded for 600ms   a request of a class, with its client timeout (`after 30ms`: since its session's write)
//! ended 1.0 reset [finished] [role [position]]   the end of an attempt, with its response trailer
//! entries 4                    at most this many host entries are allocated; b17 is a host like b, for many hosts
//! delayed 1.0 may|not          an attempt that was delayed on its way may still be sent now, or may not
//! disconnect 1                 the client disconnects
//! expect attempt 1 b|c         an action since the last `at`, in this order; a word may list alternatives
//! expect throttle 1 deadline_exceeded   a final answer names the reason, then any Retry-After
//! never throttle 1             no such action since the last `at`; `*` stands for any word
//! atmost 9 attempt * b         at most this many such actions since the last `at`
//! repeat 20 { ... }            on one line, steps separated by `;`; `%` stands for the number of the round
//! ```

mod scenario_runner;

use scenario_runner::{Scenario, StepError};
use std::path::{Path, PathBuf};
use std::{env, fs};

fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = fs::read_dir(folder).expect("the folder of scenarios");
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.expect("a directory entry").path()).collect();
    files.sort();
    files
}

/// A step that failed, and where it stands.
#[derive(Debug, thiserror::Error)]
#[error("{}:{line_number}: {line}: {source}", file.display())]
struct FailedStep {
    file: PathBuf,
    line_number: usize,
    line: String,
    source: StepError,
}

/// Plays a scenario up to its end or its first failed step.
fn play(file: &Path, scenario: &mut Scenario) -> Result<(), FailedStep> {
    let text = fs::read_to_string(file).expect("a readable scenario");
    for (index, line) in text.lines().enumerate() {
        let step = line.split('#').next().unwrap_or_default();
        scenario.step(step).map_err(|source| FailedStep {
            file: file.to_path_buf(),
            line_number: index + 1,
            line: line.to_string(),
            source,
        })?;
    }
    Ok(())
}

#[test]
fn every_scenario_plays_out() {
    let files = scenario_files();
    let mut failures = Vec::new();
    let mut digest = 0_u64;
    for file in &files {
        let mut scenario = Scenario::new();
        failures.extend(play(file, &mut scenario).err().map(|failed| failed.to_string()));
        digest = digest.rotate_left(7) ^ scenario.digest();
    }
    // Printed with --nocapture: two versions of the policy that decide alike have the same digest.
    println!("digest of {} scenarios: {digest:016x}", files.len());
    assert!(!files.is_empty() && failures.is_empty(), "{}", failures.join("\n"));
}
