//! The requests that wait for capacity, by the shard that they wait for: an event at one group need not look at
//! what waits for others.
//!
//! Who waits, in which order, and who goes next is decided in [`policy`](crate::policy).

use crate::{RequestId, ShardId};
use std::collections::BTreeMap;

/// What a waiting request has behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitingFor {
    /// It was not sent yet.
    FirstAttempt,
    /// Its attempts have failed.
    Retry,
}

/// The requests that wait for one shard, in the order in which they are to go.
#[derive(Default)]
struct ShardQueues {
    first_attempts: Vec<RequestId>,
    retries: Vec<RequestId>,
}

impl ShardQueues {
    fn queue_mut(&mut self, waiting_for: WaitingFor) -> &mut Vec<RequestId> {
        match waiting_for {
            WaitingFor::FirstAttempt => &mut self.first_attempts,
            WaitingFor::Retry => &mut self.retries,
        }
    }

    fn is_empty(&self) -> bool {
        self.first_attempts.is_empty() && self.retries.is_empty()
    }
}

/// All waiting requests. There are never more than requests in progress.
#[derive(Default)]
pub(crate) struct WaitingRequests {
    /// No group stands here for which nothing waits.
    shards: BTreeMap<ShardId, ShardQueues>,
}

impl WaitingRequests {
    /// Whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Inserts a request behind all for which `goes_before` holds. They must stand first in the queue.
    pub(crate) fn insert(
        &mut self, shard_id: ShardId, waiting_for: WaitingFor, id: RequestId,
        goes_before: impl Fn(RequestId) -> bool,
    ) {
        let queue = self.shards.entry(shard_id).or_default().queue_mut(waiting_for);
        let place = queue.partition_point(|other| goes_before(*other));
        queue.insert(place, id);
    }

    /// Takes out a queue, to be gone through and given back.
    pub(crate) fn take(&mut self, shard_id: ShardId, waiting_for: WaitingFor) -> Vec<RequestId> {
        let shard = self.shards.get_mut(&shard_id);
        shard.map(|shard| std::mem::take(shard.queue_mut(waiting_for))).unwrap_or_default()
    }

    /// Gives back what is left of a queue. What has come meanwhile goes behind it.
    pub(crate) fn give_back(
        &mut self, shard_id: ShardId, waiting_for: WaitingFor, mut remaining: Vec<RequestId>,
    ) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let queue = shard.queue_mut(waiting_for);
        remaining.append(queue);
        *queue = remaining;
        if shard.is_empty() {
            self.shards.remove(&shard_id);
        }
    }

    /// The next groups for which requests wait, this many at the most, in a round that goes on behind `last`.
    pub(crate) fn next_shards(&self, last: Option<ShardId>, most: usize) -> Vec<ShardId> {
        let behind = self.shards.range(last.map_or(0, |last| last.saturating_add(1))..);
        let from_start = self.shards.iter();
        behind.chain(from_start).map(|(shard_id, _)| *shard_id).take(most.min(self.shards.len())).collect()
    }
}
