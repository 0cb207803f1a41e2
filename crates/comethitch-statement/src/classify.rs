//! From a shape to its verdict: the shape is parsed and walked whole, and its bare tokens are looked through
//! besides. The parser takes some texts for what no server does (`SELECT 1 DELETE FROM t`, with DELETE as an
//! alias), so that a read is one only where the walk and the tokens agree.

use crate::catalogue::{self, Catalogue, Does, Lists};
use crate::lexer::{Lexer, Token, TokenKind};
use crate::uses::Uses;
use crate::{Dialect, Effect, Features, Verdict};
use sqlparser::ast::{
    BinaryOperator, CopyTarget, DataType, Expr, FunctionArguments, Ident, ObjectName, Query, Select, SetExpr,
    Statement, TableFactor, Visit, Visitor,
};
use sqlparser::dialect::{MsSqlDialect, PostgreSqlDialect};
use sqlparser::parser::Parser;
use std::ops::ControlFlow;

/// A shape of more tokens is not parsed: the parser's trees are as deep as a chain of operators is long.
pub const MOST_TOKENS: usize = 2_000;
/// Nor is one with brackets deeper than this: the parser tries brackets in several ways, each anew.
pub const DEEPEST_PARSED: usize = 20;
/// How many levels of its own the parser may go down.
const PARSER_LEVELS: usize = 128;
/// The longest list of functions that is kept; more are counted, and all are judged.
const MOST_NAMES: usize = 32;

/// Judges shapes of one dialect by the lists and a catalogue.
#[derive(Clone, Copy)]
pub struct Classifier<'a> {
    dialect: Dialect,
    catalogue: &'a Catalogue,
}

impl<'a> Classifier<'a> {
    pub fn new(dialect: Dialect, catalogue: &'a Catalogue) -> Classifier<'a> {
        Classifier { dialect, catalogue }
    }

    /// The verdict on the statement that was read last.
    pub fn classify(&self, lexer: &Lexer) -> Verdict {
        if let Some(ambiguity) = lexer.ambiguity() {
            return self.cautious(lexer, ambiguity.reason());
        }
        let tokens = lexer.tokens();
        if tokens.is_empty() {
            return without_parts(Effect::Session, "it is empty");
        }
        if tokens.len() > MOST_TOKENS {
            return self.cautious(lexer, "it is too long to be parsed");
        }
        if deepest(lexer) > DEEPEST_PARSED {
            return self.cautious(lexer, "its brackets stand too deep to be parsed");
        }
        let text = rendered(lexer);
        let parsed = match self.dialect {
            Dialect::Postgres => parse(&PostgreSqlDialect {}, &text),
            Dialect::Tsql => parse(&MsSqlDialect {}, &text),
        };
        let mut walk = Walk::new(self.dialect, self.catalogue);
        let Ok(statements) = parsed else {
            // The bare tokens may still tell that it writes.
            let Verdict { effect, why, transaction, .. } = self.cautious(lexer, "it can't be parsed");
            walk.raise(effect, &why);
            self.look_through(lexer, &mut walk);
            return Verdict { transaction, ..without_parts(walk.effect, &walk.why) };
        };
        let _ = statements.visit(&mut walk);
        self.look_through(lexer, &mut walk);
        let Walk { effect, why, uses, functions, mut features, transaction, .. } = walk;
        if uses.overflow {
            let why = "it uses too many tables";
            return Verdict { transaction, ..without_parts(effect.max(Effect::Unknown), why) };
        }
        let uses = uses.finish(&mut features);
        Verdict { effect, why: why.into(), uses, functions, features, parsed: true, transaction }
    }

    /// What can be said without parsing: never that it is a read.
    pub fn cautious(&self, lexer: &Lexer, why: &str) -> Verdict {
        let lists = catalogue::known(self.dialect);
        let mut words =
            lexer.tokens().iter().map(|token| word(lexer, *token)).filter(|word| !word.is_empty());
        let (first, second) = (words.next(), words.next().unwrap_or_default());
        let transaction = first.is_some_and(|first| lists.transaction.contains(first))
            && !(self.dialect == Dialect::Tsql && !second.starts_with("tran") && first == Some("begin"))
            && !(first == Some("prepare") && second != "transaction");
        let found = match first {
            Some(first) if lists.leading_write.contains(first) => without_parts(Effect::Write, why),
            // A batch may go on behind its first statement.
            Some(first)
                if lists.leading_session.contains(first)
                    && self.dialect == Dialect::Postgres
                    && lexer.ambiguity().is_none()
                    && !lexer.tokens().iter().any(|token| lexer.bytes(*token) == b";") =>
            {
                without_parts(Effect::Session, why)
            }
            _ => without_parts(Effect::Unknown, why),
        };
        Verdict { transaction, ..found }
    }

    /// Looks through the bare tokens for what the walk can't have seen.
    fn look_through(&self, lexer: &Lexer, walk: &mut Walk<'_>) {
        let lists = catalogue::known(self.dialect);
        let tokens = lexer.tokens();
        let text = |at: usize| tokens.get(at).map_or(&b""[..], |token| lexer.bytes(*token));
        for (at, token) in tokens.iter().enumerate() {
            let before = at.checked_sub(1).map_or(&b""[..], text);
            let next = text(at + 1);
            let word = word(lexer, *token);
            if before == b"." || word.is_empty() && token.kind != TokenKind::Quoted {
                continue;
            }
            match self.dialect {
                Dialect::Postgres => {
                    let opens = at == 0 || matches!(before, b"(" | b")" | b";");
                    match word {
                        "insert" | "update" | "delete" | "merge" if opens => {
                            walk.raise(Effect::Write, "it changes rows");
                        }
                        "into" => walk.raise(Effect::Write, "it writes into a table"),
                        "for" if matches!(next, b"update" | b"share" | b"no" | b"key") => {
                            walk.raise(Effect::LockingRead, "it locks rows");
                        }
                        _ => {}
                    }
                }
                Dialect::Tsql => {
                    if word == "next" && next == b"value" {
                        walk.raise(Effect::Write, "it takes a value of a sequence");
                    } else if lists.never_in_reads.contains(word) {
                        walk.raise(Effect::Write, "it holds a word that no read holds");
                    }
                }
            }
            self.look_at_call(lexer, at, walk, lists);
        }
    }

    /// A name before a bracket is a call, unless the grammar or the walk has another reading of it.
    fn look_at_call(&self, lexer: &Lexer, at: usize, walk: &mut Walk<'_>, lists: &Lists) {
        let tokens = lexer.tokens();
        // `a . b (` is looked at from its first part.
        let (mut end, mut name) = (at, self.name(lexer, tokens[at]));
        while tokens.get(end + 1).is_some_and(|dot| lexer.bytes(*dot) == b".") && end + 2 < tokens.len() {
            name = format!("{name}.{}", self.name(lexer, tokens[end + 2]));
            end += 2;
        }
        if tokens.get(end + 1).is_none_or(|bracket| lexer.bytes(*bracket) != b"(") {
            return;
        }
        let word = word(lexer, tokens[at]);
        let known = end == at && lists.before_brackets.contains(word)
            || walk.called.contains(&name)
            || walk.listed.contains(&name)
            || self.catalogue.is_type(self.dialect, &name);
        if !known {
            match self.catalogue.function(self.dialect, &name) {
                Some(does) => walk.raise(does.effect(), "it calls a function that is no read"),
                None => walk.raise(Effect::Write, "it may call a function that is on no list"),
            }
        }
    }

    fn name(&self, lexer: &Lexer, token: Token) -> String {
        let text = String::from_utf8_lossy(lexer.bytes(token));
        match token.kind {
            TokenKind::Quoted => unquoted(&text).to_string(),
            _ => text.into_owned(),
        }
    }
}

/// Whether a batch in T-SQL only sets options of the session, as drivers do when they begin: `SET NOCOUNT ON`, one
/// or several, with semicolons or without.
///
/// ```
/// use comethitch_statement::{Dialect, Lexer, classify::only_settings};
/// let mut lexer = Lexer::new(Dialect::Tsql);
/// lexer.read(b"SET NOCOUNT ON set textsize 2147483647; SET TRANSACTION ISOLATION LEVEL READ COMMITTED");
/// assert!(only_settings(&lexer));
/// lexer.read(b"SET NOCOUNT ON DELETE FROM t");
/// assert!(!only_settings(&lexer));
/// ```
pub fn only_settings(lexer: &Lexer) -> bool {
    const LEVELS: [&[&str]; 5] = [
        &["read", "committed"],
        &["read", "uncommitted"],
        &["repeatable", "read"],
        &["serializable"],
        &["snapshot"],
    ];
    const ISOLATION: [&str; 3] = ["transaction", "isolation", "level"];
    /// Options that decide which rows or indexes a statement touches belong to one connection's work.
    const KEPT: [&str; 2] = ["identity_insert", "implicit_transactions"];
    if lexer.ambiguity().is_some() || lexer.tokens().is_empty() {
        return false;
    }
    let words: Vec<&str> = lexer
        .tokens()
        .iter()
        .map(|token| match token.kind {
            TokenKind::Placeholder => "?",
            _ => std::str::from_utf8(lexer.bytes(*token)).unwrap_or_default(),
        })
        .collect();
    let mut rest = &words[..];
    while let Some((first, behind)) = rest.split_first() {
        rest = match (*first, behind) {
            (";", behind) => behind,
            ("set", behind) if behind.starts_with(&ISOLATION) => {
                let behind = &behind[ISOLATION.len()..];
                match LEVELS.iter().find(|level| behind.starts_with(level)) {
                    Some(level) => &behind[level.len()..],
                    None => return false,
                }
            }
            ("set", [option, "on" | "off" | "?", behind @ ..])
                if option.bytes().all(|b| b.is_ascii_lowercase() || b == b'_') && !KEPT.contains(option) =>
            {
                behind
            }
            _ => return false,
        };
    }
    true
}

/// A word's text; empty for any other token.
fn word(lexer: &Lexer, token: Token) -> &str {
    let is_word = token.kind == TokenKind::Word;
    std::str::from_utf8(lexer.bytes(token)).ok().filter(|_| is_word).unwrap_or_default()
}

fn unquoted(text: &str) -> &str {
    text.get(1..text.len().saturating_sub(1)).unwrap_or_default()
}

fn without_parts(effect: Effect, why: &str) -> Verdict {
    Verdict {
        effect,
        why: why.into(),
        uses: Vec::new(),
        functions: Vec::new(),
        features: Features::default(),
        parsed: false,
        transaction: false,
    }
}

fn deepest(lexer: &Lexer) -> usize {
    let (mut depth, mut deepest) = (0_usize, 0);
    for token in lexer.tokens() {
        match lexer.bytes(*token) {
            b"(" | b"[" if token.kind == TokenKind::Symbol => depth += 1,
            b")" | b"]" if token.kind == TokenKind::Symbol => depth = depth.saturating_sub(1),
            b"case" => depth += 1,
            b"end" => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}

fn parse(dialect: &dyn sqlparser::dialect::Dialect, text: &str) -> Result<Vec<Statement>, ()> {
    let parser = Parser::new(dialect).with_recursion_limit(PARSER_LEVELS);
    parser.try_with_sql(text).and_then(|mut parser| parser.parse_statements()).map_err(|_| ())
}

/// Words behind which the parser wants a text where a placeholder stands.
const BEFORE_TEXTS: [&[u8]; 15] = [
    b"as",
    b"date",
    b"time",
    b"timestamp",
    b"timestamptz",
    b"interval",
    b"escape",
    b"json",
    b"jsonb",
    b"uuid",
    b"bytea",
    b"inet",
    b"point",
    b"zone",
    b"uescape",
];

/// The shape as the parser reads it. A placeholder is written as its own number, counted from 1, so that the
/// literals of the tree tell which of them they are.
fn rendered(lexer: &Lexer) -> String {
    let mut text = Vec::with_capacity(lexer.shape().len() * 2);
    let (mut number, mut before, mut left_out) = (0_u32, &b""[..], 0..0);
    for (at, token) in lexer.tokens().iter().enumerate() {
        let bytes = lexer.bytes(*token);
        if lexer.dialect() == Dialect::Tsql && bytes == b"option" && left_out.end <= at {
            left_out = query_hints(lexer, at);
        }
        if left_out.contains(&at) {
            number += u32::from(token.kind == TokenKind::Placeholder);
            continue;
        }
        let next = lexer.tokens().get(at + 1).map_or(&b""[..], |next| lexer.bytes(*next));
        // Two clauses that the parser lacks are written as their like: FOR NO KEY UPDATE and FOR KEY SHARE.
        let weaker_lock =
            matches!((before, bytes, next), (b"for", b"no" | b"key", _) | (b"no", b"key", b"update"));
        if lexer.dialect() == Dialect::Postgres && token.kind == TokenKind::Word {
            if weaker_lock {
                before = if bytes == b"no" { bytes } else { b"" };
                continue;
            }
            let begins = matches!(before, b"" | b"(" | b";" | b"union" | b"all" | b"except" | b"intersect");
            if bytes == b"table" && begins {
                text.extend(b"select * from ");
                before = bytes;
                continue;
            }
        }
        if token.kind == TokenKind::Placeholder {
            number += 1;
            let named =
                before == b"(" && at >= 2 && matches!(lexer.bytes(lexer.tokens()[at - 2]), b"path" | b"root");
            let written = match named || BEFORE_TEXTS.contains(&before) {
                true => format!("'{number}'"),
                false => number.to_string(),
            };
            text.extend(written.into_bytes());
        } else {
            // Two comparisons that the parser lacks are written as their like.
            text.extend(match (lexer.dialect(), bytes) {
                (Dialect::Tsql, b"!<") => b">=",
                (Dialect::Tsql, b"!>") => b"<=",
                _ => bytes,
            });
        }
        // `a . b` is one name to the parser only without blanks.
        if bytes != b"." {
            text.push(b' ');
        }
        before = bytes;
    }
    String::from_utf8_lossy(&text).replace(" .", ".")
}

/// Where the hints to a whole query stand, which say how it is to be done and nothing else: `OPTION (MAXDOP 1)` at its
/// end. Those that name tables may ask for locks, and are left in.
fn query_hints(lexer: &Lexer, at: usize) -> std::ops::Range<usize> {
    let tokens = lexer.tokens();
    let bytes = |at: usize| tokens.get(at).map_or(&b""[..], |token| lexer.bytes(*token));
    if bytes(at + 1) != b"(" {
        return at..at;
    }
    let (mut depth, mut end) = (0, at + 1);
    while end < tokens.len() {
        match bytes(end) {
            b"(" => depth += 1,
            b")" => depth -= 1,
            b"table" | b"select" => return at..at,
            _ => {}
        }
        end += 1;
        if depth == 0 {
            break;
        }
    }
    // Behind them the query is over: a bracket, a semicolon, or nothing.
    match bytes(end) {
        b"" | b";" | b")" => at..end,
        _ => at..at,
    }
}

/// The name by which a part of the tree is looked up, as a server compares it.
pub(crate) fn looked_up(name: &ObjectName) -> Option<String> {
    let parts = name.0.iter().map(|part| part.as_ident().map(ident)).collect::<Option<Vec<_>>>()?;
    Some(parts.join("."))
}

pub(crate) fn ident(ident: &Ident) -> String {
    match ident.quote_style {
        Some(_) => ident.value.clone(),
        None => ident.value.to_ascii_lowercase(),
    }
}

/// What the walk gathers.
struct Walk<'a> {
    dialect: Dialect,
    catalogue: &'a Catalogue,
    effect: Effect,
    why: String,
    uses: Uses,
    functions: Vec<Box<str>>,
    /// All names called, judged already.
    called: Vec<String>,
    /// Names that stand before a list of columns, or as a table's function.
    listed: Vec<String>,
    features: Features,
    transaction: bool,
}

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

impl<'a> Walk<'a> {
    fn new(dialect: Dialect, catalogue: &'a Catalogue) -> Walk<'a> {
        Walk {
            dialect,
            catalogue,
            effect: Effect::Read,
            why: String::new(),
            uses: Uses::default(),
            functions: Vec::new(),
            called: Vec::new(),
            listed: Vec::new(),
            features: Features::default(),
            transaction: false,
        }
    }

    /// The strictest effect found stays, with the first reason for it.
    fn raise(&mut self, effect: Effect, why: &str) {
        if effect > self.effect {
            self.effect = effect;
            self.why = why.into();
        }
    }

    fn call(&mut self, called: &ObjectName, has_brackets: bool) {
        let Some(name) = looked_up(called) else {
            return self.raise(Effect::Unknown, "it calls a function whose name is made up");
        };
        // A construct of the grammar, once quoted, is the name of somebody's function.
        let quoted =
            called.0.iter().filter_map(|part| part.as_ident()).any(|part| part.quote_style.is_some());
        if quoted && catalogue::known(self.dialect).constructs.contains(name.as_str()) {
            self.raise(Effect::Write, &format!("it calls \"{name}\", which is on no list"));
        }
        if !self.called.contains(&name) {
            // T-SQL compares names without regard to case; a quoted built-in is no built-in there.
            match self.catalogue.function(self.dialect, &name) {
                Some(Does::Read) => {}
                Some(does) => self.raise(does.effect(), &format!("it calls {name}")),
                None if !has_brackets => {
                    self.raise(Effect::Unknown, &format!("it names {name}, which is on no list"));
                }
                None => self.raise(Effect::Write, &format!("it calls {name}, which is on no list")),
            }
            self.called.push(name.clone());
            self.features.functions = self.features.functions.saturating_add(1);
            if self.functions.len() < MOST_NAMES {
                self.functions.push(name.as_str().into());
            }
        }
        if AGGREGATES.contains(&name.as_str()) {
            self.features.aggregates = self.features.aggregates.saturating_add(1);
        }
    }

    fn cast(&mut self, to: &DataType) {
        match to {
            DataType::Custom(name, _) => {
                let name = looked_up(name).unwrap_or_default();
                if !self.catalogue.is_type(self.dialect, &name) {
                    self.raise(Effect::Unknown, &format!("a cast to {name}, which is on no list"));
                }
            }
            DataType::Array(inner) => {
                use sqlparser::ast::ArrayElemTypeDef::{AngleBracket, None, Parenthesis, SquareBracket};
                match inner {
                    AngleBracket(inner) | SquareBracket(inner, _) | Parenthesis(inner) => self.cast(inner),
                    None => {}
                    _ => self.raise(Effect::Unknown, "it has a type of another dialect"),
                }
            }
            DataType::Collate(inner, _) => self.cast(inner),
            _ => {}
        }
    }

    fn operator(&mut self, operator: &BinaryOperator) {
        let name = match operator {
            BinaryOperator::Custom(name) => name.clone(),
            BinaryOperator::PGCustomBinaryOperator(parts) => match &parts[..] {
                [schema, name] if schema.eq_ignore_ascii_case("pg_catalog") => name.clone(),
                [name] => name.clone(),
                parts => parts.join("."),
            },
            BinaryOperator::Assignment => {
                return self.raise(Effect::Unknown, "it assigns");
            }
            _ => return,
        };
        if !self.catalogue.is_operator(self.dialect, &name) {
            self.raise(Effect::Unknown, &format!("the operator {name} is on no list"));
        }
    }

    /// T-SQL's table hints: some take locks, some need none.
    fn hint(&mut self, hint: &Expr) {
        const HARMLESS: [&str; 10] = [
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
        let name = match hint {
            Expr::Identifier(name) => ident(name),
            Expr::Function(function) => looked_up(&function.name).unwrap_or_default(),
            Expr::BinaryOp { left, .. } => match &**left {
                Expr::Identifier(name) => ident(name),
                _ => String::new(),
            },
            _ => String::new(),
        };
        if name == "index" || name == "forceseek" {
            self.called.push(name);
        } else if !HARMLESS.contains(&name.as_str()) {
            self.raise(Effect::LockingRead, "a table hint takes locks");
        }
    }

    fn statement(&mut self, statement: &Statement) {
        match statement {
            Statement::Query(_) => {}
            Statement::Insert(_) | Statement::Update(_) | Statement::Delete(_) | Statement::Merge(_) => {
                self.raise(Effect::Write, "it changes rows");
                self.uses.changed(statement);
            }
            // EXPLAIN is as its statement, which the walk comes to next: with ANALYZE it runs.
            Statement::Explain { .. } if self.dialect == Dialect::Postgres => {}
            Statement::StartTransaction { .. }
            | Statement::Commit { .. }
            | Statement::Rollback { .. }
            | Statement::Savepoint { .. }
            | Statement::ReleaseSavepoint { .. } => {
                self.transaction = true;
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
}

impl Visitor for Walk<'_> {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        self.statement(statement);
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if !query.locks.is_empty() {
            self.raise(Effect::LockingRead, "it locks rows");
        }
        if query.settings.is_some() || query.format_clause.is_some() || !query.pipe_operators.is_empty() {
            self.raise(Effect::Unknown, "it has a clause of another dialect");
        }
        if let Some(with) = &query.with {
            self.features.recursive |= with.recursive;
            self.listed.extend(with.cte_tables.iter().map(|cte| ident(&cte.alias.name)));
        }
        self.features.ordered |= query.order_by.is_some();
        self.features.limited |= query.limit_clause.is_some() || query.fetch.is_some();
        self.body(&query.body);
        self.uses.enter(query);
        ControlFlow::Continue(())
    }

    fn post_visit_query(&mut self, _: &Query) -> ControlFlow<()> {
        self.uses.leave();
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if select.into.is_some() {
            self.raise(Effect::Write, "it writes into a table");
        }
        let foreign = !select.lateral_views.is_empty()
            || select.prewhere.is_some()
            || !select.connect_by.is_empty()
            || !select.cluster_by.is_empty()
            || !select.distribute_by.is_empty()
            || !select.sort_by.is_empty()
            || select.value_table_mode.is_some()
            || select.select_modifiers.is_some();
        if foreign {
            self.raise(Effect::Unknown, "it has a clause of another dialect");
        }
        use sqlparser::ast::GroupByExpr;
        self.features.grouped |= !matches!(&select.group_by, GroupByExpr::Expressions(by, with) if by.is_empty() && with.is_empty());
        self.features.distinct |= select.distinct.is_some();
        self.features.limited |= select.top.is_some();
        let joins: usize = select.from.iter().map(|table| table.joins.len()).sum();
        let joins = joins + select.from.len().saturating_sub(1);
        self.features.joins = self.features.joins.saturating_add(joins.min(255) as u8);
        self.uses.select(select);
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        let alias = match factor {
            TableFactor::Table { name, args, with_hints, alias, .. } => {
                if let Some(args) = args {
                    let known_hints = self.dialect == Dialect::Tsql
                        && looked_up(name)
                            .is_some_and(|name| self.catalogue.function(self.dialect, &name).is_none())
                        && args.args.iter().all(|arg| {
                            matches!(
                                arg.to_string().to_ascii_lowercase().as_str(),
                                "nolock" | "readuncommitted"
                            )
                        })
                        && !args.args.is_empty();
                    match known_hints {
                        // The old way to write a hint: `FROM t (NOLOCK)`.
                        true => self.listed.extend(looked_up(name)),
                        false => self.call(name, true),
                    }
                }
                with_hints.iter().for_each(|hint| self.hint(hint));
                alias
            }
            TableFactor::Function { name, alias, .. } => {
                self.call(name, true);
                alias
            }
            TableFactor::Derived { alias, .. } => {
                self.features.subqueries = self.features.subqueries.saturating_add(1);
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
            _ => {
                self.raise(Effect::Unknown, "it has a clause of another dialect");
                &None
            }
        };
        self.listed.extend(alias.iter().filter(|alias| !alias.columns.is_empty()).map(|a| ident(&a.name)));
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        let Some(name) = looked_up(relation) else {
            self.raise(Effect::Unknown, "it names a table by an expression");
            return ControlFlow::Continue(());
        };
        if relation.0.len() > 3 {
            self.raise(Effect::Unknown, "it names a table of another server");
        }
        match self.catalogue.table(&name) {
            Some(Does::Read) => {}
            Some(does) => self.raise(does.effect(), &format!("{name} is told to be no plain read")),
            None => self.raise(Effect::Unknown, &format!("{name} is in no catalogue")),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                self.call(&function.name, !matches!(function.args, FunctionArguments::None));
                if function.over.is_some() {
                    self.features.windows = self.features.windows.saturating_add(1);
                }
            }
            Expr::Cast { data_type, .. } => self.cast(data_type),
            Expr::Convert { data_type: Some(data_type), .. } => self.cast(data_type),
            Expr::TypedString(typed) => self.cast(&typed.data_type),
            Expr::BinaryOp { op, .. } => self.operator(op),
            Expr::AnyOp { compare_op, .. } | Expr::AllOp { compare_op, .. } => self.operator(compare_op),
            Expr::Subquery(_) | Expr::Exists { .. } => {
                self.features.subqueries = self.features.subqueries.saturating_add(1);
            }
            Expr::In { target, .. } => {
                use sqlparser::ast::InTarget;
                match target {
                    InTarget::List(_) => {}
                    InTarget::Subquery(_) => {
                        self.features.subqueries = self.features.subqueries.saturating_add(1);
                    }
                    _ => self.raise(Effect::Unknown, "it has a clause of another dialect"),
                }
            }
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
        ControlFlow::Continue(())
    }
}

impl Walk<'_> {
    /// The body of a query: what changes rows, at any depth of its set operations.
    fn body(&mut self, body: &SetExpr) {
        match body {
            SetExpr::SetOperation { left, right, .. } => {
                self.features.set_operations = self.features.set_operations.saturating_add(1);
                self.body(left);
                self.body(right);
            }
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => {
                self.raise(Effect::Write, "it changes rows");
            }
            SetExpr::Table(table) => {
                let schema = table.schema_name.iter().map(|name| format!("{}.", ident(name)));
                let name: String = schema.chain(table.table_name.iter().map(ident)).collect();
                self.uses.whole(&name);
            }
            SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) => {}
        }
    }
}
