//! What is known about names: the built-in functions, types and operators of each dialect, kept as data in
//! `data/`, and the catalogue that the operator adds.
//!
//! A function that is on no list is taken to write. Names are compared as a server does: an unquoted one in
//! lower case, a quoted one as it stands.

use crate::{Dialect, Effect};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::LazyLock;

/// What a function, table or view does when it is used in a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Does", rename_all = "snake_case")]
pub enum SideEffect {
    /// It changes nothing.
    Read,
    /// It changes data.
    Write,
    /// It changes or reads what belongs to one session.
    Session,
}

impl SideEffect {
    /// The effect of a statement that uses it.
    pub fn effect(self) -> Effect {
        match self {
            SideEffect::Read => Effect::Read,
            SideEffect::Write => Effect::Write,
            SideEffect::Session => Effect::Session,
        }
    }
}

/// What the operator says about names of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Catalogue {
    /// Functions, by name as statements call them: `"tienda.precio": "read"`. What is said here
    /// comes before the list of functions known of the dialect.
    pub functions: BTreeMap<String, SideEffect>,
    /// Tables and views, by name as statements call them; a view that calls a writing function is "write".
    pub tables: BTreeMap<String, SideEffect>,
    /// Types of the operator's own whose casts change nothing.
    pub types: Vec<String>,
    /// Operators of the operator's own, such as "<~>", that change nothing.
    pub operators: Vec<String>,
    /// Whether a table that is not listed may be read at a replica. Set to false, a statement that names one
    /// is unknown.
    pub unlisted_tables: Option<bool>,
}

/// A file of `data/`: names separated by white space.
#[derive(Deserialize)]
struct NameLists {
    functions: BTreeMap<String, String>,
    types: String,
    operators: String,
    /// Words behind which a bracket opens that is no call.
    before_brackets: String,
    /// What is called like a function, and is none: quoted, the name is another's.
    constructs: String,
    /// Words that may begin or continue a writing or unknown statement wherever they stand.
    never_in_reads: String,
    leading_write: String,
    leading_session: String,
    /// Words that begin a statement about a transaction.
    transaction: String,
}

/// The lists of one dialect, made ready for look-ups.
pub(crate) struct KnownNames {
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

impl KnownNames {
    fn read(json: &'static str) -> KnownNames {
        let lists: NameLists =
            serde_json::from_str(json).expect("the lists are part of the program, and tests read both");
        let mut functions = HashMap::new();
        for (side_effect, names) in lists.functions {
            let side_effect = match side_effect.as_str() {
                "write" => SideEffect::Write,
                "session" => SideEffect::Session,
                _ => SideEffect::Read,
            };
            functions.extend(names_of(names).into_iter().map(|name| (name, side_effect)));
        }
        KnownNames {
            functions,
            types: names_of(lists.types),
            operators: names_of(lists.operators),
            before_brackets: names_of(lists.before_brackets),
            constructs: names_of(lists.constructs),
            never_in_reads: names_of(lists.never_in_reads),
            leading_write: names_of(lists.leading_write),
            leading_session: names_of(lists.leading_session),
            transaction: names_of(lists.transaction),
        }
    }
}

/// The names of a list. They are kept as long as the program runs.
fn names_of(list: String) -> HashSet<&'static str> {
    list.leak().split_whitespace().collect()
}

/// The lists of a dialect, read at their first use.
pub(crate) fn known(dialect: Dialect) -> &'static KnownNames {
    static POSTGRES: LazyLock<KnownNames> =
        LazyLock::new(|| KnownNames::read(include_str!("../data/postgres.json")));
    static TSQL: LazyLock<KnownNames> = LazyLock::new(|| KnownNames::read(include_str!("../data/tsql.json")));
    match dialect {
        Dialect::Postgres => &POSTGRES,
        Dialect::Tsql => &TSQL,
    }
}

impl Catalogue {
    /// What a function does, by its name as it is called; none if it is on no list.
    pub fn function(&self, dialect: Dialect, name: &str) -> Option<SideEffect> {
        if let Some(side_effect) = self.functions.get(name) {
            return Some(*side_effect);
        }
        let built_in = if dialect == Dialect::Postgres { without_system_schema(name) } else { name };
        known(dialect).functions.get(built_in).copied()
    }

    /// What reading a table or view does; none if only listed ones are known.
    pub fn table(&self, name: &str) -> Option<SideEffect> {
        let listed = self.tables.get(name).copied();
        listed.or_else(|| self.unlisted_tables.unwrap_or(true).then_some(SideEffect::Read))
    }

    /// Whether casts to a type change nothing.
    pub(crate) fn is_type(&self, dialect: Dialect, name: &str) -> bool {
        known(dialect).types.contains(without_system_schema(name)) || self.types.iter().any(|own| own == name)
    }

    /// Whether an operator changes nothing.
    pub(crate) fn is_operator(&self, dialect: Dialect, name: &str) -> bool {
        known(dialect).operators.contains(name) || self.operators.iter().any(|own| own == name)
    }
}

/// A built-in name of PostgreSQL without its schema.
fn without_system_schema(name: &str) -> &str {
    name.strip_prefix("pg_catalog.").unwrap_or(name)
}
