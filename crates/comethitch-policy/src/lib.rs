//! comethitch decides where each command to a sharded, replicated database goes.
//!
//! This package is the decisions and the interface around them. There is no I/O and no clock: every call comes with
//! an [`Actions`] that tells the time and carries out what was decided, so any protocol can be put in front.
//!
//! - [`policy`]: every decision, as calls on a [`Router`] and on the [`Handle`] of a command,
//! - [`messages`], [`actions`]: what a caller reports, and what the policy has it do,
//! - [`deployment`]: the settings, and the reader of a start message,
//! - [`command_group`], [`host`], [`outcome`]: what commands require, what hosts report, how things end,
//! - `router`, `command`, `host_state`, `host_table`, `host_group`, `waiting_commands`, `estimates`: the state that decisions are made from,
//! - [`histogram`], [`random`], [`session_commits`]: data structures that know nothing of databases.

#![warn(missing_docs)]

pub mod actions;
mod command;
pub mod command_group;
pub mod deployment;
mod estimates;
pub mod histogram;
pub mod host;
mod host_group;
mod host_state;
mod host_table;
pub mod messages;
pub mod outcome;
pub mod policy;
pub mod random;
mod router;
pub mod send;
pub mod session_commits;
mod waiting_commands;

pub use actions::{Action, ActionQueue, Actions};
pub use comethitch_fleet::quota::SlowStart;
pub use comethitch_time as time;
pub use command_group::{CommandGroup, Consistency, DeduplicationScope, Idempotency, StalenessCheck};
pub use deployment::{Deployment, DeploymentError};
pub use host::{Host, HostReport, Lifecycle, Role, Shard};
pub use host_group::GroupState;
pub use messages::{AttemptEnd, CommandId, CommandRequest, Endpoint, EndpointUpdate};
pub use outcome::{AttemptOutcome, RejectionReason};
pub use policy::ClockState;
pub use router::{Handle, Router};
pub use send::{SendRefusal, SendViolation};
