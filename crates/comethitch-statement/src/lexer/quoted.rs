//! Strings, quoted names and PostgreSQL's dollar-quoted strings.

use super::characters::{is_word_byte, run_end};
use super::comments::line_end;
use super::scanned::Scanned;
use super::token::LiteralForm;
use crate::Dialect;

/// The start of a string literal.
pub(super) struct StringStart {
    /// The offset of the literal, including its prefix.
    pub start: usize,
    /// The offset of the opening quote.
    pub quote: usize,
    /// The notation, given by the prefix.
    pub form: LiteralForm,
    /// Whether backslashes escape regardless of the server's settings.
    pub escapes: bool,
}

/// How backslashes and line breaks in strings are read.
#[derive(Clone, Copy)]
pub(super) struct StringRules {
    pub dialect: Dialect,
    /// Whether backslashes escape in every string, as with `standard_conforming_strings` off.
    pub backslash_escapes: bool,
}

/// The end of a string literal.
pub(super) struct ScannedString {
    pub scanned: Scanned,
    /// The notation; special if the string has continuations.
    pub form: LiteralForm,
    /// Whether the string has a quote after a backslash that does not escape it in the SQL standard.
    pub backslash_before_quote: bool,
}

/// Scans a string and its continuations on further lines.
pub(super) fn scan_string(text: &[u8], string: &StringStart, rules: StringRules) -> ScannedString {
    let mut form = string.form;
    let mut backslash_before_quote = false;
    let mut at = string.quote + 1;
    let scanned = loop {
        match text.get(at) {
            Some(b'\'') if text.get(at + 1) == Some(&b'\'') => at += 2,
            Some(b'\'') => match continuation(text, at + 1, rules.dialect) {
                Some(next) => {
                    at = next;
                    form = LiteralForm::Special;
                }
                None => break Scanned::unambiguous(at + 1),
            },
            Some(b'\\') if string.escapes || rules.backslash_escapes && form == LiteralForm::Text => {
                at += 2;
            }
            Some(b'\\') => {
                let end = run_end(text, at, |byte| byte == b'\\');
                let would_escape_quote = (end - at) % 2 == 1 && text.get(end) == Some(&b'\'');
                backslash_before_quote |= rules.dialect == Dialect::Postgres && would_escape_quote;
                at = end;
            }
            Some(_) => at += 1,
            None => break Scanned::unterminated(text),
        }
    };
    ScannedString { scanned, form, backslash_before_quote }
}

/// Returns where a string that ended before `at` continues, which is after the next quote, if only white
/// space and comments with at least one line end are in between.
fn continuation(text: &[u8], mut at: usize, dialect: Dialect) -> Option<usize> {
    if dialect != Dialect::Postgres {
        return None;
    }
    let mut line_ended = false;
    loop {
        match text.get(at)? {
            b'\n' | b'\r' => line_ended = true,
            b' ' | b'\t' | 0x0c => {}
            b'-' if text.get(at + 1) == Some(&b'-') => {
                at += line_end(&text[at..])?;
                line_ended = true;
            }
            b'\'' if line_ended => return Some(at + 1),
            _ => return None,
        }
        at += 1;
    }
}

/// Scans a quoted name with its opening quote at `quote`, in which a doubled closing quote stands for one.
pub(super) fn scan_quoted_name(text: &[u8], quote: usize, close: u8) -> Scanned {
    let mut at = quote + 1;
    loop {
        match text.get(at) {
            Some(byte) if *byte == close && text.get(at + 1) == Some(&close) => at += 2,
            Some(byte) if *byte == close => return Scanned::unambiguous(at + 1),
            Some(_) => at += 1,
            None => return Scanned::unterminated(text),
        }
    }
}

/// Scans `$tag$ … $tag$`. Returns `None` if the text at `start` is not an opening tag.
pub(super) fn scan_dollar_quoted(text: &[u8], start: usize) -> Option<Scanned> {
    let tag_end = run_end(text, start + 1, |byte| is_word_byte(byte) && byte != b'$');
    if text.get(tag_end) != Some(&b'$') {
        return None;
    }
    let body = tag_end + 1;
    let delimiter = &text[start..body];
    // Compares at each `$` only, so that the search stays linear in the text with repeated partial matches.
    let mut end = body;
    while let Some(next) = text[end..].iter().position(|byte| *byte == b'$') {
        end += next + 1;
        let closing = end.checked_sub(delimiter.len()).filter(|closing| *closing >= body);
        if closing.is_some_and(|closing| &text[closing..end] == delimiter) {
            return Some(Scanned::unambiguous(end));
        }
    }
    Some(Scanned::unterminated(text))
}
