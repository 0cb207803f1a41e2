//! Recognises T-SQL batches that set session options and do nothing else.

use crate::lexer::{Lexer, TokenKind};

/// The words of each isolation level.
const ISOLATION_LEVELS: [&[&str]; 5] = [
    &["read", "committed"],
    &["read", "uncommitted"],
    &["repeatable", "read"],
    &["serializable"],
    &["snapshot"],
];
/// The words between SET and an isolation level.
const ISOLATION_LEVEL_PREFIX: [&str; 3] = ["transaction", "isolation", "level"];
/// Options that must not be ignored, since they change which values later statements may write, or when these
/// commit.
const CONNECTION_BOUND_OPTIONS: [&str; 2] = ["identity_insert", "implicit_transactions"];

/// Returns whether a T-SQL batch only sets session options, such as `SET NOCOUNT ON`. Drivers send such
/// batches when they connect.
///
/// ```
/// use comethitch_statement::{Dialect, Lexer, classify::sets_only_session_options};
/// let mut lexer = Lexer::new(Dialect::Tsql);
/// lexer.tokenize(b"SET NOCOUNT ON set textsize 2147483647; SET TRANSACTION ISOLATION LEVEL READ COMMITTED");
/// assert!(sets_only_session_options(&lexer));
/// lexer.tokenize(b"SET NOCOUNT ON DELETE FROM t");
/// assert!(!sets_only_session_options(&lexer));
/// ```
pub fn sets_only_session_options(lexer: &Lexer) -> bool {
    if lexer.ambiguity().is_some() || lexer.tokens().is_empty() {
        return false;
    }
    let words = words(lexer);
    let mut rest = &words[..];
    while !rest.is_empty() {
        match skip_setting(rest) {
            Some(following) => rest = following,
            None => return false,
        }
    }
    true
}

/// Returns the tokens as text, with `?` for a placeholder.
fn words(lexer: &Lexer) -> Vec<&str> {
    let word = |token: &crate::lexer::Token| match token.kind {
        TokenKind::Placeholder => "?",
        _ => std::str::from_utf8(lexer.bytes(*token)).unwrap_or_default(),
    };
    lexer.tokens().iter().map(word).collect()
}

/// Skips one semicolon or SET statement. Returns the following words, or `None` if the words begin with
/// anything else.
fn skip_setting<'w, 't>(words: &'w [&'t str]) -> Option<&'w [&'t str]> {
    match words {
        [";", following @ ..] => Some(following),
        ["set", following @ ..] if following.starts_with(&ISOLATION_LEVEL_PREFIX) => {
            let level = &following[ISOLATION_LEVEL_PREFIX.len()..];
            let known = ISOLATION_LEVELS.iter().find(|known| level.starts_with(known))?;
            Some(&level[known.len()..])
        }
        ["set", option, "on" | "off" | "?", following @ ..] if is_session_option(option) => Some(following),
        _ => None,
    }
}

fn is_session_option(name: &str) -> bool {
    let is_name = name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_');
    is_name && !CONNECTION_BOUND_OPTIONS.contains(&name)
}
