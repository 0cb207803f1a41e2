//! Parses the words of scenario files.

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{AttemptOutcome, Endpoint, Host, Lifecycle, RequestId};
use std::fmt::Debug;
use std::str::FromStr;

const PORT: u16 = 9000;
const CAPACITY: f64 = 4.0;

/// The number of a request and of one of its attempts, written as `1.0`.
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) attempt: u16,
}

impl AttemptId {
    pub(super) fn parse(text: &str) -> AttemptId {
        let (request, attempt) = text.split_once('.').expect("an attempt is written as REQUEST.ATTEMPT");
        AttemptId { request: number(request), attempt: number(attempt) }
    }
}

pub(super) fn number<T: FromStr<Err: Debug>>(word: &str) -> T {
    word.parse().expect("a number")
}

/// Parses a duration such as `20ms` or `3s`; a leading minus is ignored.
pub(super) fn duration(word: &str) -> Duration {
    let word = word.trim_start_matches('-');
    if let Some(millis) = word.strip_suffix("ms") {
        return Duration::from_millis(number(millis));
    }
    let seconds = word.strip_suffix('s').expect("a duration ends in ms or s");
    Duration::from_secs(number(seconds))
}

/// Parses the name of a host: a letter, which may be followed by a number.
pub(super) fn host(name: &str) -> Host {
    let (letter, number) = name.split_at(1);
    Host { address: [10, 0, 0, letter.as_bytes()[0]], port: PORT + number.parse().unwrap_or(0) }
}

/// Returns the letter of a host's name. The number is not included.
pub(super) fn host_letter(host: Host) -> char {
    char::from(host.address[3])
}

pub(super) fn outcome(word: &str) -> AttemptOutcome {
    match word {
        "ok" => AttemptOutcome::Answered,
        "error" => AttemptOutcome::Error,
        "overloaded" => AttemptOutcome::Overloaded,
        "no_connection_slot" => AttemptOutcome::NoConnectionSlot,
        "timeout" => AttemptOutcome::TimedOut,
        "connection_failed" => AttemptOutcome::ConnectionFailed,
        "reset" => AttemptOutcome::ConnectionReset,
        "cancelled" => AttemptOutcome::Cancelled,
        "not_sent" => AttemptOutcome::NotSent,
        "not_primary" => AttemptOutcome::NotPrimary,
        other => panic!("unknown outcome: {other:?}"),
    }
}

/// Parses an entry of the endpoint list. A `warming` host has started at `now`, which is on the hosts'
/// clocks.
pub(super) fn endpoint(entry: &str, now: Timestamp) -> Endpoint {
    let words: Vec<&str> = entry.split_whitespace().collect();
    let lifecycle = if words.contains(&"draining") {
        Lifecycle::Draining
    } else if words.contains(&"removed") {
        Lifecycle::Removed
    } else {
        Lifecycle::Ready
    };
    Endpoint {
        host: host(words[0]),
        zone: 0,
        shard_id: 0,
        lifecycle,
        is_primary: words.contains(&"primary"),
        capacity: CAPACITY,
        started: words.contains(&"warming").then_some(now),
    }
}

/// Returns whether an action begins with the words of a pattern. A word of the pattern may list alternatives,
/// separated by `|`, and `*` matches any word.
pub(super) fn matches(action: &str, pattern: &[&str]) -> bool {
    let words: Vec<&str> = action.split_whitespace().collect();
    let word_matches = |expected: &str, word: &str| {
        expected.split('|').any(|alternative| alternative == "*" || alternative == word)
    };
    pattern.len() <= words.len()
        && pattern.iter().zip(words).all(|(expected, word)| word_matches(expected, word))
}
