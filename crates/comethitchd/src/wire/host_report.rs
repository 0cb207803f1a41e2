//! What a host says of its role and position.

use crate::wire::postgres::Answer;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{HostReport, Role};

/// Positions are told in milliseconds; what is written with fewer digits has lost zeros at its end.
const RESOLUTION: u64 = 1_000;

/// What an answer's parameters say of the host at that moment.
pub fn noted(answer: &Answer) -> HostReport {
    let role = match answer.rank.as_deref() {
        Some("source") => Some(Role::Primary),
        Some("copy") => Some(Role::Replica),
        _ => None,
    };
    let position = answer.as_of.as_deref().and_then(|text| text.parse::<u64>().ok());
    let position = position.filter(|ms| *ms > 0).map(Timestamp::from_millis);
    HostReport { role, position, queue: None }
}

/// What a report such as `x0=1767225600.123,x1=0,queue=4` says: the position in seconds, and the role.
///
/// ```
/// use comethitch_policy::{Role, time::Timestamp};
/// let standing = comethitchd::wire::host_report::reported("queue=4,x0=1767225600.12,x1=1");
/// assert_eq!(standing.position, Some(Timestamp::from_millis(1_767_225_600_119)), "never newer than it was");
/// assert_eq!((standing.role, standing.queue), (Some(Role::Primary), Some(4.0)));
/// // A host that has made no report yet says zero; that is no position, and no role either.
/// let none = comethitchd::wire::host_report::reported("x0=0.000,x1=0,queue=0");
/// assert_eq!(none, comethitch_policy::HostReport::default());
/// ```
pub fn reported(text: &str) -> HostReport {
    let fields = || text.split(',').filter_map(|field| field.trim().split_once('='));
    let value = |wanted: &str| fields().find(|(name, _)| *name == wanted).map(|(_, value)| value);
    let role = value("x1").and_then(|x1| x1.parse::<f64>().ok()).map(|x1| match x1 >= 0.5 {
        true => Role::Primary,
        false => Role::Replica,
    });
    let queue = value("queue").and_then(|queue| queue.parse().ok()).filter(|queue: &f64| *queue >= 0.0);
    match value("x0").map(seconds) {
        Some(None) => HostReport::default(),
        position => HostReport { role, position: position.flatten(), queue },
    }
}

/// Decimal seconds, less one unit of the resolution: they may have been rounded up.
fn seconds(text: &str) -> Option<Timestamp> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let digits = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
    if whole.is_empty() || !digits(whole) || !digits(part) {
        return None;
    }
    let whole = whole.parse::<u64>().ok()?.checked_mul(1_000_000)?;
    let part: u64 = format!("{part:0<6}").get(..6)?.parse().ok()?;
    Some(Timestamp::from_micros(whole + part) - Duration::from_micros(RESOLUTION))
        .filter(|at| *at > Timestamp::ZERO)
}
