//! Scans the tokens of a shape for writes, locks and calls that the syntax tree does not show.
//!
//! The parser accepts some texts that servers read differently: in `SELECT 1 DELETE FROM t` it reads DELETE
//! as an alias. A statement is a read only if both the syntax tree and the tokens show a read.

use super::findings::Findings;
use super::tokens::{token_bytes, word};
use crate::catalogue::{self, BuiltInNames};
use crate::lexer::{Lexer, Token, TokenKind};
use crate::{Dialect, Effect};

/// Adds the findings from the tokens.
pub(super) fn scan_tokens(lexer: &Lexer, findings: &mut Findings<'_>) {
    let built_in = catalogue::built_in_names(findings.dialect);
    for (at, token) in lexer.tokens().iter().enumerate() {
        let before = at.checked_sub(1).map_or(&b""[..], |before| token_bytes(lexer, before));
        let is_name = token.kind == TokenKind::Quoted || !word(lexer, *token).is_empty();
        if before == b"." || !is_name {
            continue;
        }
        match findings.dialect {
            Dialect::Postgres => scan_postgres_word(lexer, at, before, findings),
            Dialect::Tsql => scan_tsql_word(lexer, at, built_in, findings),
        }
        scan_call(lexer, at, built_in, findings);
    }
}

fn scan_postgres_word(lexer: &Lexer, at: usize, before: &[u8], findings: &mut Findings<'_>) {
    let begins_statement = at == 0 || matches!(before, b"(" | b")" | b";");
    match word(lexer, lexer.tokens()[at]) {
        "insert" | "update" | "delete" | "merge" if begins_statement => {
            findings.raise(Effect::Write, "it changes rows");
        }
        "into" => findings.raise(Effect::Write, "it writes into a table"),
        "for" if matches!(token_bytes(lexer, at + 1), b"update" | b"share" | b"no" | b"key") => {
            findings.raise(Effect::LockingRead, "it locks rows");
        }
        _ => {}
    }
}

fn scan_tsql_word(lexer: &Lexer, at: usize, built_in: &BuiltInNames, findings: &mut Findings<'_>) {
    let word = word(lexer, lexer.tokens()[at]);
    if word == "next" && token_bytes(lexer, at + 1) == b"value" {
        findings.raise(Effect::Write, "it takes a value of a sequence");
    } else if built_in.never_in_reads.contains(word) {
        findings.raise(Effect::Write, "it holds a word that no read holds");
    }
}

/// Checks a name that is followed by a bracket as a function call, unless it is a keyword or a type, is
/// declared by the statement, or was checked already.
fn scan_call(lexer: &Lexer, at: usize, built_in: &BuiltInNames, findings: &mut Findings<'_>) {
    let tokens = lexer.tokens();
    let mut name = unquoted_name(lexer, tokens[at]);
    // A qualified name `a . b (` is scanned from its first part.
    let mut last = at;
    while token_bytes(lexer, last + 1) == b"." && last + 2 < tokens.len() {
        name = format!("{name}.{}", unquoted_name(lexer, tokens[last + 2]));
        last += 2;
    }
    if token_bytes(lexer, last + 1) != b"(" {
        return;
    }
    let is_grammar = last == at && built_in.before_brackets.contains(word(lexer, tokens[at]));
    let is_known = is_grammar
        || findings.called_names.contains(&name)
        || findings.declared_names.contains(&name)
        || findings.catalogue.is_type(findings.dialect, &name);
    if is_known {
        return;
    }
    match findings.catalogue.function(findings.dialect, &name) {
        Some(side_effect) => findings.raise(side_effect.effect(), "it calls a function that is no read"),
        None => findings.raise(Effect::Write, "it may call a function that is on no list"),
    }
}

/// Returns a token's text without quotes.
fn unquoted_name(lexer: &Lexer, token: Token) -> String {
    let text = String::from_utf8_lossy(lexer.bytes(token));
    match token.kind {
        TokenKind::Quoted => text.get(1..text.len().saturating_sub(1)).unwrap_or_default().to_string(),
        _ => text.into_owned(),
    }
}
