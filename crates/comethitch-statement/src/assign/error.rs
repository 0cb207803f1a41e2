//! Reasons why a statement cannot be assigned, as reported to the client.

use crate::Effect;
use comethitch_policy::ShardId;

/// Why a statement cannot be assigned. It has not been executed, and a retry fails in the same way.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// The request class named by the comment does not allow the statement's effect.
    #[error("the comment says {class:?}, and the statement is of the effect {}: {reason}", .effect.name())]
    EffectNotAllowed {
        /// The name of the request class.
        class: String,
        /// The statement's effect.
        effect: Effect,
        /// Why it has this effect.
        reason: String,
    },
    /// The statement controls a transaction of several statements, which are not supported.
    #[error("transactions of several statements are not carried: send them as one query")]
    Transaction,
    /// No rule for request classes matches.
    #[error("no rule names a command group for the effect {}{}", .effect.name(), reason_suffix(.reason))]
    NoClass {
        /// The statement's effect.
        effect: Effect,
        /// Why it has this effect; empty for a read.
        reason: String,
    },
    /// A table's rows are placed by a key whose value the statement does not determine.
    #[error("{table} lies by {column}, and the statement compares it with no value")]
    NoKey {
        /// The table.
        table: String,
        /// The key's column.
        column: String,
    },
    /// The statement's keys lie in several shards.
    #[error("the statement's keys lie in the groups of hosts {first} and {second}")]
    SeveralShards {
        /// The first shard found.
        first: ShardId,
        /// Another shard.
        second: ShardId,
    },
    /// The statement's keys lie in another shard than the one that the comment names.
    #[error("the comment says cluster={hinted}, and the statement's keys lie in {found}")]
    ShardMismatch {
        /// The shard that the comment names.
        hinted: ShardId,
        /// The shard of the keys.
        found: ShardId,
    },
    /// No shard is given by the comment, the keys or the rules.
    #[error("nothing says which group of hosts the statement is for")]
    NoShard,
    /// The statement was not parsed, so that its tables and keys are unknown.
    #[error("the statement's tables are not known: {reason}")]
    NotParsed {
        /// Why it was not parsed.
        reason: String,
    },
}

impl AssignmentError {
    /// Returns the SQLSTATE that is sent to the client.
    pub fn code(&self) -> &'static str {
        match self {
            AssignmentError::EffectNotAllowed { .. } => "42809",
            AssignmentError::NoClass { .. }
            | AssignmentError::Transaction
            | AssignmentError::NoKey { .. }
            | AssignmentError::SeveralShards { .. }
            | AssignmentError::NotParsed { .. } => "0A000",
            AssignmentError::ShardMismatch { .. } | AssignmentError::NoShard => "22023",
        }
    }
}

fn reason_suffix(reason: &str) -> String {
    if reason.is_empty() { String::new() } else { format!(": {reason}") }
}
