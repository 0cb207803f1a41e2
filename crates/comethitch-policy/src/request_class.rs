//! Request classes: the settings that an application's requests of one kind share.

use crate::time::Duration;

/// The settings of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The time within which an answer is of full value.
    pub latency_objective: Duration,
    /// How long clients wait at most.
    pub timeout: Duration,
    /// The value of a request relative to others.
    pub priority_weight: f64,
    /// The effect of running a request twice.
    pub idempotency: Idempotency,
    /// The hosts among which a keyed request's retry is dropped as a duplicate.
    pub deduplication_scope: DeduplicationScope,
    /// How long duplicates are dropped, from the first run.
    pub deduplication_window: Duration,
    /// How fresh the data must be.
    pub consistency: Consistency,
}

/// The effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The same as running it once.
    Idempotent,
    /// Hosts drop duplicates by the idempotency key that it carries.
    Keyed,
    /// It takes effect again.
    NonIdempotent,
}

/// The hosts among which a keyed request's retry is dropped as a duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All hosts.
    Everywhere,
    /// Hosts of the same zone.
    Zone,
    /// Hosts of the same shard.
    Shard,
}

/// How fresh the data must be that a request is answered from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The request changes data, which only a primary can do.
    Write,
    /// All commits before the request, which only a primary has.
    Strong,
    /// All commits of the client's own session.
    Session,
    /// All commits older than this.
    BoundedStaleness(Duration),
    /// Data of any age.
    Eventual,
}

impl Consistency {
    /// Returns whether only the primary can answer such a request.
    pub fn needs_primary(self) -> bool {
        matches!(self, Consistency::Write | Consistency::Strong)
    }
}

/// What a replica does with a read that it lags too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessCheck {
    /// It answers from old data: the router alone guards the read.
    Off,
    /// It rejects the read.
    Reject,
    /// It answers once it has caught up.
    Wait,
}
