//! A database host and what it reports of itself.

use crate::time::Timestamp;

/// A database host, as the caller names it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Host {
    /// The IPv4 address.
    pub address: [u8; 4],
    /// The TCP port.
    pub port: u16,
}

impl Host {
    /// Address and port as one number.
    pub fn number(self) -> u64 {
        u64::from(u32::from_be_bytes(self.address)) << 16 | u64::from(self.port)
    }
}

/// The number of a group of database hosts: one primary and its replicas.
pub type ShardId = u16;

/// What a host is to its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes, and has all commits.
    Primary,
    /// It follows the primary.
    Replica,
}

/// Where a host stands in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It may be used.
    Ready,
    /// It is about to shut down, and is to get nothing new.
    Draining,
    /// It does not belong to its group any more.
    Removed,
}

/// What a host reports of itself; `None` is not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// What it is to its group.
    pub role: Option<Role>,
    /// All commits up to here are applied there, at the least.
    pub position: Option<Timestamp>,
    /// How many requests wait there.
    pub queue: Option<f64>,
}
