//! The query router daemon: serves clients and hosts over sockets, and carries out the decisions of the
//! `comethitch-policy` package.
//!
//! [`wire`] contains the wire formats, [`state`] the state of a running router, [`stages`] the stages of a
//! request, [`protocols`] the connections to clients and hosts, and [`service`] startup, shutdown and
//! command-line tools. No module decides on hosts, retries, rejections or timeouts: all of these decisions
//! are the policy's.

pub mod protocols;
pub mod service;
pub mod stages;
pub mod state;
pub mod wire;
