//! The SQL dialects that statements are read in.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The language that statements are written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Dialect {
    /// PostgreSQL's, with `standard_conforming_strings` on.
    Postgres,
    /// T-SQL, with quoted identifiers on.
    Tsql,
}
