//! Start and stop: the request lines, the log, the watch of the endpoint list, and listening until a signal; and the
//! tools `classify` and `trail`.

pub mod bind;
pub mod classify;
pub mod command_line;
pub mod discovery_client;
pub mod endpoint_watch;
pub mod listen;
pub mod logger;
pub mod protocol;
pub mod received_signals;
pub mod reload;
pub mod startup;
pub mod trail;
