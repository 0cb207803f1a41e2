//! The decision module: every decision of the router is made in this folder.
//!
//! A caller creates a [`Router`], reports endpoint updates, health checks and ticks to it, and submits
//! requests. Later events of a request are reported through the [`Handle`] that [`Router::submit`] returns.
//! The mechanisms are described in `docs/design.md`, which also has a table of departures from its sources.
//! In comments, these departures are marked "Beyond the design".
//!
//! Coordination:
//!
//! - `router`: the router's state and entry points,
//! - `lookups`: quantities derived from several parts of the state,
//! - `settings`: immutable settings,
//! - `intervals`: time constants that several decisions share.
//!
//! The path of a request:
//!
//! - `admission`: sends, queues or rejects requests,
//! - `selection`: selects a host, with `staleness` for the age of its data and `capacity` for its load,
//! - `attempts`: sends attempts and handles their ends, with `outcomes` for what an end shows about hosts and
//!   load,
//! - `retries`: decides on retries and hedged requests, within `retry_budget`,
//! - `send_guard`: checks an attempt right before it is written.
//!
//! Hosts and shards:
//!
//! - `endpoints`: applies the endpoint list,
//! - `reports`: applies load reports, `unconfirmed` what answers show before they are confirmed,
//! - `failover`: the state machine of a shard,
//! - `health`: handles health checks,
//! - `outliers`: ejects hosts,
//! - `periodic_checks`: starts health checks that are due, within the limits of `health_check_scheduler`,
//! - `position_refresh`: refreshes positions on demand,
//! - `host_time`: the time on the hosts' clocks, estimated by `host_clock`.
//!
//! Measurements:
//!
//! - `load_statistics`: groups `service_times`, `error_rate` and `peer_load`,
//! - `recent_requests`: whether a shard is in use,
//! - `event_loop_lag`: how late the router's own ticks run.

mod admission;
mod attempts;
mod capacity;
mod endpoints;
mod error_rate;
mod event_loop_lag;
mod failover;
mod health;
mod health_check_scheduler;
mod host_clock;
mod host_time;
mod intervals;
mod load_statistics;
mod lookups;
mod outcomes;
mod outliers;
mod peer_load;
mod periodic_checks;
mod position_refresh;
mod recent_requests;
mod reports;
mod retries;
mod retry_budget;
mod router;
mod selection;
mod send_guard;
mod service_times;
mod settings;
mod staleness;
mod unconfirmed;

pub use host_clock::ClockState;
pub use router::{Handle, Router};
pub use unconfirmed::UnconfirmedAnswer;
