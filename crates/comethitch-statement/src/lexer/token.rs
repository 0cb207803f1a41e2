//! The lexer's output: the tokens of a statement's shape, and the literals that placeholders replace.

use std::ops::Range;

/// The kind of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// An unquoted name or keyword, in lower case.
    Word,
    /// A quoted name, including its quotes.
    Quoted,
    /// A placeholder for a literal or a parameter.
    Placeholder,
    /// An operator or punctuation.
    Symbol,
}

/// A token, and its range in the shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The kind of the token.
    pub kind: TokenKind,
    pub(super) start: u32,
    pub(super) end: u32,
}

/// A literal or parameter in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Literal {
    /// The number of its placeholder in the shape, from 0; the literals of a folded list share one.
    pub placeholder: u32,
    /// The notation.
    pub form: LiteralForm,
    /// The range in the text, including quotes.
    pub range: Range<u32>,
}

/// The notation of a literal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LiteralForm {
    /// A number in any notation.
    Number,
    /// `'it''s'`, with or without a leading `N`.
    Text,
    /// A string in another notation: `E''`, `U&''`, `B''`, `X''`, `$$…$$`, or one continued on several lines.
    Special,
    /// `$1`, `@p` or `?`, whose value is not in the text.
    Parameter,
}
