//! Errors in the operator's rules. Each message begins with the JSON key at fault.

use crate::Effect;

/// An error in the operator's rules.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RulesError {
    /// A share of the parsing budget is not above 0 and at most 1.
    #[error("parsing.{key} must be above 0 and at most 1, not {share}")]
    Share {
        /// The key within `parsing`.
        key: &'static str,
        /// The configured share.
        share: f64,
    },
    /// The cache is too small or too large.
    #[error("cache.kib must be between {min_kib} and {max_kib}, not {kib}")]
    CacheSize {
        /// Minimum size, in KiB.
        min_kib: usize,
        /// Maximum size, in KiB.
        max_kib: usize,
        /// The configured size, in KiB.
        kib: usize,
    },
    /// The list of rules for request classes is empty.
    #[error("groups must contain at least one rule")]
    NoClasses,
    /// The rules name too many different cost bounds.
    #[error("groups must not contain more than {max} different cost bounds in from_ms and below_ms")]
    TooManyCostBounds {
        /// Maximum number of bounds.
        max: usize,
    },
    /// A rule for a request class is invalid.
    #[error("groups.{index}.{source}")]
    ClassRule {
        /// The rule's index, from 0.
        index: usize,
        /// The error in the rule.
        source: ClassRuleError,
    },
    /// A rule for keys is invalid.
    #[error("keys.{index}.{source}")]
    KeyRule {
        /// The rule's index, from 0.
        index: usize,
        /// The error in the rule.
        source: KeyRuleError,
    },
}

/// An error in one rule for a request class.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ClassRuleError {
    /// The deployment has no request class of this name.
    #[error("group names an unknown request class: {name:?}")]
    UnknownClass {
        /// The configured name.
        name: String,
    },
    /// The list of effects is empty.
    #[error("effects must contain at least one effect")]
    NoEffects,
    /// The request class's idempotency or consistency does not allow an effect.
    #[error(
        "effects contains {}, but requests of the class {class:?} may go to replicas or be retried",
        .effect.name()
    )]
    EffectNotAllowed {
        /// The effect.
        effect: Effect,
        /// The request class's name.
        class: String,
    },
    /// A cost bound is not above 0, or is too large.
    #[error("{key} must be a duration in milliseconds above 0 and below 1e9, not {milliseconds}")]
    CostBound {
        /// The key within the rule.
        key: &'static str,
        /// The configured duration, in milliseconds.
        milliseconds: f64,
    },
    /// The lower cost bound is not below the upper one.
    #[error("below_ms must be above from_ms")]
    NoCostBetweenBounds,
}

/// An error in one rule for keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyRuleError {
    /// The list of tables is empty.
    #[error("tables must contain at least one table")]
    NoTables,
    /// An earlier rule already names one of the tables.
    #[error("tables contains {table:?}, for which an earlier rule defines a key")]
    DuplicateTable {
        /// The table.
        table: String,
    },
    /// The list of shards for hashed keys is empty.
    #[error("spread.hash must contain at least one shard")]
    NoShards,
    /// The list of key ranges is empty.
    #[error("spread.range must contain at least one range")]
    NoRanges,
    /// The last range has a bound, which leaves some keys without a shard.
    #[error("spread.range must end with a range that has no `below`")]
    LastRangeBounded,
    /// A range other than the last has no bound.
    #[error("spread.range.{index}.below is missing")]
    BoundMissing {
        /// The range's index, from 0.
        index: usize,
    },
    /// A bound is not above the previous one, or is not of the same kind.
    #[error(
        "spread.range.{index}.below must be above the previous bound and of the same type, number or text"
    )]
    BoundNotAscending {
        /// The range's index, from 0.
        index: usize,
    },
}
