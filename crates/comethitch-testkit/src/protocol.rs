//! The protocols of scripted hosts and clients, and the timeout of operations that wait for a peer.

use crate::{postgres, tds};
use std::time::Duration;

/// Timeout of operations that wait for a peer. It expires only in a test that has already failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A database protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The PostgreSQL frontend/backend protocol, version 3, with simple queries only.
    Postgres,
    /// TDS 7.4, as specified in \[MS-TDS\].
    Tds,
}

impl Protocol {
    /// Both protocols, for tests that run once for each.
    pub const BOTH: [Protocol; 2] = [Protocol::Postgres, Protocol::Tds];

    /// Encodes a request as a client sends it.
    pub fn encode_request(self, text: &str) -> Vec<u8> {
        match self {
            Protocol::Postgres => postgres::query(text),
            Protocol::Tds => tds::client::batch(text),
        }
    }
}
