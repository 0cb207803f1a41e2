//! The client protocols that hosts and clients of a test can speak, and the timeout that both wait with.

use std::time::Duration;

/// A timeout that expires only in a test that has already failed.
pub const LONG: Duration = Duration::from_secs(20);

/// A database protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The PostgreSQL frontend/backend protocol, version 3, with simple queries only.
    Postgres,
    /// TDS 7.4, as specified in \[MS-TDS\].
    Tds,
}

impl Protocol {
    /// Every protocol, for tests that run once for each.
    pub const BOTH: [Protocol; 2] = [Protocol::Postgres, Protocol::Tds];
}
