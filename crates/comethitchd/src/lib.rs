//! The router on sockets around the decisions of the `comethitch-policy` package.
//!
//! What is spoken stands in [`wire`], what is kept in [`memory`], the way of a command in [`stages`], what speaks with
//! clients and hosts in [`protocols`], and start and stop in [`service`]. Each imports only from those before it.
//! Nothing here chooses a host, a retry, a throttle or a time-out.

pub mod protocols;
pub mod service;
pub mod stages;
pub mod state;
pub mod wire;
