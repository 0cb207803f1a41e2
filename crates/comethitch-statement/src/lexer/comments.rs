//! Comments: to the end of a line, and in blocks that may be nested.

use super::characters::has_unicode_line_end;
use super::{Ambiguity, Lexer};
use crate::Dialect;

impl Lexer {
    /// Skips a comment from `--` on; returns where its line ends.
    pub(super) fn skip_line_comment(&mut self, text: &[u8], at: usize) -> usize {
        let end = line_end(&text[at..]).map_or(text.len(), |length| at + length);
        if self.dialect == Dialect::Tsql {
            // Whether a lone carriage return, or a line end beyond ASCII, ends the comment is not certain.
            let lone = text.get(end) == Some(&b'\r') && text.get(end + 1) != Some(&b'\n');
            let comment = &text[at..end];
            if lone || !comment.is_ascii() && has_unicode_line_end(comment) {
                self.mark_ambiguous(Ambiguity::Character);
            }
        }
        end
    }

    /// Skips a comment from `/*` on, with those nested in it; returns where it ends.
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

/// The place of the first line end.
pub(super) fn line_end(text: &[u8]) -> Option<usize> {
    text.iter().position(|byte| matches!(byte, b'\n' | b'\r'))
}
