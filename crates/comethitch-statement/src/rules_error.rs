//! Faults in the operator's rules. Each text begins with the key that is at fault.

use crate::Effect;

/// Why rules can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RulesError {
    /// A share of the parsing budget is no fraction.
    #[error("parsing.{key} must be above 0 and at most 1, not {share}")]
    Share {
        /// The key within `parsing`.
        key: &'static str,
        /// The share given.
        share: f64,
    },
    /// The cache is too small or too large.
    #[error("cache.kib must be {least} to {most}, not {kib}")]
    CacheSize {
        /// The least size in KiB.
        least: usize,
        /// The largest size in KiB.
        most: usize,
        /// The size given, in KiB.
        kib: usize,
    },
    /// There is no rule for any request class.
    #[error("groups must hold a rule")]
    NoClasses,
    /// The rules name more different bounds of cost than there may be.
    #[error("groups must not hold more than {most} bounds of cost")]
    TooManyCostBounds {
        /// The most that there may be.
        most: usize,
    },
    /// A rule for a request class is faulty.
    #[error("groups.{index}.{source}")]
    Group {
        /// The rule's place, from 0.
        index: usize,
        /// What is wrong with it.
        source: ClassRuleError,
    },
    /// A rule for keys is faulty.
    #[error("keys.{index}.{source}")]
    Key {
        /// The rule's place, from 0.
        index: usize,
        /// What is wrong with it.
        source: KeyRuleError,
    },
}

/// What is wrong with one rule for a request class.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ClassRuleError {
    /// The deployment has no request class of this name.
    #[error("group is no command group: {name:?}")]
    UnknownClass {
        /// The name given.
        name: String,
    },
    /// It lists no effect.
    #[error("effects must name an effect")]
    NoEffects,
    /// The request class's idempotency or consistency does not allow an effect.
    #[error("effects holds {}, and commands of {class:?} may go to replicas or be sent again", .effect.name())]
    EffectNotAllowed {
        /// The effect.
        effect: Effect,
        /// The request class's name.
        class: String,
    },
    /// A bound is no duration.
    #[error("{key} must be a time above 0, not {milliseconds}")]
    CostBound {
        /// The key within the rule.
        key: &'static str,
        /// The duration given, in milliseconds.
        milliseconds: f64,
    },
    /// The bounds leave no cost between them.
    #[error("below_ms must be above from_ms")]
    NoCostBetweenBounds,
}

/// What is wrong with one rule for keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyRuleError {
    /// It lists no table.
    #[error("tables must name a table")]
    NoTables,
    /// Another rule has one of its tables.
    #[error("tables names {table:?}, which has a key already")]
    TableTwice {
        /// The table.
        table: String,
    },
    /// It hashes keys to no shard.
    #[error("spread.hash must name a group of hosts")]
    NoShards,
    /// It has no ranges of keys.
    #[error("spread.range must hold a stretch")]
    NoRanges,
    /// The last range leaves keys out.
    #[error("spread.range must end in a stretch without a bound")]
    LastRangeBounded,
    /// A range other than the last has no bound.
    #[error("spread.range.{index}.below is missing")]
    BoundMissing {
        /// The range's place, from 0.
        index: usize,
    },
    /// A bound is not above the one before it, or of another kind.
    #[error("spread.range.{index}.below must be above the one before, and of its kind")]
    BoundNotRising {
        /// The range's place, from 0.
        index: usize,
    },
}
