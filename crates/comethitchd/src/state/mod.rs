//! The state of a running router: configuration, connections, requests in progress, endpoint list, memory and
//! metrics.
//!
//! [`router_state::RouterState`] owns all of it.

pub mod arrivals;
pub mod buffer;
pub mod client_registry;
pub mod clock;
pub mod config;
pub mod connection_pool;
pub mod descriptors;
pub mod discovery_state;
pub mod dropped_log_lines;
pub mod endpoints;
pub mod event_loop_clock;
pub mod host_connection;
pub mod hosts;
pub mod log_fields;
pub mod memory_budget;
pub mod message_allowance;
pub mod metrics;
pub mod metrics_report;
pub mod pending_requests;
pub mod protocol;
pub mod router_state;
pub mod signals;
pub mod socket;
pub mod stall_detector;
pub mod statement_rules;
pub mod step_times;
pub mod task_budget;
pub mod task_executor;
pub mod transition_log;
