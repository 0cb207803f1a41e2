//! The lexer's output: tokens of a statement's shape, and the literals that the shape leaves out.

use std::ops::Range;

/// What a token is to the grammar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// An unquoted name or keyword, in lower case.
    Word,
    /// A quoted name, with its quotes.
    Quoted,
    /// Stands for a literal or a parameter.
    Placeholder,
    /// An operator or punctuation.
    Symbol,
}

/// A token, and the bytes of the shape that it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// What it is to the grammar.
    pub kind: TokenKind,
    pub(super) start: u32,
    pub(super) end: u32,
}

/// A literal or parameter of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Literal {
    /// The number of its placeholder in the shape, from 0; the members of a folded list share one.
    pub placeholder: u32,
    /// How it is written.
    pub form: LiteralForm,
    /// The bytes of the text that it covers, quotes included.
    pub at: Range<u32>,
}

/// How a literal is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LiteralForm {
    /// A number in any notation.
    Number,
    /// `'it''s'`, with a leading `N` or none.
    Text,
    /// A string in another notation: `E''`, `U&''`, `B''`, `X''`, `$$…$$`, or one in several parts.
    Special,
    /// `$1`, `@p` or `?`: the text does not hold its value.
    Parameter,
}
