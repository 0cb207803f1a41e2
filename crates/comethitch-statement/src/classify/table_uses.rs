//! Which tables a statement uses, and which of their columns it compares with values.
//!
//! A column is known to have a value only where every row that counts has it: in the conditions joined by AND
//! of the WHERE clause and of inner joins, and through columns that these make equal (`FromClause`). Each use of
//! a table is kept apart, since each of them may need the key that says where its rows lie.

use super::from_clause::{FromClause, placeholder_number};
use super::names::{identifier, qualified_name};
use crate::verdict::{ColumnValues, Features, TableUse};
use sqlparser::ast::{
    AssignmentTarget, Delete, FromTable, Insert, JoinConstraint, JoinOperator, Merge, Query, Select, SetExpr,
    Statement, TableFactor, TableObject, TableWithJoins, Update, UpdateTableFromKind,
};

/// The most uses of tables that are kept.
const MAX_TABLE_USES: usize = 64;
/// The most columns with values that are kept of one use.
const MAX_COLUMNS: usize = 16;

/// The names that the WITH clause of one query gives.
struct CteScope {
    ctes: Vec<Cte>,
    recursive: bool,
    /// The index of the CTE whose own query is being visited: only the names before it are visible there.
    visiting: Option<usize>,
    /// Whether this query is itself a CTE's, so that leaving it ends the visit in the scope outside.
    is_cte_query: bool,
}

struct Cte {
    name: String,
    /// Identifies the CTE's query when the visitor comes to it.
    query: *const Query,
}

/// Collects the uses of tables while a statement is visited.
#[derive(Default)]
pub(super) struct TableUseCollector {
    scopes: Vec<CteScope>,
    uses: Vec<TableUse>,
    /// Some uses were not kept: no table is known for certain.
    pub overflow: bool,
    scans: usize,
}

impl TableUseCollector {
    /// A query begins: the names of its WITH clause become visible.
    pub(super) fn enter_query(&mut self, query: &Query) {
        let is_cte_query = self.begin_cte(query);
        let ctes = query.with.iter().flat_map(|with| &with.cte_tables);
        let ctes = ctes.map(|cte| Cte { name: identifier(&cte.alias.name), query: &*cte.query });
        self.scopes.push(CteScope {
            ctes: ctes.collect(),
            recursive: query.with.as_ref().is_some_and(|with| with.recursive),
            visiting: None,
            is_cte_query,
        });
    }

    /// Notes in the scope outside if a query is one of its CTEs.
    fn begin_cte(&mut self, query: &Query) -> bool {
        let pointer: *const Query = query;
        if let Some(outer) = self.scopes.last_mut()
            && outer.visiting.is_none()
            && let Some(at) = outer.ctes.iter().position(|cte| cte.query == pointer)
        {
            outer.visiting = Some(at);
            return true;
        }
        false
    }

    /// A query ends.
    pub(super) fn leave_query(&mut self) {
        let was_cte_query = self.scopes.pop().is_some_and(|scope| scope.is_cte_query);
        if was_cte_query && let Some(outer) = self.scopes.last_mut() {
            outer.visiting = None;
        }
    }

    /// Whether a name is that of a visible CTE, and no table's.
    fn is_cte(&self, name: &str) -> bool {
        self.scopes.iter().any(|scope| {
            let visible = match scope.visiting {
                Some(at) if !scope.recursive => &scope.ctes[..at],
                _ => &scope.ctes[..],
            };
            visible.iter().any(|cte| cte.name == name)
        })
    }

    /// Adds a use of a table, and returns its index; none for a CTE, or past the limit.
    fn add(&mut self, table: &str) -> Option<usize> {
        if self.is_cte(table) {
            return None;
        }
        if self.uses.len() >= MAX_TABLE_USES {
            self.overflow = true;
            return None;
        }
        self.uses.push(TableUse { table: table.into(), keys: Vec::new() });
        Some(self.uses.len() - 1)
    }

    /// A table that is read as a whole, as in `TABLE t`.
    pub(super) fn full_scan(&mut self, table: &str) {
        self.add(table);
        self.scans += 1;
    }

    /// The tables of a SELECT.
    pub(super) fn select(&mut self, select: &Select) {
        let mut clause = FromClause::default();
        select.from.iter().for_each(|tables| self.joined_tables(tables, &mut clause));
        if let Some(condition) = &select.selection {
            clause.add_condition(condition);
        }
        self.record_keys(clause);
    }

    /// The table of a statement that changes rows, and the tables that it reads beside it.
    pub(super) fn changing_statement(&mut self, statement: &Statement) {
        match statement {
            Statement::Insert(insert) => self.insert(insert),
            Statement::Update(update) => self.update(update),
            Statement::Delete(delete) => self.delete(delete),
            Statement::Merge(merge) => self.merge(merge),
            _ => {}
        }
    }

    fn insert(&mut self, insert: &Insert) {
        let TableObject::TableName(name) = &insert.table else { return };
        let Some(at) = qualified_name(name).and_then(|name| self.add(&name)) else { return };
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|source| &*source.body) else {
            return;
        };
        for (nth, column) in insert.columns.iter().enumerate().take(MAX_COLUMNS) {
            // Known only if it is a value in each row.
            let in_rows = values.rows.iter().map(|row| row.content.get(nth).and_then(placeholder_number));
            let placeholders = in_rows.collect::<Option<Vec<u32>>>();
            if let (Some(placeholders), Some(column)) = (placeholders, qualified_name(column)) {
                self.uses[at].keys.push(ColumnValues { column: column.into(), placeholders });
            }
        }
    }

    fn update(&mut self, update: &Update) {
        let mut clause = FromClause::default();
        self.joined_tables(&update.table, &mut clause);
        let from = update.from.iter().flat_map(|from| match from {
            UpdateTableFromKind::BeforeSet(tables) | UpdateTableFromKind::AfterSet(tables) => tables,
        });
        from.for_each(|tables| self.joined_tables(tables, &mut clause));
        if let Some(condition) = &update.selection {
            clause.add_condition(condition);
        }
        // A row whose key is changed may belong elsewhere afterwards.
        clause.forget_columns(&assigned_columns(update));
        self.record_keys(clause);
    }

    fn delete(&mut self, delete: &Delete) {
        let mut clause = FromClause::default();
        let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
        from.iter().for_each(|tables| self.joined_tables(tables, &mut clause));
        let using = delete.using.iter().flatten();
        using.for_each(|tables| self.joined_tables(tables, &mut clause));
        if let Some(condition) = &delete.selection {
            clause.add_condition(condition);
        }
        self.record_keys(clause);
    }

    /// Rows that are not matched may lie anywhere: the condition of a MERGE gives no key.
    fn merge(&mut self, merge: &Merge) {
        let mut clause = FromClause::default();
        self.table_factor(&merge.table, &mut clause);
        self.table_factor(&merge.source, &mut clause);
        self.record_keys(clause);
    }

    /// The tables of a join; a condition counts only where no outer join may fill in for rows without it.
    fn joined_tables(&mut self, tables: &TableWithJoins, clause: &mut FromClause) {
        self.table_factor(&tables.relation, clause);
        for join in &tables.joins {
            self.table_factor(&join.relation, clause);
            match &join.join_operator {
                JoinOperator::Join(JoinConstraint::On(on))
                | JoinOperator::Inner(JoinConstraint::On(on))
                | JoinOperator::CrossJoin(JoinConstraint::On(on)) => clause.add_condition(on),
                JoinOperator::Left(JoinConstraint::On(on))
                | JoinOperator::LeftOuter(JoinConstraint::On(on)) => clause.add_left_join_condition(on),
                _ => {}
            }
        }
    }

    fn table_factor(&mut self, factor: &TableFactor, clause: &mut FromClause) {
        match factor {
            TableFactor::Table { name, alias, args: None, .. } => {
                let name = qualified_name(name).unwrap_or_default();
                let unqualified = name.rsplit('.').next().unwrap_or_default().to_string();
                let alias = alias.as_ref().map_or(unqualified, |alias| identifier(&alias.name));
                clause.add_source(alias, self.add(&name));
            }
            TableFactor::NestedJoin { table_with_joins, .. } => self.joined_tables(table_with_joins, clause),
            // A derived table is visited as a query of its own.
            _ => clause.add_source(String::new(), None),
        }
    }

    /// Hands the columns whose values are known to the uses of their tables.
    fn record_keys(&mut self, mut clause: FromClause) {
        clause.propagate_values(MAX_TABLE_USES);
        for (nth, source) in clause.sources().iter().enumerate() {
            let Some(at) = source.table_use else { continue };
            let known = clause.known_values().iter().filter(|(column, _)| column.source == nth);
            let keys = known.take(MAX_COLUMNS).map(|(column, placeholders)| ColumnValues {
                column: column.name.as_str().into(),
                placeholders: placeholders.clone(),
            });
            let keys: Vec<ColumnValues> = keys.collect();
            self.scans += usize::from(keys.is_empty());
            self.uses[at].keys = keys;
        }
    }

    /// The uses in order of appearance; their number and that of full scans go into the features.
    pub(super) fn finish(self, features: &mut Features) -> Vec<TableUse> {
        let most = usize::from(u8::MAX);
        features.tables = self.uses.len().min(most) as u8;
        features.scans = self.scans.min(most) as u8;
        self.uses
    }
}

/// The columns that an UPDATE sets, without their tables.
fn assigned_columns(update: &Update) -> Vec<String> {
    let names = update.assignments.iter().flat_map(|assignment| match &assignment.target {
        AssignmentTarget::ColumnName(name) => std::slice::from_ref(name),
        AssignmentTarget::Tuple(names) => &names[..],
    });
    let names = names.filter_map(qualified_name);
    names.map(|name| name.rsplit('.').next().unwrap_or_default().to_string()).collect()
}
