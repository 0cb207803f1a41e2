//! Strings, quoted names and PostgreSQL's dollar-quoted strings.

use super::characters::{is_word_byte, run_end};
use super::comments::line_end;
use super::{Ambiguity, Lexer, LiteralForm, TokenKind};
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

impl Lexer {
    /// Reads a string and its continuations on further lines. Returns its end.
    pub(super) fn read_string(&mut self, text: &[u8], string: StringStart) -> usize {
        let mut form = string.form;
        let mut at = string.quote + 1;
        let end = loop {
            match text.get(at) {
                Some(b'\'') if text.get(at + 1) == Some(&b'\'') => at += 2,
                Some(b'\'') => match self.continuation(text, at + 1) {
                    Some(next) => {
                        at = next;
                        form = LiteralForm::Special;
                    }
                    None => break at + 1,
                },
                Some(b'\\') if string.escapes || self.backslash_escapes && form == LiteralForm::Text => {
                    at += 2;
                }
                Some(b'\\') => at = self.skip_plain_backslashes(text, at),
                Some(_) => at += 1,
                None => break self.unterminated(text),
            }
        };
        self.push_literal(form, string.start..end);
        end
    }

    /// Skips backslashes that do not escape, and records whether one would escape a quote under other settings.
    fn skip_plain_backslashes(&mut self, text: &[u8], at: usize) -> usize {
        let end = run_end(text, at, |byte| byte == b'\\');
        let would_escape_quote = (end - at) % 2 == 1 && text.get(end) == Some(&b'\'');
        self.backslash_before_quote |= self.dialect == Dialect::Postgres && would_escape_quote;
        end
    }

    /// Returns where a string that ended before `at` continues: after the next quote, if only white space and comments
    /// with at least one line end are in between.
    fn continuation(&self, text: &[u8], mut at: usize) -> Option<usize> {
        if self.dialect != Dialect::Postgres {
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

    /// Reads a quoted name that begins at `start` with its opening quote at `quote`, in which a doubled closing quote
    /// stands for one. Returns its end.
    pub(super) fn read_quoted_name(&mut self, text: &[u8], start: usize, quote: usize, close: u8) -> usize {
        let mut at = quote + 1;
        let end = loop {
            match text.get(at) {
                Some(byte) if *byte == close && text.get(at + 1) == Some(&close) => at += 2,
                Some(byte) if *byte == close => break at + 1,
                Some(_) => at += 1,
                None => break self.unterminated(text),
            }
        };
        self.push_token(TokenKind::Quoted, &text[start..end]);
        end
    }

    /// Reads `$tag$ … $tag$`. Returns its end.
    pub(super) fn read_dollar_quoted(&mut self, text: &[u8], at: usize) -> usize {
        let tag_end = run_end(text, at + 1, |byte| is_word_byte(byte) && byte != b'$');
        if text.get(tag_end) != Some(&b'$') {
            self.mark_ambiguous(Ambiguity::Character);
            return at + 1;
        }
        let body = tag_end + 1;
        let delimiter = &text[at..body];
        // Compares at each `$` only, so that the search stays linear in the text with repeated partial matches.
        let mut end = body;
        while let Some(next) = text[end..].iter().position(|byte| *byte == b'$') {
            end += next + 1;
            let closing = end.checked_sub(delimiter.len()).filter(|closing| *closing >= body);
            if closing.is_some_and(|closing| &text[closing..end] == delimiter) {
                self.push_literal(LiteralForm::Special, at..end);
                return end;
            }
        }
        let end = self.unterminated(text);
        self.push_literal(LiteralForm::Special, at..end);
        end
    }

    /// Marks the statement as unterminated. Returns the end of the text.
    pub(super) fn unterminated(&mut self, text: &[u8]) -> usize {
        self.mark_ambiguous(Ambiguity::Unterminated);
        text.len()
    }
}
