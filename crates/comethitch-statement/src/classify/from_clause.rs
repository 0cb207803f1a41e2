//! The tables of one FROM clause, and the values that its conditions give their columns.

use super::names::identifier;
use sqlparser::ast::{BinaryOperator, Expr, InTarget, Value};

/// A table of a FROM clause.
pub(super) struct Source {
    /// What it is called in the clause.
    alias: String,
    /// The index of the table's use; none for a derived table or a CTE.
    pub table_use: Option<usize>,
}

/// A column of one source.
#[derive(Clone, PartialEq)]
pub(super) struct Column {
    /// The index of the source.
    pub source: usize,
    pub name: String,
}

/// Two columns of which the second has the value of the first.
struct Equality {
    from: Column,
    to: Column,
}

/// The sources, and what conditions say of their columns.
#[derive(Default)]
pub(super) struct FromClause {
    sources: Vec<Source>,
    equalities: Vec<Equality>,
    /// Columns with the placeholders of their values.
    known_values: Vec<(Column, Vec<u32>)>,
}

impl FromClause {
    /// What the clause reads from, in order.
    pub(super) fn sources(&self) -> &[Source] {
        &self.sources
    }

    /// The columns whose values are known, with the placeholders of these values.
    pub(super) fn known_values(&self) -> &[(Column, Vec<u32>)] {
        &self.known_values
    }

    /// Adds a source under its alias, with the table use that it stands for.
    pub(super) fn add_source(&mut self, alias: String, table_use: Option<usize>) {
        self.sources.push(Source { alias, table_use });
    }

    /// Adds a condition that holds for every row, part by part where AND joins them.
    pub(super) fn add_condition(&mut self, condition: &Expr) {
        match condition {
            Expr::Nested(inner) => self.add_condition(inner),
            Expr::BinaryOp { left, op: BinaryOperator::And, right } => {
                self.add_condition(left);
                self.add_condition(right);
            }
            Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => self.add_equality(left, right),
            Expr::In { expr, target: InTarget::List(list), negated: false, .. } => {
                if let Some(column) = self.column(expr) {
                    self.add_value(column, list.iter().map(placeholder_number).collect());
                }
            }
            _ => {}
        }
    }

    fn add_equality(&mut self, left: &Expr, right: &Expr) {
        match (self.column(left), self.column(right)) {
            (Some(left), Some(right)) => {
                self.equalities.push(Equality { from: left.clone(), to: right.clone() });
                self.equalities.push(Equality { from: right, to: left });
            }
            (Some(column), None) => {
                self.add_value(column, placeholder_number(right).map(|number| vec![number]));
            }
            (None, Some(column)) => {
                self.add_value(column, placeholder_number(left).map(|number| vec![number]));
            }
            (None, None) => {}
        }
    }

    fn add_value(&mut self, column: Column, placeholders: Option<Vec<u32>>) {
        if let Some(placeholders) = placeholders.filter(|numbers| !numbers.is_empty()) {
            self.known_values.push((column, placeholders));
        }
    }

    /// Adds the condition of a left join with the source added last: only rows that meet it come from there, but
    /// any row may come from the left side.
    pub(super) fn add_left_join_condition(&mut self, condition: &Expr) {
        let right = self.sources.len().saturating_sub(1);
        let mut joined = FromClause { sources: std::mem::take(&mut self.sources), ..FromClause::default() };
        joined.add_condition(condition);
        self.sources = joined.sources;
        self.known_values
            .extend(joined.known_values.into_iter().filter(|(column, _)| column.source == right));
        // A value goes from the left to the right, and not back.
        let to_right = joined
            .equalities
            .into_iter()
            .filter(|equal| equal.from.source != right && equal.to.source == right);
        self.equalities.extend(to_right);
    }

    /// Forgets the values of columns, whatever table they are in.
    pub(super) fn forget_columns(&mut self, names: &[String]) {
        self.known_values.retain(|(column, _)| !names.contains(&column.name));
    }

    /// Passes values along equal columns until nothing new is known, or too much.
    pub(super) fn propagate_values(&mut self, limit: usize) {
        // Each round makes one more column known at least.
        for _ in 0..self.equalities.len().min(limit) {
            let found = self.implied_values();
            if found.is_empty() || self.known_values.len() > limit {
                break;
            }
            self.known_values.extend(found);
        }
    }

    /// The values that equalities give to columns without any.
    fn implied_values(&self) -> Vec<(Column, Vec<u32>)> {
        let mut found = Vec::new();
        for equality in &self.equalities {
            if let Some(values) = self.values_of(&equality.from)
                && self.values_of(&equality.to).is_none()
            {
                found.push((equality.to.clone(), values.clone()));
            }
        }
        found
    }

    fn values_of(&self, column: &Column) -> Option<&Vec<u32>> {
        self.known_values.iter().find(|(known, _)| known == column).map(|(_, values)| values)
    }

    /// A column by its source; one without a table's name belongs to the only source.
    fn column(&self, expression: &Expr) -> Option<Column> {
        match expression {
            Expr::Nested(inner) => self.column(inner),
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

/// The number of the placeholder that an expression is, from 0.
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
