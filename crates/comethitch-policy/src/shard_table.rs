//! The table of shards, ordered by their ids.

use crate::time::Timestamp;
use crate::{ShardId, shard::Shard};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// All shards for which a host was ever listed; none is ever removed.
#[derive(Default)]
pub(crate) struct ShardTable {
    shards: BTreeMap<ShardId, Shard>,
}

impl ShardTable {
    /// Returns the number of shards.
    pub(crate) fn len(&self) -> usize {
        self.shards.len()
    }

    /// Returns a shard, or `None` if no host was ever listed for it.
    pub(crate) fn get(&self, shard_id: ShardId) -> Option<&Shard> {
        self.shards.get(&shard_id)
    }

    /// Returns a mutable reference to a shard, or `None` if no host was ever listed for it.
    pub(crate) fn get_mut(&mut self, shard_id: ShardId) -> Option<&mut Shard> {
        self.shards.get_mut(&shard_id)
    }

    /// Returns a mutable reference to a shard, which is added if it is new.
    pub(crate) fn get_or_add(&mut self, shard_id: ShardId) -> &mut Shard {
        self.shards.entry(shard_id).or_default()
    }

    /// Returns all shards with their ids, in ascending order of the ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ShardId, &Shard)> {
        self.shards.iter().map(|(shard_id, shard)| (*shard_id, shard))
    }

    /// Returns the shards whose next review of health checks and state is due.
    pub(crate) fn due_for_review(&self, now: Timestamp) -> Vec<ShardId> {
        let due = self.iter().filter(|(_, shard)| shard.next_review() <= now);
        due.map(|(shard_id, _)| shard_id).collect()
    }
}

/// Looks up a shard for which a host was listed, such as the shard of a host in the host table.
impl Index<ShardId> for ShardTable {
    type Output = Shard;

    fn index(&self, shard_id: ShardId) -> &Shard {
        &self.shards[&shard_id]
    }
}

impl IndexMut<ShardId> for ShardTable {
    fn index_mut(&mut self, shard_id: ShardId) -> &mut Shard {
        self.shards
            .get_mut(&shard_id)
            .expect("a host was listed for this shard, and shards are never removed")
    }
}
