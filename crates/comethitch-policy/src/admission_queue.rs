//! The admission queue: requests that wait for capacity, by shard.
//!
//! The shards have separate queues, so that an event at one shard causes no work for the queues of others.
//! The module [`policy`](crate::policy) decides which requests wait, in which order, and which are sent next.

use crate::{RequestId, ShardId};
use std::collections::BTreeMap;

/// What a queued request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitingFor {
    /// The first attempt.
    FirstAttempt,
    /// A retry, after all attempts so far have failed.
    Retry,
}

/// The requests that wait for one shard, in the order in which they will be sent.
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

/// All requests that wait for capacity. Its length is bounded by the number of requests in progress.
#[derive(Default)]
pub(crate) struct AdmissionQueue {
    /// The queues by shard. A shard whose queues are empty has no entry, except while it is being drained.
    shards: BTreeMap<ShardId, ShardQueues>,
    /// The last shard that [`AdmissionQueue::next_round`] returned.
    last_in_round: Option<ShardId>,
}

impl AdmissionQueue {
    /// Returns whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Inserts a request after all queued requests for which `goes_before` returns true. These must form the
    /// front of the queue.
    pub(crate) fn insert(
        &mut self, shard_id: ShardId, waiting_for: WaitingFor, id: RequestId,
        goes_before: impl Fn(RequestId) -> bool,
    ) {
        let queue = self.shards.entry(shard_id).or_default().queue_mut(waiting_for);
        let position = queue.partition_point(|other| goes_before(*other));
        queue.insert(position, id);
    }

    /// Removes and returns all requests of a queue, so that the caller can drain it. The caller must then
    /// pass those that still wait to [`AdmissionQueue::restore`].
    pub(crate) fn take(&mut self, shard_id: ShardId, waiting_for: WaitingFor) -> Vec<RequestId> {
        let shard = self.shards.get_mut(&shard_id);
        shard.map(|shard| std::mem::take(shard.queue_mut(waiting_for))).unwrap_or_default()
    }

    /// Puts back the requests that still wait after their queue was drained, ahead of requests queued in the
    /// meantime.
    pub(crate) fn restore(
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

    /// Returns the next shards with waiting requests, at most `max_shards`. Continues after the last shard of
    /// the previous round, so that all shards have their turn.
    pub(crate) fn next_round(&mut self, max_shards: usize) -> Vec<ShardId> {
        let first = self.last_in_round.map_or(0, |last| last.saturating_add(1));
        let after_last = self.shards.range(first..);
        let from_start = self.shards.iter();
        let max_shards = max_shards.min(self.shards.len());
        let round: Vec<ShardId> =
            after_last.chain(from_start).map(|(shard_id, _)| *shard_id).take(max_shards).collect();
        self.last_in_round = round.last().copied().or(self.last_in_round);
        round
    }
}

#[cfg(test)]
mod tests;
