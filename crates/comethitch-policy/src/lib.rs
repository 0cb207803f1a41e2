//! comethitch decides where each command to a sharded, replicated database goes.
//!
//! This file is the interface of the decision module, [`policy`]: what a caller tells it, and the trait
//! [`Actions`] through which it acts. Nothing here decides anything. There is no I/O and no clock: every
//! call comes with an outlet that tells the time, so any protocol can be put before the same decisions.

pub mod actions;
pub mod chance;
mod command;
pub mod commits;
mod estimates;
pub mod histogram;
mod host_group;
mod host_state;
mod host_table;
mod messages;
pub mod policy;
mod router;

use std::collections::BTreeMap;
use time::{Duration, Timestamp};

pub use actions::{Action, ActionQueue, Actions};
pub use comethitch_fleet::quota::SlowStart;
pub use comethitch_time as time;
pub use messages::{AttemptEnd, CommandRequest, Endpoint, EndpointUpdate};
pub use router::{Handle, Router};

/// A database host, as the caller names it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Host {
    pub address: [u8; 4],
    pub port: u16,
}

impl Host {
    /// Address and port as one number.
    pub fn number(self) -> u64 {
        u64::from(u32::from_be_bytes(self.address)) << 16 | u64::from(self.port)
    }
}

/// A command's id, as the caller gives it.
pub type CommandId = u32;

/// The number of a group of database hosts: one primary and its replicas.
pub type Shard = u16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// Where a host stands in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    Ready,
    Draining,
    Removed,
}

/// How a dispatch, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Answered,
    Error,
    Overloaded,
    /// The host has no place for one more connection.
    NoConnectionSlot,
    TimedOut,
    ConnectionFailed,
    ConnectionReset,
    Cancelled,
    NotSent,
    NotPrimary,
}

impl AttemptOutcome {
    /// Whether this ending proves that the command never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Overloaded
                | AttemptOutcome::NoConnectionSlot
                | AttemptOutcome::ConnectionFailed
                | AttemptOutcome::NotSent
                | AttemptOutcome::NotPrimary
        )
    }
}

impl AttemptOutcome {
    /// Whether the host answered the command, be it only to reject it.
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Answered
                | AttemptOutcome::NotPrimary
                | AttemptOutcome::Error
                | AttemptOutcome::Overloaded
        )
    }
}

/// What a host says of itself; `None` is not told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostReport {
    pub role: Option<Role>,
    /// All commits up to here are applied there, at the least.
    pub position: Option<Timestamp>,
    /// How many commands wait there.
    pub queue: Option<f64>,
}

/// What a command group's commands may do on a second run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    Keyed,
    NonIdempotent,
}

/// Among which hosts a keyed command's repeat is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    Everywhere,
    Zone,
    Shard,
}

/// How new the data must be that a command is answered from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    Write,
    Strong,
    Session,
    BoundedStaleness(Duration),
    Eventual,
}

impl Consistency {
    /// Whether only the primary can answer such a command.
    pub fn needs_primary(self) -> bool {
        matches!(self, Consistency::Write | Consistency::Strong)
    }
}

/// What a replica does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessCheck {
    Off,
    Reject,
    Wait,
}

#[derive(Clone, Debug, PartialEq)]
pub struct CommandGroup {
    pub latency_objective: Duration,
    pub timeout: Duration,
    pub priority_weight: f64,
    pub idempotency: Idempotency,
    pub deduplication_scope: DeduplicationScope,
    pub deduplication_window: Duration,
    pub consistency: Consistency,
}

/// What the module reads of a deployment, decoded once at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub groups: Vec<CommandGroup>,
    pub staleness_check: StalenessCheck,
    pub session_tokens_carried: bool,
    pub tick: Duration,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// Points of service that one probe for each command would cost.
    pub probe_price: f64,
    pub hedging_allowed: bool,
    pub max_attempts: usize,
    pub max_retry_after: Option<Duration>,
    pub connect_timeout: Duration,
    pub drain_grace: Duration,
    pub removal_is_advisory: bool,
    pub must_watch_endpoints: bool,
    pub slow_start: SlowStart,
    origin: Timestamp,
    position_at: Option<usize>,
    role_at: Option<usize>,
    queue_at: Option<usize>,
}

impl Deployment {
    /// Reads the `path=value` lines of a start message.
    ///
    /// ```
    /// let missing = comethitch_policy::Deployment::read("me=0\n").unwrap_err();
    /// assert_eq!(missing, "domain.class_read is missing");
    /// ```
    pub fn read(text: &str) -> Result<Deployment, String> {
        let lines = Lines(text.lines().filter_map(|line| line.split_once('=')).collect());
        let needs: Vec<&str> = lines.text("domain.class_read")?.split(',').collect();
        let bounds: Vec<&str> = lines.text("domain.oldest_data_us")?.split(',').collect();
        let groups = (0..lines.get::<usize>("classes.count")?)
            .map(|i| lines.command_group(i, needs.get(i).copied(), bounds.get(i).copied()))
            .collect::<Result<_, String>>()?;
        let names: Vec<&str> = lines.text_or("load_info.names", "").split(',').collect();
        let at = |name| names.iter().position(|n| *n == name);
        let retry_after = lines.or("permissions.retry_after", false)?;
        Ok(Deployment {
            groups,
            staleness_check: lines.one_of(
                "domain.guards",
                &[
                    ("off", StalenessCheck::Off),
                    ("refuse", StalenessCheck::Reject),
                    ("wait", StalenessCheck::Wait),
                ],
            )?,
            session_tokens_carried: lines.text_or("domain.tokens", "carried") == "carried",
            tick: lines.span("tick_us")?,
            may_cancel: lines.or("permissions.cancel", false)?,
            may_probe: lines.or("permissions.may_probe", false)?,
            probe_price: lines.or("prices.probe", 0.0)?,
            hedging_allowed: lines.or("permissions.second_copies", false)?,
            max_attempts: lines.get("permissions.max_attempts")?,
            max_retry_after: match retry_after {
                true => Some(lines.span("permissions.max_retry_after_us")?),
                false => None,
            },
            connect_timeout: lines.span("permissions.connect_timeout_us")?,
            drain_grace: lines.span("rules.drain_grace_us")?,
            removal_is_advisory: lines.or("rules.gone_is_advice", false)?,
            must_watch_endpoints: lines.text_or("membership_mode", "automatic") == "subscribe",
            slow_start: SlowStart {
                routers: lines.get::<u32>("siblings")?.max(1),
                overload_multiple: lines.get("rules.fall_multiple")?,
                window: lines.span("rules.fall_us")?,
                initial_capacity: lines.get("rules.cold_from")?,
                warmup: lines.span("rules.warm_within_us")?,
            },
            origin: Timestamp::from_micros(lines.or("domain.origin_time_us", 0)?),
            position_at: at("x0"),
            role_at: at("x1"),
            queue_at: at("queue"),
        })
    }

    /// What the values of a host's report say. The position is a 32-bit float, rounded to the nearest: the
    /// next one below is surely not past the truth.
    pub fn parse_report(&self, values: &[f32]) -> HostReport {
        let value = |at: Option<usize>| at.and_then(|at| values.get(at)).copied();
        let position = value(self.position_at).map(|seconds| {
            self.origin + Duration::from_micros((f64::from(seconds.next_down()) * 1e6).max(0.0) as u64)
        });
        let role = value(self.role_at).map(|role| match role >= 0.5 {
            true => Role::Primary,
            false => Role::Replica,
        });
        let queue = value(self.queue_at).map(|queue| f64::from(queue).max(0.0));
        HostReport { role, position, queue }
    }

    /// What the note on an answer says: four times the position in milliseconds, plus the role.
    pub fn parse_note(&self, note: u32) -> HostReport {
        let role = match note % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        };
        let position = (note >= 4).then(|| self.origin + Duration::from_micros(u64::from(note / 4) * 1000));
        HostReport { role, position, queue: None }
    }
}

impl Deployment {
    pub fn shortest_latency_objective(&self) -> Option<Duration> {
        self.groups.iter().map(|group| group.latency_objective).min()
    }

    /// The tightest bound on the age of data.
    pub fn tightest_staleness_bound(&self) -> Option<Duration> {
        let bound = |g: &CommandGroup| {
            if let Consistency::BoundedStaleness(bound) = g.consistency { Some(bound) } else { None }
        };
        self.groups.iter().filter_map(bound).min()
    }

    /// Whether some command group has this need.
    pub fn serves(&self, need: Consistency) -> bool {
        self.groups.iter().any(|group| group.consistency == need)
    }
}

struct Lines<'a>(BTreeMap<&'a str, &'a str>);

impl Lines<'_> {
    fn text(&self, key: &str) -> Result<&str, String> {
        self.0.get(key).copied().ok_or_else(|| format!("{key} is missing"))
    }

    fn text_or<'a>(&'a self, key: &str, other: &'a str) -> &'a str {
        self.0.get(key).copied().unwrap_or(other)
    }

    fn get<T: std::str::FromStr>(&self, key: &str) -> Result<T, String> {
        let text = self.text(key)?;
        text.parse().map_err(|_| format!("{key} is unreadable: {text:?}"))
    }

    fn or<T: std::str::FromStr>(&self, key: &str, other: T) -> Result<T, String> {
        if self.0.contains_key(key) { self.get(key) } else { Ok(other) }
    }

    fn span(&self, key: &str) -> Result<Duration, String> {
        self.get(key).map(Duration::from_micros)
    }

    fn one_of<T: Copy>(&self, key: &str, known: &[(&str, T)]) -> Result<T, String> {
        let text = self.text(key)?;
        let found = known.iter().find(|(name, _)| *name == text);
        found.map(|(_, value)| *value).ok_or_else(|| format!("{key} is unreadable: {text:?}"))
    }

    fn command_group(
        &self, i: usize, need: Option<&str>, bound: Option<&str>,
    ) -> Result<CommandGroup, String> {
        let key = |field: &str| format!("classes.{i}.{field}");
        let bound = || -> Result<Duration, String> {
            let text = bound.ok_or("domain.oldest_data_us is too short")?;
            text.parse()
                .map(Duration::from_micros)
                .map_err(|_| format!("domain.oldest_data_us is unreadable: {text:?}"))
        };
        let need = match need.ok_or("domain.class_read is too short")? {
            "write" => Consistency::Write,
            "fresh" => Consistency::Strong,
            "session" => Consistency::Session,
            "bounded" => Consistency::BoundedStaleness(bound()?),
            "any" => Consistency::Eventual,
            other => return Err(format!("domain.class_read is unreadable: {other:?}")),
        };
        let effects = [
            ("repeatable", Idempotency::Idempotent),
            ("by_key", Idempotency::Keyed),
            ("once", Idempotency::NonIdempotent),
        ];
        let effect = self.one_of(&key("effect"), &effects)?;
        let reaches = [
            ("all", DeduplicationScope::Everywhere),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Shard),
        ];
        Ok(CommandGroup {
            latency_objective: self.span(&key("target_us"))?,
            timeout: self.span(&key("deadline_us"))?,
            priority_weight: self.get(&key("value"))?,
            idempotency: effect,
            deduplication_scope: if effect == Idempotency::Keyed {
                self.one_of(&key("group"), &reaches)?
            } else {
                DeduplicationScope::Everywhere
            },
            deduplication_window: Duration::from_micros(self.or(&key("window_us"), 0)?),
            consistency: need,
        })
    }
}

/// Which check rejected a command, or gave it up, and so where to look when many are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// Only the primary could take it, and no primary is believed to serve: Failover, or none found yet.
    NoPrimary,
    /// It had to wait, and its time would be out before the next look at it.
    DeadlineTooClose,
    /// Its time was out, less one beat for the answer to reach the client.
    DeadlineExceeded,
    /// It waited in line so long that any answer could only come late: a retry elsewhere may still be of use.
    QueuedTooLong,
    /// A mutating write was out at a primary that was lost: it may have run.
    PrimaryLost,
    /// Its dispatch ended without an answer, and it may not go again: by its effect, errors of its own, or
    /// too little time.
    NotRetryable,
}

impl RejectionReason {
    /// The name in logs and counts, in snake case: `no_primary` and so on.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::NoPrimary => "no_primary",
            RejectionReason::DeadlineTooClose => "deadline_too_close",
            RejectionReason::DeadlineExceeded => "deadline_exceeded",
            RejectionReason::QueuedTooLong => "queued_too_long",
            RejectionReason::PrimaryLost => "primary_lost",
            RejectionReason::NotRetryable => "not_retryable",
        }
    }
}
