//! The supported SQL dialects.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The SQL dialect of statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Dialect {
    /// PostgreSQL, with `standard_conforming_strings` on.
    Postgres,
    /// T-SQL, with `QUOTED_IDENTIFIER` on.
    Tsql,
}
