//! Character classes of both dialects.

use crate::Dialect;

/// Whether a byte may stand in an unquoted name of PostgreSQL. Bytes beyond ASCII are checked as characters
/// later, by [`is_name_text`].
pub(super) fn is_word_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$') || byte >= 0x80
}

/// The same for T-SQL.
pub(super) fn is_tsql_word_byte(byte: u8) -> bool {
    is_word_byte(byte) || matches!(byte, b'@' | b'#')
}

/// The test for bytes of unquoted names in a dialect.
pub(super) fn word_byte_test(dialect: Dialect) -> fn(u8) -> bool {
    match dialect {
        Dialect::Postgres => is_word_byte,
        Dialect::Tsql => is_tsql_word_byte,
    }
}

/// Whether an unquoted name may begin with a byte.
pub(super) fn is_word_start(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

/// Where the run of bytes that pass a test ends, from `at` on.
pub(super) fn run_end(text: &[u8], at: usize, belongs: impl Fn(u8) -> bool) -> usize {
    at + text.get(at..).unwrap_or_default().iter().take_while(|byte| belongs(**byte)).count()
}

/// Whether all characters of a name are letters, digits or signs of names to every server. Some servers take
/// other characters beyond ASCII for white space.
pub(super) fn is_name_text(name: &[u8]) -> bool {
    if name.is_ascii() {
        return true;
    }
    let text = std::str::from_utf8(name).unwrap_or_default();
    !text.is_empty() && text.chars().all(|c| c.is_alphanumeric() || "_$@#".contains(c))
}

/// Whether a text holds a line end beyond ASCII, or may hold one as it is not UTF-8.
pub(super) fn has_unicode_line_end(text: &[u8]) -> bool {
    let text = std::str::from_utf8(text).unwrap_or("\u{85}");
    text.contains(['\u{85}', '\u{2028}', '\u{2029}'])
}
