//! Finds the violations that routers log when their own checks find that a rule is broken.

use comethitch_policy::time::Duration;

/// Log message of a router whose self-checks find a violation.
const MESSAGE: &str = "rule broken";
/// The rule that a request is sent before its deadline.
const DEADLINE_RULE: &str = "rule=sent_after_deadline ";
/// Key of the time since the deadline, in microseconds.
const LATE_KEY: &str = "late_us=";
/// Time for which a router may be held up between reading its clock and writing: the deadlines of the rules
/// allow for that.
const ALLOWED_HOLD_UP: Duration = Duration::from_millis(150);

/// Returns the lines of a router's log that report a violation. If the trial delays the router's writes, a
/// request that was sent after its deadline by no more than the allowed hold-up is not a violation.
pub(super) fn violations(log: &str, writes_are_delayed: bool) -> impl Iterator<Item = &str> {
    let is_violation = move |line: &&str| !(writes_are_delayed && is_within_hold_up(line));
    log.lines().filter(|line| line.contains(MESSAGE)).filter(is_violation)
}

fn is_within_hold_up(line: &str) -> bool {
    let late = line.split_once(LATE_KEY).and_then(|(_, rest)| rest.split_whitespace().next()?.parse().ok());
    line.contains(DEADLINE_RULE) && late.is_some_and(|late| Duration::from_micros(late) <= ALLOWED_HOLD_UP)
}

#[cfg(test)]
mod tests;
