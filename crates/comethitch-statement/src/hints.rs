//! What a statement's comment says about it.

use comethitch_policy::ShardId;

/// The parts of a comment that decide where a statement goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementHints {
    /// The request class, by its place in the deployment.
    pub class: Option<usize>,
    /// The shard.
    pub shard: Option<ShardId>,
}
