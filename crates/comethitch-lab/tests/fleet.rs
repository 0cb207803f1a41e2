//! Simulated fleets of many routers: together they must not overload hosts, violate rules or load hosts
//! unevenly.

use comethitch_lab::fleet::run_trial;
use comethitch_lab::ledger::Report;
use comethitch_lab::trial::{Fault, FaultKind, Routing, Trial};

fn small() -> Trial {
    Trial { routers: 20, shards: 2, replicas: 11, seconds: 12, cores: vec![2, 2, 3], ..Trial::default() }
}

fn run_baseline(trial: &Trial) -> Report {
    run_trial(&Trial { routing: Routing::Perfect, ..trial.clone() }).expect("a trial")
}

fn run_without_violations(trial: &Trial) -> Report {
    let report = run_trial(trial).expect("a trial");
    assert_eq!(report.violations, Vec::<String>::new(), "seed {}", trial.seed);
    report
}

#[test]
fn load_is_nearly_as_even_as_with_perfect_knowledge() {
    for seed in [1, 2] {
        // Each router receives about five requests per second of a shard.
        let trial = Trial { seed, routers: 60, load: 0.4, ..small() };
        let (report, ideal) = (run_without_violations(&trial), run_baseline(&trial));
        assert!(report.variation < ideal.variation * 1.6, "{report}\nwith perfect knowledge\n{ideal}");
        assert!(
            report.in_time > 0.99 && report.longest_idle_s <= 2 && report.health_checks < 0.7,
            "{report}"
        );
    }
}

#[test]
fn rolling_replacement_with_killed_routers_violates_no_rule() {
    for seed in [1, 2] {
        let replacement = FaultKind::ReplaceReplicas { fraction: 0.5, over_ms: 4000 };
        let crash = FaultKind::KillRouters { fraction: 0.7, restart_after_ms: 500 };
        let faults = vec![Fault { at_ms: 3000, kind: replacement }, Fault { at_ms: 5000, kind: crash }];
        let report = run_without_violations(&Trial { seed, faults, load: 0.4, ..small() });
        assert!(report.in_time > 0.9, "seed {seed}: {report}");
    }
}

#[test]
fn all_hosts_in_slow_start_are_not_overloaded() {
    let trial = Trial { all_hosts_warming_up: true, load: 0.5, ..small() };
    let report = run_without_violations(&trial);
    assert!(report.in_time > 0.75, "routers do not use the capacity of the hosts: {report}");
    // Without budgets for hosts in slow start the same load crashes them.
    assert!(run_baseline(&trial).violation_count > 0);
}

#[test]
fn three_hundred_routers_respect_the_bound_of_hosts_in_slow_start() {
    let trial = Trial {
        routers: 300,
        all_hosts_warming_up: true,
        load: 0.6,
        overload_multiple: 1.3,
        seconds: 6,
        ..small()
    };
    for seed in 1..=3 {
        let report = run_without_violations(&Trial { seed, ..trial.clone() });
        assert!(report.peak_warmup_load > 0.0 && report.peak_warmup_load <= 1.0, "seed {seed}: {report}");
    }
    // Without budgets the hosts crash. The unit tests plant violations of the bound itself.
    let baseline = run_baseline(&trial);
    assert!(baseline.violations.iter().any(|violation| violation.starts_with("slow start")), "{baseline}");
}

#[test]
fn very_unequal_traffic_of_routers_overloads_no_host() {
    let trial = Trial { skew: 1.6, ..small() };
    let report = run_without_violations(&trial);
    assert!(report.in_time > 0.98 && report.peak_to_mean < 3.0, "{report}");
}

#[test]
fn replicas_past_the_staleness_bound_answer_no_read() {
    let trial = Trial { replication_lag_ms: 4000, load: 0.2, seconds: 6, ..small() };
    run_without_violations(&trial);
    // The baseline ignores staleness, and reads stale data.
    let baseline = run_baseline(&trial);
    assert!(baseline.violations.iter().any(|violation| violation.starts_with("staleness")), "{baseline}");
}

#[test]
fn stalled_replication_to_half_of_the_replicas_keeps_the_others_fast() {
    let stall = Fault { at_ms: 2000, kind: FaultKind::StallReplication { fraction: 0.5, duration_ms: 6000 } };
    for seed in [1, 2] {
        let trial = Trial { seed, routers: 150, replicas: 23, load: 0.55, faults: vec![stall], ..small() };
        let report = run_without_violations(&trial);
        assert!(report.in_time > 0.97, "{report}");
        let baseline = run_baseline(&trial);
        assert!(baseline.violations.iter().any(|violation| violation.starts_with("staleness")), "{baseline}");
    }
}
