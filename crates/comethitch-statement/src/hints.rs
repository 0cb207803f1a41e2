//! What a statement's comment says about it.

use comethitch_policy::Shard;

/// The parts of a comment that decide where a statement goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementHints {
    /// The command group, by its place in the deployment.
    pub group: Option<usize>,
    /// The group of hosts.
    pub shard: Option<Shard>,
}
