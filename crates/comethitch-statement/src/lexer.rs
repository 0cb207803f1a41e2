//! One pass over a statement's text: its tokens, its *shape*, and where its literals stand.
//!
//! The shape is the statement with every literal and parameter replaced by a placeholder, lists of values
//! folded, unquoted words in lower case, and comments and white space gone. It is written in a form that can
//! be read back without doubt: tokens behind one blank each, a placeholder as the byte 1, quoted names as
//! they stood. All that is later said of a statement is said of its shape alone, so that two statements of
//! one shape can't be judged differently.
//!
//! What servers of one dialect may read in two ways (a backslash before a quote, a control character, a number
//! that runs into a word) is *doubtful*: such a statement is never judged to be harmless.

use crate::Dialect;
use std::ops::Range;

/// A statement is read up to this length; a longer one is doubtful.
pub const LONGEST_TEXT: usize = 1 << 20;
/// Brackets may stand this deep in each other; deeper ones make a statement doubtful.
pub const DEEPEST: usize = 256;
/// Memory for reading is kept from one statement to the next up to so many bytes.
const MOST_KEPT: usize = 64 * 1024;
/// Stands for a literal or a parameter in a shape.
pub const PLACEHOLDER: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An unquoted name or keyword, in lower case.
    Word,
    /// A quoted name, with its quotes.
    Quoted,
    Placeholder,
    /// An operator or punctuation.
    Symbol,
}

/// A token, and where it stands in the shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub kind: Kind,
    from: u32,
    until: u32,
}

/// A literal or parameter of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Literal {
    /// The number of its placeholder in the shape, from 0; the members of a folded list share one.
    pub placeholder: u32,
    pub form: Form,
    /// Where it stands in the text, quotes included.
    pub at: Range<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Number,
    /// `'it''s'`, with a leading `N` or none.
    Text,
    /// A text of another notation: `E''`, `U&''`, `B''`, `X''`, `$$…$$`, or one in several parts.
    Special,
    /// `$1`, `@p` or `?`: its value stands elsewhere.
    Parameter,
}

/// Why a text may mean something else to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    Unterminated,
    TooLong,
    TooDeep,
    NotUtf8,
    /// A character that servers take for white space, for part of a name, or for an error.
    Character,
    /// Digits that run into a word.
    Number,
    /// A backslash before a quote: the text ends elsewhere where backslashes escape.
    Backslash,
    /// A closing bracket of another kind, or one too many.
    Bracket,
}

impl Doubt {
    pub fn told(self) -> &'static str {
        match self {
            Doubt::Unterminated => "a text, name or comment has no end",
            Doubt::TooLong => "it is too long",
            Doubt::TooDeep => "brackets stand too deep in each other",
            Doubt::NotUtf8 => "it is no UTF-8",
            Doubt::Character => "it has a character that servers read in different ways",
            Doubt::Number => "a number runs into a word",
            Doubt::Backslash => "a backslash before a quote can be read in two ways",
            Doubt::Bracket => "its brackets do not match",
        }
    }
}

struct Bracket {
    kind: u8,
    /// The number of its first token behind the bracket, and of the first placeholder.
    token: usize,
    placeholder: u32,
    /// A list of values, of which one stands for all: behind IN, or of an array.
    list: bool,
    /// Where the last row within it ended, if the next one may be folded into it.
    row: Option<Row>,
}

#[derive(Clone, Copy)]
struct Row {
    /// The first token behind its opening bracket, and the first one behind its closing one.
    from: usize,
    until: usize,
}

/// Reads statements one after the other, and keeps its memory for the next.
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
    brackets: Vec<Bracket>,
    /// The row that ended last outside of all brackets.
    row: Option<Row>,
    placeholders: u32,
    doubt: Option<Doubt>,
    /// Backslashes escape in every text.
    escapes: bool,
    /// A backslash stood before a quote where the standard gives it no meaning.
    two_readings: bool,
    unterminated: bool,
}

/// Bytes of unquoted names. What is beyond ASCII is looked at as characters.
fn is_word(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$') || byte >= 0x80
}

fn is_word_start(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

const PG_OPERATOR: &[u8] = b"+-*/<>=~!@#%^&|`?";
/// A PostgreSQL operator of several characters ends in a sign only if it holds one of these.
const PG_SIGN_LEAVE: &[u8] = b"~!@#%^&|`?";

impl Lexer {
    pub fn new(dialect: Dialect) -> Lexer {
        Lexer {
            dialect,
            shape: Vec::new(),
            tokens: Vec::new(),
            literals: Vec::new(),
            brackets: Vec::new(),
            row: None,
            placeholders: 0,
            doubt: None,
            escapes: false,
            two_readings: false,
            unterminated: false,
        }
    }

    pub fn dialect(&self) -> Dialect {
        self.dialect
    }

    /// The shape of the statement read last.
    pub fn shape(&self) -> &[u8] {
        &self.shape
    }

    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// The bytes of a token as they stand in the shape.
    pub fn bytes(&self, token: Token) -> &[u8] {
        &self.shape[token.from as usize..token.until as usize]
    }

    pub fn literals(&self) -> &[Literal] {
        &self.literals
    }

    pub fn doubt(&self) -> Option<Doubt> {
        self.doubt
    }

    /// The bytes held for reading, whatever is read next.
    pub fn held(&self) -> usize {
        self.shape.capacity()
            + self.tokens.capacity() * size_of::<Token>()
            + self.literals.capacity() * size_of::<Literal>()
            + self.brackets.capacity() * size_of::<Bracket>()
    }

    /// Reads a statement; what was read before is forgotten.
    pub fn read(&mut self, text: &[u8]) {
        // What one long statement took is not kept for all that follow.
        if self.held() > MOST_KEPT {
            (self.shape, self.tokens, self.literals) = (Vec::new(), Vec::new(), Vec::new());
        }
        self.shape.clear();
        self.tokens.clear();
        self.literals.clear();
        self.brackets.clear();
        (self.row, self.placeholders, self.doubt) = (None, 0, None);
        (self.two_readings, self.unterminated) = (false, false);
        let known = &text[..text.len().min(LONGEST_TEXT)];
        if known.len() < text.len() {
            self.doubted(Doubt::TooLong);
        }
        if std::str::from_utf8(known).is_err() {
            self.doubted(Doubt::NotUtf8);
        }
        let mut at = 0;
        while at < known.len() {
            at = self.step(known, at);
        }
        if !self.brackets.is_empty() {
            self.doubted(Doubt::Bracket);
        }
        if self.two_readings && !self.escapes {
            // Where a server's backslashes escape, texts end elsewhere. That is harmless only if its reading
            // comes to no end, as for `ESCAPE '\\'`: it would be turned away.
            let mut other = Lexer { escapes: true, ..Lexer::new(self.dialect) };
            other.read(known);
            if !other.unterminated {
                self.doubted(Doubt::Backslash);
            }
        }
        // A last semicolon ends the statement, and says nothing more.
        while self.tokens.last().is_some_and(|token| self.bytes(*token) == b";") {
            self.pop();
        }
        if let Some(doubt) = self.doubt {
            self.shape.extend([b' ', 2, doubt as u8]);
        }
    }

    fn doubted(&mut self, doubt: Doubt) {
        self.unterminated |= doubt == Doubt::Unterminated;
        self.doubt.get_or_insert(doubt);
    }

    /// Reads from `at` on to the end of a token, comment or run of white space, and tells where that is.
    fn step(&mut self, text: &[u8], at: usize) -> usize {
        let byte = text[at];
        let next = text.get(at + 1).copied().unwrap_or(0);
        match byte {
            b' ' | b'\t' | b'\n' | b'\r' | 0x0c => at + 1,
            b'-' if next == b'-' => self.line_comment(text, at),
            b'/' if next == b'*' => self.block_comment(text, at),
            b'\'' => self.text(text, at, at, Form::Text, false),
            b'0'..=b'9' => self.number(text, at),
            b'.' if next.is_ascii_digit() && !self.behind_name() => self.number(text, at),
            b'"' => self.quoted(text, at, at, b'"'),
            b'(' | b'[' if byte == b'(' || self.dialect == Dialect::Postgres => self.open(byte, at),
            b'[' => self.quoted(text, at, at, b']'),
            b')' | b']' => self.close(byte, at),
            b'$' | b'@' | b'#' | b'?' => self.mark(text, at),
            byte if is_word_start(byte) => self.word(text, at),
            b';' => {
                self.row = None;
                self.symbol(b";", at)
            }
            b',' => self.symbol(b",", at),
            b'.' | b':' => {
                let two = text.get(at..at + 2).filter(|two| matches!(*two, b"::" | b":=" | b".."));
                self.symbol(two.unwrap_or(&[byte]), at)
            }
            byte if PG_OPERATOR.contains(&byte) => self.operator(text, at),
            // Servers of T-SQL take control characters for white space.
            0x01..0x20 if self.dialect == Dialect::Tsql => at + 1,
            _ => {
                self.doubted(Doubt::Character);
                at + 1
            }
        }
    }

    fn behind_name(&self) -> bool {
        self.tokens.last().is_some_and(|token| matches!(token.kind, Kind::Word | Kind::Quoted))
    }

    fn line_comment(&mut self, text: &[u8], at: usize) -> usize {
        let end = text[at..].iter().position(|b| matches!(b, b'\n' | b'\r')).map_or(text.len(), |n| at + n);
        if self.dialect == Dialect::Tsql {
            // Whether a lone carriage return, or a line end beyond ASCII, ends the comment is not certain.
            let lone = text.get(end) == Some(&b'\r') && text.get(end + 1) != Some(&b'\n');
            if lone || !text[at..end].is_ascii() && has_line_end(&text[at..end]) {
                self.doubted(Doubt::Character);
            }
        }
        end
    }

    /// A comment between stars, which may hold others.
    fn block_comment(&mut self, text: &[u8], at: usize) -> usize {
        let (mut depth, mut at) = (1, at + 2);
        while depth > 0 {
            match (text.get(at), text.get(at + 1)) {
                (Some(b'*'), Some(b'/')) => (depth, at) = (depth - 1, at + 2),
                (Some(b'/'), Some(b'*')) => (depth, at) = (depth + 1, at + 2),
                (Some(_), _) => at += 1,
                (None, _) => {
                    self.doubted(Doubt::Unterminated);
                    return text.len();
                }
            }
        }
        at
    }

    /// A text whose opening quote stands at `at`; with its prefix it begins at `start`.
    fn text(&mut self, text: &[u8], start: usize, at: usize, form: Form, escapes: bool) -> usize {
        let (mut at, mut form) = (at + 1, form);
        loop {
            match text.get(at) {
                Some(b'\'') if text.get(at + 1) == Some(&b'\'') => at += 2,
                Some(b'\'') => match self.continued(text, at + 1) {
                    Some(next) => (at, form) = (next, Form::Special),
                    None => break,
                },
                Some(b'\\') if escapes || self.escapes && form == Form::Text => at += 2,
                Some(b'\\') => {
                    let run = text[at..].iter().take_while(|b| **b == b'\\').count();
                    at += run;
                    let odd_before_quote = run % 2 == 1 && text.get(at) == Some(&b'\'');
                    self.two_readings |= self.dialect == Dialect::Postgres && odd_before_quote;
                }
                Some(_) => at += 1,
                None => {
                    self.doubted(Doubt::Unterminated);
                    at = text.len();
                    break;
                }
            }
        }
        let end = (at + 1).min(text.len());
        self.literal(form, start..end);
        end
    }

    /// Where a text goes on that has ended before `at`, if only white space with a line end comes between.
    fn continued(&self, text: &[u8], mut at: usize) -> Option<usize> {
        if self.dialect != Dialect::Postgres {
            return None;
        }
        let mut line_end = false;
        loop {
            match text.get(at)? {
                b'\n' | b'\r' => line_end = true,
                b' ' | b'\t' | 0x0c => {}
                b'-' if text.get(at + 1) == Some(&b'-') => {
                    at += text[at..].iter().position(|b| matches!(b, b'\n' | b'\r'))?;
                    line_end = true;
                }
                b'\'' if line_end => return Some(at + 1),
                _ => return None,
            }
            at += 1;
        }
    }

    /// A quoted name whose opening quote stands at `at`; a doubled closing one belongs to it.
    fn quoted(&mut self, text: &[u8], start: usize, at: usize, close: u8) -> usize {
        let mut at = at + 1;
        loop {
            match text.get(at) {
                Some(byte) if *byte == close && text.get(at + 1) == Some(&close) => at += 2,
                Some(byte) if *byte == close => break,
                Some(_) => at += 1,
                None => {
                    self.doubted(Doubt::Unterminated);
                    at = text.len();
                    break;
                }
            }
        }
        let end = (at + 1).min(text.len());
        self.push(Kind::Quoted, &text[start..end]);
        end
    }

    fn number(&mut self, text: &[u8], at: usize) -> usize {
        let digits = |at: usize, allowed: fn(&u8) -> bool| {
            at + text.get(at..).unwrap_or_default().iter().take_while(|b| allowed(b)).count()
        };
        let decimal: fn(&u8) -> bool = |b| b.is_ascii_digit() || *b == b'_';
        let prefix = text.get(at + 1).filter(|_| text[at] == b'0').map(u8::to_ascii_lowercase);
        let mut end = match prefix {
            Some(b'x') => digits(at + 2, |b| b.is_ascii_hexdigit() || *b == b'_'),
            Some(b'o' | b'b') if self.dialect == Dialect::Postgres => digits(at + 2, decimal),
            _ => {
                let mut end = digits(at, decimal);
                // Two points are a range's, as in a PL/pgSQL loop.
                if text.get(end) == Some(&b'.') && text.get(end + 1) != Some(&b'.') {
                    end = digits(end + 1, decimal);
                }
                if matches!(text.get(end), Some(b'e' | b'E')) {
                    let sign = usize::from(matches!(text.get(end + 1), Some(b'+' | b'-')));
                    let exponent = digits(end + 1 + sign, decimal);
                    if exponent > end + 1 + sign {
                        end = exponent;
                    }
                }
                end
            }
        };
        end = end.min(text.len());
        let in_word = if self.dialect == Dialect::Tsql { is_tsql_word } else { is_word };
        if text.get(end).is_some_and(|b| in_word(*b)) {
            self.doubted(Doubt::Number);
        }
        self.unsigned();
        self.literal(Form::Number, at..end);
        end
    }

    /// A sign that can only be the coming number's own is left out: `b = -1` has the shape of `b = 1`.
    fn unsigned(&mut self) {
        let [.., before, sign] = self.tokens[..] else { return };
        let is_sign = sign.kind == Kind::Symbol && matches!(self.bytes(sign), b"-" | b"+");
        let opens = before.kind == Kind::Symbol && !matches!(self.bytes(before), b")" | b"]" | b"*");
        if is_sign && opens {
            self.pop();
        }
    }

    fn mark(&mut self, text: &[u8], at: usize) -> usize {
        let rest = &text[at..];
        let next = rest.get(1).copied().unwrap_or(0);
        let word = |from: usize| from + text[from..].iter().take_while(|b| is_word(**b)).count();
        match (self.dialect, rest[0]) {
            (Dialect::Postgres, b'$') if next.is_ascii_digit() => {
                let end = at + 1 + rest[1..].iter().take_while(|b| b.is_ascii_digit()).count();
                if text.get(end).is_some_and(|b| is_word(*b)) {
                    self.doubted(Doubt::Number);
                }
                self.literal(Form::Parameter, at..end);
                end
            }
            (Dialect::Postgres, b'$') => self.dollar_quoted(text, at),
            (Dialect::Postgres, _) => self.operator(text, at),
            (Dialect::Tsql, b'?') => {
                self.literal(Form::Parameter, at..at + 1);
                at + 1
            }
            // A money literal; `$action` and the like are words.
            (Dialect::Tsql, b'$') if next.is_ascii_digit() || next == b'.' => self.number(text, at + 1),
            (Dialect::Tsql, b'$') => self.named(text, at, word(at + 1)),
            (Dialect::Tsql, b'@') if next == b'@' => {
                let end = word(at + 2);
                self.named(text, at, end)
            }
            (Dialect::Tsql, b'@') => {
                let end = at + 1 + rest[1..].iter().take_while(|b| is_tsql_word(**b)).count();
                self.characters(&text[at..end]);
                self.literal(Form::Parameter, at..end);
                end
            }
            (Dialect::Tsql, _) => {
                let end = at + rest.iter().take_while(|b| is_tsql_word(**b)).count();
                self.named(text, at, end)
            }
        }
    }

    /// `$tag$ … $tag$`.
    fn dollar_quoted(&mut self, text: &[u8], at: usize) -> usize {
        let tag = text[at + 1..].iter().take_while(|b| is_word(**b) && **b != b'$').count();
        let opening = &text[at..(at + tag + 2).min(text.len())];
        if opening.len() < tag + 2 || opening.last() != Some(&b'$') {
            self.doubted(Doubt::Character);
            return at + 1;
        }
        // Looked for by its last byte: a tag that comes again and again costs no more than one look a byte.
        let mut end = at + opening.len();
        while let Some(next) = text[end..].iter().position(|b| *b == b'$') {
            end += next + 1;
            let from = end.checked_sub(opening.len()).filter(|from| *from >= at + opening.len());
            if from.is_some_and(|from| &text[from..end] == opening) {
                self.literal(Form::Special, at..end);
                return end;
            }
        }
        self.doubted(Doubt::Unterminated);
        self.literal(Form::Special, at..text.len());
        text.len()
    }

    fn word(&mut self, text: &[u8], at: usize) -> usize {
        let in_word = if self.dialect == Dialect::Tsql { is_tsql_word } else { is_word };
        let end = at + text[at..].iter().take_while(|b| in_word(**b)).count();
        let (word, next) = (&text[at..end], text.get(end).copied());
        match (word, next, self.dialect) {
            ([b'e' | b'E'], Some(b'\''), Dialect::Postgres) => self.text(text, at, end, Form::Special, true),
            ([b'b' | b'B' | b'x' | b'X'], Some(b'\''), Dialect::Postgres) => {
                self.text(text, at, end, Form::Special, false)
            }
            ([b'n' | b'N'], Some(b'\''), _) => self.text(text, at, end, Form::Text, false),
            ([b'u' | b'U'], Some(b'&'), Dialect::Postgres) => match text.get(end + 1) {
                Some(b'\'') => self.text(text, at, end + 1, Form::Special, false),
                Some(b'"') => self.quoted(text, at, end + 1, b'"'),
                _ => self.named(text, at, end),
            },
            _ => self.named(text, at, end),
        }
    }

    /// An unquoted name, or what stands for one.
    fn named(&mut self, text: &[u8], at: usize, end: usize) -> usize {
        self.characters(&text[at..end]);
        self.push(Kind::Word, &text[at..end]);
        let from = self.tokens.last().map_or(0, |token| token.from as usize);
        self.shape[from..].make_ascii_lowercase();
        end
    }

    /// Beyond ASCII only letters and digits belong to a name for certain: some servers take other characters
    /// for white space.
    fn characters(&mut self, word: &[u8]) {
        if !word.is_ascii() {
            let text = std::str::from_utf8(word).unwrap_or_default();
            if text.is_empty() || !text.chars().all(|c| c.is_alphanumeric() || "_$@#".contains(c)) {
                self.doubted(Doubt::Character);
            }
        }
    }

    fn operator(&mut self, text: &[u8], at: usize) -> usize {
        let rest = &text[at..];
        if self.dialect == Dialect::Tsql {
            let two = rest.get(..2).filter(|two| {
                matches!(*two, b"<>" | b"<=" | b">=" | b"!=" | b"!<" | b"!>" | b"+=" | b"-=" | b"*=" | b"/=")
            });
            return self.symbol(two.unwrap_or(&rest[..1]), at);
        }
        let mut length = rest.iter().take_while(|b| PG_OPERATOR.contains(b)).count();
        let comment = rest[..length].windows(2).position(|two| matches!(two, b"--" | b"/*"));
        length = comment.unwrap_or(length).max(1);
        let leaves_sign = rest[..length].iter().any(|b| PG_SIGN_LEAVE.contains(b));
        while length > 1 && !leaves_sign && matches!(rest[length - 1], b'+' | b'-') {
            length -= 1;
        }
        self.symbol(&rest[..length], at)
    }

    fn symbol(&mut self, symbol: &[u8], at: usize) -> usize {
        self.push(Kind::Symbol, symbol);
        at + symbol.len()
    }

    fn open(&mut self, kind: u8, at: usize) -> usize {
        let before = self.tokens.last().filter(|token| token.kind == Kind::Word);
        let list = before.is_some_and(|token| match self.bytes(*token) {
            b"in" => kind == b'(',
            b"array" => kind == b'[',
            _ => false,
        });
        self.push(Kind::Symbol, &[kind]);
        if self.brackets.len() >= DEEPEST {
            self.doubted(Doubt::TooDeep);
        } else {
            let (token, placeholder) = (self.tokens.len(), self.placeholders);
            self.brackets.push(Bracket { kind, token, placeholder, list, row: None });
        }
        at + 1
    }

    fn close(&mut self, kind: u8, at: usize) -> usize {
        self.push(Kind::Symbol, &[kind]);
        let opening = if kind == b')' { b'(' } else { b'[' };
        match self.brackets.pop() {
            Some(bracket) if bracket.kind == opening => self.fold_row(&bracket),
            // Past the deepest level they are not counted any more.
            _ if self.doubt == Some(Doubt::TooDeep) => {}
            _ => self.doubted(Doubt::Bracket),
        }
        at + 1
    }

    /// A row of VALUES that has the shape of the one before it is left out.
    fn fold_row(&mut self, bracket: &Bracket) {
        let from = bracket.token;
        let this = Row { from, until: self.tokens.len() };
        let before = match self.brackets.last() {
            Some(outer) => outer.row,
            None => self.row,
        };
        let opened = from.checked_sub(2).and_then(|at| self.tokens.get(at)).copied();
        let row = match (before, opened) {
            (_, Some(token)) if token.kind == Kind::Word && self.bytes(token) == b"values" => Some(this),
            (Some(before), Some(comma)) if self.bytes(comma) == b"," && before.until + 2 == from => {
                if self.span(before) == self.span(this) {
                    let many = self.placeholders - bracket.placeholder;
                    while self.tokens.len() > before.until {
                        self.pop();
                    }
                    self.renumber(bracket.placeholder, many);
                    Some(before)
                } else {
                    Some(this)
                }
            }
            _ => None,
        };
        match self.brackets.last_mut() {
            Some(outer) => outer.row = row,
            None => self.row = row,
        }
    }

    /// The placeholders of a row that is left out are those of the row before.
    fn renumber(&mut self, first: u32, many: u32) {
        let of_row = self.literals.iter_mut().rev().take_while(|literal| literal.placeholder >= first);
        of_row.for_each(|literal| literal.placeholder -= many);
        self.placeholders = first;
    }

    fn span(&self, row: Row) -> &[u8] {
        let from = self.tokens[row.from - 1].from as usize;
        &self.shape[from..self.tokens[row.until - 1].until as usize]
    }

    /// Takes a literal in; one more of a list of values is left out of the shape.
    fn literal(&mut self, form: Form, at: Range<usize>) {
        let folded = self.brackets.last().is_some_and(|bracket| bracket.list) && {
            let behind = &self.tokens[self.brackets.last().map_or(0, |bracket| bracket.token)..];
            matches!(behind, [value, comma] if value.kind == Kind::Placeholder && self.bytes(*comma) == b",")
        };
        if folded {
            self.pop();
        } else {
            self.push(Kind::Placeholder, &[PLACEHOLDER]);
            self.placeholders += 1;
        }
        let at = at.start as u32..at.end as u32;
        self.literals.push(Literal { placeholder: self.placeholders - 1, form, at });
    }

    fn push(&mut self, kind: Kind, bytes: &[u8]) {
        if !self.tokens.is_empty() {
            self.shape.push(b' ');
        }
        let from = self.shape.len() as u32;
        self.shape.extend_from_slice(bytes);
        self.tokens.push(Token { kind, from, until: self.shape.len() as u32 });
    }

    fn pop(&mut self) {
        self.tokens.pop();
        self.shape.truncate(self.tokens.last().map_or(0, |token| token.until as usize));
    }
}

fn is_tsql_word(byte: u8) -> bool {
    is_word(byte) || matches!(byte, b'@' | b'#')
}

fn has_line_end(text: &[u8]) -> bool {
    let text = std::str::from_utf8(text).unwrap_or("\u{85}");
    text.contains(['\u{85}', '\u{2028}', '\u{2029}'])
}
