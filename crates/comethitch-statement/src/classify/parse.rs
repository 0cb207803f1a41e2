//! Converts a shape to text for the parser, and parses it.
//!
//! Each placeholder is written as its number, counted from 1, so that literals in the syntax tree identify
//! their placeholders. Clauses that the parser does not support are replaced by equivalent ones.

use super::tokens::token_bytes;
use crate::Dialect;
use crate::lexer::{Lexer, TokenKind};
use sqlparser::ast::Statement;
use sqlparser::dialect::{MsSqlDialect, PostgreSqlDialect};
use sqlparser::parser::{Parser, ParserError};
use std::ops::Range;

/// Maximum number of tokens of a parsed shape. The syntax tree of a chain of operators is as deep as the
/// chain is long, so that this limits the stack that walking the tree needs.
pub const MAX_PARSED_TOKENS: usize = 2_000;
/// Maximum nesting of brackets in a parsed shape. The parser backtracks at brackets, in time exponential in
/// the depth.
pub const MAX_PARSED_DEPTH: usize = 20;
/// The parser's recursion limit.
const MAX_PARSER_RECURSION: usize = 128;

/// Words after which the parser expects a string instead of a number.
const WORDS_BEFORE_STRINGS: [&[u8]; 15] = [
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

/// Returns the reason why a shape is too large to be parsed, if it is.
pub(super) fn too_large_reason(lexer: &Lexer) -> Option<&'static str> {
    if lexer.tokens().len() > MAX_PARSED_TOKENS {
        return Some("it is too long to be parsed");
    }
    if nesting_depth(lexer) > MAX_PARSED_DEPTH {
        return Some("its brackets stand too deep to be parsed");
    }
    None
}

/// Returns the maximum nesting of brackets and CASE expressions.
fn nesting_depth(lexer: &Lexer) -> usize {
    let mut depth = 0_usize;
    let mut max_depth = 0;
    for token in lexer.tokens() {
        match lexer.bytes(*token) {
            b"(" | b"[" if token.kind == TokenKind::Symbol => depth += 1,
            b")" | b"]" if token.kind == TokenKind::Symbol => depth = depth.saturating_sub(1),
            b"case" => depth += 1,
            b"end" => depth = depth.saturating_sub(1),
            _ => {}
        }
        max_depth = max_depth.max(depth);
    }
    max_depth
}

/// Parses a shape into the syntax trees of its statements.
pub(super) fn parse(lexer: &Lexer) -> Result<Vec<Statement>, ParserError> {
    let text = parser_text(lexer);
    let parser = match lexer.dialect() {
        Dialect::Postgres => Parser::new(&PostgreSqlDialect {}),
        Dialect::Tsql => Parser::new(&MsSqlDialect {}),
    };
    parser.with_recursion_limit(MAX_PARSER_RECURSION).try_with_sql(&text)?.parse_statements()
}

fn parser_text(lexer: &Lexer) -> String {
    let mut writer = ParserText {
        lexer,
        text: Vec::with_capacity(lexer.shape().len() * 2),
        placeholders: 0,
        previous: b"",
        query_hints: 0..0,
    };
    (0..lexer.tokens().len()).for_each(|at| writer.write(at));
    // The parser reads `a . b` as one name only without blanks.
    String::from_utf8_lossy(&writer.text).replace(" .", ".")
}

/// Writes the text for the parser.
struct ParserText<'a> {
    lexer: &'a Lexer,
    text: Vec<u8>,
    /// Number of placeholders so far.
    placeholders: u32,
    /// The previous token; empty at the start, and after the word KEY of an omitted `NO KEY` or `KEY`.
    previous: &'a [u8],
    /// The indices of the tokens of query hints, which are omitted.
    query_hints: Range<usize>,
}

impl<'a> ParserText<'a> {
    /// Writes the token with an index.
    fn write(&mut self, at: usize) {
        let token = self.lexer.tokens()[at];
        let bytes = self.lexer.bytes(token);
        if self.is_in_query_hints(at, bytes) {
            self.placeholders += u32::from(token.kind == TokenKind::Placeholder);
            return;
        }
        let is_postgres = self.lexer.dialect() == Dialect::Postgres;
        if is_postgres && token.kind == TokenKind::Word && self.write_equivalent(at, bytes) {
            return;
        }
        if token.kind == TokenKind::Placeholder {
            self.write_placeholder(at);
        } else {
            self.text.extend(equivalent_operator(self.lexer.dialect(), bytes));
        }
        if bytes != b"." {
            self.text.push(b' ');
        }
        self.previous = bytes;
    }

    fn is_in_query_hints(&mut self, at: usize, bytes: &[u8]) -> bool {
        let may_begin = self.lexer.dialect() == Dialect::Tsql && bytes == b"option";
        if may_begin && self.query_hints.end <= at {
            self.query_hints = query_hints(self.lexer, at);
        }
        self.query_hints.contains(&at)
    }

    /// Writes the equivalent of a word in a clause that the parser does not support. Returns false for other
    /// words.
    fn write_equivalent(&mut self, at: usize, bytes: &'a [u8]) -> bool {
        let next = token_bytes(self.lexer, at + 1);
        // FOR NO KEY UPDATE becomes FOR UPDATE, and FOR KEY SHARE becomes FOR SHARE.
        if matches!((self.previous, bytes, next), (b"for", b"no" | b"key", _) | (b"no", b"key", b"update")) {
            self.previous = if bytes == b"no" { bytes } else { b"" };
            return true;
        }
        let begins_query =
            matches!(self.previous, b"" | b"(" | b";" | b"union" | b"all" | b"except" | b"intersect");
        if bytes == b"table" && begins_query {
            self.text.extend(b"select * from ");
            self.previous = bytes;
            return true;
        }
        false
    }

    /// Writes a placeholder's number, as a string where the grammar requires one.
    fn write_placeholder(&mut self, at: usize) {
        self.placeholders += 1;
        let number = self.placeholders;
        let in_xml_option =
            self.previous == b"(" && at >= 2 && matches!(token_bytes(self.lexer, at - 2), b"path" | b"root");
        let written = if in_xml_option || WORDS_BEFORE_STRINGS.contains(&self.previous) {
            format!("'{number}'")
        } else {
            number.to_string()
        };
        self.text.extend(written.into_bytes());
    }
}

/// Returns the equivalent of T-SQL's comparisons that the parser does not support; other tokens are
/// unchanged.
fn equivalent_operator(dialect: Dialect, bytes: &[u8]) -> &[u8] {
    match (dialect, bytes) {
        (Dialect::Tsql, b"!<") => b">=",
        (Dialect::Tsql, b"!>") => b"<=",
        _ => bytes,
    }
}

/// Returns the token range of query hints, such as `OPTION (MAXDOP 1)` at the end of a query, which only
/// affect its execution. The range is empty for hints that name tables, since these may take locks.
fn query_hints(lexer: &Lexer, at: usize) -> Range<usize> {
    let none = at..at;
    if token_bytes(lexer, at + 1) != b"(" {
        return none;
    }
    let mut depth = 0;
    let mut end = at + 1;
    while end < lexer.tokens().len() {
        match token_bytes(lexer, end) {
            b"(" => depth += 1,
            b")" => depth -= 1,
            b"table" | b"select" => return none,
            _ => {}
        }
        end += 1;
        if depth == 0 {
            break;
        }
    }
    // Query hints are followed by a closing bracket, a semicolon or the end of the text.
    match token_bytes(lexer, end) {
        b"" | b";" | b")" => at..end,
        _ => none,
    }
}
