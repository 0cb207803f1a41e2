//! Reasons why servers of one dialect may read a text in different ways.

/// Why a server may read a text differently from the lexer.
///
/// The discriminant is part of an ambiguous statement's shape, so new variants must be added at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ambiguity {
    /// A string, quoted name or comment has no end.
    Unterminated,
    /// The text is longer than [`MAX_STATEMENT_BYTES`](super::MAX_STATEMENT_BYTES).
    TooLong,
    /// Brackets are nested deeper than [`MAX_BRACKET_DEPTH`](super::MAX_BRACKET_DEPTH).
    TooDeep,
    /// The text is not UTF-8.
    NotUtf8,
    /// A character that a server may read as white space, as part of a name, or reject.
    Character,
    /// Digits are directly followed by a word.
    Number,
    /// A backslash precedes a quote: the string ends elsewhere if backslashes escape.
    Backslash,
    /// Brackets do not match.
    Bracket,
}

impl Ambiguity {
    /// Returns the reason as given in verdicts.
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
