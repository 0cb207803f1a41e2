//! Messages from a caller to the policy: requests, endpoint updates and the ends of attempts.

use crate::time::{Duration, Timestamp};
use crate::{AttemptOutcome, Host, Lifecycle, LoadReport, ShardId};

/// A request's id, assigned by the caller.
pub type RequestId = u32;

/// A request that a caller submits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The id, which is unique among the requests in progress.
    pub id: RequestId,
    /// The index of the request class in the deployment.
    pub class: usize,
    /// The shard that holds the requested data.
    pub shard_id: ShardId,
    /// The client's session; 0 for none.
    pub session: u64,
    /// The position up to which a session read must see all commits; used only if clients carry session
    /// tokens. `None` means that any position is sufficient.
    pub required_position: Option<Timestamp>,
    /// How much longer the client waits for the answer.
    pub timeout: Duration,
}

/// A host's entry in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The host.
    pub host: Host,
    /// The availability zone of the host.
    pub zone: u8,
    /// The shard that the host belongs to.
    pub shard_id: ShardId,
    /// Whether the host is ready, draining or removed.
    pub lifecycle: Lifecycle,
    /// Whether the list names the host as the primary of its shard.
    pub is_primary: bool,
    /// The capacity relative to that of other hosts; above 0.
    pub capacity: f64,
    /// When the host's process started, on the hosts' clock; `None` if the list does not say.
    pub started: Option<Timestamp>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// Whether `endpoints` contains all hosts, so that a host without an entry has been removed.
    pub complete: bool,
    /// The entries of new and changed hosts, or of all hosts if the update is complete.
    pub endpoints: Vec<Endpoint>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The number of the attempt within its request, starting at 0.
    pub attempt: u16,
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// Whether the request has its final answer, from this attempt or an earlier one.
    pub request_finished: bool,
    /// The load report in the response trailer, taken when the host answered.
    pub trailer: LoadReport,
    /// The last full load report of the host.
    pub report: LoadReport,
}
