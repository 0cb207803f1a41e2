//! Line comments and nested block comments.

use super::characters::has_unicode_line_end;
use super::{Ambiguity, Lexer};
use crate::Dialect;

impl Lexer {
    /// Skips a comment that begins with `--`. Returns the end of its line.
    pub(super) fn skip_line_comment(&mut self, text: &[u8], at: usize) -> usize {
        let end = line_end(&text[at..]).map_or(text.len(), |length| at + length);
        if self.dialect == Dialect::Tsql {
            // Servers differ on whether a lone carriage return, or a line end beyond ASCII, ends the comment.
            let is_lone_return = text.get(end) == Some(&b'\r') && text.get(end + 1) != Some(&b'\n');
            let comment = &text[at..end];
            if is_lone_return || !comment.is_ascii() && has_unicode_line_end(comment) {
                self.mark_ambiguous(Ambiguity::Character);
            }
        }
        end
    }

    /// Skips a comment that begins with `/*`, including nested comments. Returns its end.
    pub(super) fn skip_block_comment(&mut self, text: &[u8], start: usize) -> usize {
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
                (None, _) => return self.unterminated(text),
            }
        }
        at
    }
}

/// Returns the index of the first line end.
pub(super) fn line_end(text: &[u8]) -> Option<usize> {
    text.iter().position(|byte| matches!(byte, b'\n' | b'\r'))
}
