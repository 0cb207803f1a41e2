//! Decides where each request to a sharded, replicated database goes.
//!
//! This package contains the decisions and the interface around them. It does no I/O and reads no clock: every call takes
//! an [`Actions`], which tells the time and carries out what was decided, so any protocol can be put in front.
//!
//! - [`policy`]: every decision, as calls on a [`Router`] and on the [`Handle`] of a request,
//! - [`messages`], [`actions`]: what a caller reports, and what the policy has it do,
//! - [`deployment`]: the settings, and the parser of a start message,
//! - [`request_class`], [`host`], [`outcome`], [`send`]: what requests require, what hosts report, how attempts end,
//! - `request_table`, `host_table`, `shard_table` and `admission_queue`: the state that decisions are based on. A host is a
//!   `listing`, a `replication_status`, a `host_health`, a `health_check_state` and a `host_load`; a shard has a
//!   `health_check_budget`,
//! - [`histogram`], [`random`], `random_source`, [`session_commits`]: general data structures.
//!
//! Nothing outside [`policy`] depends on it.

pub mod actions;
mod admission_queue;
pub mod deployment;
mod health_check_budget;
mod health_check_state;
pub mod histogram;
pub mod host;
mod host_health;
mod host_load;
mod host_state;
mod host_table;
mod listing;
pub mod messages;
pub mod outcome;
pub mod policy;
pub mod random;
mod random_source;
mod replication_status;
pub mod request_class;
mod request_state;
mod request_table;
pub mod send;
pub mod session_commits;
mod shard;
mod shard_table;

pub use actions::{Action, ActionQueue, Actions};
pub use comethitch_fleet::quota::SlowStart;
pub use comethitch_time as time;
pub use deployment::{Deployment, DeploymentError};
pub use host::{Host, Lifecycle, LoadReport, Role, ShardId};
pub use messages::{AttemptEnd, Endpoint, EndpointUpdate, Request, RequestId};
pub use outcome::{AttemptOutcome, RejectionReason};
pub use policy::{ClockState, Handle, Router};
pub use request_class::{Consistency, DeduplicationScope, Idempotency, RequestClass, StalenessCheck};
pub use send::{SendRefusal, SendViolation};
pub use shard::ShardState;
