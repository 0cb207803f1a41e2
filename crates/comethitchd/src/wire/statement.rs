//! The comment that a client's statement begins with, and the forms of statement that hosts support.
//!
//! Admission (`stages::admit`) turns what is parsed here into a request.

use std::ops::Range;

const MAX_ID_LENGTH: usize = 64;

/// One part of a statement's form.
enum Token {
    Word(&'static str),
    /// An identifier.
    Name,
    /// A quoted text.
    Text,
    /// A quoted value in hexadecimal digits.
    HexText,
}

/// `SELECT name FROM name WHERE name = 'text'`
const READ: [Token; 8] = [
    Token::Word("SELECT"),
    Token::Name,
    Token::Word("FROM"),
    Token::Name,
    Token::Word("WHERE"),
    Token::Name,
    Token::Word("="),
    Token::Text,
];

/// `INSERT INTO name (name, name) VALUES ('text', '\xhex') RETURNING name`
const WRITE: [Token; 16] = [
    Token::Word("INSERT"),
    Token::Word("INTO"),
    Token::Name,
    Token::Word("("),
    Token::Name,
    Token::Word(","),
    Token::Name,
    Token::Word(")"),
    Token::Word("VALUES"),
    Token::Word("("),
    Token::Text,
    Token::Word(","),
    Token::HexText,
    Token::Word(")"),
    Token::Word("RETURNING"),
    Token::Name,
];

/// Why a statement's comment, or the statement behind it, can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommentError {
    /// The statement begins with something else than a comment.
    #[error("the statement does not begin with its comment")]
    NoComment,
    /// The comment is not closed.
    #[error("the statement's comment has no end")]
    Unterminated,
    /// The comment is no UTF-8 text.
    #[error("the statement's comment is not UTF-8")]
    NotUtf8,
    /// A field that is needed is not there.
    #[error("{0} is missing from the comment")]
    MissingField(&'static str),
    /// A field that must be a number is none.
    #[error("{0} is no number in the comment")]
    NotANumber(&'static str),
    /// The shard's number doesn't fit in 16 bits.
    #[error("cluster is too large in the comment")]
    ShardTooLarge,
    /// The id is too long or holds other characters than letters, digits and hyphens.
    #[error("id is none in the comment")]
    InvalidId,
    /// The statement has none of the forms that hosts support.
    #[error("the statement is none that hosts take")]
    UnsupportedStatement,
}

/// What a complete comment says. The statement itself is forwarded as it came, but for the value of `d`.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestComment<'a> {
    /// The request's id, `id`.
    pub id: &'a str,
    /// The name of the request class, `c`.
    pub class: &'a str,
    /// For how many milliseconds the client waits, `d`.
    pub wait_ms: u64,
    /// Where the value of `d` stands in the statement.
    pub wait_at: Range<usize>,
    /// The shard, `cluster`.
    pub shard: u16,
    /// The commit that a session's read must see, in milliseconds of Unix time, `after`.
    pub after_ms: Option<u64>,
}

/// Parses a statement such as `/* id=9b1f,c=basket,d=480,cluster=2 */ SELECT …`: the fields in any order, unknown
/// ones ignored, and behind them a statement of a form that hosts support.
///
/// ```
/// use comethitchd::wire::statement::parse_request_comment;
/// let text = b"/* d=480,id=9b1f,cluster=2,c=basket,x=1 */ SELECT data FROM facts WHERE code = 'k'";
/// let comment = parse_request_comment(text).unwrap();
/// assert_eq!((comment.class, comment.shard, &text[comment.wait_at]), ("basket", 2, &b"480"[..]));
/// ```
///
/// # Errors
/// If a field is missing or wrong, or the statement has another form.
pub fn parse_request_comment(text: &[u8]) -> Result<RequestComment<'_>, CommentError> {
    let fields = parse_comment(text)?;
    let id = fields.id.ok_or(CommentError::MissingField("id"))?;
    let wait = fields.wait.ok_or(CommentError::MissingField("d"))?;
    let class = fields.class.ok_or(CommentError::MissingField("c"))?;
    let shard = fields.shard.ok_or(CommentError::MissingField("cluster"))?;
    let statement = &text[fields.end..];
    if !matches_form(statement, &READ) && !matches_form(statement, &WRITE) {
        return Err(CommentError::UnsupportedStatement);
    }
    Ok(RequestComment { id, class, wait_ms: wait.ms, wait_at: wait.range, shard, after_ms: fields.after_ms })
}

/// The field `d`: how long the client waits.
#[derive(Debug, PartialEq, Eq)]
pub struct WaitField {
    /// In milliseconds.
    pub ms: u64,
    /// Where the value stands in the statement.
    pub range: Range<usize>,
}

/// The known fields of a comment, whatever statement follows it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CommentFields<'a> {
    /// The request's id.
    pub id: Option<&'a str>,
    /// The name of the request class.
    pub class: Option<&'a str>,
    /// How long the client waits.
    pub wait: Option<WaitField>,
    /// The shard.
    pub shard: Option<u16>,
    /// The commit that must be seen, in milliseconds of Unix time.
    pub after_ms: Option<u64>,
    /// Where the comment ends in the statement.
    pub end: usize,
}

/// Parses the comment that a statement begins with.
///
/// # Errors
/// If there is no comment, or one of its known fields is wrong.
pub fn parse_comment(text: &[u8]) -> Result<CommentFields<'_>, CommentError> {
    let start = text.iter().position(|b| !b.is_ascii_whitespace()).unwrap_or(text.len());
    let body = text[start..].strip_prefix(b"/*").ok_or(CommentError::NoComment)?;
    let length = body.windows(2).position(|two| two == b"*/").ok_or(CommentError::Unterminated)?;
    let body = std::str::from_utf8(&body[..length]).map_err(|_| CommentError::NotUtf8)?;
    let mut fields = CommentFields::default();
    let mut at = start + "/*".len();
    for part in body.split(',') {
        fields.set(part, at)?;
        at += part.len() + 1;
    }
    // The last part has no comma behind it.
    fields.end = at - 1 + "*/".len();
    fields.id = fields.id.filter(|id| !id.is_empty());
    match fields.id {
        Some(id) if !is_valid_id(id) => Err(CommentError::InvalidId),
        _ => Ok(fields),
    }
}

fn is_valid_id(id: &str) -> bool {
    id.len() <= MAX_ID_LENGTH && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
}

impl<'a> CommentFields<'a> {
    /// Sets the field that `part`, a `name=value` at this place in the statement, gives.
    fn set(&mut self, part: &'a str, at: usize) -> Result<(), CommentError> {
        let (name, value) = part.trim().split_once('=').unwrap_or_default();
        match name {
            "id" => self.id = Some(value),
            "c" => self.class = Some(value),
            "d" => {
                let indent = part.len() - part.trim_start().len();
                let from = at + indent + "d=".len();
                let ms = parse_number("d", value)?;
                self.wait = Some(WaitField { ms, range: from..from + value.len() });
            }
            "cluster" => {
                let number = parse_number("cluster", value)?;
                self.shard = Some(u16::try_from(number).map_err(|_| CommentError::ShardTooLarge)?);
            }
            "after" => self.after_ms = Some(parse_number("after", value)?),
            _ => {}
        }
        Ok(())
    }
}

fn parse_number(name: &'static str, value: &str) -> Result<u64, CommentError> {
    value.parse().map_err(|_| CommentError::NotANumber(name))
}

/// Whether a statement has this form, with any space between its tokens.
fn matches_form(statement: &[u8], form: &[Token]) -> bool {
    let mut rest = statement;
    for token in form {
        rest = rest.trim_ascii_start();
        let Some(length) = token_length(rest, token).filter(|length| *length > 0) else { return false };
        rest = &rest[length..];
    }
    rest.trim_ascii().is_empty()
}

/// How many bytes of the text the token takes, if it is there.
fn token_length(text: &[u8], token: &Token) -> Option<usize> {
    match token {
        Token::Word(word) => text.starts_with(word.as_bytes()).then_some(word.len()),
        Token::Name => Some(run_length(text, |b| b.is_ascii_alphanumeric() || *b == b'_')),
        Token::Text => quoted_length(text, "'", |b| !b.is_ascii_control() && !b"'\\".contains(b)),
        Token::HexText => quoted_length(text, "'\\x", u8::is_ascii_hexdigit),
    }
}

fn run_length(text: &[u8], allowed: fn(&u8) -> bool) -> usize {
    text.iter().take_while(|b| allowed(b)).count()
}

fn quoted_length(text: &[u8], open: &str, allowed: fn(&u8) -> bool) -> Option<usize> {
    let inner = text.strip_prefix(open.as_bytes())?;
    let length = run_length(inner, allowed);
    (inner.get(length) == Some(&b'\'')).then_some(open.len() + length + 1)
}

/// The session that a statement belongs to: a hash of its first quoted text, or 0 without one.
pub fn session_key(text: &[u8]) -> u64 {
    let mut parts = text.split(|b| *b == b'\'');
    let _before = parts.next();
    let quoted = parts.next();
    let is_closed = parts.next().is_some();
    quoted.filter(|_| is_closed).map_or(0, |key| fnv1a(key).max(1))
}

/// The FNV-1a hash of 64 bits, <http://www.isthe.com/chongo/tech/comp/fnv/>.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
