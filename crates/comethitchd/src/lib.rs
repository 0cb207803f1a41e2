//! The router on sockets around the decisions of the `comethitch` library.
//!
//! What is spoken stands in [`wire`], what is kept in [`memory`], the way of a command in [`stages`], and
//! start and stop in [`service`]. Nothing here chooses a host, a retry, a throttle or a time-out.

pub mod memory;
pub mod service;
pub mod stages;
pub mod wire;
