//! Collects the tables that a statement uses, and the columns that it compares with values.
//!
//! The value of a column is known only if all affected rows have it: from conditions joined by AND in the
//! WHERE clause and in inner joins, and through equal columns (`FromClause`). Each use of a table is recorded
//! separately, since each needs a key that determines the shard of its rows.

use super::from_clause::{FromClause, placeholder_number};
use super::names::{identifier, qualified_name};
use crate::verdict::{ColumnValues, Features, TableUse};
use sqlparser::ast::{
    AssignmentTarget, Delete, FromTable, Insert, JoinConstraint, JoinOperator, Merge, Query, Select, SetExpr,
    Statement, TableFactor, TableObject, TableWithJoins, Update, UpdateTableFromKind,
};

/// Maximum number of table uses.
const MAX_TABLE_USES: usize = 64;
/// Maximum number of columns with known values per table use.
const MAX_COLUMNS: usize = 16;

/// The names defined by the WITH clause of one query.
struct CteScope {
    ctes: Vec<Cte>,
    recursive: bool,
    /// The index of the CTE whose query is being visited. Only the names before it are visible there.
    visiting: Option<usize>,
    /// Whether this query is the query of a CTE in the enclosing scope.
    is_cte_query: bool,
}

struct Cte {
    name: String,
    /// Identifies the CTE's query when it is visited; never dereferenced.
    query: *const Query,
}

/// Collects table uses while a statement is visited.
#[derive(Default)]
pub(super) struct TableUseCollector {
    scopes: Vec<CteScope>,
    uses: Vec<TableUse>,
    /// Whether there were more than [`MAX_TABLE_USES`] uses.
    overflow: bool,
    /// Number of full scans.
    scans: usize,
}

impl TableUseCollector {
    /// Returns whether some uses were not recorded, so that the tables are unknown.
    pub(super) fn has_overflowed(&self) -> bool {
        self.overflow
    }

    /// Begins a query, and brings the names of its WITH clause into scope.
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

    /// Returns whether a query is the query of a CTE in the enclosing scope, and records that it is being
    /// visited.
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

    /// Ends a query and the scope of the names of its WITH clause.
    pub(super) fn leave_query(&mut self) {
        let was_cte_query = self.scopes.pop().is_some_and(|scope| scope.is_cte_query);
        if was_cte_query && let Some(outer) = self.scopes.last_mut() {
            outer.visiting = None;
        }
    }

    /// Returns whether a name refers to a visible CTE instead of a table.
    fn is_cte(&self, name: &str) -> bool {
        self.scopes.iter().any(|scope| {
            let visible = match scope.visiting {
                Some(at) if !scope.recursive => &scope.ctes[..at],
                _ => &scope.ctes[..],
            };
            visible.iter().any(|cte| cte.name == name)
        })
    }

    /// Adds a table use and returns its index, or `None` for a CTE or beyond the limit.
    fn add_use(&mut self, table: &str) -> Option<usize> {
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

    /// Adds a table that is read completely, as in `TABLE t`.
    pub(super) fn add_full_scan(&mut self, table: &str) {
        self.add_use(table);
        self.scans += 1;
    }

    /// Adds the tables of a SELECT.
    pub(super) fn add_select(&mut self, select: &Select) {
        let mut clause = FromClause::default();
        select.from.iter().for_each(|tables| self.add_joined_tables(tables, &mut clause));
        if let Some(condition) = &select.selection {
            clause.add_condition(condition);
        }
        self.record_keys(clause);
    }

    /// Adds the table that a statement changes, and the tables that it reads.
    pub(super) fn add_changing_statement(&mut self, statement: &Statement) {
        match statement {
            Statement::Insert(insert) => self.add_insert(insert),
            Statement::Update(update) => self.add_update(update),
            Statement::Delete(delete) => self.add_delete(delete),
            Statement::Merge(merge) => self.add_merge(merge),
            _ => {}
        }
    }

    fn add_insert(&mut self, insert: &Insert) {
        let TableObject::TableName(name) = &insert.table else { return };
        let Some(table_use) = qualified_name(name).and_then(|name| self.add_use(&name)) else { return };
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|source| &*source.body) else {
            return;
        };
        for (index, column) in insert.columns.iter().enumerate().take(MAX_COLUMNS) {
            // The column is known only if every row has a value for it.
            let in_rows = values.rows.iter().map(|row| row.content.get(index).and_then(placeholder_number));
            let placeholders = in_rows.collect::<Option<Vec<u32>>>();
            if let (Some(placeholders), Some(column)) = (placeholders, qualified_name(column)) {
                self.uses[table_use].keys.push(ColumnValues { column: column.into(), placeholders });
            }
        }
    }

    fn add_update(&mut self, update: &Update) {
        let mut clause = FromClause::default();
        self.add_joined_tables(&update.table, &mut clause);
        let from = update.from.iter().flat_map(|from| match from {
            UpdateTableFromKind::BeforeSet(tables) | UpdateTableFromKind::AfterSet(tables) => tables,
        });
        from.for_each(|tables| self.add_joined_tables(tables, &mut clause));
        if let Some(condition) = &update.selection {
            clause.add_condition(condition);
        }
        // A row whose key is changed may belong to another shard afterwards.
        clause.discard_columns(&assigned_columns(update));
        self.record_keys(clause);
    }

    fn add_delete(&mut self, delete: &Delete) {
        let mut clause = FromClause::default();
        let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
        from.iter().for_each(|tables| self.add_joined_tables(tables, &mut clause));
        let using = delete.using.iter().flatten();
        using.for_each(|tables| self.add_joined_tables(tables, &mut clause));
        if let Some(condition) = &delete.selection {
            clause.add_condition(condition);
        }
        self.record_keys(clause);
    }

    /// Adds the tables of a MERGE without its condition, which does not hold for rows that are not matched.
    fn add_merge(&mut self, merge: &Merge) {
        let mut clause = FromClause::default();
        self.add_table_factor(&merge.table, &mut clause);
        self.add_table_factor(&merge.source, &mut clause);
        self.record_keys(clause);
    }

    /// Adds the tables of a join, and those of its conditions that hold for all resulting rows.
    fn add_joined_tables(&mut self, tables: &TableWithJoins, clause: &mut FromClause) {
        self.add_table_factor(&tables.relation, clause);
        for join in &tables.joins {
            self.add_table_factor(&join.relation, clause);
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

    fn add_table_factor(&mut self, factor: &TableFactor, clause: &mut FromClause) {
        match factor {
            TableFactor::Table { name, alias, args: None, .. } => {
                let name = qualified_name(name).unwrap_or_default();
                let unqualified = name.rsplit('.').next().unwrap_or_default().to_string();
                let alias = alias.as_ref().map_or(unqualified, |alias| identifier(&alias.name));
                clause.add_source(alias, self.add_use(&name));
            }
            TableFactor::NestedJoin { table_with_joins, .. } => {
                self.add_joined_tables(table_with_joins, clause);
            }
            // A derived table is visited as a separate query.
            _ => clause.add_source(String::new(), None),
        }
    }

    /// Records the columns with known values in the uses of their tables.
    fn record_keys(&mut self, mut clause: FromClause) {
        clause.propagate_values(MAX_TABLE_USES);
        for (index, source) in clause.sources().iter().enumerate() {
            let Some(table_use) = source.table_use else { continue };
            let known_columns = clause.known_columns().iter().filter(|known| known.column.source == index);
            let keys = known_columns.take(MAX_COLUMNS).map(|known| ColumnValues {
                column: known.column.name.as_str().into(),
                placeholders: known.placeholders.clone(),
            });
            let keys: Vec<ColumnValues> = keys.collect();
            self.scans += usize::from(keys.is_empty());
            self.uses[table_use].keys = keys;
        }
    }

    /// Returns the uses in order of appearance, and sets the numbers of uses and full scans in the features.
    pub(super) fn finish(self, features: &mut Features) -> Vec<TableUse> {
        features.tables = u8::try_from(self.uses.len()).unwrap_or(u8::MAX);
        features.scans = u8::try_from(self.scans).unwrap_or(u8::MAX);
        self.uses
    }
}

/// Returns the columns that an UPDATE sets, without their tables.
fn assigned_columns(update: &Update) -> Vec<String> {
    let names = update.assignments.iter().flat_map(|assignment| match &assignment.target {
        AssignmentTarget::ColumnName(name) => std::slice::from_ref(name),
        AssignmentTarget::Tuple(names) => &names[..],
    });
    let names = names.filter_map(qualified_name);
    names.map(|name| name.rsplit('.').next().unwrap_or_default().to_string()).collect()
}
