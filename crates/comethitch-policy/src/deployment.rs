//! The settings of a deployment. They are parsed once, from the `key=value` lines of the start message.

use crate::host::{LoadReport, Role};
use crate::request_class::{Consistency, DeduplicationScope, Idempotency, RequestClass, StalenessCheck};
use crate::time::{Duration, Timestamp};
use comethitch_fleet::quota::SlowStart;
use std::collections::BTreeMap;
use std::str::FromStr;
use thiserror::Error;

/// Why a start message is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeploymentError {
    /// A required key is missing.
    #[error("{key} is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// The value of a key cannot be parsed.
    #[error("{key} has an invalid value: {value:?}")]
    InvalidValue {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// A list has fewer entries than there are request classes.
    #[error("{key} has fewer entries than there are request classes")]
    ListTooShort {
        /// The key.
        key: &'static str,
    },
}

/// The settings that decisions depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// What replicas do with a read if their data are older than the read allows.
    pub staleness_check: StalenessCheck,
    /// Whether clients send the position of their session's last commit; otherwise routers track it.
    pub session_tokens_carried: bool,
    /// Minimum interval between two calls of [`Router::tick`](crate::Router::tick).
    pub tick: Duration,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether health checks may be sent.
    pub may_check_health: bool,
    /// Price of one health check, in abstract cost units. Each request adds a fixed number of these units to
    /// the budget for health checks.
    pub health_check_price: f64,
    /// Whether hedged requests are allowed: a second attempt that is sent while another one is in flight.
    pub hedging_allowed: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Maximum Retry-After of a rejected request; `None` if clients get no Retry-After.
    pub max_retry_after: Option<Duration>,
    /// Maximum time for establishing a connection.
    pub connect_timeout: Duration,
    /// How long a host still answers requests after it has started to drain.
    pub drain_grace: Duration,
    /// Whether hosts that were removed from the endpoint list may still be used.
    pub removal_is_advisory: bool,
    /// Whether the router must subscribe to the endpoint list.
    pub must_watch_endpoints: bool,
    /// The settings of slow start.
    pub slow_start: SlowStart,
    /// The time relative to which hosts report positions, on the hosts' clock.
    position_origin: Timestamp,
    report_fields: ReportFields,
}

/// The indices of the values in a load report; `None` for a value that hosts do not report.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReportFields {
    position: Option<usize>,
    role: Option<usize>,
    queue_length: Option<usize>,
}

impl Deployment {
    /// Parses the `key=value` lines of a start message.
    ///
    /// ```
    /// let missing = comethitch_policy::Deployment::parse("me=0\n").unwrap_err();
    /// assert_eq!(missing.to_string(), "domain.class_read is missing");
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if a required key is missing, a value is invalid, or a list has fewer entries than
    /// there are request classes.
    pub fn parse(text: &str) -> Result<Deployment, DeploymentError> {
        let message = StartMessage(text.lines().filter_map(|line| line.split_once('=')).collect());
        let classes = message.request_classes()?;
        let retry_after_allowed = message.value_or("permissions.retry_after", false)?;
        Ok(Deployment {
            classes,
            staleness_check: message.one_of("domain.guards", &STALENESS_CHECKS)?,
            session_tokens_carried: message.text_or("domain.tokens", "carried") == "carried",
            tick: message.duration("tick_us")?,
            may_cancel: message.value_or("permissions.cancel", false)?,
            may_check_health: message.value_or("permissions.may_probe", false)?,
            health_check_price: message.value_or("prices.probe", 0.0)?,
            hedging_allowed: message.value_or("permissions.second_copies", false)?,
            max_attempts: message.value("permissions.max_attempts")?,
            max_retry_after: if retry_after_allowed {
                Some(message.duration("permissions.max_retry_after_us")?)
            } else {
                None
            },
            connect_timeout: message.duration("permissions.connect_timeout_us")?,
            drain_grace: message.duration("rules.drain_grace_us")?,
            removal_is_advisory: message.value_or("rules.gone_is_advice", false)?,
            must_watch_endpoints: message.text_or("membership_mode", "automatic") == "subscribe",
            slow_start: message.slow_start()?,
            position_origin: Timestamp::from_micros(message.value_or("domain.origin_time_us", 0)?),
            report_fields: message.report_fields(),
        })
    }

    /// Parses the values of a host's load report.
    ///
    /// Hosts round the position to the nearest 32-bit float. The next lower float is used instead, because it
    /// never exceeds the exact position.
    pub fn parse_report(&self, values: &[f32]) -> LoadReport {
        let value = |field: Option<usize>| field.and_then(|field| values.get(field)).copied();
        let position = value(self.report_fields.position).map(|seconds| {
            let micros = (f64::from(seconds.next_down()) * 1e6).max(0.0) as u64;
            self.position_origin + Duration::from_micros(micros)
        });
        let role = value(self.report_fields.role)
            .map(|role| if role >= 0.5 { Role::Primary } else { Role::Replica });
        let queue_length = value(self.report_fields.queue_length).map(|queue| f64::from(queue).max(0.0));
        LoadReport { role, position, queue_length }
    }

    /// Parses a response trailer, which is four times the position in milliseconds plus a code for the role.
    /// A position of zero and an unknown code mean that the value was not reported.
    pub fn parse_trailer(&self, trailer: u32) -> LoadReport {
        let role = match trailer % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        };
        let position = Duration::from_micros(u64::from(trailer / 4) * 1000);
        let position = (trailer >= 4).then(|| self.position_origin + position);
        LoadReport { role, position, queue_length: None }
    }

    /// Returns the shortest latency objective of all request classes; `None` if there are no request classes.
    pub fn shortest_latency_objective(&self) -> Option<Duration> {
        self.classes.iter().map(|class| class.latency_objective).min()
    }

    /// Returns the tightest staleness bound of all request classes; `None` if no request class has one.
    pub fn tightest_staleness_bound(&self) -> Option<Duration> {
        let bound = |class: &RequestClass| match class.consistency {
            Consistency::BoundedStaleness(bound) => Some(bound),
            _ => None,
        };
        self.classes.iter().filter_map(bound).min()
    }

    /// Returns whether any request class requires this consistency.
    pub fn serves(&self, consistency: Consistency) -> bool {
        self.classes.iter().any(|class| class.consistency == consistency)
    }
}

const STALENESS_CHECKS: [(&str, StalenessCheck); 3] =
    [("off", StalenessCheck::Off), ("refuse", StalenessCheck::Reject), ("wait", StalenessCheck::Wait)];

const IDEMPOTENCIES: [(&str, Idempotency); 3] = [
    ("repeatable", Idempotency::Idempotent),
    ("by_key", Idempotency::Keyed),
    ("once", Idempotency::NonIdempotent),
];

const DEDUPLICATION_SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::Everywhere),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Shard),
];

/// The key of the list of consistencies, one per request class.
const CONSISTENCIES_KEY: &str = "domain.class_read";
/// The key of the list of staleness bounds, one per request class.
const STALENESS_BOUNDS_KEY: &str = "domain.oldest_data_us";

/// The values of a start message, by key.
struct StartMessage<'a>(BTreeMap<&'a str, &'a str>);

impl StartMessage<'_> {
    fn text(&self, key: &str) -> Result<&str, DeploymentError> {
        self.0.get(key).copied().ok_or_else(|| DeploymentError::Missing { key: key.into() })
    }

    fn text_or<'a>(&'a self, key: &str, default: &'a str) -> &'a str {
        self.0.get(key).copied().unwrap_or(default)
    }

    fn value<T: FromStr>(&self, key: &str) -> Result<T, DeploymentError> {
        parse(key, self.text(key)?)
    }

    fn value_or<T: FromStr>(&self, key: &str, default: T) -> Result<T, DeploymentError> {
        if self.0.contains_key(key) { self.value(key) } else { Ok(default) }
    }

    fn duration(&self, key: &str) -> Result<Duration, DeploymentError> {
        self.value(key).map(Duration::from_micros)
    }

    fn one_of<T: Copy>(&self, key: &str, values: &[(&str, T)]) -> Result<T, DeploymentError> {
        let text = self.text(key)?;
        let found = values.iter().find(|(name, _)| *name == text);
        found.map(|(_, value)| *value).ok_or_else(|| invalid_value(key, text))
    }

    fn slow_start(&self) -> Result<SlowStart, DeploymentError> {
        Ok(SlowStart {
            routers: self.value::<u32>("siblings")?.max(1),
            overload_multiple: self.value("rules.fall_multiple")?,
            window: self.duration("rules.fall_us")?,
            initial_capacity: self.value("rules.cold_from")?,
            warmup: self.duration("rules.warm_within_us")?,
        })
    }

    fn report_fields(&self) -> ReportFields {
        let names: Vec<&str> = self.text_or("load_info.names", "").split(',').collect();
        let index_of = |name| names.iter().position(|other| *other == name);
        ReportFields { position: index_of("x0"), role: index_of("x1"), queue_length: index_of("queue") }
    }

    fn request_classes(&self) -> Result<Vec<RequestClass>, DeploymentError> {
        let consistencies: Vec<&str> = self.text(CONSISTENCIES_KEY)?.split(',').collect();
        let bounds: Vec<&str> = self.text(STALENESS_BOUNDS_KEY)?.split(',').collect();
        (0..self.value::<usize>("classes.count")?)
            .map(|index| {
                let consistency = consistency(consistencies.get(index), bounds.get(index))?;
                self.request_class(index, consistency)
            })
            .collect()
    }

    fn request_class(&self, index: usize, consistency: Consistency) -> Result<RequestClass, DeploymentError> {
        let key = |field: &str| format!("classes.{index}.{field}");
        let idempotency = self.one_of(&key("effect"), &IDEMPOTENCIES)?;
        Ok(RequestClass {
            latency_objective: self.duration(&key("target_us"))?,
            timeout: self.duration(&key("deadline_us"))?,
            priority_weight: self.value(&key("value"))?,
            idempotency,
            deduplication_scope: if idempotency == Idempotency::Keyed {
                self.one_of(&key("group"), &DEDUPLICATION_SCOPES)?
            } else {
                DeduplicationScope::Everywhere
            },
            deduplication_window: Duration::from_micros(self.value_or(&key("window_us"), 0)?),
            consistency,
        })
    }
}

/// Parses a request class's entries in the lists of consistencies and staleness bounds.
fn consistency(name: Option<&&str>, bound: Option<&&str>) -> Result<Consistency, DeploymentError> {
    let name = name.ok_or(DeploymentError::ListTooShort { key: CONSISTENCIES_KEY })?;
    match *name {
        "write" => Ok(Consistency::Write),
        "fresh" => Ok(Consistency::Strong),
        "session" => Ok(Consistency::Session),
        "bounded" => {
            let bound = bound.ok_or(DeploymentError::ListTooShort { key: STALENESS_BOUNDS_KEY })?;
            parse(STALENESS_BOUNDS_KEY, bound).map(Duration::from_micros).map(Consistency::BoundedStaleness)
        }
        "any" => Ok(Consistency::Eventual),
        other => Err(invalid_value(CONSISTENCIES_KEY, other)),
    }
}

fn parse<T: FromStr>(key: &str, text: &str) -> Result<T, DeploymentError> {
    text.parse().map_err(|_| invalid_value(key, text))
}

fn invalid_value(key: &str, value: &str) -> DeploymentError {
    DeploymentError::InvalidValue { key: key.into(), value: value.into() }
}
