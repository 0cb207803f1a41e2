//! The events of a simulated fleet, and the queue that orders them by time.

use crate::clients::ClientRequest;
use crate::hosts::Job;
use comethitch_policy::time::Timestamp;
use comethitch_policy::{AttemptOutcome, LoadReport, RequestId, ShardId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An incarnation of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouterId {
    pub index: usize,
    /// Number of times that the router was killed before.
    pub incarnation: u32,
}

/// Identifies an attempt by its number at the router.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptId {
    pub router: RouterId,
    pub request: RequestId,
    pub attempt: u16,
}

/// Result of an attempt at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostResult {
    Answered,
    QueueFull,
    ConnectionReset,
    NotPrimary,
}

impl HostResult {
    /// Returns the outcome that the policy is notified of.
    pub(super) fn outcome(self) -> AttemptOutcome {
        match self {
            HostResult::Answered => AttemptOutcome::Answered,
            HostResult::QueueFull => AttemptOutcome::Overloaded,
            HostResult::ConnectionReset => AttemptOutcome::ConnectionReset,
            HostResult::NotPrimary => AttemptOutcome::NotPrimary,
        }
    }
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// The next request of a router's own clients arrives.
    RequestArrives {
        router: usize,
    },
    /// A client retries a throttled request.
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
    /// A health check returns. The report is `None` if the host is unreachable.
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
    /// The fault with this index in the trial's list begins.
    FaultBegins(usize),
    /// A host begins to drain, and a new one is started.
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
    /// The second with this number begins, counted from the start of the trial.
    SecondBegins(u64),
}

impl Event {
    /// Returns the router incarnation that an event is for, or `None` if the event is for no particular
    /// incarnation. An event whose recipient has ended is discarded.
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

/// An event in the queue. Events at the same time are handled in the order in which they were scheduled.
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

/// Scheduled events, the earliest first.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Schedules an event.
    pub(super) fn push(&mut self, at: Timestamp, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Removes and returns the next event with its time.
    pub(super) fn pop(&mut self) -> Option<(Timestamp, Event)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
