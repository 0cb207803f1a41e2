//! Walks the syntax tree of a statement, and passes what affects the verdict to [`Findings`].

use super::findings::{FOREIGN_CLAUSE, Findings};
use super::names::{identifier, qualified_name};
use crate::{Dialect, Effect};
use sqlparser::ast::{
    CopyTarget, Expr, FunctionArguments, GroupByExpr, InTarget, ObjectName, Query, Select, SetExpr,
    Statement, TableAlias, TableFactor, TableFunctionArgs, Visitor,
};
use std::ops::ControlFlow;

/// Visits every statement, query, table and expression of a syntax tree.
pub(super) struct StatementVisitor<'a> {
    pub findings: Findings<'a>,
}

impl Visitor for StatementVisitor<'_> {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        self.check_statement(statement);
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        self.check_query(query);
        ControlFlow::Continue(())
    }

    fn post_visit_query(&mut self, _: &Query) -> ControlFlow<()> {
        self.findings.table_uses.leave_query();
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        self.check_select(select);
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        self.check_table_factor(factor);
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.findings.check_table(relation);
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        self.check_expression(expression);
        ControlFlow::Continue(())
    }
}

impl StatementVisitor<'_> {
    fn raise(&mut self, effect: Effect, reason: &str) {
        self.findings.raise(effect, reason);
    }

    fn check_statement(&mut self, statement: &Statement) {
        match statement {
            Statement::Query(_) => {}
            Statement::Insert(_) | Statement::Update(_) | Statement::Delete(_) | Statement::Merge(_) => {
                self.raise(Effect::Write, "it changes rows");
                self.findings.table_uses.add_changing_statement(statement);
            }
            // EXPLAIN ANALYZE executes its statement, which is visited next.
            Statement::Explain { .. } if self.findings.dialect == Dialect::Postgres => {}
            Statement::StartTransaction { .. }
            | Statement::Commit { .. }
            | Statement::Rollback { .. }
            | Statement::Savepoint { .. }
            | Statement::ReleaseSavepoint { .. } => {
                self.findings.controls_transaction = true;
                self.raise(Effect::Session, "it concerns a transaction");
            }
            Statement::Set(_)
            | Statement::Reset(_)
            | Statement::Discard { .. }
            | Statement::ShowVariable { .. }
            | Statement::Prepare { .. }
            | Statement::Deallocate { .. }
            | Statement::LISTEN { .. }
            | Statement::UNLISTEN { .. }
            | Statement::Print(_)
            | Statement::Use(_) => self.raise(Effect::Session, "it concerns the session"),
            Statement::Declare { .. }
            | Statement::Fetch { .. }
            | Statement::Open(_)
            | Statement::Close { .. } => self.raise(Effect::Unknown, "it concerns a cursor"),
            Statement::Copy { to: true, target: CopyTarget::Stdout, .. } => {
                self.raise(Effect::Unknown, "it copies out");
            }
            Statement::Copy { .. } => self.raise(Effect::Write, "it copies to or from elsewhere"),
            Statement::WaitFor(_) | Statement::Return(_) | Statement::If(_) | Statement::While(_) => {
                self.raise(Effect::Unknown, "it is a batch with a course of its own");
            }
            _ => self.raise(Effect::Write, "it is no query"),
        }
    }

    fn check_query(&mut self, query: &Query) {
        if !query.locks.is_empty() {
            self.raise(Effect::LockingRead, "it locks rows");
        }
        if query.settings.is_some() || query.format_clause.is_some() || !query.pipe_operators.is_empty() {
            self.raise(Effect::Unknown, FOREIGN_CLAUSE);
        }
        if let Some(with) = &query.with {
            self.findings.features.recursive |= with.recursive;
            let names = with.cte_tables.iter().map(|cte| identifier(&cte.alias.name));
            self.findings.declared_names.extend(names);
        }
        self.findings.features.ordered |= query.order_by.is_some();
        self.findings.features.limited |= query.limit_clause.is_some() || query.fetch.is_some();
        self.check_query_body(&query.body);
        self.findings.table_uses.enter_query(query);
    }

    /// Checks the body of a query, including the operands of its set operations, for changes of rows.
    fn check_query_body(&mut self, body: &SetExpr) {
        match body {
            SetExpr::SetOperation { left, right, .. } => {
                let features = &mut self.findings.features;
                features.set_operations = features.set_operations.saturating_add(1);
                self.check_query_body(left);
                self.check_query_body(right);
            }
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => {
                self.raise(Effect::Write, "it changes rows");
            }
            SetExpr::Table(table) => {
                let schema = table.schema_name.iter().map(|name| format!("{}.", identifier(name)));
                let name: String = schema.chain(table.table_name.iter().map(identifier)).collect();
                self.findings.table_uses.add_full_scan(&name);
            }
            SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) => {}
        }
    }

    fn check_select(&mut self, select: &Select) {
        if select.into.is_some() {
            self.raise(Effect::Write, "it writes into a table");
        }
        if has_foreign_clause(select) {
            self.raise(Effect::Unknown, FOREIGN_CLAUSE);
        }
        let features = &mut self.findings.features;
        features.grouped |= is_grouped(&select.group_by);
        features.distinct |= select.distinct.is_some();
        features.limited |= select.top.is_some();
        let explicit_joins: usize = select.from.iter().map(|table| table.joins.len()).sum();
        let joins = explicit_joins + select.from.len().saturating_sub(1);
        features.joins = features.joins.saturating_add(joins.min(usize::from(u8::MAX)) as u8);
        self.findings.table_uses.add_select(select);
    }

    fn check_table_factor(&mut self, factor: &TableFactor) {
        let alias = match factor {
            TableFactor::Table { name, args, with_hints, alias, .. } => {
                if let Some(arguments) = args {
                    self.check_table_arguments(name, arguments);
                }
                with_hints.iter().for_each(|hint| self.findings.check_table_hint(hint));
                alias
            }
            TableFactor::Function { name, alias, .. } => {
                self.findings.check_call(name, true);
                alias
            }
            TableFactor::Derived { alias, .. } => {
                self.count_subquery();
                alias
            }
            TableFactor::TableFunction { alias, .. }
            | TableFactor::UNNEST { alias, .. }
            | TableFactor::JsonTable { alias, .. }
            | TableFactor::OpenJsonTable { alias, .. }
            | TableFactor::NestedJoin { alias, .. }
            | TableFactor::Pivot { alias, .. }
            | TableFactor::Unpivot { alias, .. }
            | TableFactor::XmlTable { alias, .. } => alias,
            _ => return self.raise(Effect::Unknown, FOREIGN_CLAUSE),
        };
        self.declare_alias(alias.as_ref());
    }

    /// Checks a table with arguments: a function call, or in T-SQL a table with hints in the legacy notation
    /// `FROM t (NOLOCK)`.
    fn check_table_arguments(&mut self, name: &ObjectName, arguments: &TableFunctionArgs) {
        let table = qualified_name(name).filter(|_| self.findings.dialect == Dialect::Tsql);
        match table {
            Some(table) if self.is_unknown_function(&table) && are_dirty_read_hints(arguments) => {
                self.findings.declared_names.push(table);
            }
            _ => self.findings.check_call(name, true),
        }
    }

    fn is_unknown_function(&self, name: &str) -> bool {
        self.findings.catalogue.function(self.findings.dialect, name).is_none()
    }

    /// Declares an alias with columns, which the token scan would read as a call.
    fn declare_alias(&mut self, alias: Option<&TableAlias>) {
        let with_columns = alias.filter(|alias| !alias.columns.is_empty());
        self.findings.declared_names.extend(with_columns.map(|alias| identifier(&alias.name)));
    }

    fn count_subquery(&mut self) {
        let features = &mut self.findings.features;
        features.subqueries = features.subqueries.saturating_add(1);
    }

    fn check_expression(&mut self, expression: &Expr) {
        match expression {
            Expr::Function(function) => {
                self.findings.check_call(&function.name, !matches!(function.args, FunctionArguments::None));
                if function.over.is_some() {
                    let features = &mut self.findings.features;
                    features.windows = features.windows.saturating_add(1);
                }
            }
            Expr::Cast { data_type, .. } => self.findings.check_cast(data_type),
            Expr::Convert { data_type: Some(data_type), .. } => self.findings.check_cast(data_type),
            Expr::TypedString(typed) => self.findings.check_cast(&typed.data_type),
            Expr::BinaryOp { op, .. } => self.findings.check_operator(op),
            Expr::AnyOp { compare_op, .. } | Expr::AllOp { compare_op, .. } => {
                self.findings.check_operator(compare_op);
            }
            Expr::Subquery(_) | Expr::Exists { .. } => self.count_subquery(),
            Expr::In { target: InTarget::List(_), .. } => {}
            Expr::In { target: InTarget::Subquery(_), .. } => self.count_subquery(),
            Expr::In { .. } => self.raise(Effect::Unknown, FOREIGN_CLAUSE),
            Expr::Lambda(_)
            | Expr::Dictionary(_)
            | Expr::Map(_)
            | Expr::Struct { .. }
            | Expr::MatchAgainst { .. }
            | Expr::MemberOf(_)
            | Expr::Prior(_)
            | Expr::OuterJoin(_) => self.raise(Effect::Unknown, "it has an expression of another dialect"),
            _ => {}
        }
    }
}

/// Returns whether a SELECT has a clause that the parser supports but neither dialect has.
fn has_foreign_clause(select: &Select) -> bool {
    !select.lateral_views.is_empty()
        || select.prewhere.is_some()
        || !select.connect_by.is_empty()
        || !select.cluster_by.is_empty()
        || !select.distribute_by.is_empty()
        || !select.sort_by.is_empty()
        || select.value_table_mode.is_some()
        || select.select_modifiers.is_some()
}

fn is_grouped(group_by: &GroupByExpr) -> bool {
    match group_by {
        GroupByExpr::Expressions(by, modifiers) => !by.is_empty() || !modifiers.is_empty(),
        GroupByExpr::All(_) => true,
    }
}

fn are_dirty_read_hints(arguments: &TableFunctionArgs) -> bool {
    let mut hints = arguments.args.iter().map(|argument| argument.to_string().to_ascii_lowercase());
    !arguments.args.is_empty() && hints.all(|hint| matches!(hint.as_str(), "nolock" | "readuncommitted"))
}
