//! Test doubles for the peers of a router on loopback: scripted database hosts, and clients of both
//! protocols.
//!
//! A [`Host`] listens on a loopback port and follows a script of [`HostBehavior`]s; a [`Client`] connects to
//! a router and sends requests. All hosts of a test record what reaches them in one [`Ledger`], which then
//! checks the answers that clients received against the router's rules. The two protocols, in [`postgres`]
//! and [`tds`], are written from their public specifications and share no code with the router except the TDS
//! codec.
//!
//! Hosts and clients wait for events rather than for fixed times. [`TEST_TIMEOUT`] ends only a test that has
//! already failed.

pub mod behavior;
pub mod client;
mod connection;
mod engine;
mod error;
pub mod host;
pub mod ledger;
pub mod postgres;
pub mod protocol;
pub mod reply;
pub mod request;
pub mod tds;

pub use behavior::HostBehavior;
pub use client::Client;
pub use host::Host;
pub use ledger::{Exchange, Ledger, Violation};
pub use protocol::{Protocol, TEST_TIMEOUT};
pub use reply::Reply;
pub use request::{is_write, request_key};
