//! Tests of `trail`.

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
    assert_eq!((trail.counts["taken"], trail.counts.get("now_clients")), (10, None));
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
    lines.sort_by(|a, b| stamp(a).cmp(stamp(b)));
    assert_eq!(lines, [sooner, json, later]);
}

#[test]
fn nonsense_names_grow_the_sums_no_further_than_their_bound() {
    let mut trail = Trail::default();
    for n in 0..MOST_NAMES + 50 {
        trail.read("a", &format!("1 t INFO c::r: r.rs:1 given up id=1 why=w{n} answer=throttled"));
        trail.read("a", &format!("1 t INFO c::h: :0 counts f{n}=1"));
    }
    assert_eq!((trail.reasons.len(), trail.counts.len()), (MOST_NAMES, MOST_NAMES));
    assert_eq!(trail.unread, 50);
}

#[test]
fn one_id_is_followed_across_routers_and_no_other() {
    let mut trail = Trail::following("42");
    trail.read("a", "1 t INFO c::r: r.rs:1 given up id=42 why=time_up answer=throttled");
    trail.read("b", "2 t INFO c::r: r.rs:1 given up id=420 why=time_up answer=throttled");
    trail.read("c", "3 t INFO c::r: r.rs:1 given up id=42 why=not_again answer=failed");
    let routers: Vec<&str> = trail.followed.iter().map(|(router, _)| router.as_str()).collect();
    assert_eq!(routers, ["a", "c"]);
}
