//! Trial files: their keys are a stable format.

use comethitch_lab::soak;
use comethitch_lab::trial::Trial;
use serde_json::{Value, json};
use std::path::Path;

/// A trial file with every key, fault and link fault.
const FILE_WITH_EVERY_KEY: &str = r#"{
    "seed": 3, "routing": "perfect", "routers": 4, "groups": 5, "replicas": 6, "seconds": 7, "cores": [2, 3],
    "work_ms": 8.0, "load": 0.25, "skew": 0.5, "writes": 0.125, "target_ms": 300, "timeout_ms": 900,
    "bound_ms": 2000, "lag_ms": 30, "report_ms": 200, "net_us": 300, "cold_from": 0.5, "warm_within_ms": 4000,
    "fall_multiple": 1.5, "fall_ms": 1000, "drain_grace_ms": 1000, "queue_per_core": 10, "slots": 11,
    "namesakes": 2, "system_calls": ["", "seed=2,hold=150,hold_ms=120,stderr=3"], "leave": 0.0625, "crowd": 12,
    "stalled_clients": 13, "sharp": true, "all_cold": true, "settings": {"siblings": 1},
    "faults": [
        {"at_ms": 1, "trouble": {"release": {"part": 0.5, "over_ms": 1}}},
        {"at_ms": 2, "trouble": {"herd": {"part": 0.5, "back_ms": 1}}},
        {"at_ms": 3, "trouble": {"slow": {"part": 0.5, "factor": 2.0}}},
        {"at_ms": 4, "trouble": {"stall": {"part": 0.5, "for_ms": 1}}},
        {"at_ms": 5, "trouble": {"takeover": {"part": 0.5, "after_ms": 1}}},
        {"at_ms": 6, "trouble": {"stop": {"part": 0.5, "for_ms": 1}}},
        {"at_ms": 7, "trouble": {"restart": {"part": 0.5, "over_ms": 1}}},
        {"at_ms": 8, "trouble": {"reload": {"part": 0.5}}},
        {"at_ms": 9, "trouble": {"signals": {"part": 0.5, "over_ms": 1}}},
        {"at_ms": 10, "trouble": {"links": {
            "routers": 0.5, "hosts": 0.5, "way": "to_hosts", "harm": {"delay_ms": 5}, "for_ms": 1}}},
        {"at_ms": 11, "trouble": {"links": {
            "routers": 0.5, "hosts": 0.5, "way": "to_routers", "harm": {"reset": 0.5}, "for_ms": 1}}},
        {"at_ms": 12, "trouble": {"links": {
            "routers": 0.5, "hosts": 0.5, "way": "both", "harm": "cut", "for_ms": 1}}}
    ]
}"#;

#[test]
fn every_deployed_trial_file_is_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/trials");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of trials") {
        let path = entry.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        assert!(Trial::read(&text).is_ok(), "{}: {:?}", path.display(), Trial::read(&text));
        count += 1;
    }
    assert!(count >= 9, "{count} files");
}

#[test]
fn every_key_and_fault_of_the_file_format_is_read_and_written_unchanged() {
    let file: Value = serde_json::from_str(FILE_WITH_EVERY_KEY).expect("JSON");
    let trial = Trial::read(&file.to_string()).expect("a trial");
    assert_eq!(serde_json::to_value(&trial).expect("JSON"), file);
}

/// Compares JSON values. Floats may differ in the last digit, as `serde_json` reads them.
fn is_nearly_equal(left: &Value, right: &Value) -> bool {
    match (left, right) {
        (Value::Array(left), Value::Array(right)) => {
            left.len() == right.len()
                && left.iter().zip(right).all(|(left, right)| is_nearly_equal(left, right))
        }
        (Value::Object(left), Value::Object(right)) => {
            left.len() == right.len()
                && left
                    .iter()
                    .all(|(key, value)| right.get(key).is_some_and(|other| is_nearly_equal(value, other)))
        }
        (Value::Number(left), Value::Number(right)) if left.is_f64() && right.is_f64() => {
            let (left, right) = (left.as_f64().unwrap_or_default(), right.as_f64().unwrap_or_default());
            (left - right).abs() <= 4.0 * f64::EPSILON * right.abs()
        }
        _ => left == right,
    }
}

#[test]
fn printed_soak_trials_are_read_again() {
    for seed in 1..=20 {
        let trial = soak::trial(seed, 8);
        let printed = serde_json::to_value(&trial).expect("JSON");
        let read = Trial::read(&printed.to_string()).expect("a trial");
        assert_eq!(read.system_calls, trial.system_calls, "seed {seed}");
        let read = serde_json::to_value(&read).expect("JSON");
        assert!(is_nearly_equal(&read, &printed), "seed {seed}: {read}\n{printed}");
    }
}

#[test]
fn unknown_keys_and_faults_of_system_calls_are_errors() {
    let error = |file: Value| Trial::read(&file.to_string()).expect_err("an error").to_string();
    assert!(error(json!({"shards": 2})).contains("unknown field `shards`"));
    assert!(error(json!({"system_calls": ["interupt=3"]})).contains("interupt"));
}
