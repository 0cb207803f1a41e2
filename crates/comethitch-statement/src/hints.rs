//! Routing hints from a statement's comment.

use comethitch_policy::ShardId;

/// The request class and shard that a statement's comment names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementHints {
    /// The request class, by its index in the deployment.
    pub class: Option<usize>,
    /// The shard.
    pub shard: Option<ShardId>,
}
