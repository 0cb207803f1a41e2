//! Start and stop: the log, discovery's watch, listening until a signal, and the tools.

pub mod classify;
pub mod listen;
pub mod logger;
pub mod startup;
pub mod trail;
pub mod watch;
