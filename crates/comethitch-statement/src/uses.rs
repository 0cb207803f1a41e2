//! Which tables a statement uses, and which of their columns it compares with values.
//!
//! A column is known to have a value only where every row that counts has it: in the conditions joined by AND
//! of the WHERE clause and of inner joins, and through columns that these make equal. Each use of a table is
//! told apart, since each of them may need the key that says where its rows lie.

use crate::classify::{ident, looked_up};
use crate::verdict::{Features, KeyUse, TableUse};
use sqlparser::ast::{
    AssignmentTarget, BinaryOperator, Expr, FromTable, InTarget, Insert, JoinConstraint, JoinOperator, Query,
    Select, SetExpr, Statement, TableFactor, TableObject, TableWithJoins, UpdateTableFromKind, Value,
};

/// The most uses of tables, and of keys in one, that are kept.
const MOST_USES: usize = 64;
const MOST_KEYS: usize = 16;

/// The names that a WITH clause gives, as far as they are seen.
struct Frame {
    /// Each name, and where its own query lies.
    names: Vec<(String, *const Query)>,
    recursive: bool,
    /// While one of its queries is walked, only the names before it are seen.
    within: Option<usize>,
    /// The query whose end closes this, by how many queries are entered.
    opened_within: bool,
}

#[derive(Default)]
pub(crate) struct Uses {
    frames: Vec<Frame>,
    uses: Vec<TableUse>,
    /// Some were not kept: no table is known for certain.
    pub overflow: bool,
    scans: usize,
}

/// A table of one FROM clause, and what it is called there.
struct Source {
    alias: String,
    table: Option<usize>,
}

#[derive(Default)]
struct Scope {
    sources: Vec<Source>,
    /// The value of the first is also that of the second.
    implied: Vec<((usize, String), (usize, String))>,
    known: Vec<((usize, String), Vec<u32>)>,
}

impl Uses {
    /// A query begins: its WITH clause's names are seen in it.
    pub fn enter(&mut self, query: &Query) {
        let pointer: *const Query = query;
        let mut opened_within = false;
        if let Some(outer) = self.frames.last_mut()
            && outer.within.is_none()
            && let Some(at) = outer.names.iter().position(|(_, own)| *own == pointer)
        {
            outer.within = Some(at);
            opened_within = true;
        }
        let (names, recursive) = match &query.with {
            Some(with) => {
                let names = with.cte_tables.iter().map(|cte| {
                    let own: *const Query = &*cte.query;
                    (ident(&cte.alias.name), own)
                });
                (names.collect(), with.recursive)
            }
            None => (Vec::new(), false),
        };
        self.frames.push(Frame { names, recursive, within: None, opened_within });
    }

    pub fn leave(&mut self) {
        let opened_within = self.frames.pop().is_some_and(|frame| frame.opened_within);
        if opened_within && let Some(outer) = self.frames.last_mut() {
            outer.within = None;
        }
    }

    /// Whether a name is one of a WITH clause here, and no table's.
    fn is_given(&self, name: &str) -> bool {
        self.frames.iter().any(|frame| {
            let seen = match frame.within {
                Some(at) if !frame.recursive => &frame.names[..at],
                _ => &frame.names[..],
            };
            seen.iter().any(|(given, _)| given == name)
        })
    }

    /// Takes in a use of a table, and tells its place.
    fn add(&mut self, table: &str) -> Option<usize> {
        if self.is_given(table) {
            return None;
        }
        if self.uses.len() >= MOST_USES {
            self.overflow = true;
            return None;
        }
        self.uses.push(TableUse { table: table.into(), keys: Vec::new() });
        Some(self.uses.len() - 1)
    }

    /// A table that is used whole, as in `TABLE t`.
    pub fn whole(&mut self, table: &str) {
        self.add(table);
        self.scans += 1;
    }

    pub fn select(&mut self, select: &Select) {
        let mut scope = Scope::default();
        select.from.iter().for_each(|tables| self.tables(tables, &mut scope, true));
        if let Some(condition) = &select.selection {
            scope.condition(condition);
        }
        self.settle(scope);
    }

    /// A statement that changes rows: its table, and the tables that it reads beside it.
    pub fn changed(&mut self, statement: &Statement) {
        match statement {
            Statement::Insert(insert) => self.inserted(insert),
            Statement::Update(update) => {
                let mut scope = Scope::default();
                self.tables(&update.table, &mut scope, true);
                let from = update.from.iter().flat_map(|from| match from {
                    UpdateTableFromKind::BeforeSet(tables) | UpdateTableFromKind::AfterSet(tables) => tables,
                });
                from.for_each(|tables| self.tables(tables, &mut scope, true));
                if let Some(condition) = &update.selection {
                    scope.condition(condition);
                }
                // A row whose key is changed may belong elsewhere afterwards.
                let key_changed = update.assignments.iter().flat_map(|assignment| match &assignment.target {
                    AssignmentTarget::ColumnName(name) => looked_up(name).into_iter().collect::<Vec<_>>(),
                    AssignmentTarget::Tuple(names) => names.iter().filter_map(looked_up).collect(),
                });
                let changed: Vec<String> =
                    key_changed.map(|name| name.rsplit('.').next().unwrap_or_default().to_string()).collect();
                scope.known.retain(|((_, column), _)| !changed.contains(column));
                self.settle(scope);
            }
            Statement::Delete(delete) => {
                let mut scope = Scope::default();
                let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
                from.iter().for_each(|tables| self.tables(tables, &mut scope, true));
                let using = delete.using.iter().flatten();
                using.for_each(|tables| self.tables(tables, &mut scope, true));
                if let Some(condition) = &delete.selection {
                    scope.condition(condition);
                }
                self.settle(scope);
            }
            Statement::Merge(merge) => {
                // Rows that are not matched may lie anywhere: its condition tells no key.
                let mut scope = Scope::default();
                self.factor(&merge.table, &mut scope, true);
                self.factor(&merge.source, &mut scope, true);
                self.settle(scope);
            }
            _ => {}
        }
    }

    fn inserted(&mut self, insert: &Insert) {
        let TableObject::TableName(name) = &insert.table else { return };
        let Some(at) = looked_up(name).and_then(|name| self.add(&name)) else { return };
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|source| &*source.body) else {
            return;
        };
        for (nth, column) in insert.columns.iter().enumerate().take(MOST_KEYS) {
            // Known only if it is a value in each row.
            let in_rows = values.rows.iter().map(|row| row.content.get(nth).and_then(placeholder));
            if let (Some(placeholders), Some(column)) =
                (in_rows.collect::<Option<Vec<u32>>>(), looked_up(column))
            {
                self.uses[at].keys.push(KeyUse { column: column.into(), placeholders });
            }
        }
    }

    /// The tables of a join; conditions hold for all rows only where no outer join may fill in for them.
    fn tables(&mut self, tables: &TableWithJoins, scope: &mut Scope, inner: bool) {
        self.factor(&tables.relation, scope, inner);
        for join in &tables.joins {
            self.factor(&join.relation, scope, inner);
            let constraint = match &join.join_operator {
                JoinOperator::Join(on) | JoinOperator::Inner(on) | JoinOperator::CrossJoin(on) => Some(on),
                // Of a left join only rows that meet the condition come from the right side.
                JoinOperator::Left(JoinConstraint::On(on))
                | JoinOperator::LeftOuter(JoinConstraint::On(on)) => {
                    let right = scope.sources.len().saturating_sub(1);
                    scope.outer(on, right);
                    None
                }
                _ => None,
            };
            if let (Some(JoinConstraint::On(on)), true) = (constraint, inner) {
                scope.condition(on);
            }
        }
    }

    fn factor(&mut self, factor: &TableFactor, scope: &mut Scope, inner: bool) {
        match factor {
            TableFactor::Table { name, alias, args: None, .. } => {
                let name = looked_up(name).unwrap_or_default();
                let short = name.rsplit('.').next().unwrap_or_default().to_string();
                let alias = alias.as_ref().map_or(short, |alias| ident(&alias.name));
                let table = self.add(&name);
                scope.sources.push(Source { alias, table });
            }
            TableFactor::NestedJoin { table_with_joins, .. } => self.tables(table_with_joins, scope, inner),
            _ => {
                // A derived table is walked as a query of its own.
                scope.sources.push(Source { alias: String::new(), table: None });
            }
        }
    }

    /// Hands the columns whose values are known to their tables.
    fn settle(&mut self, mut scope: Scope) {
        // Values go along equal columns until nothing new is known; each round settles one step at least.
        for _ in 0..scope.implied.len().min(MOST_USES) {
            let mut found = Vec::new();
            for (from, to) in &scope.implied {
                let value = scope.known.iter().find(|(column, _)| column == from);
                if let Some((_, values)) = value
                    && !scope.known.iter().any(|(column, _)| column == to)
                {
                    found.push((to.clone(), values.clone()));
                }
            }
            if found.is_empty() || scope.known.len() > MOST_USES {
                break;
            }
            scope.known.extend(found);
        }
        for (nth, source) in scope.sources.iter().enumerate() {
            let keys = scope.known.iter().filter(|((at, _), _)| *at == nth);
            let keys: Vec<KeyUse> = keys
                .take(MOST_KEYS)
                .map(|((_, column), placeholders)| KeyUse {
                    column: column.as_str().into(),
                    placeholders: placeholders.clone(),
                })
                .collect();
            if let Some(at) = source.table {
                self.scans += usize::from(keys.is_empty());
                self.uses[at].keys = keys;
            }
        }
    }

    pub fn finish(self, features: &mut Features) -> Vec<TableUse> {
        features.tables = self.uses.len().min(255) as u8;
        features.scans = self.scans.min(255) as u8;
        self.uses
    }
}

impl Scope {
    /// Conditions joined by AND.
    fn condition(&mut self, condition: &Expr) {
        match condition {
            Expr::Nested(inner) => self.condition(inner),
            Expr::BinaryOp { left, op: BinaryOperator::And, right } => {
                self.condition(left);
                self.condition(right);
            }
            Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => {
                match (self.column(left), self.column(right)) {
                    (Some(a), Some(b)) => self.implied.extend([(a.clone(), b.clone()), (b, a)]),
                    (Some(column), None) => self.value(column, placeholder(right).map(|number| vec![number])),
                    (None, Some(column)) => self.value(column, placeholder(left).map(|number| vec![number])),
                    (None, None) => {}
                }
            }
            Expr::In { expr, target: InTarget::List(list), negated: false, .. } => {
                if let Some(column) = self.column(expr) {
                    self.value(column, list.iter().map(placeholder).collect());
                }
            }
            _ => {}
        }
    }

    /// The condition of a left join: what it says of the right side holds for each row from there.
    fn outer(&mut self, condition: &Expr, right: usize) {
        let mut own = Scope { sources: std::mem::take(&mut self.sources), ..Scope::default() };
        own.condition(condition);
        self.sources = own.sources;
        self.known.extend(own.known.into_iter().filter(|((at, _), _)| *at == right));
        // A value goes from the left to the right, and not back.
        self.implied.extend(own.implied.into_iter().filter(|(from, to)| from.0 != right && to.0 == right));
    }

    fn value(&mut self, column: (usize, String), placeholders: Option<Vec<u32>>) {
        if let Some(placeholders) = placeholders.filter(|numbers| !numbers.is_empty()) {
            self.known.push((column, placeholders));
        }
    }

    /// A column by its source; one without a table's name belongs to the only source.
    fn column(&self, expr: &Expr) -> Option<(usize, String)> {
        match expr {
            Expr::Nested(inner) => self.column(inner),
            Expr::Identifier(name) if self.sources.len() == 1 => Some((0, ident(name))),
            Expr::CompoundIdentifier(parts) => {
                let [.., table, column] = &parts[..] else { return None };
                let table = ident(table);
                let mut at = self.sources.iter().enumerate().filter(|(_, source)| source.alias == table);
                let (nth, _) = at.next()?;
                at.next().is_none().then(|| (nth, ident(column)))
            }
            _ => None,
        }
    }
}

/// The number of the placeholder that an expression is, from 0.
fn placeholder(expr: &Expr) -> Option<u32> {
    match expr {
        Expr::Nested(inner) => placeholder(inner),
        Expr::Cast { expr, .. } => placeholder(expr),
        Expr::Value(value) => match &value.value {
            Value::Number(number, _) => number.parse::<u32>().ok()?.checked_sub(1),
            Value::SingleQuotedString(number) => number.parse::<u32>().ok()?.checked_sub(1),
            _ => None,
        },
        _ => None,
    }
}
