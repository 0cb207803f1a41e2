//! What a caller reports to the policy: requests, the endpoint list, and how attempts ended.

use crate::time::{Duration, Timestamp};
use crate::{AttemptOutcome, Host, Lifecycle, LoadReport, ShardId};

/// A request's id, as the caller gives it.
pub type RequestId = u32;

/// A request as a caller submits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's number for it, unique among the requests in flight.
    pub id: RequestId,
    /// Its request class, by its place in the deployment.
    pub class: usize,
    /// The shard that holds its data.
    pub shard_id: ShardId,
    /// The client's session, 0 for none.
    pub session: u64,
    /// The position that it must see, where clients carry that.
    pub after: Option<Timestamp>,
    /// How much longer its client waits.
    pub timeout: Duration,
}

/// One host as the endpoint list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The host.
    pub host: Host,
    /// The number of its zone.
    pub zone: u8,
    /// The shard that it belongs to.
    pub shard_id: ShardId,
    /// Whether it may be used.
    pub lifecycle: Lifecycle,
    /// Whether the list names it as its group's primary.
    pub is_primary: bool,
    /// Its capacity beside that of others, above 0.
    pub capacity: f64,
    /// When its process started, if that is reported.
    pub started: Option<Timestamp>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// Whether these are all hosts, so that any other has been removed.
    pub complete: bool,
    /// The hosts that are new or have changed.
    pub endpoints: Vec<Endpoint>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The number of the attempt.
    pub attempt: u16,
    /// What came of it.
    pub outcome: AttemptOutcome,
    /// Whether the request has its final answer, by this attempt or before.
    pub request_finished: bool,
    /// What the answer reports of the host at that moment.
    pub trailer: LoadReport,
    /// The host's last load report.
    pub report: LoadReport,
}
