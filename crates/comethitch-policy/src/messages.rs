//! What a caller reports to the policy: requests, the endpoint list, and how attempts ended.

use crate::time::{Duration, Timestamp};
use crate::{AttemptOutcome, Host, Lifecycle, LoadReport, ShardId};

/// A request's id, assigned by the caller.
pub type RequestId = u32;

/// A request, as a caller submits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The id, unique among the requests in progress.
    pub id: RequestId,
    /// The index of its request class in the deployment.
    pub class: usize,
    /// The shard that holds its data.
    pub shard_id: ShardId,
    /// The client's session; 0 for none.
    pub session: u64,
    /// The position that it must see, where clients carry session tokens.
    pub after: Option<Timestamp>,
    /// How long the client still waits for the answer.
    pub timeout: Duration,
}

/// A host's entry in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The host.
    pub host: Host,
    /// The availability zone.
    pub zone: u8,
    /// The shard that it belongs to.
    pub shard_id: ShardId,
    /// Whether the host is ready, draining or removed.
    pub lifecycle: Lifecycle,
    /// Whether the list names the host as its shard's primary.
    pub is_primary: bool,
    /// The capacity relative to that of other hosts, above 0.
    pub capacity: f64,
    /// When the host's process started, on the hosts' clock, if listed.
    pub started: Option<Timestamp>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// Whether these are all hosts, so that any other one has been removed.
    pub complete: bool,
    /// The entries of new or changed hosts.
    pub endpoints: Vec<Endpoint>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The number of the attempt within its request.
    pub attempt: u16,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether the request has its final answer, from this attempt or an earlier one.
    pub request_finished: bool,
    /// The response trailer: a load report from the moment of the answer.
    pub trailer: LoadReport,
    /// The host's last full load report.
    pub report: LoadReport,
}
