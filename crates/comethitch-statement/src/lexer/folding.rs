//! Brackets, and the folding of value lists: the members of `IN (…)` and `ARRAY[…]`, and rows of VALUES that
//! look alike, become one in the shape.

use super::{Ambiguity, Lexer, Literal, LiteralForm, MAX_BRACKET_DEPTH, PLACEHOLDER, TokenKind};
use std::ops::Range;

/// An opening bracket whose closing one has not come yet.
pub(super) struct OpenBracket {
    byte: u8,
    /// The index of the first token behind it.
    first_token: usize,
    /// The number of the first placeholder behind it.
    first_placeholder: u32,
    /// Whether it holds a list of values, of which one stands for all.
    is_list: bool,
    /// The row of VALUES within it that ended last, if the next one may be folded into it.
    last_row: Option<Row>,
}

/// The tokens of one row of VALUES.
#[derive(Clone, Copy)]
pub(super) struct Row {
    /// The index of the first token behind its opening bracket.
    first_token: usize,
    /// The index of the first token behind its closing bracket.
    end_token: usize,
}

impl Lexer {
    /// Adds an opening bracket; returns where it ends.
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

    /// Whether a bracket that opens now holds the values of IN or of an array.
    fn opens_list(&self, byte: u8) -> bool {
        let before = self.tokens.last().filter(|token| token.kind == TokenKind::Word);
        match before.map(|token| self.bytes(*token)) {
            Some(b"in") => byte == b'(',
            Some(b"array") => byte == b'[',
            _ => false,
        }
    }

    /// Adds a closing bracket; returns where it ends.
    pub(super) fn close_bracket(&mut self, byte: u8, at: usize) -> usize {
        self.push_token(TokenKind::Symbol, &[byte]);
        let opening = if byte == b')' { b'(' } else { b'[' };
        match self.brackets.pop() {
            Some(bracket) if bracket.byte == opening => self.fold_row(&bracket),
            // Past the deepest level brackets are not counted any more.
            _ if self.ambiguity == Some(Ambiguity::TooDeep) => {}
            _ => self.mark_ambiguous(Ambiguity::Bracket),
        }
        at + 1
    }

    /// Drops a row of VALUES that has the shape of the one before it, and notes which row the next one follows.
    fn fold_row(&mut self, bracket: &OpenBracket) {
        let row = Row { first_token: bracket.first_token, end_token: self.tokens.len() };
        let before = match self.brackets.last() {
            Some(outer) => outer.last_row,
            None => self.last_row,
        };
        let token_before = row.first_token.checked_sub(2).and_then(|at| self.tokens.get(at)).copied();
        let last_row = match (before, token_before) {
            (_, Some(token)) if token.kind == TokenKind::Word && self.bytes(token) == b"values" => Some(row),
            (Some(before), Some(comma))
                if self.bytes(comma) == b"," && before.end_token + 2 == row.first_token =>
            {
                if self.row_shape(before) == self.row_shape(row) {
                    self.drop_row(before, bracket.first_placeholder);
                    Some(before)
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

    /// Drops all tokens behind a row; the placeholders from `first` on become those of that row.
    fn drop_row(&mut self, before: Row, first: u32) {
        let count = self.placeholders - first;
        while self.tokens.len() > before.end_token {
            self.pop_token();
        }
        let dropped = self.literals.iter_mut().rev().take_while(|literal| literal.placeholder >= first);
        dropped.for_each(|literal| literal.placeholder -= count);
        self.placeholders = first;
    }

    /// Adds a literal; one more of a list of values shares the placeholder of the first.
    pub(super) fn push_literal(&mut self, form: LiteralForm, at: Range<usize>) {
        if self.continues_list() {
            // The comma before it.
            self.pop_token();
        } else {
            self.push_token(TokenKind::Placeholder, &[PLACEHOLDER]);
            self.placeholders += 1;
        }
        let at = at.start as u32..at.end as u32;
        self.literals.push(Literal { placeholder: self.placeholders - 1, form, at });
    }

    /// Whether a list of values holds one placeholder and a comma so far.
    fn continues_list(&self) -> bool {
        let Some(bracket) = self.brackets.last().filter(|bracket| bracket.is_list) else { return false };
        match &self.tokens[bracket.first_token..] {
            [value, comma] => value.kind == TokenKind::Placeholder && self.bytes(*comma) == b",",
            _ => false,
        }
    }
}
