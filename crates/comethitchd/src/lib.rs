//! The router on sockets around the decisions of the `comethitch-policy` package.
//!
//! Wire formats are in [`wire`], what a running router holds in [`state`], the path of a request in [`stages`], what
//! speaks with clients and hosts in [`protocols`], and start and stop in [`service`]. Nothing here chooses a host, a
//! retry, a throttle or a timeout.

pub mod protocols;
pub mod service;
pub mod stages;
pub mod state;
pub mod wire;
