//! Tests of `trail`. Most log lines use the names of earlier versions, whose logs must be summarized too.

use super::LogSummary;
use super::log_line::timestamp;
use super::summary::MAX_NAMES;

#[test]
fn text_and_json_lines_give_the_same_sums() {
    let mut text = LogSummary::default();
    text.add_line("a", "1.0 2026-12-01T20:00:00Z INFO comethitchd::stages::route: route.rs:9 given up id=7 why=no_primary answer=throttled");
    text.add_line("b", "2026-12-01T20:00:00Z WARN comethitchd::x: x.rs:1 something else");
    text.add_line("b", "not a line in a known format");
    let mut json = LogSummary::default();
    json.add_line("a", r#"{"timestamp":"t","level":"INFO","message":"given up","kvs":{"id":"7","why":"no_primary","answer":"throttled"}}"#);
    assert_eq!(text.rejections, json.rejections);
    assert_eq!((text.skipped_lines, text.rejections_by_router["a"]), (1, 1));
}

#[test]
fn counts_are_summed_over_routers_without_gauges() {
    let mut summary = LogSummary::default();
    for router in ["a", "b"] {
        summary.add_line(
            router,
            "9 t INFO comethitchd::state::router_state: :0 counts taken=5 answered=4 connected=2 now_clients=9",
        );
    }
    assert_eq!((summary.counts["requests_received"], summary.counts.get("now_clients")), (10, None));
    assert_eq!(summary.per_answered("connected"), Some(0.5));
}

#[test]
fn lines_sort_by_timestamp_not_by_bench_time() {
    let later =
        "10.2 2026-12-01T20:00:10.2+00:00 INFO c::r: r.rs:1 given up id=1 why=time_up answer=throttled";
    let earlier =
        "9.8 2026-12-01T20:00:09.8+00:00 INFO c::r: r.rs:1 given up id=1 why=time_up answer=throttled";
    let json = r#"{"timestamp":"2026-12-01T20:00:10.0+00:00","message":"given up","kvs":{"id":"1"}}"#;
    let mut lines = [later, json, earlier];
    lines.sort_by(|a, b| timestamp(a).cmp(timestamp(b)));
    assert_eq!(lines, [earlier, json, later]);
}

#[test]
fn distinct_names_are_bounded() {
    let mut summary = LogSummary::default();
    for n in 0..MAX_NAMES + 50 {
        summary.add_line("a", &format!("1 t INFO c::r: r.rs:1 given up id=1 why=w{n} answer=throttled"));
        summary.add_line("a", &format!("1 t INFO c::h: :0 counts f{n}=1"));
    }
    assert_eq!((summary.rejections.len(), summary.counts.len()), (MAX_NAMES, MAX_NAMES));
    assert_eq!(summary.skipped_lines, 50);
}

#[test]
fn only_lines_with_the_followed_id_are_collected() {
    let mut summary = LogSummary::following("42");
    summary.add_line("a", "1 t INFO c::r: r.rs:1 given up id=42 why=time_up answer=throttled");
    summary.add_line("b", "2 t INFO c::r: r.rs:1 given up id=420 why=time_up answer=throttled");
    summary.add_line("c", "3 t INFO c::r: r.rs:1 given up id=42 why=not_again answer=failed");
    let routers: Vec<&str> = summary.followed_lines.iter().map(|line| line.router.as_str()).collect();
    assert_eq!(routers, ["a", "c"]);
}

/// Adds the same log lines once with the names of earlier versions and once with the current names.
#[test]
fn earlier_and_current_names_give_the_same_sums() {
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
    let (mut old, mut new) = (LogSummary::default(), LogSummary::default());
    for (old_reason, new_reason) in reasons {
        let fields = format!("id=1 why={old_reason} answer=throttled");
        old.add_line("a", &format!("1 t INFO c::route: r.rs:1 given up {fields}"));
        let fields = format!("id=1 reason={new_reason} answer=throttled");
        new.add_line("a", &format!("1 t INFO c::policy_driver: p.rs:1 request rejected {fields}"));
    }
    for (old_counts, new_counts) in counts {
        old.add_line("a", &format!("1 t INFO c::router_state: :0 counts {old_counts}"));
        new.add_line("a", &format!("1 t INFO c::metrics_report: :0 counts {new_counts}"));
    }
    assert_eq!((&old.rejections, &old.counts), (&new.rejections, &new.counts));
    assert_eq!((old.to_lines(), old.skipped_lines), (new.to_lines(), 0));
    assert_eq!((new.rejections.len(), new.counts.len()), (reasons.len(), 22));
}

/// The log files were written by earlier versions, whose messages contain values. `first_names.log` has the
/// original names of messages and counts. The other files were written by the last version before messages
/// became constant.
#[test]
fn kept_logs_of_earlier_versions_are_summed() {
    let mut summary = LogSummary::following("7301");
    for (router, log) in [
        ("n1", include_str!("tests/first_names.log")),
        ("n2", include_str!("tests/values_in_messages.log")),
        ("n3", include_str!("tests/values_in_messages.json.log")),
    ] {
        log.lines().for_each(|line| summary.add_line(router, line));
    }
    let rejections =
        |reason: &str, answer: &str| summary.rejections[&(reason.to_string(), answer.to_string())];
    assert_eq!(rejections("no_primary", "throttled"), 3);
    assert_eq!(rejections("not_retryable", "failed"), 1);
    assert_eq!(summary.rejections_by_router.values().copied().collect::<Vec<_>>(), [2, 1, 1]);
    let expected = [
        ("answered", 4),
        ("attempts_connection_failed", 6),
        ("health_checks", 16),
        ("rejected_no_primary", 3),
        ("requests_received", 8),
        ("throttled", 3),
    ];
    for (name, count) in expected {
        assert_eq!(summary.counts[name], count, "{name}");
    }
    assert_eq!(summary.skipped_lines, 0);
    let followed: Vec<_> = summary.followed_lines.iter().map(|line| line.router.as_str()).collect();
    assert_eq!(followed, ["n1", "n2", "n2", "n2", "n2", "n2", "n3", "n3", "n3", "n3", "n3"]);
}
