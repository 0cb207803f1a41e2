//! Parses the comment at the start of a client's statement, and checks that the statement has a form that
//! hosts support.
//!
//! Only this module maps the names of the comment's fields, listed in `field`, to the names that the rest of
//! the code uses. Admission (`stages::admit`) turns a parsed comment into a request.

use comethitch_statement::assign::fnv1a;
use std::ops::Range;

/// Maximum length of a request id in characters.
const MAX_ID_LENGTH: usize = 64;

/// The names of the comment's fields.
mod field {
    /// The request id.
    pub(super) const ID: &str = "id";
    /// The name of the request class.
    pub(super) const CLASS: &str = "c";
    /// The client's timeout, in milliseconds.
    pub(super) const TIMEOUT: &str = "d";
    /// The shard.
    pub(super) const SHARD: &str = "cluster";
    /// Time of the commit that a session's read must see, in milliseconds of Unix time.
    pub(super) const AFTER: &str = "after";
}

/// One element of a statement form.
enum FormToken {
    /// This keyword or punctuation mark.
    Word(&'static str),
    /// An identifier.
    Name,
    /// A quoted text.
    Text,
    /// A quoted value in hexadecimal digits.
    HexText,
}

/// `SELECT name FROM name WHERE name = 'text'`
const READ_FORM: [FormToken; 8] = [
    FormToken::Word("SELECT"),
    FormToken::Name,
    FormToken::Word("FROM"),
    FormToken::Name,
    FormToken::Word("WHERE"),
    FormToken::Name,
    FormToken::Word("="),
    FormToken::Text,
];

/// `INSERT INTO name (name, name) VALUES ('text', '\xhex') RETURNING name`
const WRITE_FORM: [FormToken; 16] = [
    FormToken::Word("INSERT"),
    FormToken::Word("INTO"),
    FormToken::Name,
    FormToken::Word("("),
    FormToken::Name,
    FormToken::Word(","),
    FormToken::Name,
    FormToken::Word(")"),
    FormToken::Word("VALUES"),
    FormToken::Word("("),
    FormToken::Text,
    FormToken::Word(","),
    FormToken::HexText,
    FormToken::Word(")"),
    FormToken::Word("RETURNING"),
    FormToken::Name,
];

/// Reasons why a statement or its comment is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommentError {
    /// The statement does not begin with a comment.
    #[error("the statement does not begin with its comment")]
    NoComment,
    /// The comment is not closed.
    #[error("the statement's comment has no end")]
    Unterminated,
    /// The comment is not valid UTF-8.
    #[error("the statement's comment is not UTF-8")]
    NotUtf8,
    /// A required field is missing.
    #[error("{0} is missing from the comment")]
    MissingField(&'static str),
    /// A numeric field is not a number.
    #[error("{0} is no number in the comment")]
    NotANumber(&'static str),
    /// The shard does not fit in 16 bits.
    #[error("cluster is too large in the comment")]
    ShardTooLarge,
    /// The id is too long, or contains characters other than letters, digits and hyphens.
    #[error("id is none in the comment")]
    InvalidId,
    /// The statement matches none of the forms that hosts support.
    #[error("the statement is none that hosts take")]
    UnsupportedStatement,
}

/// A statement's comment that has all required fields.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestComment<'a> {
    /// The request id.
    pub id: &'a str,
    /// The name of the request class.
    pub class: &'a str,
    /// The client's timeout.
    pub timeout: TimeoutField,
    /// The shard.
    pub shard: u16,
    /// Time of the commit that a session's read must see, in milliseconds of Unix time.
    pub after_ms: Option<u64>,
}

/// Parses a statement such as `/* id=9b1f,c=basket,d=480,cluster=2 */ SELECT …`. The fields may be in any
/// order, and unknown ones are ignored. The statement itself must have a form that hosts support.
///
/// ```
/// use comethitchd::wire::statement::parse_request_comment;
/// let text = b"/* d=480,id=9b1f,cluster=2,c=basket,x=1 */ SELECT data FROM facts WHERE code = 'k'";
/// let comment = parse_request_comment(text).unwrap();
/// assert_eq!((comment.class, comment.shard, &text[comment.timeout.range]), ("basket", 2, &b"480"[..]));
/// ```
///
/// # Errors
/// If there is no comment, a required field is missing, a known field is invalid, or the statement has a form
/// that hosts do not support.
pub fn parse_request_comment(text: &[u8]) -> Result<RequestComment<'_>, CommentError> {
    let fields = parse_comment(text)?;
    let id = fields.id.ok_or(CommentError::MissingField(field::ID))?;
    let timeout = fields.timeout.ok_or(CommentError::MissingField(field::TIMEOUT))?;
    let class = fields.class.ok_or(CommentError::MissingField(field::CLASS))?;
    let shard = fields.shard.ok_or(CommentError::MissingField(field::SHARD))?;
    let statement = &text[fields.end..];
    if !matches_form(statement, &READ_FORM) && !matches_form(statement, &WRITE_FORM) {
        return Err(CommentError::UnsupportedStatement);
    }
    Ok(RequestComment { id, class, timeout, shard, after_ms: fields.after_ms })
}

/// The client's timeout, which is replaced by the time left when the statement is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeoutField {
    /// The timeout in milliseconds.
    pub ms: u64,
    /// Byte range of the value in the statement.
    pub range: Range<usize>,
}

/// The known fields of a comment, of which any may be missing.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CommentFields<'a> {
    /// The request id.
    pub id: Option<&'a str>,
    /// The name of the request class.
    pub class: Option<&'a str>,
    /// The client's timeout.
    pub timeout: Option<TimeoutField>,
    /// The shard.
    pub shard: Option<u16>,
    /// Time of the commit that a session's read must see, in milliseconds of Unix time.
    pub after_ms: Option<u64>,
    /// Byte offset in the statement of the first byte after the comment.
    pub end: usize,
}

/// Parses the comment at the start of a statement.
///
/// # Errors
/// If there is no comment, or one of its known fields is invalid.
pub fn parse_comment(text: &[u8]) -> Result<CommentFields<'_>, CommentError> {
    let start = text.iter().position(|b| !b.is_ascii_whitespace()).unwrap_or(text.len());
    let body = text[start..].strip_prefix(b"/*").ok_or(CommentError::NoComment)?;
    let length = body.windows(2).position(|two| two == b"*/").ok_or(CommentError::Unterminated)?;
    let body = std::str::from_utf8(&body[..length]).map_err(|_| CommentError::NotUtf8)?;
    let mut fields = CommentFields::default();
    let body_start = start + "/*".len();
    let mut offset = body_start;
    for part in body.split(',') {
        fields.set(part, offset)?;
        offset += part.len() + ",".len();
    }
    fields.end = body_start + length + "*/".len();
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
    /// Sets a field from a part `name=value` of the comment, which begins at byte `offset` of the statement.
    fn set(&mut self, part: &'a str, offset: usize) -> Result<(), CommentError> {
        let (name, value) = part.trim().split_once('=').unwrap_or_default();
        match name {
            field::ID => self.id = Some(value),
            field::CLASS => self.class = Some(value),
            field::TIMEOUT => {
                let indent = part.len() - part.trim_start().len();
                let value_start = offset + indent + name.len() + "=".len();
                let ms = parse_number(field::TIMEOUT, value)?;
                self.timeout = Some(TimeoutField { ms, range: value_start..value_start + value.len() });
            }
            field::SHARD => {
                let number = parse_number(field::SHARD, value)?;
                self.shard = Some(u16::try_from(number).map_err(|_| CommentError::ShardTooLarge)?);
            }
            field::AFTER => self.after_ms = Some(parse_number(field::AFTER, value)?),
            _ => {}
        }
        Ok(())
    }
}

fn parse_number(name: &'static str, value: &str) -> Result<u64, CommentError> {
    value.parse().map_err(|_| CommentError::NotANumber(name))
}

/// Returns whether a statement has this form, with any white space between its tokens.
fn matches_form(statement: &[u8], form: &[FormToken]) -> bool {
    let mut rest = statement;
    for token in form {
        rest = rest.trim_ascii_start();
        let Some(length) = token_length(rest, token).filter(|length| *length > 0) else { return false };
        rest = &rest[length..];
    }
    rest.trim_ascii().is_empty()
}

/// Returns the length of the token at the start of the text. Returns `None` or 0 if the text starts with
/// something else.
fn token_length(text: &[u8], token: &FormToken) -> Option<usize> {
    match token {
        FormToken::Word(word) => text.starts_with(word.as_bytes()).then_some(word.len()),
        FormToken::Name => Some(allowed_prefix_length(text, |b| b.is_ascii_alphanumeric() || *b == b'_')),
        FormToken::Text => quoted_length(text, "'", |b| !b.is_ascii_control() && !b"'\\".contains(b)),
        FormToken::HexText => quoted_length(text, "'\\x", u8::is_ascii_hexdigit),
    }
}

/// Returns the length of the longest prefix of the text that consists of allowed bytes.
fn allowed_prefix_length(text: &[u8], allowed: fn(&u8) -> bool) -> usize {
    text.iter().take_while(|b| allowed(b)).count()
}

fn quoted_length(text: &[u8], open: &str, allowed: fn(&u8) -> bool) -> Option<usize> {
    let inner = text.strip_prefix(open.as_bytes())?;
    let length = allowed_prefix_length(inner, allowed);
    (inner.get(length) == Some(&b'\'')).then_some(open.len() + length + 1)
}

/// Returns the key of the session that a statement belongs to: a hash of its first quoted text, or 0 if there
/// is none.
pub fn session_key(text: &[u8]) -> u64 {
    let mut parts = text.split(|b| *b == b'\'');
    let _before = parts.next();
    let quoted = parts.next();
    let is_closed = parts.next().is_some();
    quoted.filter(|_| is_closed).map_or(0, |key| fnv1a(key).max(1))
}
