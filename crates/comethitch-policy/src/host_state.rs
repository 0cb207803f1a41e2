//! What the router knows of a database host: data, and how reports of it are recorded.
//!
//! What follows from these fields, and when a host counts as failed, is decided in [`policy`](crate::policy).

use crate::time::{Duration, Timestamp};
use crate::{DeduplicationScope, Endpoint, Host, Lifecycle, LoadReport, Role, ShardId, histogram::Histogram};
use comethitch_fleet::{
    concurrency_limit::ConcurrencyLimit, connection_slots::ConnectionSlots,
    decaying_counter::DecayingCounter, quota::WindowUsage,
};

/// What a host counts for that is listed with no capacity: weights must be above zero.
const MIN_CAPACITY: f64 = 1e-9;

/// Notes on answers give positions in milliseconds.
const TRAILER_RESOLUTION: Duration = Duration::from_millis(1);

/// A database host as this router sees it.
#[derive(Default)]
pub(crate) struct HostState {
    pub host: Host,
    /// The number of its zone.
    pub zone: u8,
    /// The group that it belongs to.
    pub shard_id: ShardId,
    /// Its listed capacity beside that of others.
    pub capacity: f64,
    /// When it was first listed as draining, or as removed where removal is binding.
    pub draining_since: Option<Timestamp>,
    /// Listed as removed, or missing from a complete list.
    pub removed: bool,
    /// Stands among the removed hosts that are to be forgotten.
    pub awaits_forgetting: bool,
    /// When its process started, on the hosts' clock, if that is listed.
    pub started: Option<Timestamp>,
    /// The role that it last reported.
    pub role: Option<Role>,
    /// When it last answered as primary.
    pub last_seen_primary: Timestamp,
    /// All commits up to here, on the hosts' clock, are applied there: proven, never going back.
    pub position: Timestamp,
    /// How far behind it seemed when it last reported its position.
    pub lag: Duration,
    /// When it last reported its position.
    pub lag_reported_at: Timestamp,
    /// How many requests waited there at its last report.
    pub queue_length: f64,
    /// The work that this router has in flight there, and its limit.
    pub concurrency: ConcurrencyLimit,
    /// The last answer to a request.
    pub last_answer: Timestamp,
    /// The last answer of any kind, also to a health check.
    pub last_sign_of_life: Timestamp,
    /// When it was first asked anything after its last sign of life: silence counts from here.
    pub awaiting_since: Timestamp,
    /// Attempts that timed out, or were cancelled late, since its last answer to a request.
    pub unanswered_attempts: u32,
    /// Answers no requests, whatever its health checks say.
    pub unresponsive: bool,
    /// Failed connections, resets, failed health checks and rare errors since its last sign of life.
    pub consecutive_failures: u32,
    /// Until then no request is sent there.
    pub ejected_until: Timestamp,
    /// Whether it accepts one more connection.
    pub connection_slots: ConnectionSlots,
    /// When the health check in flight was sent.
    pub health_check_sent: Option<Timestamp>,
    /// When its health is to be checked next.
    pub next_health_check: Timestamp,
    /// When a request may have its position refreshed next.
    pub next_position_refresh: Timestamp,
    /// Answer times as thousandths of the usual one of their request class.
    pub relative_latency: Histogram,
    /// Work lately sent there, decaying over the window in which a host in slow start is judged.
    pub work_sent: DecayingCounter,
    /// Work lately answered there, decaying over the same window.
    pub work_answered: DecayingCounter,
    /// What was sent there in the present window of its slow start.
    pub slow_start_usage: WindowUsage,
    /// How many attempts of requests in progress, ended ones too, went there.
    pub attempts_in_progress: u32,
}

impl HostState {
    /// A host that was just listed for the first time. `relative_latency` is to be empty.
    pub(crate) fn new(endpoint: &Endpoint, relative_latency: Histogram, now: Timestamp) -> HostState {
        HostState {
            host: endpoint.host,
            shard_id: endpoint.shard_id,
            last_sign_of_life: now,
            next_health_check: now,
            relative_latency,
            ..HostState::default()
        }
    }

    /// Records how the endpoint list has it now.
    pub(crate) fn apply_endpoint(&mut self, endpoint: &Endpoint, now: Timestamp) {
        self.zone = endpoint.zone;
        self.capacity = endpoint.capacity.max(MIN_CAPACITY);
        self.started = self.started.max(endpoint.started);
        self.removed = endpoint.lifecycle == Lifecycle::Removed;
        self.draining_since = match endpoint.lifecycle {
            Lifecycle::Ready => None,
            Lifecycle::Draining => self.draining_since.or(Some(now)),
            Lifecycle::Removed => self.draining_since,
        };
    }

    /// Records a report that came now, and how far behind its position seemed.
    pub(crate) fn apply_position(&mut self, lag: Duration, report: &LoadReport, now: Timestamp) {
        self.lag = lag;
        self.lag_reported_at = now;
        self.queue_length = report.queue.unwrap_or_default();
    }

    /// Records the note on an answer to what was sent at that time of the hosts, if it is known. A primary has all
    /// commits when it answers, so at the least those up to the moment of the send.
    pub(crate) fn apply_trailer(&mut self, trailer: &LoadReport, sent_at: Option<Timestamp>) {
        if trailer.role == Some(Role::Primary) {
            let noted = trailer.position.map(|position| position - TRAILER_RESOLUTION);
            self.position = self.position.max(noted.max(sent_at).unwrap_or_default());
        }
    }

    /// Whether it drops a request as a duplicate that ran at another host, by the scope of idempotency keys.
    pub(crate) fn shares_keys(&self, other: &HostState, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::Everywhere => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Shard => self.shard_id == other.shard_id,
        }
    }

    /// Records that it was asked something, unless it already owes an answer.
    pub(crate) fn expect_answer(&mut self, now: Timestamp) {
        if self.awaiting_since <= self.last_sign_of_life {
            self.awaiting_since = now;
        }
    }

    /// For how long it has owed an answer without any sign of life.
    pub(crate) fn silent_for(&self, now: Timestamp) -> Duration {
        if self.awaiting_since > self.last_sign_of_life { now - self.awaiting_since } else { Duration::ZERO }
    }
}
