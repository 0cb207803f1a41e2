//! Decides where each request to a sharded, replicated database goes.
//!
//! This package contains the decisions and the interface around them. It does no I/O and reads no clock:
//! every call takes an [`Actions`], which provides the current time and carries out the decisions. It is
//! therefore independent of the protocols that clients and hosts use.
//!
//! - [`policy`]: every decision, as methods of [`Router`] and of [`Handle`], which identifies a submitted
//!   request,
//! - [`messages`], [`actions`]: what a caller reports to the policy, and what the policy asks the caller to
//!   do,
//! - [`deployment`]: the settings, and the parser of the start message that contains them,
//! - [`request_class`], [`host`], [`outcome`], [`send`]: what requests require, what hosts report, how
//!   attempts end, and why an attempt may not be sent,
//! - `request_table`, `host_table`, `shard_table` and `admission_queue`: the state that decisions are based
//!   on. The state of a host consists of a `listing`, a `replication_status`, a `host_health`, a
//!   `health_check_state` and a `host_load`; the state of a shard includes a `health_check_budget`,
//! - [`histogram`], [`random`], `random_source`, [`session_commits`]: general data structures.
//!
//! No other module depends on [`policy`].

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
pub use policy::{ClockState, Handle, Router, UnconfirmedAnswer};
pub use request_class::{Consistency, DeduplicationScope, Idempotency, RequestClass, StalenessCheck};
pub use send::{SendRefusal, SendViolation};
pub use shard::ShardState;
