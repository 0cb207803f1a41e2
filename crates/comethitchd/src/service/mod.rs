//! Start, background tasks and shutdown of a router, its log, and the command-line tools `classify` and `trail`.

mod accept_loop;
pub mod classify;
pub mod command_line;
pub mod discovery_client;
pub mod endpoint_watch;
pub mod listener;
pub mod logger;
mod maintenance;
pub mod protocol;
mod readiness;
pub mod received_signals;
pub mod reload;
pub mod server;
mod shutdown;
pub mod startup;
pub mod trail;
