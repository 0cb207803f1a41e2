//! The prefixes of strings and quoted names, and the length of operators.

use super::quoted::StringStart;
use super::token::LiteralForm;
use crate::Dialect;

/// The characters of PostgreSQL's operators.
pub(super) const POSTGRES_OPERATOR: &[u8] = b"+-*/<>=~!@#%^&|`?";
/// A PostgreSQL operator of several characters may end in `+` or `-` only if it contains one of these.
const POSTGRES_ALLOWS_FINAL_SIGN: &[u8] = b"~!@#%^&|`?";

/// Whether a word is a name, or the prefix of a string or of a quoted name.
pub(super) enum WordForm {
    /// An unquoted name or keyword.
    Plain,
    /// The prefix of a string.
    StringPrefix(StringStart),
    /// The prefix of a quoted name with its opening quote at this offset.
    QuotedNamePrefix(usize),
}

/// Determines whether a word is the prefix of a string or of a quoted name, such as `N'…'` or `U&"…"`.
pub(super) fn word_form(text: &[u8], start: usize, end: usize, dialect: Dialect) -> WordForm {
    let string = |quote, form, escapes| WordForm::StringPrefix(StringStart { start, quote, form, escapes });
    match (&text[start..end], text.get(end), dialect) {
        ([b'e' | b'E'], Some(b'\''), Dialect::Postgres) => string(end, LiteralForm::Special, true),
        ([b'b' | b'B' | b'x' | b'X'], Some(b'\''), Dialect::Postgres) => {
            string(end, LiteralForm::Special, false)
        }
        ([b'n' | b'N'], Some(b'\''), _) => string(end, LiteralForm::Text, false),
        ([b'u' | b'U'], Some(b'&'), Dialect::Postgres) => match text.get(end + 1) {
            Some(b'\'') => string(end + 1, LiteralForm::Special, false),
            Some(b'"') => WordForm::QuotedNamePrefix(end + 1),
            _ => WordForm::Plain,
        },
        _ => WordForm::Plain,
    }
}

/// Returns the length of the operator at the start of a text.
pub(super) fn operator_length(text: &[u8], dialect: Dialect) -> usize {
    match dialect {
        Dialect::Postgres => postgres_operator_length(text),
        Dialect::Tsql => tsql_operator_length(text),
    }
}

fn tsql_operator_length(text: &[u8]) -> usize {
    match text {
        [b'<', b'>' | b'=', ..] | [b'>', b'=', ..] | [b'!', b'=' | b'<' | b'>', ..] => 2,
        [b'+' | b'-' | b'*' | b'/', b'=', ..] => 2,
        _ => 1,
    }
}

/// Returns the length of the longest run of operator characters that does not contain the start of a comment,
/// and does not end in a sign that PostgreSQL reads separately.
fn postgres_operator_length(text: &[u8]) -> usize {
    let mut length = text.iter().take_while(|byte| POSTGRES_OPERATOR.contains(byte)).count();
    let comment = text[..length].windows(2).position(|pair| matches!(pair, b"--" | b"/*"));
    length = comment.unwrap_or(length).max(1);
    let allows_final_sign = text[..length].iter().any(|byte| POSTGRES_ALLOWS_FINAL_SIGN.contains(byte));
    while length > 1 && !allows_final_sign && matches!(text[length - 1], b'+' | b'-') {
        length -= 1;
    }
    length
}
