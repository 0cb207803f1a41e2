//! A short soak test: seeded trials of the lab with real daemons and overlapping faults.
//! `comethitch-lab soak` runs longer soak tests.

use comethitch_lab::live::run_trial;
use comethitch_lab::soak;
use comethitch_lab::system_calls::SystemCallFaults;
use std::path::Path;

/// Seeds whose trials together contain restarts, signals, idle clients, many shards and failing system calls.
const SEEDS: [u64; 5] = [1, 2, 4, 5, 6];
/// Duration of each trial in seconds.
const TRIAL_SECONDS: u64 = 5;

/// Number of descriptors that the async runtime may keep open for the lifetime of the process.
const MAX_RUNTIME_DESCRIPTORS: usize = 8;

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("the open descriptors can be listed").count()
}

#[test]
fn seeded_trials_with_overlapping_faults_break_no_rule() {
    let descriptors_before = open_descriptors();
    for seed in SEEDS {
        let mut trial = soak::trial(seed, TRIAL_SECONDS);
        if cfg!(debug_assertions) {
            // A fraction of a core is too little for a build without optimisation.
            let limited = trial.system_calls.iter_mut().filter(|faults| faults.limits_processor());
            limited.for_each(|faults| *faults = SystemCallFaults::default());
        }
        // The logs of a failed trial are kept.
        let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        let _ = std::fs::remove_dir_all(&logs);
        let daemon = Path::new(env!("CARGO_BIN_EXE_comethitchd"));
        let report = run_trial(&trial, daemon, Some(&logs)).expect("the trial runs to its end");
        assert_eq!(
            report.violations,
            Vec::<String>::new(),
            "no rule may be violated with seed {seed}: {report}"
        );
        let _ = std::fs::remove_dir_all(&logs);
        assert!(report.in_time > 0.3, "more than 30 % must be answered in time with seed {seed}: {report}");
    }
    // A long soak test runs hundreds of trials in one process, which would run out of descriptors.
    assert!(
        open_descriptors() <= descriptors_before + MAX_RUNTIME_DESCRIPTORS,
        "the lab must close the descriptors of each trial"
    );
}
