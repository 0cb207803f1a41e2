//! Access to the tokens of a shape by their place.

use crate::lexer::{Lexer, Token, TokenKind};

/// A word's text; empty for any other token.
pub(super) fn word(lexer: &Lexer, token: Token) -> &str {
    let is_word = token.kind == TokenKind::Word;
    std::str::from_utf8(lexer.bytes(token)).ok().filter(|_| is_word).unwrap_or_default()
}

/// The bytes of the token at a place; empty past the end.
pub(super) fn token_bytes(lexer: &Lexer, at: usize) -> &[u8] {
    lexer.tokens().get(at).map_or(&b""[..], |token| lexer.bytes(*token))
}
