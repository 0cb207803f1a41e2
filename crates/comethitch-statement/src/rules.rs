//! The operator's rules: how statements become commands. Read from JSON; the schema is
//! `deploy/statements.schema.json`, whose descriptions are the comments here.
//!
//! Some types keep a former name for serde (`rename`, `expecting`): the schema and error messages use it.

use crate::budget::BudgetShares;
use crate::{Catalogue, Dialect, Effect};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The rules by which statements are assigned to request classes and shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The language that clients and hosts speak.
    pub dialect: Dialect,
    /// What becomes of a statement whose comment names a request class that may do less than its text does.
    pub disagreement: Disagreement,
    /// How statements without a comment, or whose comment leaves something out, are admitted. Without this they
    /// are rejected.
    pub commentless: Option<Commentless>,
    /// From effects, tables and costs to request classes; the first rule that fits counts.
    #[serde(rename = "groups")]
    pub classes: Vec<ClassRule>,
    /// From keys to shards. Without any, a comment must name the shard, or `elsewhere` does.
    #[serde(default)]
    pub keys: Vec<KeyRule>,
    /// The shard of statements that name no table with a key.
    pub elsewhere: Option<u16>,
    /// Names that the router can't know: functions, tables, types and operators.
    #[serde(default)]
    pub catalogue: Catalogue,
    /// The size of the cache of verdicts.
    #[serde(default)]
    pub cache: CacheSize,
    /// The budget for parsing.
    #[serde(default)]
    pub parsing: Parsing,
}

/// What becomes of a statement whose comment names a request class that may do less than its text does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Disagreement {
    /// The statement is rejected, with an error that says why.
    Refuse,
    /// It goes by the request class that the rules name.
    Raise,
}

/// Defaults for what a statement's comment leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Commentless {
    /// How many milliseconds a client waits that does not say so.
    pub wait_ms: u64,
}

/// Statements that fit all conditions belong to the request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "GroupRule", expecting = "struct GroupRule", deny_unknown_fields)]
pub struct ClassRule {
    /// The request class, by its name in `settings.classes`.
    #[serde(rename = "group")]
    pub class: String,
    /// The statement has one of these effects.
    pub effects: Vec<Effect>,
    /// It uses one of these tables; without this, any tables.
    pub tables: Option<Vec<String>>,
    /// It costs so many milliseconds at least.
    pub from_ms: Option<f64>,
    /// It costs less than so many milliseconds.
    pub below_ms: Option<f64>,
}

/// Tables whose rows are placed in shards by one of their columns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyRule {
    /// The tables, by name as statements call them.
    pub tables: Vec<String>,
    /// The column that holds the key.
    pub column: String,
    /// How keys are placed.
    pub spread: Placement,
}

/// How keys are placed in shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Spread", rename_all = "snake_case", deny_unknown_fields)]
pub enum Placement {
    /// By the 64-bit FNV-1a hash of the key's text, modulo the number of shards: that many of them, in
    /// this order.
    Hash(Vec<u16>),
    /// By ranges of keys, in rising order.
    Range(Vec<KeyRange>),
}

/// Keys below a bound, and not below the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Stretch", expecting = "struct Stretch", deny_unknown_fields)]
pub struct KeyRange {
    /// Keys below this; the last range has none, and takes all others. A number compares as a number, a text
    /// byte by byte.
    pub below: Option<Bound>,
    /// The shard.
    pub hosts: u16,
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

/// The size of the cache of verdicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CacheSize {
    /// The cache takes no more memory than this, in KiB.
    pub kib: usize,
}

impl Default for CacheSize {
    fn default() -> CacheSize {
        CacheSize { kib: 4096 }
    }
}

/// The budget for parsing statements of shapes that are not known yet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Parsing {
    /// The part of one core's time that all parsing may take.
    pub core_part: f64,
    /// The part of that for one client.
    pub client_part: f64,
    /// What becomes of statements past the budget.
    pub beyond: BudgetExceeded,
}

/// What becomes of statements past the budget for parsing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Beyond", rename_all = "snake_case")]
pub enum BudgetExceeded {
    /// They count as unknown: to the primary, and never retried.
    Cautious,
    /// They are throttled: nothing has run, and a retry is harmless.
    Throttle,
}

impl Default for Parsing {
    fn default() -> Parsing {
        let shares = BudgetShares::default();
        Parsing { core_part: shares.total, client_part: shares.client, beyond: BudgetExceeded::Cautious }
    }
}
