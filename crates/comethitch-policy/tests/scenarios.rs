//! Runs every file of `scenarios/`. A file has one step per line; `#` begins a comment. The steps are:
//!
//! ```text
//! set KEY=VALUE
//!     Changes a setting of the base settings. Comes before all other steps.
//! list a primary, b, c warming
//!     Applies a complete endpoint list. A host is a letter, or a letter and a number, such as `b17`. It may
//!     be followed by `primary`, `warming` (started now), `draining` or `removed`.
//! primary_and_replica
//!     Lists the primary a and the replica b, reports a health check of a, and advances the time to 10ms.
//! host_clock 600s ahead|behind
//!     Sets the offset of the hosts' clocks from the router's clock.
//! event_loop_lag 200ms
//!     Sets the delay with which ticks run.
//! at 40ms
//!     Advances the time, counted from the start of the scenario, and runs the ticks that are due.
//! health_checked a,b ok primary -20ms q9
//!     Reports the end of a health check of each host: its outcome and, optionally, the load report with the
//!     role, the position (here 20 ms old) and the number of queued requests (here 9).
//! submit 1 bounded timeout 600ms last_write_age 30ms
//!     Submits the request 1 of a class (see `base_settings.rs`). Optionally, its session has last written 30
//!     ms ago.
//! attempt_ended 1.0 connection_reset finished primary -20ms
//!     Reports the end of the attempt 0 of the request 1: its outcome and, optionally, that the request is
//!     finished, and the response trailer.
//! unconfirmed_answer a 1 not_primary replica
//!     Reports a complete answer of the host a to the request 1, or to a `health_check`, that is not confirmed
//!     yet: its outcome and, optionally, the response trailer or the load report.
//! check_send 1.0 allowed|refused
//!     Checks that the send guard allows or refuses an attempt now.
//! max_host_entries 4
//!     Checks that at most this many host entries are allocated.
//! disconnect 1
//!     Reports that the client of the request 1 has disconnected.
//! shut_down
//!     Shuts the router down: the time for requests in progress is over.
//! expect attempt 1 b|c
//!     Expects an action after the one that the previous `expect` matched, or after the last `at`. The
//!     pattern is compared with the first words of each action. A word may list alternatives, and `*` stands
//!     for any word.
//! expect_none throttle 1
//!     Expects no such action since the last `at`.
//! expect_at_most 9 attempt * b
//!     Expects at most this many such actions since the last `at`.
//! repeat 20 { STEP; STEP }
//!     Repeats steps, all on one line. `%` stands for the number of the repetition, from 1.
//! ```
//!
//! The actions are (hosts without their numbers):
//!
//! ```text
//! attempt 1 b                               an attempt of the request 1 is sent to b
//! cancel 1.0                                an attempt is cancelled
//! throttle 1 no_primary retry_after 1000ms  final answer, with its reason; or `no_retry_after`
//! fail 1 primary_lost                       final answer, with its reason
//! health_check a                            a health check is sent
//! close_idle a                              the idle connections to a host are closed
//! watch_endpoints                           the router subscribes to the endpoint list
//! ```

mod scenario_runner;

use scenario_runner::{Scenario, StepError};
use std::path::{Path, PathBuf};
use std::{env, fs};

fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = fs::read_dir(folder).expect("the folder tests/scenarios is readable");
    let mut files: Vec<PathBuf> =
        entries.map(|entry| entry.expect("each entry of tests/scenarios is readable").path()).collect();
    files.sort();
    files
}

/// A step that failed, and its location.
#[derive(Debug, thiserror::Error)]
#[error("{}:{line_number}: {line}: {source}", file.display())]
struct FailedStep {
    file: PathBuf,
    line_number: usize,
    line: String,
    source: StepError,
}

/// Runs a scenario up to its end or its first failed step.
fn run(file: &Path, scenario: &mut Scenario) -> Result<(), FailedStep> {
    let text = fs::read_to_string(file).expect("the scenario file is readable");
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
fn every_scenario_meets_its_expectations() {
    let files = scenario_files();
    let mut failures = Vec::new();
    let mut digest = 0_u64;
    for file in &files {
        let mut scenario = Scenario::new();
        failures.extend(run(file, &mut scenario).err().map(|failed| failed.to_string()));
        digest = digest.rotate_left(7) ^ scenario.digest();
    }
    // Shown with --nocapture: two versions of the policy that make the same decisions have the same digest.
    println!("digest of {} scenarios: {digest:016x}", files.len());
    assert!(!files.is_empty() && failures.is_empty(), "{}", failures.join("\n"));
}
