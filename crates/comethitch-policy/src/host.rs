//! Database hosts and their load reports.

use crate::time::Timestamp;

/// The address of a database host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Host {
    /// The IPv4 address.
    pub address: [u8; 4],
    /// The TCP port.
    pub port: u16,
}

impl Host {
    /// Returns address and port as one number.
    pub fn number(self) -> u64 {
        u64::from(u32::from_be_bytes(self.address)) << 16 | u64::from(self.port)
    }
}

/// The id of a shard: one primary and its replicas.
pub type ShardId = u16;

/// A host's role in its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The host that takes writes, and has all commits.
    Primary,
    /// A host that follows the primary.
    Replica,
}

/// A host's lifecycle state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The host may be used.
    Ready,
    /// The host is about to shut down, and gets no new requests.
    Draining,
    /// The host no longer belongs to its shard.
    Removed,
}

/// A load report of a host. A value that is `None` was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The role in its shard.
    pub role: Option<Role>,
    /// The position up to which at least all commits are applied.
    pub position: Option<Timestamp>,
    /// Number of requests queued at the host.
    pub queue: Option<f64>,
}
