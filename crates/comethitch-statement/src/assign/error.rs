//! Reasons for which a statement can't become a command, as they are reported to its client.

use crate::Effect;
use comethitch_policy::ShardId;

/// Why a statement becomes no command. None has run, and none becomes possible by a retry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// Its comment's request class may do less than its text does.
    #[error("the comment says {class:?}, and the statement is of the effect {}: {why}", .effect.name())]
    Disagrees {
        /// The name of the request class.
        class: String,
        /// The effect of the text.
        effect: Effect,
        /// Why it has this effect.
        why: String,
    },
    /// It concerns a transaction of several statements, which are not supported.
    #[error("transactions of several statements are not carried: send them as one query")]
    Transaction,
    /// No rule takes it.
    #[error("no rule names a command group for the effect {}{}", .effect.name(), reason(.why))]
    NoClass {
        /// The effect of the text.
        effect: Effect,
        /// Why it has this effect; empty for a read.
        why: String,
    },
    /// A table's rows are placed by a key, and the statement names none.
    #[error("{table} lies by {column}, and the statement compares it with no value")]
    NoKey {
        /// The table.
        table: String,
        /// The column of its key.
        column: String,
    },
    /// Its keys lie in several shards.
    #[error("the statement's keys lie in the groups of hosts {first} and {second}")]
    SeveralShards {
        /// The first shard found.
        first: ShardId,
        /// Another one.
        second: ShardId,
    },
    /// The comment names one shard, its keys lie in another.
    #[error("the comment says cluster={hinted}, and the statement's keys lie in {found}")]
    OtherShard {
        /// The one that the comment names.
        hinted: ShardId,
        /// The one of the keys.
        found: ShardId,
    },
    /// Neither comment, keys nor rules name a shard.
    #[error("nothing says which group of hosts the statement is for")]
    NoShard,
    /// Its tables are not known, since it could not be parsed, and tables are placed by keys.
    #[error("the statement's tables are not known: {why}")]
    NotParsed {
        /// Why it could not be parsed.
        why: String,
    },
}

impl AssignmentError {
    /// The SQLSTATE that the client gets.
    pub fn code(&self) -> &'static str {
        match self {
            AssignmentError::Disagrees { .. } => "42809",
            AssignmentError::NoClass { .. }
            | AssignmentError::Transaction
            | AssignmentError::NoKey { .. }
            | AssignmentError::SeveralShards { .. }
            | AssignmentError::NotParsed { .. } => "0A000",
            AssignmentError::OtherShard { .. } | AssignmentError::NoShard => "22023",
        }
    }
}

fn reason(why: &str) -> String {
    if why.is_empty() { String::new() } else { format!(": {why}") }
}
