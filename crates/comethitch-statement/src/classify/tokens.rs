//! Access to the tokens of a shape.

use crate::lexer::{Lexer, Token, TokenKind};

/// Returns the text of a word; empty for other tokens.
pub(super) fn word(lexer: &Lexer, token: Token) -> &str {
    let is_word = token.kind == TokenKind::Word;
    std::str::from_utf8(lexer.bytes(token)).ok().filter(|_| is_word).unwrap_or_default()
}

/// Returns the bytes of the token with an index; empty past the end.
pub(super) fn token_bytes(lexer: &Lexer, at: usize) -> &[u8] {
    lexer.tokens().get(at).map_or(&b""[..], |token| lexer.bytes(*token))
}
