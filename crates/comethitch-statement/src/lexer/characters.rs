//! Character classes of both dialects.

use crate::Dialect;

/// Returns whether a byte may be part of an unquoted name in PostgreSQL. Non-ASCII bytes are checked as
/// characters later, by [`is_name_text`].
pub(super) fn is_word_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$') || byte >= 0x80
}

/// Returns whether a byte may be part of an unquoted name in T-SQL.
pub(super) fn is_tsql_word_byte(byte: u8) -> bool {
    is_word_byte(byte) || matches!(byte, b'@' | b'#')
}

/// Returns the test for bytes of unquoted names in a dialect.
pub(super) fn word_byte_test(dialect: Dialect) -> fn(u8) -> bool {
    match dialect {
        Dialect::Postgres => is_word_byte,
        Dialect::Tsql => is_tsql_word_byte,
    }
}

/// Returns whether an unquoted name may begin with a byte.
pub(super) fn is_word_start(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

/// Returns the end of the run of bytes from `start` that meet a condition.
pub(super) fn run_end(text: &[u8], start: usize, condition: impl Fn(u8) -> bool) -> usize {
    start + text.get(start..).unwrap_or_default().iter().take_while(|byte| condition(**byte)).count()
}

/// Returns whether every server accepts all characters in a name. Some servers read other non-ASCII
/// characters as white space.
pub(super) fn is_name_text(name: &[u8]) -> bool {
    if name.is_ascii() {
        return true;
    }
    let text = std::str::from_utf8(name).unwrap_or_default();
    !text.is_empty() && text.chars().all(|c| c.is_alphanumeric() || "_$@#".contains(c))
}

/// Returns whether a text contains a non-ASCII line end, or is not UTF-8 and so may contain one.
pub(super) fn has_unicode_line_end(text: &[u8]) -> bool {
    let text = std::str::from_utf8(text).unwrap_or("\u{85}");
    text.contains(['\u{85}', '\u{2028}', '\u{2029}'])
}
