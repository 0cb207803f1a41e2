//! Maps names that earlier versions used in log lines to the current names, so that logs of different
//! versions can be summarized together.

use std::borrow::Cow;

/// An earlier name and the current name.
type Alias = (&'static str, &'static str);

const MESSAGES: [Alias; 1] = [("given up", "request rejected")];

const FIELDS: [Alias; 1] = [("why", "reason")];

/// Reasons for rejecting requests.
const REASONS: [Alias; 5] = [
    ("time_up", "deadline_exceeded"),
    ("long_in_line", "queued_too_long"),
    ("no_time_to_wait", "deadline_too_close"),
    ("lost_primary", "primary_lost"),
    ("not_again", "not_retryable"),
];

const COUNTS: [Alias; 16] = [
    ("taken", "requests_received"),
    ("clients_left", "clients_disconnected"),
    ("not_understood", "invalid_requests"),
    ("probes", "health_checks"),
    ("probes_failed", "health_checks_failed"),
    ("connected", "connections_opened"),
    ("dispatches_answered", "attempts_answered"),
    ("dispatches_error", "attempts_error"),
    ("dispatches_full", "attempts_overloaded"),
    ("dispatches_noslot", "attempts_no_connection_slot"),
    ("dispatches_timedout", "attempts_timed_out"),
    ("dispatches_noconnection", "attempts_connection_failed"),
    ("dispatches_reset", "attempts_connection_reset"),
    ("dispatches_cancelled", "attempts_cancelled"),
    ("dispatches_moot", "attempts_not_sent"),
    ("dispatches_miss", "attempts_not_primary"),
];

/// Prefix of the counts of rejected requests. The rest of such a name is the reason.
const REJECTED_PREFIX: Alias = ("given_up_", "rejected_");

/// Returns the current text of a log message.
pub(super) fn current_message(name: &str) -> &str {
    current(&MESSAGES, name)
}

/// Returns the current name of a field.
pub(super) fn current_field(name: &str) -> &str {
    current(&FIELDS, name)
}

/// Returns the current name of a reason for a rejection.
pub(super) fn current_reason(name: &str) -> &str {
    current(&REASONS, name)
}

/// Returns the current name of a count.
pub(super) fn current_count(name: &str) -> Cow<'_, str> {
    let (earlier_prefix, prefix) = REJECTED_PREFIX;
    match name.strip_prefix(earlier_prefix) {
        Some(reason) => Cow::Owned(format!("{prefix}{}", current_reason(reason))),
        None => Cow::Borrowed(current(&COUNTS, name)),
    }
}

fn current<'a>(aliases: &[Alias], name: &'a str) -> &'a str {
    aliases.iter().find(|(earlier, _)| *earlier == name).map_or(name, |(_, current)| *current)
}
