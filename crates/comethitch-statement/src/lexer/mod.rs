//! Splits a statement's text into tokens and literals, and computes its *shape*, in one pass.
//!
//! The shape is the normalised statement, also known as fingerprint or digest: literals and parameters are
//! replaced by placeholders, lists of values are folded, unquoted words are in lower case, and comments and
//! white space are removed. It can be tokenised again: tokens are separated by one blank, a placeholder is
//! the byte 1, and quoted names are unchanged. The verdict on a statement depends on its shape only, so that
//! two statements with the same shape always get the same verdict.
//!
//! Text that servers of one dialect may read in different ways (a backslash before a quote, a control
//! character, a number directly followed by a word) is an [`Ambiguity`]: such a statement is never classified
//! as a read.

mod ambiguity;
mod characters;
mod comments;
mod numbers;
mod quoted;
mod scanned;
mod shape_builder;
mod token;
mod words;

pub use ambiguity::Ambiguity;
pub use shape_builder::{MAX_BRACKET_DEPTH, PLACEHOLDER};
pub use token::{Literal, LiteralForm, Token, TokenKind};

use crate::Dialect;
use characters::{is_name_text, is_tsql_word_byte, is_word_byte, is_word_start, run_end, word_byte_test};
use comments::{scan_block_comment, scan_line_comment};
use numbers::scan_number;
use quoted::{StringRules, StringStart, scan_dollar_quoted, scan_quoted_name, scan_string};
use scanned::Scanned;
use shape_builder::ShapeBuilder;
use words::{POSTGRES_OPERATOR, WordForm, operator_length, word_form};

/// Maximum length of a statement; longer statements are ambiguous.
pub const MAX_STATEMENT_BYTES: usize = 1 << 20;

/// Tokenises statements, reusing its buffers.
///
/// ```
/// use comethitch_statement::{Dialect, lexer::Lexer};
/// let mut lexer = Lexer::new(Dialect::Postgres);
/// lexer.tokenize(b"SELECT a FROM t WHERE b = 1");
/// let shape = lexer.shape().to_vec();
/// lexer.tokenize(b"select A /* now */ from T where B=$1 -- x");
/// assert_eq!(lexer.shape(), shape);
/// lexer.tokenize(b"SELECT a FROM \"T\" WHERE b = 1");
/// assert_ne!(lexer.shape(), shape);
/// ```
pub struct Lexer {
    dialect: Dialect,
    builder: ShapeBuilder,
    /// The first ambiguity found.
    ambiguity: Option<Ambiguity>,
    /// Whether backslashes escape in every string, as with `standard_conforming_strings` off.
    backslash_escapes: bool,
    /// Whether a string has a quote after a backslash that does not escape it in the SQL standard.
    backslash_before_quote: bool,
    unterminated: bool,
}

impl Lexer {
    /// Creates a lexer with empty buffers.
    pub fn new(dialect: Dialect) -> Lexer {
        Lexer {
            dialect,
            builder: ShapeBuilder::default(),
            ambiguity: None,
            backslash_escapes: false,
            backslash_before_quote: false,
            unterminated: false,
        }
    }

    /// Returns the dialect of the statements.
    pub fn dialect(&self) -> Dialect {
        self.dialect
    }

    /// Returns the shape of the last statement.
    pub fn shape(&self) -> &[u8] {
        self.builder.shape()
    }

    /// Returns the tokens of the shape, in order.
    pub fn tokens(&self) -> &[Token] {
        self.builder.tokens()
    }

    /// Returns the bytes of a token in the shape.
    pub fn bytes(&self, token: Token) -> &[u8] {
        self.builder.bytes(token)
    }

    /// Returns the literals and parameters of the text, in order.
    pub fn literals(&self) -> &[Literal] {
        self.builder.literals()
    }

    /// Returns why a server may read the last statement differently, if it may.
    pub fn ambiguity(&self) -> Option<Ambiguity> {
        self.ambiguity
    }

    /// Returns the allocated size of the buffers in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.builder.buffer_bytes()
    }

    /// Splits a statement into tokens and computes its shape, in place of those of the previous statement.
    pub fn tokenize(&mut self, text: &[u8]) {
        self.reset();
        let text = self.check_length_and_encoding(text);
        let mut at = 0;
        while at < text.len() {
            at = self.read_token(text, at);
        }
        if self.builder.has_open_brackets() {
            self.mark_ambiguous(Ambiguity::Bracket);
        }
        if self.backslash_before_quote && !self.backslash_escapes {
            self.check_escaped_reading(text);
        }
        self.builder.finish(self.ambiguity);
    }

    fn reset(&mut self) {
        self.builder.clear();
        self.ambiguity = None;
        self.backslash_before_quote = false;
        self.unterminated = false;
    }

    /// Cuts a text to the maximum length, and checks its encoding.
    fn check_length_and_encoding<'t>(&mut self, text: &'t [u8]) -> &'t [u8] {
        let truncated = &text[..text.len().min(MAX_STATEMENT_BYTES)];
        if truncated.len() < text.len() {
            self.mark_ambiguous(Ambiguity::TooLong);
        }
        if std::str::from_utf8(truncated).is_err() {
            self.mark_ambiguous(Ambiguity::NotUtf8);
        }
        truncated
    }

    /// Reads the text again with backslashes as escape characters, which changes where strings end. The text
    /// stays unambiguous only if a string then has no end, as in `ESCAPE '\'`, since a server that escapes
    /// would reject it.
    fn check_escaped_reading(&mut self, text: &[u8]) {
        let mut escaping = Lexer { backslash_escapes: true, ..Lexer::new(self.dialect) };
        escaping.tokenize(text);
        if !escaping.unterminated {
            self.mark_ambiguous(Ambiguity::Backslash);
        }
    }

    fn mark_ambiguous(&mut self, ambiguity: Ambiguity) {
        self.unterminated |= ambiguity == Ambiguity::Unterminated;
        self.ambiguity.get_or_insert(ambiguity);
    }

    /// Records the ambiguity of a scanned token or comment. Returns its end.
    fn accept(&mut self, scanned: Scanned) -> usize {
        if let Some(ambiguity) = scanned.ambiguity {
            self.mark_ambiguous(ambiguity);
        }
        scanned.end
    }

    /// Reads the token, comment or white space at `at`. Returns its end.
    fn read_token(&mut self, text: &[u8], at: usize) -> usize {
        let byte = text[at];
        let next = text.get(at + 1).copied().unwrap_or(0);
        match byte {
            b' ' | b'\t' | b'\n' | b'\r' | 0x0c => at + 1,
            b'-' if next == b'-' => self.accept(scan_line_comment(text, at, self.dialect)),
            b'/' if next == b'*' => self.accept(scan_block_comment(text, at)),
            b'\'' => {
                let form = LiteralForm::Text;
                self.read_string(text, &StringStart { start: at, quote: at, form, escapes: false })
            }
            b'0'..=b'9' => self.read_number(text, at),
            b'.' if next.is_ascii_digit() && !self.builder.follows_name() => self.read_number(text, at),
            b'"' => self.read_quoted_name(text, at, at, b'"'),
            b'[' if self.dialect == Dialect::Tsql => self.read_quoted_name(text, at, at, b']'),
            b'(' | b'[' => self.read_opening_bracket(byte, at),
            b')' | b']' => self.read_closing_bracket(byte, at),
            b'$' | b'@' | b'#' | b'?' => self.read_sigil(text, at),
            byte if is_word_start(byte) => self.read_word(text, at),
            b';' => {
                self.builder.push_semicolon();
                at + 1
            }
            b',' => self.push_symbol(b",", at),
            b'.' | b':' => {
                let two = text.get(at..at + 2).filter(|two| matches!(*two, b"::" | b":=" | b".."));
                self.push_symbol(two.unwrap_or(&[byte]), at)
            }
            byte if POSTGRES_OPERATOR.contains(&byte) => self.read_operator(text, at),
            // T-SQL servers read control characters as white space.
            0x01..0x20 if self.dialect == Dialect::Tsql => at + 1,
            _ => {
                self.mark_ambiguous(Ambiguity::Character);
                at + 1
            }
        }
    }

    /// Adds an operator or punctuation. Returns its end.
    fn push_symbol(&mut self, symbol: &[u8], at: usize) -> usize {
        self.builder.push_token(TokenKind::Symbol, symbol);
        at + symbol.len()
    }

    fn read_opening_bracket(&mut self, byte: u8, at: usize) -> usize {
        if let Err(ambiguity) = self.builder.open_bracket(byte) {
            self.mark_ambiguous(ambiguity);
        }
        at + 1
    }

    fn read_closing_bracket(&mut self, byte: u8, at: usize) -> usize {
        if let Err(ambiguity) = self.builder.close_bracket(byte) {
            self.mark_ambiguous(ambiguity);
        }
        at + 1
    }

    fn read_number(&mut self, text: &[u8], at: usize) -> usize {
        let end = self.accept(scan_number(text, at, self.dialect));
        self.builder.push_number(at..end);
        end
    }

    /// Reads a string and its continuations on further lines. Returns its end.
    fn read_string(&mut self, text: &[u8], string: &StringStart) -> usize {
        let rules = StringRules { dialect: self.dialect, backslash_escapes: self.backslash_escapes };
        let found = scan_string(text, string, rules);
        self.backslash_before_quote |= found.backslash_before_quote;
        let end = self.accept(found.scanned);
        self.builder.push_literal(found.form, string.start..end);
        end
    }

    /// Reads a quoted name that begins at `start` with its opening quote at `quote`. Returns its end.
    fn read_quoted_name(&mut self, text: &[u8], start: usize, quote: usize, close: u8) -> usize {
        let end = self.accept(scan_quoted_name(text, quote, close));
        self.builder.push_token(TokenKind::Quoted, &text[start..end]);
        end
    }

    /// Reads an unquoted name, or a string or quoted name with a prefix. Returns its end.
    fn read_word(&mut self, text: &[u8], at: usize) -> usize {
        let end = run_end(text, at, word_byte_test(self.dialect));
        match word_form(text, at, end, self.dialect) {
            WordForm::Plain => self.push_word(text, at, end),
            WordForm::StringPrefix(string) => self.read_string(text, &string),
            WordForm::QuotedNamePrefix(quote) => self.read_quoted_name(text, at, quote, b'"'),
        }
    }

    /// Adds an unquoted name or variable. Returns its end.
    fn push_word(&mut self, text: &[u8], start: usize, end: usize) -> usize {
        self.check_name(&text[start..end]);
        self.builder.push_word(&text[start..end]);
        end
    }

    fn check_name(&mut self, name: &[u8]) {
        if !is_name_text(name) {
            self.mark_ambiguous(Ambiguity::Character);
        }
    }

    fn read_operator(&mut self, text: &[u8], at: usize) -> usize {
        let length = operator_length(&text[at..], self.dialect);
        self.push_symbol(&text[at..at + length], at)
    }

    /// Reads a token that begins with `$`, `@`, `#` or `?`. Returns its end.
    fn read_sigil(&mut self, text: &[u8], at: usize) -> usize {
        match self.dialect {
            Dialect::Postgres => self.read_postgres_sigil(text, at),
            Dialect::Tsql => self.read_tsql_sigil(text, at),
        }
    }

    /// Reads `$1`, a dollar-quoted string, or an operator.
    fn read_postgres_sigil(&mut self, text: &[u8], at: usize) -> usize {
        if text[at] != b'$' {
            return self.read_operator(text, at);
        }
        if !text.get(at + 1).is_some_and(u8::is_ascii_digit) {
            return self.read_dollar_quoted(text, at);
        }
        let end = run_end(text, at + 1, |byte| byte.is_ascii_digit());
        if text.get(end).is_some_and(|byte| is_word_byte(*byte)) {
            self.mark_ambiguous(Ambiguity::Number);
        }
        self.builder.push_literal(LiteralForm::Parameter, at..end);
        end
    }

    fn read_dollar_quoted(&mut self, text: &[u8], at: usize) -> usize {
        let Some(scanned) = scan_dollar_quoted(text, at) else {
            self.mark_ambiguous(Ambiguity::Character);
            return at + 1;
        };
        let end = self.accept(scanned);
        self.builder.push_literal(LiteralForm::Special, at..end);
        end
    }

    /// Reads `?`, an amount of money, `$action`, `@@name`, `@parameter` or `#table`.
    fn read_tsql_sigil(&mut self, text: &[u8], at: usize) -> usize {
        let next = text.get(at + 1).copied().unwrap_or(0);
        match text[at] {
            b'?' => {
                self.builder.push_literal(LiteralForm::Parameter, at..at + 1);
                at + 1
            }
            b'$' if next.is_ascii_digit() || next == b'.' => self.read_number(text, at + 1),
            b'$' => self.push_word(text, at, run_end(text, at + 1, is_word_byte)),
            b'@' if next == b'@' => self.push_word(text, at, run_end(text, at + 2, is_word_byte)),
            b'@' => {
                let end = run_end(text, at + 1, is_tsql_word_byte);
                self.check_name(&text[at..end]);
                self.builder.push_literal(LiteralForm::Parameter, at..end);
                end
            }
            _ => self.push_word(text, at, run_end(text, at, is_tsql_word_byte)),
        }
    }
}
