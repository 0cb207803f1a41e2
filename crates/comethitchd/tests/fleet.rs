//! Twenty processes of the program before a dozen hosts on loopback, through faults that none of them sees whole.
//!
//! Each trial is sharp: with its defence taken out by the routers' settings, or without what tells them, the same
//! faults break the rule.

use comethitch_lab::ledger::Report;
use comethitch_lab::live::play;
use comethitch_lab::trial::{Fault, Harm, Trial, Trouble, Way};
use std::path::Path;
use std::sync::Mutex;

/// One fleet at a time: trials are in real time, and the machine's cores are few.
static ONE: Mutex<()> = Mutex::new(());

fn small() -> Trial {
    Trial {
        routers: 20,
        groups: 2,
        replicas: 5,
        seconds: 8,
        cores: vec![2, 2, 3],
        load: 0.3,
        ..Trial::default()
    }
}

fn played(trial: &Trial) -> Report {
    let _one = ONE.lock().unwrap_or_else(|broken| broken.into_inner());
    play(trial, Path::new(env!("CARGO_BIN_EXE_comethitchd"))).expect("a trial")
}

fn kept(trial: &Trial) -> Report {
    let report = played(trial);
    assert_eq!(report.broken, Vec::<String>::new(), "{report}");
    report
}

#[test]
fn half_of_the_hosts_replaced_while_routers_are_killed_breaks_no_rule_and_the_fleet_comes_back() {
    let release = Fault { at_ms: 1500, trouble: Trouble::Release { part: 0.5, over_ms: 2000 } };
    let herd = Fault { at_ms: 2500, trouble: Trouble::Herd { part: 0.7, back_ms: 300 } };
    let report = kept(&Trial { faults: vec![release, herd], ..small() });
    assert!(report.in_time > 0.85, "{report}");
}

#[test]
fn routers_cut_off_from_half_of_the_hosts_serve_on_at_the_others() {
    let cut = Trouble::Links { routers: 0.35, hosts: 0.4, way: Way::Both, harm: Harm::Cut, for_ms: 3000 };
    let report = kept(&Trial { faults: vec![Fault { at_ms: 2000, trouble: cut }], ..small() });
    assert!(report.in_time > 0.8, "{report}");
}

#[test]
fn all_hosts_cold_and_all_routers_new_push_no_host_over() {
    let trial = Trial { all_cold: true, load: 0.5, fall_multiple: 1.5, ..small() };
    kept(&trial);
    // Told that it is alone, each router takes the whole of what a cold host bears.
    let alone = Trial { settings: [("siblings".to_string(), 1.into())].into(), ..trial };
    let broken = played(&alone).broken;
    assert!(broken.iter().any(|what| what.starts_with("cold")), "{broken:?}");
}
