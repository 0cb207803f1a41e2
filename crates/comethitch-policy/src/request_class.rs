//! Request classes: settings that all requests of one kind share.

use crate::time::Duration;

/// The settings of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The time within which an answer has its full value to the client.
    pub latency_objective: Duration,
    /// The maximum time that clients wait for an answer.
    pub timeout: Duration,
    /// The value of an answer relative to those of other classes.
    pub priority_weight: f64,
    /// The effect of executing a request twice.
    pub idempotency: Idempotency,
    /// The hosts that drop a retry of a keyed request as a duplicate.
    pub deduplication_scope: DeduplicationScope,
    /// How long after the first execution of a keyed request its duplicates are dropped.
    pub deduplication_window: Duration,
    /// How up to date the data must be.
    pub consistency: Consistency,
}

/// The effect of executing a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The effect is the same as that of executing it once.
    Idempotent,
    /// The request carries an idempotency key, by which hosts recognize and drop duplicates.
    Keyed,
    /// The request takes effect twice.
    NonIdempotent,
}

/// The hosts that drop a retry of a keyed request as a duplicate, given the host that executed it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All hosts.
    Everywhere,
    /// Hosts in the same zone.
    Zone,
    /// Hosts in the same shard.
    Shard,
}

/// How up to date the data must be from which a request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The request writes data, which only the primary can do.
    Write,
    /// The read must see all commits before it, which only the primary has.
    Strong,
    /// The read must see all commits of the client's own session.
    Session,
    /// The read must see all commits older than this bound.
    BoundedStaleness(Duration),
    /// The read may see data of any age.
    Eventual,
}

impl Consistency {
    /// Returns whether only the primary can answer a request with this consistency.
    pub fn needs_primary(self) -> bool {
        matches!(self, Consistency::Write | Consistency::Strong)
    }
}

/// What a replica does with a read if its data are older than the read allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessCheck {
    /// It does not check and answers from old data; only the router ensures the consistency of the read.
    Off,
    /// It rejects the read.
    Reject,
    /// It delays the answer until it has caught up.
    Wait,
}
