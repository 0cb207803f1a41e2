//! Start and stop: configuration, log, clock, discovery's watch, and listening until a signal.

pub mod classify;
pub mod clock;
pub mod configuration;
pub mod daemon;
pub mod listen;
pub mod logger;
pub mod tally;
pub mod watch;
