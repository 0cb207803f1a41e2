//! The tables of one FROM clause, and the column values determined by its conditions.

use super::names::identifier;
use sqlparser::ast::{BinaryOperator, Expr, InTarget, Value};

/// A table of a FROM clause.
pub(super) struct Source {
    /// The alias, or the table's name.
    alias: String,
    /// The index of the table's use; `None` for a derived table or a CTE.
    pub table_use: Option<usize>,
}

/// A column of one source.
#[derive(Clone, PartialEq)]
pub(super) struct Column {
    /// The index of the source.
    pub source: usize,
    pub name: String,
}

/// A column whose values are known.
pub(super) struct KnownColumn {
    pub column: Column,
    /// The numbers of the placeholders of its values.
    pub placeholders: Vec<u32>,
}

/// An equality by which the values of `from` also hold for `to`.
struct Equality {
    from: Column,
    to: Column,
}

/// The sources of a FROM clause, and what its conditions determine about their columns.
#[derive(Default)]
pub(super) struct FromClause {
    sources: Vec<Source>,
    equalities: Vec<Equality>,
    known_columns: Vec<KnownColumn>,
}

impl FromClause {
    /// Returns the sources in order.
    pub(super) fn sources(&self) -> &[Source] {
        &self.sources
    }

    /// Returns the columns whose values are known.
    pub(super) fn known_columns(&self) -> &[KnownColumn] {
        &self.known_columns
    }

    /// Adds a source under its alias.
    pub(super) fn add_source(&mut self, alias: String, table_use: Option<usize>) {
        self.sources.push(Source { alias, table_use });
    }

    /// Adds a condition that holds for every row.
    pub(super) fn add_condition(&mut self, condition: &Expr) {
        match condition {
            Expr::Nested(inner) => self.add_condition(inner),
            Expr::BinaryOp { left, op: BinaryOperator::And, right } => {
                self.add_condition(left);
                self.add_condition(right);
            }
            Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => self.add_equality(left, right),
            Expr::In { expr, target: InTarget::List(list), negated: false, .. } => {
                if let Some(column) = self.resolve_column(expr) {
                    self.add_known_column(column, list.iter().map(placeholder_number).collect());
                }
            }
            _ => {}
        }
    }

    fn add_equality(&mut self, left: &Expr, right: &Expr) {
        match (self.resolve_column(left), self.resolve_column(right)) {
            (Some(left), Some(right)) => {
                self.equalities.push(Equality { from: left.clone(), to: right.clone() });
                self.equalities.push(Equality { from: right, to: left });
            }
            (Some(column), None) => {
                self.add_known_column(column, placeholder_number(right).map(|number| vec![number]));
            }
            (None, Some(column)) => {
                self.add_known_column(column, placeholder_number(left).map(|number| vec![number]));
            }
            (None, None) => {}
        }
    }

    fn add_known_column(&mut self, column: Column, placeholders: Option<Vec<u32>>) {
        if let Some(placeholders) = placeholders.filter(|numbers| !numbers.is_empty()) {
            self.known_columns.push(KnownColumn { column, placeholders });
        }
    }

    /// Adds the condition of a left join with the last source, which does not restrict the rows of the left
    /// side.
    pub(super) fn add_left_join_condition(&mut self, condition: &Expr) {
        let right = self.sources.len().saturating_sub(1);
        let mut joined = FromClause { sources: std::mem::take(&mut self.sources), ..FromClause::default() };
        joined.add_condition(condition);
        self.sources = joined.sources;
        let known_on_right = joined.known_columns.into_iter().filter(|known| known.column.source == right);
        self.known_columns.extend(known_on_right);
        // Values of the left side hold on the right, but not the reverse.
        let to_right = joined
            .equalities
            .into_iter()
            .filter(|equal| equal.from.source != right && equal.to.source == right);
        self.equalities.extend(to_right);
    }

    /// Discards the values of columns with these names in any table.
    pub(super) fn discard_columns(&mut self, names: &[String]) {
        self.known_columns.retain(|known| !names.contains(&known.column.name));
    }

    /// Propagates values along equalities until no further column becomes known, or more than `limit` are
    /// known.
    pub(super) fn propagate_values(&mut self, limit: usize) {
        // Each round makes at least one more column known.
        for _ in 0..self.equalities.len().min(limit) {
            let implied = self.implied_columns();
            if implied.is_empty() || self.known_columns.len() > limit {
                break;
            }
            self.known_columns.extend(implied);
        }
    }

    /// Returns the columns that get their first known values through an equality.
    fn implied_columns(&self) -> Vec<KnownColumn> {
        let mut implied = Vec::new();
        for equality in &self.equalities {
            if let Some(placeholders) = self.placeholders_of(&equality.from)
                && self.placeholders_of(&equality.to).is_none()
            {
                let placeholders = placeholders.clone();
                implied.push(KnownColumn { column: equality.to.clone(), placeholders });
            }
        }
        implied
    }

    fn placeholders_of(&self, column: &Column) -> Option<&Vec<u32>> {
        self.known_columns.iter().find(|known| known.column == *column).map(|known| &known.placeholders)
    }

    /// Resolves a column. A column without a table's name is resolved only if there is a single source.
    fn resolve_column(&self, expression: &Expr) -> Option<Column> {
        match expression {
            Expr::Nested(inner) => self.resolve_column(inner),
            Expr::Identifier(name) if self.sources.len() == 1 => {
                Some(Column { source: 0, name: identifier(name) })
            }
            Expr::CompoundIdentifier(parts) => {
                let [.., table, column] = &parts[..] else { return None };
                let table = identifier(table);
                let mut sources = self.sources.iter().enumerate().filter(|(_, source)| source.alias == table);
                let (source, _) = sources.next()?;
                let is_unique = sources.next().is_none();
                is_unique.then(|| Column { source, name: identifier(column) })
            }
            _ => None,
        }
    }
}

/// Returns the number of the placeholder, from 0, if an expression is one.
pub(super) fn placeholder_number(expression: &Expr) -> Option<u32> {
    match expression {
        Expr::Nested(inner) => placeholder_number(inner),
        Expr::Cast { expr, .. } => placeholder_number(expr),
        Expr::Value(value) => match &value.value {
            Value::Number(number, _) => number.parse::<u32>().ok()?.checked_sub(1),
            Value::SingleQuotedString(number) => number.parse::<u32>().ok()?.checked_sub(1),
            _ => None,
        },
        _ => None,
    }
}
