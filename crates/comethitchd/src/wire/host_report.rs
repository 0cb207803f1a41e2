//! Parses the load reports of PostgreSQL hosts: role, replication position and queue length.
//!
//! A report is sent as parameters along with a response, or as text.

use crate::wire::postgres::HostParameters;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{LoadReport, Role};

/// The resolution of positions, which hosts may round up.
const POSITION_RESOLUTION: Duration = Duration::from_micros(1_000);
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Reads the response trailer, which consists of a host's role and position, from the parameters of a
/// response.
pub fn from_parameters(parameters: &HostParameters) -> LoadReport {
    let role = match parameters.role.as_deref() {
        Some("source") => Some(Role::Primary),
        Some("copy") => Some(Role::Replica),
        _ => None,
    };
    let position_ms = parameters.position.as_deref().and_then(|text| text.parse::<u64>().ok());
    let position = position_ms.filter(|ms| *ms > 0).map(Timestamp::from_millis);
    LoadReport { role, position, queue_length: None }
}

/// Parses a load report such as `x0=1767225600.123,x1=1,queue=4`, where `x0` is the position in seconds of
/// Unix time and `x1` is at least 0.5 at a primary. Other fields that cannot be parsed count as absent, but
/// if `x0` is zero or cannot be parsed, the whole report counts as empty.
///
/// ```
/// use comethitch_policy::{Role, time::Timestamp};
/// let report = comethitchd::wire::host_report::parse_load_report("queue=4,x0=1767225600.12,x1=1");
/// assert_eq!(report.position, Some(Timestamp::from_millis(1_767_225_600_119)), "1 ms earlier");
/// assert_eq!((report.role, report.queue_length), (Some(Role::Primary), Some(4.0)));
/// // A host without a position yet reports zero. The rest of its report is ignored, too.
/// let empty = comethitchd::wire::host_report::parse_load_report("x0=0.000,x1=0,queue=0");
/// assert_eq!(empty, comethitch_policy::LoadReport::default());
/// ```
pub fn parse_load_report(text: &str) -> LoadReport {
    let fields = || text.split(',').filter_map(|field| field.trim().split_once('='));
    let value = |key: &str| fields().find(|(name, _)| *name == key).map(|(_, value)| value);
    let role = value("x1").and_then(|x1| x1.parse::<f64>().ok()).map(role_from);
    let queue_length =
        value("queue").and_then(|queue| queue.parse().ok()).filter(|queue: &f64| *queue >= 0.0);
    match value("x0").map(parse_position) {
        Some(None) => LoadReport::default(),
        position => LoadReport { role, position: position.flatten(), queue_length },
    }
}

fn role_from(x1: f64) -> Role {
    if x1 >= 0.5 { Role::Primary } else { Role::Replica }
}

/// Parses a position in decimal seconds of Unix time. One unit of the resolution is subtracted, because the
/// host may have rounded the position up. Returns `None` for zero.
fn parse_position(text: &str) -> Option<Timestamp> {
    let (seconds, fraction) = text.split_once('.').unwrap_or((text, ""));
    let digits = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
    if seconds.is_empty() || !digits(seconds) || !digits(fraction) {
        return None;
    }
    let second_micros = seconds.parse::<u64>().ok()?.checked_mul(MICROS_PER_SECOND)?;
    // Trailing zeros of the fraction may be omitted.
    let fraction_micros: u64 = format!("{fraction:0<6}").get(..6)?.parse().ok()?;
    let position = Timestamp::from_micros(second_micros + fraction_micros) - POSITION_RESOLUTION;
    Some(position).filter(|at| *at > Timestamp::ZERO)
}
