//! Line comments and nested block comments.

use super::ambiguity::Ambiguity;
use super::characters::has_unicode_line_end;
use super::scanned::Scanned;
use crate::Dialect;

/// Scans a comment that begins with `--`, up to the end of its line.
pub(super) fn scan_line_comment(text: &[u8], start: usize, dialect: Dialect) -> Scanned {
    let end = line_end(&text[start..]).map_or(text.len(), |length| start + length);
    if dialect != Dialect::Tsql {
        return Scanned::unambiguous(end);
    }
    // Servers differ on whether a lone carriage return, or a non-ASCII line end, ends the comment.
    let is_lone_return = text.get(end) == Some(&b'\r') && text.get(end + 1) != Some(&b'\n');
    let comment = &text[start..end];
    let is_ambiguous = is_lone_return || !comment.is_ascii() && has_unicode_line_end(comment);
    Scanned { end, ambiguity: is_ambiguous.then_some(Ambiguity::Character) }
}

/// Scans a comment that begins with `/*`, including nested comments.
pub(super) fn scan_block_comment(text: &[u8], start: usize) -> Scanned {
    let mut depth = 1;
    let mut at = start + 2;
    while depth > 0 {
        match (text.get(at), text.get(at + 1)) {
            (Some(b'*'), Some(b'/')) => {
                depth -= 1;
                at += 2;
            }
            (Some(b'/'), Some(b'*')) => {
                depth += 1;
                at += 2;
            }
            (Some(_), _) => at += 1,
            (None, _) => return Scanned::unterminated(text),
        }
    }
    Scanned::unambiguous(at)
}

/// Returns the index of the first line end.
pub(super) fn line_end(text: &[u8]) -> Option<usize> {
    text.iter().position(|byte| matches!(byte, b'\n' | b'\r'))
}
