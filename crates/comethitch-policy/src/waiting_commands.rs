//! The commands that wait for capacity, by the group of hosts that they wait for: an event at one group need not look at
//! what waits for others.
//!
//! Who waits, in which order, and who goes next is decided in [`policy`](crate::policy).

use crate::{CommandId, Shard};
use std::collections::BTreeMap;

/// What a waiting command has behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitingFor {
    /// It was not sent yet.
    FirstAttempt,
    /// Its attempts have failed.
    Retry,
}

/// The commands that wait for one group of hosts, in the order in which they are to go.
#[derive(Default)]
struct GroupQueues {
    first_attempts: Vec<CommandId>,
    retries: Vec<CommandId>,
}

impl GroupQueues {
    fn queue_mut(&mut self, waiting_for: WaitingFor) -> &mut Vec<CommandId> {
        match waiting_for {
            WaitingFor::FirstAttempt => &mut self.first_attempts,
            WaitingFor::Retry => &mut self.retries,
        }
    }

    fn is_empty(&self) -> bool {
        self.first_attempts.is_empty() && self.retries.is_empty()
    }
}

/// All waiting commands. There are never more than commands in progress.
#[derive(Default)]
pub(crate) struct WaitingCommands {
    /// No group stands here for which nothing waits.
    groups: BTreeMap<Shard, GroupQueues>,
}

impl WaitingCommands {
    /// Whether no command waits.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Inserts a command behind all for which `goes_before` holds. They must stand first in the queue.
    pub fn insert(
        &mut self, shard: Shard, waiting_for: WaitingFor, id: CommandId,
        goes_before: impl Fn(CommandId) -> bool,
    ) {
        let queue = self.groups.entry(shard).or_default().queue_mut(waiting_for);
        let place = queue.partition_point(|other| goes_before(*other));
        queue.insert(place, id);
    }

    /// Takes out a queue, to be gone through and given back.
    pub fn take(&mut self, shard: Shard, waiting_for: WaitingFor) -> Vec<CommandId> {
        let group = self.groups.get_mut(&shard);
        group.map(|group| std::mem::take(group.queue_mut(waiting_for))).unwrap_or_default()
    }

    /// Gives back what is left of a queue. What has come meanwhile goes behind it.
    pub fn give_back(&mut self, shard: Shard, waiting_for: WaitingFor, mut remaining: Vec<CommandId>) {
        let Some(group) = self.groups.get_mut(&shard) else { return };
        let queue = group.queue_mut(waiting_for);
        remaining.append(queue);
        *queue = remaining;
        if group.is_empty() {
            self.groups.remove(&shard);
        }
    }

    /// The next groups for which commands wait, this many at the most, in a round that goes on behind `last`.
    pub fn next_groups(&self, last: Option<Shard>, most: usize) -> Vec<Shard> {
        let behind = self.groups.range(last.map_or(0, |last| last.saturating_add(1))..);
        let from_start = self.groups.iter();
        behind.chain(from_start).map(|(shard, _)| *shard).take(most.min(self.groups.len())).collect()
    }
}
