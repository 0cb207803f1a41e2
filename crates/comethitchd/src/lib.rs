//! The query router on sockets, which carries out the decisions of the `comethitch-policy` package.
//!
//! [`wire`] contains the wire formats, [`state`] the state of a running router, [`stages`] the stages of a request,
//! [`protocols`] the connections to clients and hosts, and [`service`] start, shutdown and command-line tools. No module
//! chooses hosts, retries, rejections or timeouts: the policy does.

pub mod protocols;
pub mod service;
pub mod stages;
pub mod state;
pub mod wire;
