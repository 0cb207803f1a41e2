//! Writes a shape as text for the parser, and parses it.
//!
//! Each placeholder is written as its own number, counted from 1, so that the literals of the syntax tree tell
//! which placeholder they are. Clauses that the parser lacks are written as equivalent ones.

use super::tokens::token_bytes;
use crate::Dialect;
use crate::lexer::{Lexer, TokenKind};
use sqlparser::ast::Statement;
use sqlparser::dialect::{MsSqlDialect, PostgreSqlDialect};
use sqlparser::parser::{Parser, ParserError};
use std::ops::Range;

/// A shape of more tokens is not parsed: the parser's trees are as deep as a chain of operators is long.
pub const MAX_PARSED_TOKENS: usize = 2_000;
/// Nor is one with brackets nested deeper than this: the parser tries brackets in several ways, each anew.
pub const MAX_PARSED_DEPTH: usize = 20;
/// The parser's limit on its own recursion.
const MAX_PARSER_RECURSION: usize = 128;

/// Words behind which the parser wants a string where a placeholder stands.
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

/// Why a shape is too large for the parser, if it is.
pub(super) fn too_large(lexer: &Lexer) -> Option<&'static str> {
    if lexer.tokens().len() > MAX_PARSED_TOKENS {
        return Some("it is too long to be parsed");
    }
    if nesting_depth(lexer) > MAX_PARSED_DEPTH {
        return Some("its brackets stand too deep to be parsed");
    }
    None
}

/// How deep brackets and CASE expressions are nested.
fn nesting_depth(lexer: &Lexer) -> usize {
    let mut depth = 0_usize;
    let mut deepest = 0;
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

/// The syntax trees of a shape.
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
        before: b"",
        query_hints: 0..0,
    };
    (0..lexer.tokens().len()).for_each(|at| writer.write(at));
    // `a . b` is one name to the parser only without blanks.
    String::from_utf8_lossy(&writer.text).replace(" .", ".")
}

/// The parser's text as far as it is written.
struct ParserText<'a> {
    lexer: &'a Lexer,
    text: Vec<u8>,
    /// How many placeholders have come.
    placeholders: u32,
    /// The token before, as the grammar needs it.
    before: &'a [u8],
    /// The tokens of query hints, which are left out.
    query_hints: Range<usize>,
}

impl<'a> ParserText<'a> {
    /// Writes the token at a place.
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
        self.before = bytes;
    }

    fn is_in_query_hints(&mut self, at: usize, bytes: &[u8]) -> bool {
        let may_begin = self.lexer.dialect() == Dialect::Tsql && bytes == b"option";
        if may_begin && self.query_hints.end <= at {
            self.query_hints = query_hints(self.lexer, at);
        }
        self.query_hints.contains(&at)
    }

    /// Writes a word of a clause that the parser lacks as an equivalent one; false if it is no such word.
    fn write_equivalent(&mut self, at: usize, bytes: &'a [u8]) -> bool {
        let next = token_bytes(self.lexer, at + 1);
        // FOR NO KEY UPDATE becomes FOR UPDATE, and FOR KEY SHARE becomes FOR SHARE.
        if matches!((self.before, bytes, next), (b"for", b"no" | b"key", _) | (b"no", b"key", b"update")) {
            self.before = if bytes == b"no" { bytes } else { b"" };
            return true;
        }
        let begins_query =
            matches!(self.before, b"" | b"(" | b";" | b"union" | b"all" | b"except" | b"intersect");
        if bytes == b"table" && begins_query {
            self.text.extend(b"select * from ");
            self.before = bytes;
            return true;
        }
        false
    }

    /// Writes a placeholder's number, as a string where the grammar allows nothing else.
    fn write_placeholder(&mut self, at: usize) {
        self.placeholders += 1;
        let number = self.placeholders;
        let in_xml_option =
            self.before == b"(" && at >= 2 && matches!(token_bytes(self.lexer, at - 2), b"path" | b"root");
        let written = if in_xml_option || WORDS_BEFORE_STRINGS.contains(&self.before) {
            format!("'{number}'")
        } else {
            number.to_string()
        };
        self.text.extend(written.into_bytes());
    }
}

/// Two comparisons of T-SQL that the parser lacks, as equivalent ones; any other token as it is.
fn equivalent_operator(dialect: Dialect, bytes: &[u8]) -> &[u8] {
    match (dialect, bytes) {
        (Dialect::Tsql, b"!<") => b">=",
        (Dialect::Tsql, b"!>") => b"<=",
        _ => bytes,
    }
}

/// The tokens of hints to a whole query, which say how it is to be executed and nothing else: `OPTION (MAXDOP 1)`
/// at its end. Those that name tables may ask for locks, and are not left out.
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
    // Behind them the query is over: a bracket, a semicolon, or nothing.
    match token_bytes(lexer, end) {
        b"" | b";" | b")" => at..end,
        _ => none,
    }
}
