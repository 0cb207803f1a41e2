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
    /// Returns the address and the port, combined into one number that is unique to the host.
    pub fn as_u64(self) -> u64 {
        u64::from(u32::from_be_bytes(self.address)) << 16 | u64::from(self.port)
    }
}

/// The id of a shard, which consists of one primary and its replicas.
pub type ShardId = u16;

/// A host's role in its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The host that accepts writes and has all commits.
    Primary,
    /// A host that replicates the data of the primary.
    Replica,
}

/// A host's lifecycle state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The host may be used.
    Ready,
    /// The host will shut down after its drain grace and should receive no new requests.
    Draining,
    /// The host no longer belongs to its shard.
    Removed,
}

/// A load report of a host. Values that were not reported are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The role of the host in its shard.
    pub role: Option<Role>,
    /// A position up to which the host has applied all commits; it may have applied later ones too.
    pub position: Option<Timestamp>,
    /// Number of requests queued at the host.
    pub queue_length: Option<f64>,
}
