//! Numeric literals: decimal with fraction and exponent, hexadecimal, octal and binary.

use super::ambiguity::Ambiguity;
use super::characters::{run_end, word_byte_test};
use super::scanned::Scanned;
use crate::Dialect;

/// Scans a number.
pub(super) fn scan_number(text: &[u8], start: usize, dialect: Dialect) -> Scanned {
    let end = number_end(text, start, dialect).min(text.len());
    let is_word_byte = word_byte_test(dialect);
    let is_followed_by_word = text.get(end).is_some_and(|byte| is_word_byte(*byte));
    Scanned { end, ambiguity: is_followed_by_word.then_some(Ambiguity::Number) }
}

fn number_end(text: &[u8], start: usize, dialect: Dialect) -> usize {
    let base = text.get(start + 1).filter(|_| text[start] == b'0').map(u8::to_ascii_lowercase);
    match base {
        Some(b'x') => run_end(text, start + 2, |byte| byte.is_ascii_hexdigit() || byte == b'_'),
        Some(b'o' | b'b') if dialect == Dialect::Postgres => run_end(text, start + 2, is_digit),
        _ => decimal_end(text, start),
    }
}

fn is_digit(byte: u8) -> bool {
    byte.is_ascii_digit() || byte == b'_'
}

fn decimal_end(text: &[u8], start: usize) -> usize {
    let mut end = run_end(text, start, is_digit);
    // Two dots are a range, as in a PL/pgSQL loop.
    if text.get(end) == Some(&b'.') && text.get(end + 1) != Some(&b'.') {
        end = run_end(text, end + 1, is_digit);
    }
    if matches!(text.get(end), Some(b'e' | b'E')) {
        let sign = usize::from(matches!(text.get(end + 1), Some(b'+' | b'-')));
        let digits = end + 1 + sign;
        let exponent_end = run_end(text, digits, is_digit);
        if exponent_end > digits {
            end = exponent_end;
        }
    }
    end
}
