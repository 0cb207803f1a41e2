//! Startup, background tasks and shutdown of a router, its logger, and the command-line tools `classify` and
//! `trail`.

mod accept_loop;
pub mod classify;
pub mod command_line;
mod discovery_client;
mod endpoint_update;
mod endpoint_watch;
pub mod listener;
pub mod logger;
mod maintenance;
pub mod protocol;
mod readiness;
mod received_signals;
mod reload;
pub mod server;
mod shutdown;
pub mod startup;
pub mod trail;
