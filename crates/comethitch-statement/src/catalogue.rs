//! What is known of names: the functions of each dialect, kept as data, and what the operator adds.
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
#[serde(rename_all = "snake_case")]
pub enum Does {
    /// It changes nothing.
    Read,
    /// It changes data.
    Write,
    /// It changes or reads what belongs to one session.
    Session,
}

impl Does {
    pub fn effect(self) -> Effect {
        match self {
            Does::Read => Effect::Read,
            Does::Write => Effect::Write,
            Does::Session => Effect::Session,
        }
    }
}

/// What the operator tells of names of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Catalogue {
    /// Functions, by name as statements call them: `"tienda.precio": "read"`. What is told here comes before
    /// the list of functions known of the dialect.
    pub functions: BTreeMap<String, Does>,
    /// Tables and views, by name as statements call them; a view that calls a writing function is "write".
    pub tables: BTreeMap<String, Does>,
    /// Types of the operator's own whose casts change nothing.
    pub types: Vec<String>,
    /// Operators of the operator's own, such as "<~>", that change nothing.
    pub operators: Vec<String>,
    /// Whether a table that is not listed may be read at a replica. Set to false, a statement that names one
    /// is unknown.
    pub unlisted_tables: Option<bool>,
}

#[derive(Deserialize)]
struct KnownShape {
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
pub(crate) struct Lists {
    pub functions: HashMap<&'static str, Does>,
    pub types: HashSet<&'static str>,
    pub operators: HashSet<&'static str>,
    pub before_brackets: HashSet<&'static str>,
    pub constructs: HashSet<&'static str>,
    pub never_in_reads: HashSet<&'static str>,
    pub leading_write: HashSet<&'static str>,
    pub leading_session: HashSet<&'static str>,
    pub transaction: HashSet<&'static str>,
}

fn lists(text: &'static str) -> Lists {
    let known: KnownShape =
        serde_json::from_str(text).expect("the list of functions is sound: a test reads it");
    let set = |words: String| -> HashSet<&'static str> { words.leak().split_whitespace().collect() };
    let mut functions = HashMap::new();
    for (does, names) in known.functions {
        let does = match does.as_str() {
            "write" => Does::Write,
            "session" => Does::Session,
            _ => Does::Read,
        };
        functions.extend(set(names).into_iter().map(|name| (name, does)));
    }
    Lists {
        functions,
        types: set(known.types),
        operators: set(known.operators),
        before_brackets: set(known.before_brackets),
        constructs: set(known.constructs),
        never_in_reads: set(known.never_in_reads),
        leading_write: set(known.leading_write),
        leading_session: set(known.leading_session),
        transaction: set(known.transaction),
    }
}

pub(crate) fn known(dialect: Dialect) -> &'static Lists {
    static POSTGRES: LazyLock<Lists> = LazyLock::new(|| lists(include_str!("../data/postgres.json")));
    static TSQL: LazyLock<Lists> = LazyLock::new(|| lists(include_str!("../data/tsql.json")));
    match dialect {
        Dialect::Postgres => &POSTGRES,
        Dialect::Tsql => &TSQL,
    }
}

impl Catalogue {
    /// What a function does, by its name as it is called; nothing if it is on no list.
    pub fn function(&self, dialect: Dialect, name: &str) -> Option<Does> {
        if let Some(does) = self.functions.get(name) {
            return Some(*does);
        }
        let own = if dialect == Dialect::Postgres { name.strip_prefix("pg_catalog.") } else { None };
        known(dialect).functions.get(own.unwrap_or(name)).copied()
    }

    /// What reading a table or view does.
    pub fn table(&self, name: &str) -> Option<Does> {
        let listed = self.tables.get(name).copied();
        listed.or_else(|| self.unlisted_tables.unwrap_or(true).then_some(Does::Read))
    }

    pub(crate) fn is_type(&self, dialect: Dialect, name: &str) -> bool {
        let own = name.strip_prefix("pg_catalog.").unwrap_or(name);
        known(dialect).types.contains(own) || self.types.iter().any(|own| own == name)
    }

    pub(crate) fn is_operator(&self, dialect: Dialect, name: &str) -> bool {
        known(dialect).operators.contains(name) || self.operators.iter().any(|own| own == name)
    }
}
