//! Collects the findings on one statement: the most restricted effect with its reason, and the functions,
//! types, operators and tables that it uses.

use super::names::{identifier, qualified_name};
use super::table_uses::TableUseCollector;
use crate::catalogue::{self, Catalogue, SideEffect};
use crate::{Dialect, Effect, Features, Verdict};
use sqlparser::ast::{ArrayElemTypeDef, BinaryOperator, DataType, Expr, ObjectName};

/// Maximum number of functions listed in a verdict; further ones are checked and counted only.
const MAX_LISTED_FUNCTIONS: usize = 32;
/// Maximum number of parts of a table's name; a longer name refers to another server.
const MAX_TABLE_NAME_PARTS: usize = 3;
/// The reason for clauses that neither dialect has.
pub(super) const FOREIGN_CLAUSE: &str = "it has a clause of another dialect";

const AGGREGATES: [&str; 12] = [
    "count",
    "sum",
    "avg",
    "min",
    "max",
    "array_agg",
    "string_agg",
    "json_agg",
    "jsonb_agg",
    "bool_and",
    "bool_or",
    "count_big",
];

/// T-SQL's table hints that take no more locks than a plain read.
const LOCK_FREE_HINTS: [&str; 10] = [
    "nolock",
    "readuncommitted",
    "readcommitted",
    "readcommittedlock",
    "readpast",
    "noexpand",
    "forceseek",
    "forcescan",
    "snapshot",
    "nowait",
];

/// The findings so far.
pub(super) struct Findings<'a> {
    pub dialect: Dialect,
    pub catalogue: &'a Catalogue,
    pub effect: Effect,
    /// Why the effect is not a plain read; empty for a read.
    pub reason: String,
    pub table_uses: TableUseCollector,
    functions: Vec<Box<str>>,
    /// Names called that have been checked already.
    pub called_names: Vec<String>,
    /// Names of CTEs, aliases and tables, which may precede a bracket without being a call.
    pub declared_names: Vec<String>,
    pub features: Features,
    pub controls_transaction: bool,
}

impl<'a> Findings<'a> {
    /// Creates empty findings: a plain read.
    pub(super) fn new(dialect: Dialect, catalogue: &'a Catalogue) -> Findings<'a> {
        Findings {
            dialect,
            catalogue,
            effect: Effect::Read,
            reason: String::new(),
            table_uses: TableUseCollector::default(),
            functions: Vec::new(),
            called_names: Vec::new(),
            declared_names: Vec::new(),
            features: Features::default(),
            controls_transaction: false,
        }
    }

    /// Returns the verdict on a statement that was parsed.
    pub(super) fn into_verdict(mut self) -> Verdict {
        if self.table_uses.has_overflowed() {
            let effect = self.effect.max(Effect::Unknown);
            let unparsed = Verdict::unparsed(effect, "it uses too many tables");
            return Verdict { controls_transaction: self.controls_transaction, ..unparsed };
        }
        Verdict {
            effect: self.effect,
            reason: self.reason.into(),
            table_uses: self.table_uses.finish(&mut self.features),
            functions: self.functions,
            features: self.features,
            parsed: true,
            controls_transaction: self.controls_transaction,
        }
    }

    /// Raises the effect if `effect` is more restricted. The first reason for an effect is kept.
    pub(super) fn raise(&mut self, effect: Effect, reason: &str) {
        if effect > self.effect {
            self.effect = effect;
            self.reason = reason.into();
        }
    }

    /// Checks a function call; a call without brackets is a name such as `CURRENT_DATE`.
    pub(super) fn check_call(&mut self, function: &ObjectName, has_brackets: bool) {
        let Some(name) = qualified_name(function) else {
            return self.raise(Effect::Unknown, "it calls a function whose name is made up");
        };
        self.check_quoted_construct(function, &name);
        if !self.called_names.contains(&name) {
            self.check_function(&name, has_brackets);
            self.called_names.push(name.clone());
            self.features.functions = self.features.functions.saturating_add(1);
            if self.functions.len() < MAX_LISTED_FUNCTIONS {
                self.functions.push(name.as_str().into());
            }
        }
        if AGGREGATES.contains(&name.as_str()) {
            self.features.aggregates = self.features.aggregates.saturating_add(1);
        }
    }

    /// Checks for the quoted name of a grammatical construct, which refers to a user-defined function.
    fn check_quoted_construct(&mut self, function: &ObjectName, name: &str) {
        let mut parts = function.0.iter().filter_map(|part| part.as_ident());
        let is_quoted = parts.any(|part| part.quote_style.is_some());
        if is_quoted && catalogue::built_in_names(self.dialect).constructs.contains(name) {
            self.raise(Effect::Write, &format!("it calls \"{name}\", which is on no list"));
        }
    }

    fn check_function(&mut self, name: &str, has_brackets: bool) {
        match self.catalogue.function(self.dialect, name) {
            Some(SideEffect::Read) => {}
            Some(side_effect) => self.raise(side_effect.effect(), &format!("it calls {name}")),
            None if !has_brackets => {
                self.raise(Effect::Unknown, &format!("it names {name}, which is on no list"));
            }
            None => self.raise(Effect::Write, &format!("it calls {name}, which is on no list")),
        }
    }

    /// Checks a cast, which may call a function of the type.
    pub(super) fn check_cast(&mut self, to: &DataType) {
        match to {
            DataType::Custom(name, _) => {
                let name = qualified_name(name).unwrap_or_default();
                if !self.catalogue.is_type(self.dialect, &name) {
                    self.raise(Effect::Unknown, &format!("a cast to {name}, which is on no list"));
                }
            }
            DataType::Array(
                ArrayElemTypeDef::AngleBracket(inner)
                | ArrayElemTypeDef::SquareBracket(inner, _)
                | ArrayElemTypeDef::Parenthesis(inner),
            ) => self.check_cast(inner),
            DataType::Array(ArrayElemTypeDef::None) => {}
            DataType::Array(_) => self.raise(Effect::Unknown, "it has a type of another dialect"),
            DataType::Collate(inner, _) => self.check_cast(inner),
            _ => {}
        }
    }

    /// Checks an operator, which may call a user-defined function.
    pub(super) fn check_operator(&mut self, operator: &BinaryOperator) {
        let name = match operator {
            BinaryOperator::Custom(name) => name.clone(),
            BinaryOperator::PGCustomBinaryOperator(parts) => match &parts[..] {
                [schema, name] if schema.eq_ignore_ascii_case("pg_catalog") => name.clone(),
                [name] => name.clone(),
                parts => parts.join("."),
            },
            BinaryOperator::Assignment => return self.raise(Effect::Unknown, "it assigns"),
            _ => return,
        };
        if !self.catalogue.is_operator(self.dialect, &name) {
            self.raise(Effect::Unknown, &format!("the operator {name} is on no list"));
        }
    }

    /// Checks a table hint of T-SQL, which may take locks.
    pub(super) fn check_table_hint(&mut self, hint: &Expr) {
        let name = hint_name(hint);
        // INDEX and FORCESEEK precede a bracket without being a call.
        if name == "index" || name == "forceseek" {
            self.called_names.push(name);
        } else if !LOCK_FREE_HINTS.contains(&name.as_str()) {
            self.raise(Effect::LockingRead, "a table hint takes locks");
        }
    }

    /// Checks the use of a table or view.
    pub(super) fn check_table(&mut self, table: &ObjectName) {
        let Some(name) = qualified_name(table) else {
            return self.raise(Effect::Unknown, "it names a table by an expression");
        };
        if table.0.len() > MAX_TABLE_NAME_PARTS {
            self.raise(Effect::Unknown, "it names a table of another server");
        }
        match self.catalogue.table(&name) {
            Some(SideEffect::Read) => {}
            Some(side_effect) => {
                self.raise(side_effect.effect(), &format!("{name} is told to be no plain read"));
            }
            None => self.raise(Effect::Unknown, &format!("{name} is in no catalogue")),
        }
    }
}

fn hint_name(hint: &Expr) -> String {
    match hint {
        Expr::Identifier(name) => identifier(name),
        Expr::Function(function) => qualified_name(&function.name).unwrap_or_default(),
        Expr::BinaryOp { left, .. } => match &**left {
            Expr::Identifier(name) => identifier(name),
            _ => String::new(),
        },
        _ => String::new(),
    }
}
