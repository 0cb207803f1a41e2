//! Unquoted names, prefixed strings, parameters and operators.

use super::characters::{is_name_text, is_tsql_word_byte, is_word_byte, run_end, word_byte_test};
use super::quoted::StringStart;
use super::{Ambiguity, Lexer, LiteralForm, TokenKind};
use crate::Dialect;

/// The characters of PostgreSQL's operators.
pub(super) const POSTGRES_OPERATOR: &[u8] = b"+-*/<>=~!@#%^&|`?";
/// A PostgreSQL operator of several characters may end in `+` or `-` only if it contains one of these.
const POSTGRES_ALLOWS_FINAL_SIGN: &[u8] = b"~!@#%^&|`?";

impl Lexer {
    /// Reads an unquoted name, or a string or quoted name with a prefix. Returns its end.
    pub(super) fn read_word(&mut self, text: &[u8], at: usize) -> usize {
        let end = run_end(text, at, word_byte_test(self.dialect));
        let string = |quote, form, escapes| StringStart { start: at, quote, form, escapes };
        match (&text[at..end], text.get(end), self.dialect) {
            ([b'e' | b'E'], Some(b'\''), Dialect::Postgres) => {
                self.read_string(text, string(end, LiteralForm::Special, true))
            }
            ([b'b' | b'B' | b'x' | b'X'], Some(b'\''), Dialect::Postgres) => {
                self.read_string(text, string(end, LiteralForm::Special, false))
            }
            ([b'n' | b'N'], Some(b'\''), _) => self.read_string(text, string(end, LiteralForm::Text, false)),
            ([b'u' | b'U'], Some(b'&'), Dialect::Postgres) => match text.get(end + 1) {
                Some(b'\'') => self.read_string(text, string(end + 1, LiteralForm::Special, false)),
                Some(b'"') => self.read_quoted_name(text, at, end + 1, b'"'),
                _ => self.push_word(text, at, end),
            },
            _ => self.push_word(text, at, end),
        }
    }

    /// Reads a token that begins with `$`, `@`, `#` or `?`. Returns its end.
    pub(super) fn read_sigil(&mut self, text: &[u8], at: usize) -> usize {
        match self.dialect {
            Dialect::Postgres => self.read_postgres_sigil(text, at),
            Dialect::Tsql => self.read_tsql_sigil(text, at),
        }
    }

    /// Reads `$1`, a dollar-quoted string, or an operator.
    fn read_postgres_sigil(&mut self, text: &[u8], at: usize) -> usize {
        if text[at] != b'$' {
            return self.read_operator(text, at);
        }
        if !text.get(at + 1).is_some_and(u8::is_ascii_digit) {
            return self.read_dollar_quoted(text, at);
        }
        let end = run_end(text, at + 1, |byte| byte.is_ascii_digit());
        if text.get(end).is_some_and(|byte| is_word_byte(*byte)) {
            self.mark_ambiguous(Ambiguity::Number);
        }
        self.push_literal(LiteralForm::Parameter, at..end);
        end
    }

    /// Reads `?`, an amount of money, `$action`, `@@name`, `@parameter` or `#table`.
    fn read_tsql_sigil(&mut self, text: &[u8], at: usize) -> usize {
        let next = text.get(at + 1).copied().unwrap_or(0);
        match text[at] {
            b'?' => {
                self.push_literal(LiteralForm::Parameter, at..at + 1);
                at + 1
            }
            b'$' if next.is_ascii_digit() || next == b'.' => self.read_number(text, at + 1),
            b'$' => self.push_word(text, at, run_end(text, at + 1, is_word_byte)),
            b'@' if next == b'@' => self.push_word(text, at, run_end(text, at + 2, is_word_byte)),
            b'@' => {
                let end = run_end(text, at + 1, is_tsql_word_byte);
                self.check_name(&text[at..end]);
                self.push_literal(LiteralForm::Parameter, at..end);
                end
            }
            _ => self.push_word(text, at, run_end(text, at, is_tsql_word_byte)),
        }
    }

    /// Adds an unquoted name or variable in lower case. Returns its end.
    fn push_word(&mut self, text: &[u8], start: usize, end: usize) -> usize {
        self.check_name(&text[start..end]);
        self.push_token(TokenKind::Word, &text[start..end]);
        let shape_start = self.tokens.last().map_or(0, |token| token.start as usize);
        self.shape[shape_start..].make_ascii_lowercase();
        end
    }

    fn check_name(&mut self, name: &[u8]) {
        if !is_name_text(name) {
            self.mark_ambiguous(Ambiguity::Character);
        }
    }

    /// Reads an operator. Returns its end.
    pub(super) fn read_operator(&mut self, text: &[u8], at: usize) -> usize {
        let rest = &text[at..];
        let length = match self.dialect {
            Dialect::Postgres => postgres_operator_length(rest),
            Dialect::Tsql => tsql_operator_length(rest),
        };
        self.push_symbol(&rest[..length], at)
    }
}

fn tsql_operator_length(rest: &[u8]) -> usize {
    match rest {
        [b'<', b'>' | b'=', ..] | [b'>', b'=', ..] | [b'!', b'=' | b'<' | b'>', ..] => 2,
        [b'+' | b'-' | b'*' | b'/', b'=', ..] => 2,
        _ => 1,
    }
}

/// Returns the length of the longest run of operator characters that does not contain the start of a comment, and
/// does not end in a sign that PostgreSQL reads separately.
fn postgres_operator_length(rest: &[u8]) -> usize {
    let mut length = run_end(rest, 0, |byte| POSTGRES_OPERATOR.contains(&byte));
    let comment = rest[..length].windows(2).position(|two| matches!(two, b"--" | b"/*"));
    length = comment.unwrap_or(length).max(1);
    let allows_final_sign = rest[..length].iter().any(|byte| POSTGRES_ALLOWS_FINAL_SIGN.contains(byte));
    while length > 1 && !allows_final_sign && matches!(rest[length - 1], b'+' | b'-') {
        length -= 1;
    }
    length
}
