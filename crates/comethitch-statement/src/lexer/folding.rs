//! Brackets, and the folding of value lists: in the shape, the values of `IN (…)` and `ARRAY[…]` become one value, and
//! equal rows of VALUES become one row.

use super::{Ambiguity, Lexer, Literal, LiteralForm, MAX_BRACKET_DEPTH, PLACEHOLDER, TokenKind};
use std::ops::Range;

/// A bracket that is not closed yet.
pub(super) struct OpenBracket {
    byte: u8,
    /// The index of the first token after the bracket.
    first_token: usize,
    /// The number of the first placeholder after the bracket.
    first_placeholder: u32,
    /// Whether the bracket contains a list of values that is folded into one.
    is_list: bool,
    /// The last complete row of VALUES directly in the bracket, if the next row may be folded into it.
    last_row: Option<Row>,
}

/// The tokens of one row of VALUES.
#[derive(Clone, Copy)]
pub(super) struct Row {
    /// The index of the first token after the opening bracket.
    first_token: usize,
    /// The index of the first token after the closing bracket.
    end_token: usize,
}

impl Lexer {
    /// Adds an opening bracket. Returns its end.
    pub(super) fn open_bracket(&mut self, byte: u8, at: usize) -> usize {
        let is_list = self.opens_list(byte);
        self.push_token(TokenKind::Symbol, &[byte]);
        if self.brackets.len() >= MAX_BRACKET_DEPTH {
            self.mark_ambiguous(Ambiguity::TooDeep);
        } else {
            self.brackets.push(OpenBracket {
                byte,
                first_token: self.tokens.len(),
                first_placeholder: self.placeholders,
                is_list,
                last_row: None,
            });
        }
        at + 1
    }

    /// Returns whether a bracket at this place opens the list of values of IN or of an array.
    fn opens_list(&self, byte: u8) -> bool {
        let before = self.tokens.last().filter(|token| token.kind == TokenKind::Word);
        match before.map(|token| self.bytes(*token)) {
            Some(b"in") => byte == b'(',
            Some(b"array") => byte == b'[',
            _ => false,
        }
    }

    /// Adds a closing bracket. Returns its end.
    pub(super) fn close_bracket(&mut self, byte: u8, at: usize) -> usize {
        self.push_token(TokenKind::Symbol, &[byte]);
        let opening = if byte == b')' { b'(' } else { b'[' };
        match self.brackets.pop() {
            Some(bracket) if bracket.byte == opening => self.fold_row(&bracket),
            // Beyond the maximum depth brackets are not tracked.
            _ if self.ambiguity == Some(Ambiguity::TooDeep) => {}
            _ => self.mark_ambiguous(Ambiguity::Bracket),
        }
        at + 1
    }

    /// Drops a row of VALUES that has the shape of the previous row, and records the row that the next one follows.
    fn fold_row(&mut self, bracket: &OpenBracket) {
        let row = Row { first_token: bracket.first_token, end_token: self.tokens.len() };
        let previous = match self.brackets.last() {
            Some(outer) => outer.last_row,
            None => self.last_row,
        };
        let token_before = row.first_token.checked_sub(2).and_then(|at| self.tokens.get(at)).copied();
        let last_row = match (previous, token_before) {
            (_, Some(token)) if token.kind == TokenKind::Word && self.bytes(token) == b"values" => Some(row),
            (Some(previous), Some(comma))
                if self.bytes(comma) == b"," && previous.end_token + 2 == row.first_token =>
            {
                if self.row_shape(previous) == self.row_shape(row) {
                    self.drop_row_after(previous, bracket.first_placeholder);
                    Some(previous)
                } else {
                    Some(row)
                }
            }
            _ => None,
        };
        match self.brackets.last_mut() {
            Some(outer) => outer.last_row = last_row,
            None => self.last_row = last_row,
        }
    }

    fn row_shape(&self, row: Row) -> &[u8] {
        let start = self.tokens[row.first_token - 1].start as usize;
        let end = self.tokens[row.end_token - 1].end as usize;
        &self.shape[start..end]
    }

    /// Drops the row after `previous`. Its literals, whose placeholders begin at `first_placeholder`, get the
    /// placeholders of `previous`.
    fn drop_row_after(&mut self, previous: Row, first_placeholder: u32) {
        let placeholders_per_row = self.placeholders - first_placeholder;
        while self.tokens.len() > previous.end_token {
            self.pop_token();
        }
        let literals = self.literals.iter_mut().rev();
        literals
            .take_while(|literal| literal.placeholder >= first_placeholder)
            .for_each(|literal| literal.placeholder -= placeholders_per_row);
        self.placeholders = first_placeholder;
    }

    /// Adds a literal. All literals of a list of values share the placeholder of the first.
    pub(super) fn push_literal(&mut self, form: LiteralForm, range: Range<usize>) {
        if self.continues_list() {
            // Drops the comma between the list's placeholder and this literal.
            self.pop_token();
        } else {
            self.push_token(TokenKind::Placeholder, &[PLACEHOLDER]);
            self.placeholders += 1;
        }
        let range = range.start as u32..range.end as u32;
        self.literals.push(Literal { placeholder: self.placeholders - 1, form, range });
    }

    /// Returns whether the tokens so far end in a list of one placeholder and a comma.
    fn continues_list(&self) -> bool {
        let Some(bracket) = self.brackets.last().filter(|bracket| bracket.is_list) else { return false };
        match &self.tokens[bracket.first_token..] {
            [value, comma] => value.kind == TokenKind::Placeholder && self.bytes(*comma) == b",",
            _ => false,
        }
    }
}
