//! Stand-ins for what a router meets, for tests and tools: database hosts with one engine and two protocols, clients
//! of both, and a ledger that is held against what clients were told. They are written from the protocols'
//! public specifications and listen on loopback addresses alone.
//!
//! Every wait is for an event; the limits on waiting only end a test that has failed.

pub mod client;
pub mod engine;
pub mod ledger;
pub mod postgres;
pub mod tds;

pub use client::{Client, Received};
pub use engine::{Host, HostBehavior};
pub use ledger::{Exchange, Ledger};

use std::time::Duration;

/// A wait that ends only a test that has failed.
pub const LONG: Duration = Duration::from_secs(20);

/// What is spoken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Postgres,
    Tds,
}

impl Protocol {
    pub const BOTH: [Protocol; 2] = [Protocol::Postgres, Protocol::Tds];
}

/// The key of a command: the first text in single quotes.
pub fn key(text: &str) -> &str {
    text.split('\'').nth(1).unwrap_or_default()
}

/// Whether a command writes: all that these tests send begins with its verb.
pub fn writes(text: &str) -> bool {
    let bare = text.rsplit_once("*/").map_or(text, |(_, bare)| bare).trim_start();
    ["insert", "update", "delete"].iter().any(|verb| bare.to_ascii_lowercase().starts_with(verb))
}
