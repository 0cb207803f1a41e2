//! Builds a statement's shape, and folds lists of values: the values of `IN (…)` and `ARRAY[…]` become one
//! value, and equal rows of VALUES become one row.

use super::ambiguity::Ambiguity;
use super::token::{Literal, LiteralForm, Token, TokenKind};
use std::ops::Range;

/// Maximum nesting of brackets; statements with deeper nesting are ambiguous.
pub const MAX_BRACKET_DEPTH: usize = 256;
/// The byte for a literal or a parameter in a shape.
pub const PLACEHOLDER: u8 = 1;
/// Maximum size of the buffers that are reused for the next statement.
const MAX_RETAINED_BYTES: usize = 64 * 1024;
/// The byte before the reason in the shape of an ambiguous statement.
const AMBIGUITY_MARK: u8 = 2;

/// A bracket that is not closed yet.
struct OpenBracket {
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
struct Row {
    /// The index of the first token after the opening bracket.
    first_token: usize,
    /// The index of the first token after the closing bracket.
    end_token: usize,
}

/// The shape of one statement, with its tokens and literals.
#[derive(Default)]
pub(super) struct ShapeBuilder {
    shape: Vec<u8>,
    tokens: Vec<Token>,
    literals: Vec<Literal>,
    brackets: Vec<OpenBracket>,
    /// The last complete row of VALUES outside all brackets, if the next row may be folded into it.
    last_row: Option<Row>,
    /// Number of placeholders in the shape.
    placeholders: u32,
}

impl ShapeBuilder {
    /// Returns the text of the shape.
    pub(super) fn shape(&self) -> &[u8] {
        &self.shape
    }

    /// Returns the tokens of the shape.
    pub(super) fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// Returns the literals that placeholders stand for.
    pub(super) fn literals(&self) -> &[Literal] {
        &self.literals
    }

    /// Returns the bytes of a token in the shape.
    pub(super) fn bytes(&self, token: Token) -> &[u8] {
        &self.shape[token.start as usize..token.end as usize]
    }

    /// Returns the allocated size of the buffers in bytes.
    pub(super) fn buffer_bytes(&self) -> usize {
        self.shape.capacity()
            + self.tokens.capacity() * size_of::<Token>()
            + self.literals.capacity() * size_of::<Literal>()
            + self.brackets.capacity() * size_of::<OpenBracket>()
    }

    /// Begins a new statement.
    pub(super) fn clear(&mut self) {
        // A single long statement must not leave large buffers behind.
        if self.buffer_bytes() > MAX_RETAINED_BYTES {
            self.shape = Vec::new();
            self.tokens = Vec::new();
            self.literals = Vec::new();
        }
        self.shape.clear();
        self.tokens.clear();
        self.literals.clear();
        self.brackets.clear();
        self.last_row = None;
        self.placeholders = 0;
    }

    /// Completes the shape. Trailing semicolons are dropped, as they do not change the statement; a mark with
    /// the reason distinguishes ambiguous statements.
    pub(super) fn finish(&mut self, ambiguity: Option<Ambiguity>) {
        while self.tokens.last().is_some_and(|token| self.bytes(*token) == b";") {
            self.pop_token();
        }
        if let Some(ambiguity) = ambiguity {
            self.shape.extend([b' ', AMBIGUITY_MARK, ambiguity as u8]);
        }
    }

    /// Returns whether the last token is a name.
    pub(super) fn follows_name(&self) -> bool {
        self.tokens.last().is_some_and(|token| matches!(token.kind, TokenKind::Word | TokenKind::Quoted))
    }

    /// Returns whether some brackets are not closed.
    pub(super) fn has_open_brackets(&self) -> bool {
        !self.brackets.is_empty()
    }

    /// Appends a token to the shape.
    pub(super) fn push_token(&mut self, kind: TokenKind, bytes: &[u8]) {
        if !self.tokens.is_empty() {
            self.shape.push(b' ');
        }
        let start = self.shape.len() as u32;
        self.shape.extend_from_slice(bytes);
        self.tokens.push(Token { kind, start, end: self.shape.len() as u32 });
    }

    /// Removes the last token.
    fn pop_token(&mut self) {
        self.tokens.pop();
        self.shape.truncate(self.tokens.last().map_or(0, |token| token.end as usize));
    }

    /// Adds an unquoted name or variable in lower case.
    pub(super) fn push_word(&mut self, name: &[u8]) {
        self.push_token(TokenKind::Word, name);
        let name_start = self.shape.len() - name.len();
        self.shape[name_start..].make_ascii_lowercase();
    }

    /// Adds a semicolon.
    pub(super) fn push_semicolon(&mut self) {
        self.last_row = None;
        self.push_token(TokenKind::Symbol, b";");
    }

    /// Adds a number, and drops a sign that belongs to it, so that `b = -1` has the shape of `b = 1`.
    pub(super) fn push_number(&mut self, range: Range<usize>) {
        if self.ends_in_unary_sign() {
            self.pop_token();
        }
        self.push_literal(LiteralForm::Number, range);
    }

    fn ends_in_unary_sign(&self) -> bool {
        let [.., before, sign] = self.tokens[..] else { return false };
        let is_sign = sign.kind == TokenKind::Symbol && matches!(self.bytes(sign), b"-" | b"+");
        let is_binary_operator =
            before.kind != TokenKind::Symbol || matches!(self.bytes(before), b")" | b"]" | b"*");
        is_sign && !is_binary_operator
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

    /// Adds an opening bracket. Brackets beyond the maximum depth are not tracked.
    pub(super) fn open_bracket(&mut self, byte: u8) -> Result<(), Ambiguity> {
        let is_list = self.opens_list(byte);
        self.push_token(TokenKind::Symbol, &[byte]);
        if self.brackets.len() >= MAX_BRACKET_DEPTH {
            return Err(Ambiguity::TooDeep);
        }
        self.brackets.push(OpenBracket {
            byte,
            first_token: self.tokens.len(),
            first_placeholder: self.placeholders,
            is_list,
            last_row: None,
        });
        Ok(())
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

    /// Adds a closing bracket, which must match the last open one.
    pub(super) fn close_bracket(&mut self, byte: u8) -> Result<(), Ambiguity> {
        self.push_token(TokenKind::Symbol, &[byte]);
        let opening = if byte == b')' { b'(' } else { b'[' };
        match self.brackets.pop() {
            Some(bracket) if bracket.byte == opening => {
                self.fold_row(&bracket);
                Ok(())
            }
            _ => Err(Ambiguity::Bracket),
        }
    }

    /// Drops a row of VALUES that has the shape of the previous row, and records the row that the next one is
    /// compared with.
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
}
