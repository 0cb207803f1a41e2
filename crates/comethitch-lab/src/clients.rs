//! What all simulated clients have in common, in simulated time and with real processes: the commands that they send,
//! and how they retry.

use crate::ledger::Request;
use comethitch_policy::Shard;
use comethitch_policy::time::Duration;

/// How often a client retries a throttled command.
pub const MAX_RETRIES: u8 = 2;
/// How long a client waits before it retries.
pub const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The least rate of a router's clients, in commands a second: the time to the next one stays finite.
pub const LEAST_RATE: f64 = 1e-6;

/// A command as a client sends it, again if it retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientCommand {
    /// The request that it belongs to.
    pub request: Request,
    /// The group of hosts that holds its data.
    pub shard: Shard,
    /// Whether it writes.
    pub write: bool,
}
