//! Tests of `trail`. Logs of earlier versions must add up too, so most lines here have their old names.

use super::*;

#[test]
fn both_forms_sum_alike() {
    let mut text = Trail::default();
    text.read("a", "1.0 2026-12-01T20:00:00Z INFO comethitchd::stages::route: route.rs:9 given up id=7 why=no_primary answer=throttled");
    text.read("b", "2026-12-01T20:00:00Z WARN comethitchd::x: x.rs:1 something else");
    text.read("b", "not a line of ours");
    let mut json = Trail::default();
    json.read("a", r#"{"timestamp":"t","level":"INFO","message":"given up","kvs":{"id":"7","why":"no_primary","answer":"throttled"}}"#);
    assert_eq!(text.reasons, json.reasons);
    assert_eq!((text.unread, text.by_router["a"]), (1, 1));
}

#[test]
fn counts_sum_over_routers_without_the_gauges() {
    let mut trail = Trail::default();
    for router in ["a", "b"] {
        trail.read(
            router,
            "9 t INFO comethitchd::state::router_state: :0 counts taken=5 answered=4 connected=2 now_clients=9",
        );
    }
    assert_eq!((trail.counts["requests_received"], trail.counts.get("now_clients")), (10, None));
    assert_eq!(trail.per_answered("connected"), Some(0.5));
}

#[test]
fn lines_are_ordered_by_their_time_and_not_by_the_bench_clock_before_it() {
    let later =
        "10.2 2026-12-01T20:00:10.2+00:00 INFO c::r: r.rs:1 given up id=1 why=time_up answer=throttled";
    let sooner =
        "9.8 2026-12-01T20:00:09.8+00:00 INFO c::r: r.rs:1 given up id=1 why=time_up answer=throttled";
    let json = r#"{"timestamp":"2026-12-01T20:00:10.0+00:00","message":"given up","kvs":{"id":"1"}}"#;
    let mut lines = [later, json, sooner];
    lines.sort_by(|a, b| timestamp(a).cmp(timestamp(b)));
    assert_eq!(lines, [sooner, json, later]);
}

#[test]
fn nonsense_names_grow_the_sums_no_further_than_their_bound() {
    let mut trail = Trail::default();
    for n in 0..MAX_NAMES + 50 {
        trail.read("a", &format!("1 t INFO c::r: r.rs:1 given up id=1 why=w{n} answer=throttled"));
        trail.read("a", &format!("1 t INFO c::h: :0 counts f{n}=1"));
    }
    assert_eq!((trail.reasons.len(), trail.counts.len()), (MAX_NAMES, MAX_NAMES));
    assert_eq!(trail.unread, 50);
}

#[test]
fn one_id_is_followed_across_routers_and_no_other() {
    let mut trail = Trail::following("42");
    trail.read("a", "1 t INFO c::r: r.rs:1 given up id=42 why=time_up answer=throttled");
    trail.read("b", "2 t INFO c::r: r.rs:1 given up id=420 why=time_up answer=throttled");
    trail.read("c", "3 t INFO c::r: r.rs:1 given up id=42 why=not_again answer=failed");
    let routers: Vec<&str> = trail.followed.iter().map(|line| line.router.as_str()).collect();
    assert_eq!(routers, ["a", "c"]);
}

/// One log in the names of earlier versions, and the same in the present ones.
#[test]
fn old_and_new_logs_give_the_same_sums() {
    let reasons = [
        ("time_up", "deadline_exceeded"),
        ("long_in_line", "queued_too_long"),
        ("no_time_to_wait", "deadline_too_close"),
        ("lost_primary", "primary_lost"),
        ("not_again", "not_retryable"),
        ("no_primary", "no_primary"),
        ("at_limit", "at_limit"),
    ];
    let counts = [
        ("taken=90 answered=40 throttled=9", "requests_received=90 answered=40 throttled=9"),
        ("throttled_at_limit=8 failed=7", "throttled_at_limit=8 failed=7"),
        ("clients_left=6 not_understood=5", "clients_disconnected=6 invalid_requests=5"),
        ("probes=31 probes_failed=2", "health_checks=31 health_checks_failed=2"),
        ("connected=12 dispatches_answered=41", "connections_opened=12 attempts_answered=41"),
        ("dispatches_error=13 dispatches_full=14", "attempts_error=13 attempts_overloaded=14"),
        ("dispatches_noslot=15", "attempts_no_connection_slot=15"),
        ("dispatches_timedout=16", "attempts_timed_out=16"),
        ("dispatches_noconnection=17", "attempts_connection_failed=17"),
        ("dispatches_reset=18", "attempts_connection_reset=18"),
        ("dispatches_cancelled=19", "attempts_cancelled=19"),
        ("dispatches_moot=20 dispatches_miss=21", "attempts_not_sent=20 attempts_not_primary=21"),
        (
            "given_up_time_up=22 given_up_not_again=23",
            "rejected_deadline_exceeded=22 rejected_not_retryable=23",
        ),
        ("now_in_hand=3", "now_commands_in_progress=3"),
    ];
    let (mut old, mut new) = (Trail::default(), Trail::default());
    for (old_reason, new_reason) in reasons {
        let fields = format!("id=1 why={old_reason} answer=throttled");
        old.read("a", &format!("1 t INFO c::route: r.rs:1 given up {fields}"));
        let fields = format!("id=1 reason={new_reason} answer=throttled");
        new.read("a", &format!("1 t INFO c::policy_driver: p.rs:1 request rejected {fields}"));
    }
    for (old_counts, new_counts) in counts {
        old.read("a", &format!("1 t INFO c::router_state: :0 counts {old_counts}"));
        new.read("a", &format!("1 t INFO c::metrics_report: :0 counts {new_counts}"));
    }
    assert_eq!((&old.reasons, &old.counts), (&new.reasons, &new.counts));
    assert_eq!((old.summary(), old.unread), (new.summary(), 0));
    assert_eq!((new.reasons.len(), new.counts.len()), (reasons.len(), 22));
}
