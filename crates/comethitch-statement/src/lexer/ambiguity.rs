//! Reasons for which servers of one dialect may read a text in different ways.

/// Why a text may mean something else to a server than to the lexer.
///
/// The discriminant is part of an ambiguous statement's shape: new variants go to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ambiguity {
    /// A string, quoted name or comment has no end.
    Unterminated,
    /// More than [`MAX_STATEMENT_BYTES`](super::MAX_STATEMENT_BYTES).
    TooLong,
    /// Brackets nested deeper than [`MAX_BRACKET_DEPTH`](super::MAX_BRACKET_DEPTH).
    TooDeep,
    /// Bytes that are not UTF-8.
    NotUtf8,
    /// A character that servers take for white space, for part of a name, or for an error.
    Character,
    /// Digits that run into a word.
    Number,
    /// A backslash before a quote: the string ends elsewhere where backslashes escape.
    Backslash,
    /// A closing bracket of another kind, or one too many.
    Bracket,
}

impl Ambiguity {
    /// The reason as a verdict gives it.
    pub fn reason(self) -> &'static str {
        match self {
            Ambiguity::Unterminated => "a text, name or comment has no end",
            Ambiguity::TooLong => "it is too long",
            Ambiguity::TooDeep => "brackets stand too deep in each other",
            Ambiguity::NotUtf8 => "it is no UTF-8",
            Ambiguity::Character => "it has a character that servers read in different ways",
            Ambiguity::Number => "a number runs into a word",
            Ambiguity::Backslash => "a backslash before a quote can be read in two ways",
            Ambiguity::Bracket => "its brackets do not match",
        }
    }
}
