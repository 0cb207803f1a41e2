//! A short soak: a few seeded trials of the lab with real processes, in which several faults overlap. Longer ones are
//! played by hand (`comethitch-lab soak`).

use comethitch_lab::live::play;
use comethitch_lab::soak;
use comethitch_lab::system_calls::SystemCallFaults;
use std::path::Path;

/// Seeds whose trials contain restarts, signals, idle clients, many shards and failing system calls.
const SEEDS: [u64; 5] = [1, 2, 4, 5, 6];
/// How long clients send in each.
const SECONDS: u64 = 5;

/// Descriptors that this process may have more of after the trials: of the async layer, which lives as long as it.
const DESCRIPTORS_KEPT: usize = 8;

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("the descriptors").count()
}

#[test]
fn seeded_trials_with_overlapping_faults_break_no_rule() {
    let descriptors_before = open_descriptors();
    for seed in SEEDS {
        let mut trial = soak::trial(seed, SECONDS);
        if cfg!(debug_assertions) {
            // A fraction of a core is too little for a build without optimisation.
            let limited = trial.system_calls.iter_mut().filter(|faults| faults.limit_processor());
            limited.for_each(|faults| *faults = SystemCallFaults::default());
        }
        // Kept for whoever looks for the cause of a failure.
        let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        let _ = std::fs::remove_dir_all(&logs);
        let daemon = Path::new(env!("CARGO_BIN_EXE_comethitchd"));
        let report = play(&trial, daemon, Some(&logs)).expect("a trial");
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}: {report}");
        let _ = std::fs::remove_dir_all(&logs);
        assert!(report.in_time > 0.3, "seed {seed}: {report}");
    }
    // A long soak plays hundreds of trials in one process.
    assert!(open_descriptors() <= descriptors_before + DESCRIPTORS_KEPT, "the lab leaves descriptors open");
}
