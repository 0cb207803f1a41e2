//! What all simulated clients have in common, in simulated time and with real processes: the requests that they send,
//! and how they retry.

use crate::ledger::Operation;
use comethitch_policy::ShardId;
use comethitch_policy::time::Duration;

/// How often a client retries a throttled request.
pub const MAX_RETRIES: u8 = 2;
/// How long a client waits before it retries.
pub const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The least rate of a router's clients, in requests a second: the time to the next one stays finite.
pub const LEAST_RATE: f64 = 1e-6;

/// A request as a client sends it, again if it retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// The request that it belongs to.
    pub operation: Operation,
    /// The shard that holds its data.
    pub shard: ShardId,
    /// Whether it writes.
    pub write: bool,
}
