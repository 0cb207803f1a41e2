//! A short soak test: seeded trials of the lab with real daemons, in which several faults overlap. `comethitch-lab soak`
//! plays longer ones.

use comethitch_lab::live::run_trial;
use comethitch_lab::soak;
use comethitch_lab::system_calls::SystemCallFaults;
use std::path::Path;

/// Seeds whose trials contain restarts, signals, idle clients, many shards and failing system calls.
const SEEDS: [u64; 5] = [1, 2, 4, 5, 6];
/// Duration of each trial.
const SECONDS: u64 = 5;

/// Number of descriptors that the async runtime may keep open for the lifetime of the process.
const MAX_RUNTIME_DESCRIPTORS: usize = 8;

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("the descriptors").count()
}

#[test]
fn seeded_trials_with_overlapping_faults_break_no_rule() {
    let descriptors_before = open_descriptors();
    for seed in SEEDS {
        let mut trial = soak::trial(seed, SECONDS);
        if cfg!(debug_assertions) {
            // A build without optimisation needs more than a fraction of a core.
            let limited = trial.system_calls.iter_mut().filter(|faults| faults.limits_processor());
            limited.for_each(|faults| *faults = SystemCallFaults::default());
        }
        // The logs of a failed trial are kept.
        let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        let _ = std::fs::remove_dir_all(&logs);
        let daemon = Path::new(env!("CARGO_BIN_EXE_comethitchd"));
        let report = run_trial(&trial, daemon, Some(&logs)).expect("a trial");
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}: {report}");
        let _ = std::fs::remove_dir_all(&logs);
        assert!(report.in_time > 0.3, "seed {seed}: {report}");
    }
    // A long soak test plays hundreds of trials in one process.
    assert!(
        open_descriptors() <= descriptors_before + MAX_RUNTIME_DESCRIPTORS,
        "the lab leaves descriptors open"
    );
}
