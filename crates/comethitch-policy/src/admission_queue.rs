//! The admission queue: requests that wait for capacity, by shard.
//!
//! An event at one shard does not touch what waits for others. Which requests wait, in which order, and which go next is
//! decided in [`policy`](crate::policy).

use crate::{RequestId, ShardId};
use std::collections::BTreeMap;

/// What a queued request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitingFor {
    /// Its first attempt.
    FirstAttempt,
    /// A retry, as its attempts have failed.
    Retry,
}

/// The requests that wait for one shard, in the order in which they are to be sent.
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

/// All requests that wait for capacity; at most the requests in progress.
#[derive(Default)]
pub(crate) struct AdmissionQueue {
    /// Holds no shard whose queues are empty, except while one is being drained.
    shards: BTreeMap<ShardId, ShardQueues>,
    /// The last shard of the previous round over all shards.
    cursor: Option<ShardId>,
}

impl AdmissionQueue {
    /// Returns whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Inserts a request behind all for which `goes_before` holds; these must be at the front of the queue.
    pub(crate) fn insert(
        &mut self, shard_id: ShardId, waiting_for: WaitingFor, id: RequestId,
        goes_before: impl Fn(RequestId) -> bool,
    ) {
        let queue = self.shards.entry(shard_id).or_default().queue_mut(waiting_for);
        let position = queue.partition_point(|other| goes_before(*other));
        queue.insert(position, id);
    }

    /// Removes and returns a whole queue, to be drained; [`AdmissionQueue::restore`] takes back the rest of it.
    pub(crate) fn take(&mut self, shard_id: ShardId, waiting_for: WaitingFor) -> Vec<RequestId> {
        let shard = self.shards.get_mut(&shard_id);
        shard.map(|shard| std::mem::take(shard.queue_mut(waiting_for))).unwrap_or_default()
    }

    /// Puts back the requests of a drained queue that still wait, ahead of any that were queued meanwhile.
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

    /// Returns the next shards with waiting requests, at most `max_shards`, continuing behind the previous round.
    pub(crate) fn next_round(&mut self, max_shards: usize) -> Vec<ShardId> {
        let first = self.cursor.map_or(0, |last| last.saturating_add(1));
        let behind_cursor = self.shards.range(first..);
        let from_start = self.shards.iter();
        let max_shards = max_shards.min(self.shards.len());
        let round: Vec<ShardId> =
            behind_cursor.chain(from_start).map(|(shard_id, _)| *shard_id).take(max_shards).collect();
        self.cursor = round.last().copied().or(self.cursor);
        round
    }
}

#[cfg(test)]
mod tests;
