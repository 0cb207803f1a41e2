//! Requests and retries of clients, for both simulated time and real processes.

use crate::ledger::Operation;
use comethitch_policy::ShardId;
use comethitch_policy::time::Duration;

/// Maximum number of retries of a throttled request.
pub const MAX_RETRIES: u8 = 2;
/// Delay before a retry.
pub const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum rate of requests of a router's clients, which keeps the time to the next request finite.
pub const MIN_REQUESTS_PER_SECOND: f64 = 1e-6;

/// A request of a client, sent again for each retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Operation that the request belongs to.
    pub operation: Operation,
    /// Shard that has the data of the request.
    pub shard: ShardId,
    /// Whether it is a write.
    pub write: bool,
}
