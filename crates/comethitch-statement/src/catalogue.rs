//! Known names: the built-in functions, types and operators of each dialect, listed in `data/`, and the
//! operator's catalogue.
//!
//! Unlisted functions are assumed to write. Names are compared as servers do: unquoted ones in lower case,
//! quoted ones as written.

use crate::{Dialect, Effect};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::LazyLock;

/// The side effect of using a function, table or view in a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Does", rename_all = "snake_case")]
pub enum SideEffect {
    /// Changes nothing.
    Read,
    /// Changes data.
    Write,
    /// Changes or reads the state of a session.
    Session,
}

impl SideEffect {
    /// Returns the effect of a statement with this side effect.
    pub fn effect(self) -> Effect {
        match self {
            SideEffect::Read => Effect::Read,
            SideEffect::Write => Effect::Write,
            SideEffect::Session => Effect::Session,
        }
    }
}

/// The operator's own functions, tables, types and SQL operators, which are not built in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Catalogue {
    /// Functions, named as in statements: `"tienda.precio": "read"`. Entries take precedence over the
    /// built-in functions of the dialect.
    pub functions: BTreeMap<String, SideEffect>,
    /// Tables and views, named as in statements; a view that calls a writing function is "write".
    pub tables: BTreeMap<String, SideEffect>,
    /// User-defined types whose casts change nothing.
    pub types: Vec<String>,
    /// User-defined operators that change nothing, such as "<~>".
    pub operators: Vec<String>,
    /// Whether unlisted tables may be read from replicas. If false, a statement that uses an unlisted table
    /// is unknown.
    pub unlisted_tables: Option<bool>,
}

/// A file of `data/`: each list holds names separated by white space.
#[derive(Deserialize)]
struct NameLists {
    functions: BTreeMap<String, String>,
    types: String,
    operators: String,
    /// Words before a bracket that is not a function's argument list.
    before_brackets: String,
    /// Constructs of the grammar that look like function calls; a quoted name refers to a function instead.
    constructs: String,
    /// Words of T-SQL that appear nowhere in a read; a statement with one of them counts as a write.
    never_in_reads: String,
    /// First words of statements that write.
    leading_write: String,
    /// First words of statements that change or read the state of a session.
    leading_session: String,
    /// First words of statements that control a transaction.
    transaction: String,
}

/// The names of one dialect, indexed for lookups.
pub(crate) struct BuiltInNames {
    pub functions: HashMap<&'static str, SideEffect>,
    pub types: HashSet<&'static str>,
    pub operators: HashSet<&'static str>,
    pub before_brackets: HashSet<&'static str>,
    pub constructs: HashSet<&'static str>,
    pub never_in_reads: HashSet<&'static str>,
    pub leading_write: HashSet<&'static str>,
    pub leading_session: HashSet<&'static str>,
    pub transaction: HashSet<&'static str>,
}

impl BuiltInNames {
    fn read(json: &'static str) -> BuiltInNames {
        let lists: NameLists =
            serde_json::from_str(json).expect("the built-in lists are valid JSON, as the tests check");
        let mut functions = HashMap::new();
        for (side_effect, names) in lists.functions {
            let side_effect = match side_effect.as_str() {
                "write" => SideEffect::Write,
                "session" => SideEffect::Session,
                _ => SideEffect::Read,
            };
            functions.extend(split_names(names).into_iter().map(|name| (name, side_effect)));
        }
        BuiltInNames {
            functions,
            types: split_names(lists.types),
            operators: split_names(lists.operators),
            before_brackets: split_names(lists.before_brackets),
            constructs: split_names(lists.constructs),
            never_in_reads: split_names(lists.never_in_reads),
            leading_write: split_names(lists.leading_write),
            leading_session: split_names(lists.leading_session),
            transaction: split_names(lists.transaction),
        }
    }
}

/// Splits a list into names. Leaks the text, which is needed until the program ends.
fn split_names(list: String) -> HashSet<&'static str> {
    list.leak().split_whitespace().collect()
}

/// Returns the built-in names of a dialect, which are read on first use.
pub(crate) fn built_in_names(dialect: Dialect) -> &'static BuiltInNames {
    static POSTGRES: LazyLock<BuiltInNames> =
        LazyLock::new(|| BuiltInNames::read(include_str!("../data/postgres.json")));
    static TSQL: LazyLock<BuiltInNames> =
        LazyLock::new(|| BuiltInNames::read(include_str!("../data/tsql.json")));
    match dialect {
        Dialect::Postgres => &POSTGRES,
        Dialect::Tsql => &TSQL,
    }
}

impl Catalogue {
    /// Returns the side effect of a function, named as in the statement, or `None` if it is not listed.
    pub fn function(&self, dialect: Dialect, name: &str) -> Option<SideEffect> {
        if let Some(side_effect) = self.functions.get(name) {
            return Some(*side_effect);
        }
        let built_in = if dialect == Dialect::Postgres { without_system_schema(name) } else { name };
        built_in_names(dialect).functions.get(built_in).copied()
    }

    /// Returns the side effect of reading a table or view, or `None` if it is unlisted and must be listed.
    pub fn table(&self, name: &str) -> Option<SideEffect> {
        let listed = self.tables.get(name).copied();
        listed.or_else(|| self.unlisted_tables.unwrap_or(true).then_some(SideEffect::Read))
    }

    /// Returns whether a type is listed: its casts change nothing.
    pub(crate) fn is_type(&self, dialect: Dialect, name: &str) -> bool {
        let is_built_in = built_in_names(dialect).types.contains(without_system_schema(name));
        is_built_in || self.types.iter().any(|listed| listed == name)
    }

    /// Returns whether an operator is listed: it changes nothing.
    pub(crate) fn is_operator(&self, dialect: Dialect, name: &str) -> bool {
        let is_built_in = built_in_names(dialect).operators.contains(name);
        is_built_in || self.operators.iter().any(|listed| listed == name)
    }
}

/// Strips the schema of PostgreSQL's built-in names.
fn without_system_schema(name: &str) -> &str {
    name.strip_prefix("pg_catalog.").unwrap_or(name)
}
