//! Request classes: what the requests of an application have in common, as its settings say.

use crate::time::Duration;

/// The settings that the requests of a group share.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time is of full use.
    pub latency_objective: Duration,
    /// How long clients wait at the most.
    pub timeout: Duration,
    /// What a request is worth beside others.
    pub priority_weight: f64,
    /// What a second run may do.
    pub idempotency: Idempotency,
    /// Among which hosts a keyed request's retry is dropped as a duplicate.
    pub deduplication_scope: DeduplicationScope,
    /// For how long it is.
    pub deduplication_window: Duration,
    /// How new the data must be.
    pub consistency: Consistency,
}

/// What a request may do on a second run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The same as one run.
    Idempotent,
    /// It carries an idempotency key, by which hosts drop duplicates.
    Keyed,
    /// It takes effect twice.
    NonIdempotent,
}

/// Among which hosts a keyed request's retry is dropped as a duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All hosts.
    Everywhere,
    /// Hosts of the same zone.
    Zone,
    /// Hosts of the same shard.
    Shard,
}

/// How new the data must be that a request is answered from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// It changes data, as only a primary can.
    Write,
    /// All commits before it: a primary's data.
    Strong,
    /// All commits of its own session.
    Session,
    /// All commits older than this.
    BoundedStaleness(Duration),
    /// Of any age.
    Eventual,
}

impl Consistency {
    /// Whether only the primary can answer such a request.
    pub fn needs_primary(self) -> bool {
        matches!(self, Consistency::Write | Consistency::Strong)
    }
}

/// What a replica does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessCheck {
    /// It answers from old data: the router alone guards the read.
    Off,
    /// It rejects the read.
    Reject,
    /// It answers once it has caught up.
    Wait,
}
