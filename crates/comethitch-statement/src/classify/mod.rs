//! Computes the verdict on a shape.
//!
//! [`Classifier`] parses the shape (`parse`), walks its syntax tree (`visitor`), and scans its tokens as a
//! second check (`token_scan`); `findings` collects the results of both. A statement in doubt is never
//! classified as a read.

mod findings;
mod from_clause;
mod names;
mod parse;
mod session_settings;
mod table_uses;
mod token_scan;
mod tokens;
mod visitor;

pub use parse::{MAX_PARSED_DEPTH, MAX_PARSED_TOKENS};
pub use session_settings::sets_only_session_options;

use crate::catalogue::{self, Catalogue};
use crate::lexer::Lexer;
use crate::{Dialect, Effect, Verdict};
use findings::Findings;
use sqlparser::ast::Visit;
use token_scan::scan_tokens;
use tokens::word;
use visitor::StatementVisitor;

/// Classifies shapes of one dialect by the built-in names and a catalogue.
#[derive(Clone, Copy)]
pub struct Classifier<'a> {
    dialect: Dialect,
    catalogue: &'a Catalogue,
}

impl<'a> Classifier<'a> {
    /// Creates a classifier. Functions in the catalogue take precedence over built-in ones.
    pub fn new(dialect: Dialect, catalogue: &'a Catalogue) -> Classifier<'a> {
        Classifier { dialect, catalogue }
    }

    /// Returns the verdict on the statement that the lexer read last.
    pub fn classify(&self, lexer: &Lexer) -> Verdict {
        if let Some(ambiguity) = lexer.ambiguity() {
            return self.classify_unparsed(lexer, ambiguity.reason());
        }
        if lexer.tokens().is_empty() {
            return Verdict::unparsed(Effect::Session, "it is empty");
        }
        if let Some(reason) = parse::too_large_reason(lexer) {
            return self.classify_unparsed(lexer, reason);
        }
        let Ok(statements) = parse::parse(lexer) else {
            return self.classify_unparsable(lexer);
        };
        let mut visitor = StatementVisitor { findings: Findings::new(self.dialect, self.catalogue) };
        let _ = statements.visit(&mut visitor);
        let mut findings = visitor.findings;
        scan_tokens(lexer, &mut findings);
        findings.into_verdict()
    }

    /// Returns the verdict on a statement that cannot be parsed, by its first words and its tokens, which may
    /// still show that it writes.
    fn classify_unparsable(&self, lexer: &Lexer) -> Verdict {
        let unparsed = self.classify_unparsed(lexer, "it can't be parsed");
        let mut findings = Findings::new(self.dialect, self.catalogue);
        findings.raise(unparsed.effect, &unparsed.reason);
        scan_tokens(lexer, &mut findings);
        let controls_transaction = unparsed.controls_transaction;
        Verdict { controls_transaction, ..Verdict::unparsed(findings.effect, &findings.reason) }
    }

    /// Returns the verdict on the statement that the lexer read last, by its first words only.
    ///
    /// The effect is never a read. `reason` is the reason why the statement is not parsed.
    pub fn classify_unparsed(&self, lexer: &Lexer, reason: &str) -> Verdict {
        let built_in = catalogue::built_in_names(self.dialect);
        let words = lexer.tokens().iter().map(|token| word(lexer, *token));
        let mut words = words.filter(|word| !word.is_empty());
        let first = words.next().unwrap_or_default();
        let second = words.next().unwrap_or_default();
        let effect = if built_in.leading_write.contains(first) {
            Effect::Write
        } else if built_in.leading_session.contains(first) && self.is_single_statement(lexer) {
            Effect::Session
        } else {
            Effect::Unknown
        };
        let controls_transaction =
            built_in.transaction.contains(first) && self.is_transaction_control(first, second);
        Verdict { controls_transaction, ..Verdict::unparsed(effect, reason) }
    }

    /// Returns whether the text is certainly a single statement. In T-SQL statements need no semicolon in
    /// between.
    fn is_single_statement(&self, lexer: &Lexer) -> bool {
        self.dialect == Dialect::Postgres
            && lexer.ambiguity().is_none()
            && !lexer.tokens().iter().any(|token| lexer.bytes(*token) == b";")
    }

    /// Returns whether a statement whose first word may control a transaction does so. In T-SQL, BEGIN may
    /// also open a block; PREPARE may also prepare an ordinary statement.
    fn is_transaction_control(&self, first: &str, second: &str) -> bool {
        match first {
            "begin" => self.dialect == Dialect::Postgres || second.starts_with("tran"),
            "prepare" => second == "transaction",
            _ => true,
        }
    }
}
