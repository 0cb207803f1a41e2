use super::violations;

fn line(rule: &str, late_us: u32) -> String {
    format!("2026-12-04T04:30:56+00:00  ERROR x: y:1 rule broken rule={rule} subject=01 late_us={late_us}")
}

/// Guards against a check that no longer finds anything: only a send that was late by no more than the hold-up
/// that the rules allow is left out, and only where the trial delays writes.
#[test]
fn only_the_allowed_hold_up_is_left_out() {
    let count = |rule, late_us, delayed| violations(&line(rule, late_us), delayed).count();
    assert_eq!(count("sent_after_deadline", 120_000, true), 0);
    assert_eq!(count("sent_after_deadline", 150_001, true), 1);
    assert_eq!(count("sent_after_deadline", 120_000, false), 1);
    assert_eq!(count("sent_again", 120_000, true), 1);
    let without_time = "ERROR x: y:1 rule broken rule=sent_after_deadline subject=01";
    assert_eq!(violations(without_time, true).count(), 1);
}
