//! Splits a statement's text into tokens and literals, and computes its *shape*, in one pass.
//!
//! The shape is the normalised statement, also known as fingerprint or digest: literals and parameters are replaced
//! by placeholders, lists of values are folded, unquoted words are in lower case, and comments and white space are
//! removed. It can be tokenised again: tokens are separated by one blank, a placeholder is the byte 1, and quoted
//! names are unchanged. The verdict on a statement depends on its shape only, so that two statements with the same
//! shape always get the same verdict.
//!
//! Text that servers of one dialect may read in different ways (a backslash before a quote, a control character, a
//! number directly followed by a word) is an [`Ambiguity`]: such a statement is never classified as a read.

mod ambiguity;
mod characters;
mod comments;
mod folding;
mod numbers;
mod quoted;
mod token;
mod words;

pub use ambiguity::Ambiguity;
pub use token::{Literal, LiteralForm, Token, TokenKind};

use crate::Dialect;
use characters::is_word_start;
use folding::{OpenBracket, Row};
use quoted::StringStart;
use words::POSTGRES_OPERATOR;

/// Maximum length of a statement; longer statements are ambiguous.
pub const MAX_STATEMENT_BYTES: usize = 1 << 20;
/// Maximum nesting of brackets; statements with deeper nesting are ambiguous.
pub const MAX_BRACKET_DEPTH: usize = 256;
/// The byte for a literal or a parameter in a shape.
pub const PLACEHOLDER: u8 = 1;
/// Maximum size of the buffers that are reused for the next statement.
const MAX_RETAINED_BYTES: usize = 64 * 1024;
/// The byte before the reason in the shape of an ambiguous statement.
const AMBIGUITY_MARK: u8 = 2;

/// Tokenises statements, reusing its buffers.
///
/// ```
/// use comethitch_statement::{Dialect, lexer::Lexer};
/// let mut lexer = Lexer::new(Dialect::Postgres);
/// lexer.read(b"SELECT a FROM t WHERE b = 1");
/// let shape = lexer.shape().to_vec();
/// lexer.read(b"select A /* now */ from T where B=$1 -- x");
/// assert_eq!(lexer.shape(), shape);
/// lexer.read(b"SELECT a FROM \"T\" WHERE b = 1");
/// assert_ne!(lexer.shape(), shape);
/// ```
pub struct Lexer {
    dialect: Dialect,
    shape: Vec<u8>,
    tokens: Vec<Token>,
    literals: Vec<Literal>,
    brackets: Vec<OpenBracket>,
    /// The last complete row of VALUES outside all brackets, if the next row may be folded into it.
    last_row: Option<Row>,
    /// Number of placeholders in the shape.
    placeholders: u32,
    /// The first ambiguity found.
    ambiguity: Option<Ambiguity>,
    /// Whether backslashes escape in every string, as with `standard_conforming_strings` off.
    backslash_escapes: bool,
    /// Whether a backslash without a meaning in the SQL standard precedes a quote.
    backslash_before_quote: bool,
    unterminated: bool,
}

impl Lexer {
    /// Creates a lexer with empty buffers.
    pub fn new(dialect: Dialect) -> Lexer {
        Lexer {
            dialect,
            shape: Vec::new(),
            tokens: Vec::new(),
            literals: Vec::new(),
            brackets: Vec::new(),
            last_row: None,
            placeholders: 0,
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

    /// Returns the shape of the statement read last.
    pub fn shape(&self) -> &[u8] {
        &self.shape
    }

    /// Returns the tokens of the shape, in order.
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// Returns the bytes of a token in the shape.
    pub fn bytes(&self, token: Token) -> &[u8] {
        &self.shape[token.start as usize..token.end as usize]
    }

    /// Returns the literals and parameters of the text, in order.
    pub fn literals(&self) -> &[Literal] {
        &self.literals
    }

    /// Returns why a server may read the last statement differently, if it may.
    pub fn ambiguity(&self) -> Option<Ambiguity> {
        self.ambiguity
    }

    /// Returns the allocated size of the buffers in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.shape.capacity()
            + self.tokens.capacity() * size_of::<Token>()
            + self.literals.capacity() * size_of::<Literal>()
            + self.brackets.capacity() * size_of::<OpenBracket>()
    }

    /// Reads a statement, which replaces the previous one.
    pub fn read(&mut self, text: &[u8]) {
        self.reset();
        let text = self.readable(text);
        let mut at = 0;
        while at < text.len() {
            at = self.read_token(text, at);
        }
        if !self.brackets.is_empty() {
            self.mark_ambiguous(Ambiguity::Bracket);
        }
        if self.backslash_before_quote && !self.backslash_escapes {
            self.check_escaped_reading(text);
        }
        self.drop_final_semicolons();
        if let Some(ambiguity) = self.ambiguity {
            self.shape.extend([b' ', AMBIGUITY_MARK, ambiguity as u8]);
        }
    }

    fn reset(&mut self) {
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
        self.ambiguity = None;
        self.backslash_before_quote = false;
        self.unterminated = false;
    }

    /// Cuts a text to the maximum length, and checks its encoding.
    fn readable<'t>(&mut self, text: &'t [u8]) -> &'t [u8] {
        let readable = &text[..text.len().min(MAX_STATEMENT_BYTES)];
        if readable.len() < text.len() {
            self.mark_ambiguous(Ambiguity::TooLong);
        }
        if std::str::from_utf8(readable).is_err() {
            self.mark_ambiguous(Ambiguity::NotUtf8);
        }
        readable
    }

    /// Reads the text again with backslashes as escapes, by which strings end elsewhere. The text is unambiguous only
    /// if it is then unterminated, as with `ESCAPE '\'`, since a server that escapes would reject it.
    fn check_escaped_reading(&mut self, text: &[u8]) {
        let mut escaping = Lexer { backslash_escapes: true, ..Lexer::new(self.dialect) };
        escaping.read(text);
        if !escaping.unterminated {
            self.mark_ambiguous(Ambiguity::Backslash);
        }
    }

    /// Drops trailing semicolons, which do not change the statement.
    fn drop_final_semicolons(&mut self) {
        while self.tokens.last().is_some_and(|token| self.bytes(*token) == b";") {
            self.pop_token();
        }
    }

    fn mark_ambiguous(&mut self, ambiguity: Ambiguity) {
        self.unterminated |= ambiguity == Ambiguity::Unterminated;
        self.ambiguity.get_or_insert(ambiguity);
    }

    /// Reads the token, comment or white space at `at`. Returns its end.
    fn read_token(&mut self, text: &[u8], at: usize) -> usize {
        let byte = text[at];
        let next = text.get(at + 1).copied().unwrap_or(0);
        match byte {
            b' ' | b'\t' | b'\n' | b'\r' | 0x0c => at + 1,
            b'-' if next == b'-' => self.skip_line_comment(text, at),
            b'/' if next == b'*' => self.skip_block_comment(text, at),
            b'\'' => {
                let form = LiteralForm::Text;
                self.read_string(text, StringStart { start: at, quote: at, form, escapes: false })
            }
            b'0'..=b'9' => self.read_number(text, at),
            b'.' if next.is_ascii_digit() && !self.follows_name() => self.read_number(text, at),
            b'"' => self.read_quoted_name(text, at, at, b'"'),
            b'[' if self.dialect == Dialect::Tsql => self.read_quoted_name(text, at, at, b']'),
            b'(' | b'[' => self.open_bracket(byte, at),
            b')' | b']' => self.close_bracket(byte, at),
            b'$' | b'@' | b'#' | b'?' => self.read_sigil(text, at),
            byte if is_word_start(byte) => self.read_word(text, at),
            b';' => {
                self.last_row = None;
                self.push_symbol(b";", at)
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

    fn follows_name(&self) -> bool {
        self.tokens.last().is_some_and(|token| matches!(token.kind, TokenKind::Word | TokenKind::Quoted))
    }

    /// Adds an operator or punctuation. Returns its end.
    fn push_symbol(&mut self, symbol: &[u8], at: usize) -> usize {
        self.push_token(TokenKind::Symbol, symbol);
        at + symbol.len()
    }

    fn push_token(&mut self, kind: TokenKind, bytes: &[u8]) {
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
}
