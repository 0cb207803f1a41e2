//! What the router knows of a database host: data alone.
//!
//! What changes these fields, and what follows from them, is decided in [`policy`](crate::policy).

use crate::time::{Duration, Timestamp};
use crate::{Host, Role, Shard, histogram::Histogram};
use comethitch_fleet::{
    concurrency_limit::ConcurrencyLimit, connection_slots::ConnectionSlots,
    decaying_counter::DecayingCounter, quota::WindowUsage,
};

/// A database host as this router sees it.
#[derive(Default)]
pub struct HostState {
    pub host: Host,
    pub zone: u8,
    pub shard: Shard,
    /// Its listed capacity beside that of others.
    pub capacity: f64,
    /// When it was first listed as draining, or as removed where removal is binding.
    pub draining_since: Option<Timestamp>,
    /// Listed as removed, or missing from a complete list.
    pub removed: bool,
    /// When its process started, if that is listed.
    pub started: Option<Timestamp>,
    /// The role that it last reported.
    pub role: Option<Role>,
    /// When it last answered as primary.
    pub last_seen_primary: Timestamp,
    /// All commits up to here are applied there: proven, never going back.
    pub position: Timestamp,
    /// How far behind it seemed when it last reported its position.
    pub lag: Duration,
    pub lag_reported_at: Timestamp,
    /// How many commands waited there at its last report.
    pub queue_length: f64,
    /// The work that this router has in flight there, and its limit.
    pub concurrency: ConcurrencyLimit,
    /// The last answer to a command.
    pub last_answer: Timestamp,
    /// The last answer of any kind, also to a health check.
    pub last_sign_of_life: Timestamp,
    /// When it was first asked anything after its last sign of life: silence counts from here.
    pub awaiting_since: Timestamp,
    /// Attempts that timed out, or were cancelled late, since its last answer to a command.
    pub unanswered_attempts: u32,
    /// Answers no commands, whatever its health checks say.
    pub unresponsive: bool,
    /// Failed connections, resets, failed health checks and rare errors since its last sign of life.
    pub consecutive_failures: u32,
    pub ejected_until: Timestamp,
    pub connection_slots: ConnectionSlots,
    /// When the health check in flight was sent.
    pub health_check_sent: Option<Timestamp>,
    pub next_health_check: Timestamp,
    pub next_position_refresh: Timestamp,
    /// Answer times as thousandths of the usual one of their command group.
    pub relative_latency: Histogram,
    /// Work lately sent there, decaying over the window in which a host in slow start is judged.
    pub work_sent: DecayingCounter,
    /// Work lately answered there, decaying over the same window.
    pub work_answered: DecayingCounter,
    /// What was sent there in the present window of its slow start.
    pub slow_start_usage: WindowUsage,
}
