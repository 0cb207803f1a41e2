//! The operator's file: how statements become commands. Read as JSON; its schema lies under `deploy/`.

use crate::budget::BudgetShares;
use crate::{Catalogue, Dialect, Effect};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The whole file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The language that clients and hosts speak.
    pub dialect: Dialect,
    /// What becomes of a statement whose comment names a command group that may do less than its text does.
    pub disagreement: Disagreement,
    /// How statements without a comment, or whose comment leaves something out, are admitted. Without this they
    /// are refused.
    pub commentless: Option<Commentless>,
    /// From effects, tables and costs to command groups; the first one that fits holds.
    pub groups: Vec<GroupRule>,
    /// From keys to groups of hosts. Without any, a comment must name the group of hosts, or `elsewhere` does.
    #[serde(default)]
    pub keys: Vec<KeyRule>,
    /// The group of hosts of statements that name no table with a key.
    pub elsewhere: Option<u16>,
    #[serde(default)]
    pub catalogue: Catalogue,
    #[serde(default)]
    pub cache: CacheSize,
    #[serde(default)]
    pub parsing: Parsing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Disagreement {
    /// The statement is refused, with an error that says why.
    Refuse,
    /// It goes by the command group that the rules name.
    Raise,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Commentless {
    /// How many milliseconds a client waits that does not tell.
    pub wait_ms: u64,
}

/// Statements that fit all that is given belong to the command group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GroupRule {
    /// The command group, by its name in `settings.classes`.
    pub group: String,
    /// Any of these effects.
    pub effects: Vec<Effect>,
    /// Any of these tables is used; without this, whatever tables are.
    pub tables: Option<Vec<String>>,
    /// It costs so many milliseconds at least.
    pub from_ms: Option<f64>,
    /// It costs less than so many milliseconds.
    pub below_ms: Option<f64>,
}

/// A table's rows lie in groups of hosts by one of its columns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyRule {
    /// The tables, by name as statements call them.
    pub tables: Vec<String>,
    pub column: String,
    pub spread: Placement,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[serde(rename = "Spread")]
pub enum Placement {
    /// By the 64-bit FNV-1a hash of the key's text, modulo the number of groups of hosts: that many of them, in
    /// this order.
    Hash(Vec<u16>),
    /// By the key's place among bounds.
    Range(Vec<KeyRange>),
}

/// Keys below a bound, and not below the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Stretch", expecting = "struct Stretch")]
pub struct KeyRange {
    /// Keys below this; the last stretch has none, and takes all others. A number compares as a number, a text
    /// byte by byte.
    pub below: Option<Bound>,
    /// The group of hosts.
    pub hosts: u16,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Bound {
    Number(i64),
    Text(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CacheSize {
    /// What is kept of shapes holds no more than this.
    pub kib: usize,
}

impl Default for CacheSize {
    fn default() -> CacheSize {
        CacheSize { kib: 4096 }
    }
}

/// How much is spent on statements of shapes that are not known yet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Parsing {
    /// The part of one core's time that all parsing may take.
    pub core_part: f64,
    /// The part of that for one client.
    pub client_part: f64,
    /// What becomes of statements past it.
    pub beyond: BudgetExceeded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[serde(rename = "Beyond")]
pub enum BudgetExceeded {
    /// They count as unknown: to the primary, and never repeated.
    Cautious,
    /// They are throttled: nothing has run, and trying again is harmless.
    Throttle,
}

impl Default for Parsing {
    fn default() -> Parsing {
        let shares = BudgetShares::default();
        Parsing { core_part: shares.total, client_part: shares.client, beyond: BudgetExceeded::Cautious }
    }
}
