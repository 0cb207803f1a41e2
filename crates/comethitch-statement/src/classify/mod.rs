//! From a shape to its verdict.
//!
//! [`Classifier`] parses the shape (`parse`), walks its syntax tree (`visitor`) and looks through its tokens
//! besides (`token_scan`); `findings` gathers what both find. Whatever is uncertain is never a read.

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
pub use session_settings::only_settings;

use crate::catalogue::{self, Catalogue};
use crate::lexer::Lexer;
use crate::{Dialect, Effect, Verdict};
use findings::Findings;
use sqlparser::ast::Visit;
use token_scan::scan_tokens;
use tokens::word;
use visitor::StatementVisitor;

/// Judges shapes of one dialect by the lists of known names and a catalogue.
#[derive(Clone, Copy)]
pub struct Classifier<'a> {
    dialect: Dialect,
    catalogue: &'a Catalogue,
}

impl<'a> Classifier<'a> {
    /// A classifier that takes the catalogue's word on names before the lists'.
    pub fn new(dialect: Dialect, catalogue: &'a Catalogue) -> Classifier<'a> {
        Classifier { dialect, catalogue }
    }

    /// The verdict on the statement that was read last.
    pub fn classify(&self, lexer: &Lexer) -> Verdict {
        if let Some(ambiguity) = lexer.ambiguity() {
            return self.classify_unparsed(lexer, ambiguity.reason());
        }
        if lexer.tokens().is_empty() {
            return Verdict::unparsed(Effect::Session, "it is empty");
        }
        if let Some(why) = parse::too_large(lexer) {
            return self.classify_unparsed(lexer, why);
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

    /// The verdict where the parser fails: the tokens may still show that it writes.
    fn classify_unparsable(&self, lexer: &Lexer) -> Verdict {
        let unparsed = self.classify_unparsed(lexer, "it can't be parsed");
        let mut findings = Findings::new(self.dialect, self.catalogue);
        findings.raise(unparsed.effect, &unparsed.why);
        scan_tokens(lexer, &mut findings);
        let transaction = unparsed.transaction;
        Verdict { transaction, ..Verdict::unparsed(findings.effect, &findings.why) }
    }

    /// The verdict on the statement that was read last by its first words alone: never that it is a read. `why`
    /// says why it is not parsed.
    pub fn classify_unparsed(&self, lexer: &Lexer, why: &str) -> Verdict {
        let known = catalogue::known(self.dialect);
        let words = lexer.tokens().iter().map(|token| word(lexer, *token));
        let mut words = words.filter(|word| !word.is_empty());
        let first = words.next().unwrap_or_default();
        let second = words.next().unwrap_or_default();
        let effect = if known.leading_write.contains(first) {
            Effect::Write
        } else if known.leading_session.contains(first) && self.is_single_statement(lexer) {
            Effect::Session
        } else {
            Effect::Unknown
        };
        let transaction = known.transaction.contains(first) && self.begins_transaction(first, second);
        Verdict { transaction, ..Verdict::unparsed(effect, why) }
    }

    /// Whether nothing comes behind the first statement for certain. A batch in T-SQL may go on without a
    /// semicolon.
    fn is_single_statement(&self, lexer: &Lexer) -> bool {
        self.dialect == Dialect::Postgres
            && lexer.ambiguity().is_none()
            && !lexer.tokens().iter().any(|token| lexer.bytes(*token) == b";")
    }

    /// Whether the words that may begin a statement about a transaction do so here: BEGIN opens a block in T-SQL,
    /// and PREPARE an ordinary statement.
    fn begins_transaction(&self, first: &str, second: &str) -> bool {
        match first {
            "begin" => self.dialect == Dialect::Postgres || second.starts_with("tran"),
            "prepare" => second == "transaction",
            _ => true,
        }
    }
}
