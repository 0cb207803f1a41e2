//! Recognises T-SQL batches that set session options and do nothing else.

use crate::lexer::{Lexer, TokenKind};

/// The isolation levels, word by word.
const ISOLATION_LEVELS: [&[&str]; 5] = [
    &["read", "committed"],
    &["read", "uncommitted"],
    &["repeatable", "read"],
    &["serializable"],
    &["snapshot"],
];
/// What stands between SET and an isolation level.
const ISOLATION_LEVEL: [&str; 3] = ["transaction", "isolation", "level"];
/// Options that decide which rows a statement touches, or when it commits, belong to one connection's work.
const CONNECTION_BOUND_OPTIONS: [&str; 2] = ["identity_insert", "implicit_transactions"];

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
    if lexer.ambiguity().is_some() || lexer.tokens().is_empty() {
        return false;
    }
    let words = words(lexer);
    let mut rest = &words[..];
    while !rest.is_empty() {
        match behind_setting(rest) {
            Some(behind) => rest = behind,
            None => return false,
        }
    }
    true
}

/// The tokens as text, with `?` for a placeholder.
fn words(lexer: &Lexer) -> Vec<&str> {
    let word = |token: &crate::lexer::Token| match token.kind {
        TokenKind::Placeholder => "?",
        _ => std::str::from_utf8(lexer.bytes(*token)).unwrap_or_default(),
    };
    lexer.tokens().iter().map(word).collect()
}

/// What follows one semicolon or SET statement at the start of a batch; none if it begins with something else.
fn behind_setting<'w, 't>(words: &'w [&'t str]) -> Option<&'w [&'t str]> {
    match words {
        [";", behind @ ..] => Some(behind),
        ["set", behind @ ..] if behind.starts_with(&ISOLATION_LEVEL) => {
            let level = &behind[ISOLATION_LEVEL.len()..];
            let known = ISOLATION_LEVELS.iter().find(|known| level.starts_with(known))?;
            Some(&level[known.len()..])
        }
        ["set", option, "on" | "off" | "?", behind @ ..] if is_session_option(option) => Some(behind),
        _ => None,
    }
}

fn is_session_option(name: &str) -> bool {
    let is_name = name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_');
    is_name && !CONNECTION_BOUND_OPTIONS.contains(&name)
}
