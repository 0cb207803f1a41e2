//! The operator's statement rules, read from JSON. The schema is `deploy/statements.schema.json`; its
//! descriptions are the doc comments here.
//!
//! Fields and types keep the names of the JSON keys and of the schema through serde's `rename` and
//! `expecting`.

use crate::budget::BudgetShares;
use crate::{Catalogue, Dialect, Effect};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The rules by which statements are assigned to request classes and shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The SQL dialect of clients and hosts.
    pub dialect: Dialect,
    /// What happens to a statement that may do more than the request class named by its comment allows.
    pub disagreement: Disagreement,
    /// Defaults for statements without a comment, or with an incomplete one. Without them such statements are
    /// rejected.
    #[serde(rename = "commentless")]
    pub comment_defaults: Option<Commentless>,
    /// Maps effects, tables and costs to request classes; the first matching rule applies.
    #[serde(rename = "groups")]
    pub classes: Vec<ClassRule>,
    /// Maps keys to shards. Without any, the comment or `elsewhere` must name the shard.
    #[serde(default)]
    pub keys: Vec<KeyRule>,
    /// The shard of statements that use no table with a key.
    #[serde(rename = "elsewhere")]
    pub default_shard: Option<u16>,
    /// Functions, tables, types and operators that are not built in.
    #[serde(default)]
    pub catalogue: Catalogue,
    /// The size of the verdict cache.
    #[serde(default)]
    pub cache: CacheSize,
    /// The CPU time budget for parsing.
    #[serde(default)]
    pub parsing: ParsingBudget,
}

/// What happens to a statement that may do more than the request class named by its comment allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Disagreement {
    /// The statement is rejected with an error that names the reason.
    #[serde(rename = "refuse")]
    Reject,
    /// The statement is assigned to the request class that the rules name.
    Raise,
}

/// Defaults for fields that a statement's comment omits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Commentless {
    /// The client's timeout in milliseconds.
    #[serde(rename = "wait_ms")]
    pub timeout_ms: u64,
}

/// Assigns statements that meet all conditions to a request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "GroupRule", expecting = "struct GroupRule", deny_unknown_fields)]
pub struct ClassRule {
    /// The name of the request class in `settings.classes`.
    #[serde(rename = "group")]
    pub class: String,
    /// The statement has one of these effects.
    pub effects: Vec<Effect>,
    /// The statement uses at least one of these tables; if absent, any tables match.
    pub tables: Option<Vec<String>>,
    /// The statement costs at least this many milliseconds.
    pub from_ms: Option<f64>,
    /// The statement costs less than this many milliseconds.
    pub below_ms: Option<f64>,
}

/// Tables whose rows are placed in shards by one of their columns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyRule {
    /// The tables, named as in statements.
    pub tables: Vec<String>,
    /// The column that holds the key.
    pub column: String,
    /// How keys are placed.
    #[serde(rename = "spread")]
    pub placement: Placement,
}

/// How keys are placed in shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Spread", rename_all = "snake_case", deny_unknown_fields)]
pub enum Placement {
    /// By the 64-bit FNV-1a hash of the key's text, modulo the number of shards, which are listed in this
    /// order.
    Hash(Vec<u16>),
    /// By ranges of keys, in ascending order.
    Range(Vec<KeyRange>),
}

/// Keys below a bound, and not below the bound of the previous range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Stretch", expecting = "struct Stretch", deny_unknown_fields)]
pub struct KeyRange {
    /// The exclusive upper bound; absent in the last range, which holds all remaining keys. Numbers are
    /// compared as numbers, texts byte by byte.
    pub below: Option<Bound>,
    /// The shard.
    #[serde(rename = "hosts")]
    pub shard: u16,
}

/// The bound of a range of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Bound {
    /// Compared as a number.
    Number(i64),
    /// Compared byte by byte.
    Text(String),
}

/// The size of the verdict cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CacheSize {
    /// Maximum memory of the cache, in KiB.
    pub kib: usize,
}

impl Default for CacheSize {
    fn default() -> CacheSize {
        CacheSize { kib: 4096 }
    }
}

/// The CPU time budget for parsing statements of unknown shapes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Parsing", expecting = "struct Parsing", deny_unknown_fields, default)]
pub struct ParsingBudget {
    /// The share of one core's time for all parsing.
    #[serde(rename = "core_part")]
    pub core_share: f64,
    /// One client's share of that budget.
    #[serde(rename = "client_part")]
    pub client_share: f64,
    /// What happens to statements when the budget is exhausted.
    #[serde(rename = "beyond")]
    pub when_exhausted: BudgetExceeded,
}

/// What happens to statements when the parsing budget is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Beyond", rename_all = "snake_case")]
pub enum BudgetExceeded {
    /// They count as unknown: sent to the primary only, and never retried.
    Cautious,
    /// They are throttled: not executed, so that a retry is harmless.
    Throttle,
}

impl Default for ParsingBudget {
    fn default() -> ParsingBudget {
        let shares = BudgetShares::default();
        ParsingBudget {
            core_share: shares.total,
            client_share: shares.client,
            when_exhausted: BudgetExceeded::Cautious,
        }
    }
}
