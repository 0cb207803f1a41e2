//! The events of a simulated fleet, and the queue that orders them by time.

use crate::clients::ClientRequest;
use crate::hosts::Job;
use comethitch_policy::time::Timestamp;
use comethitch_policy::{AttemptOutcome, LoadReport, RequestId, ShardId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A router between two restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouterId {
    pub index: usize,
    /// How often it had been killed before.
    pub incarnation: u32,
}

/// An attempt, as its router numbers it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptId {
    pub router: RouterId,
    pub request: RequestId,
    pub attempt: u16,
}

/// What a host made of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostResult {
    Answered,
    QueueFull,
    ConnectionReset,
    NotPrimary,
}

impl HostResult {
    /// What the policy is told of it.
    pub(super) fn outcome(self) -> AttemptOutcome {
        match self {
            HostResult::Answered => AttemptOutcome::Answered,
            HostResult::QueueFull => AttemptOutcome::Overloaded,
            HostResult::ConnectionReset => AttemptOutcome::ConnectionReset,
            HostResult::NotPrimary => AttemptOutcome::NotPrimary,
        }
    }
}

/// Something that happens at a time.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// The next request of a router's own clients arrives.
    RequestArrives {
        router: usize,
    },
    /// A client sends a throttled request again.
    ClientRetries {
        router: usize,
        request: ClientRequest,
        retries: u8,
    },
    AttemptReachesHost {
        host: usize,
        incarnation: u32,
        job: Job,
        write: bool,
    },
    JobFinishes {
        host: usize,
        job: Job,
    },
    AttemptReturns {
        attempt: AttemptId,
        host: usize,
        result: HostResult,
    },
    AttemptTimesOut {
        attempt: AttemptId,
    },
    HealthCheckReachesHost {
        router: RouterId,
        host: usize,
    },
    /// The report is `None` if the host is unreachable.
    HealthCheckReturns {
        router: RouterId,
        host: usize,
        report: Option<LoadReport>,
    },
    RouterTicks {
        router: RouterId,
    },
    EndpointsReachRouter {
        router: RouterId,
    },
    RouterRestarts {
        router: usize,
    },
    /// The fault with this place in the trial's list begins.
    FaultBegins(usize),
    /// A host begins to drain, and a new one takes its place.
    HostIsReplaced {
        host: usize,
    },
    HostIsRemoved {
        host: usize,
    },
    ReplicaIsPromoted {
        shard: ShardId,
    },
    ReplicationResumes {
        host: usize,
    },
    /// The second with this number begins.
    SecondBegins(u64),
}

impl Event {
    /// The router that an event is meant for. If that incarnation has ended, the event is void.
    pub(super) fn recipient(&self) -> Option<RouterId> {
        match self {
            Event::AttemptReturns { attempt, .. } | Event::AttemptTimesOut { attempt } => {
                Some(attempt.router)
            }
            Event::HealthCheckReturns { router, .. }
            | Event::RouterTicks { router }
            | Event::EndpointsReachRouter { router } => Some(*router),
            _ => None,
        }
    }
}

/// An event in the queue; events at one time are ordered as they were scheduled.
#[derive(Debug)]
struct ScheduledEvent {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl ScheduledEvent {
    fn key(&self) -> (Timestamp, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// Events to come, the earliest first.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Schedules an event; of those at one time the first scheduled comes first.
    pub(super) fn push(&mut self, at: Timestamp, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Takes the next event, and its time.
    pub(super) fn pop(&mut self) -> Option<(Timestamp, Event)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
