//! Numeric literals: decimal with fraction and exponent, hexadecimal, octal and binary.

use super::characters::{run_end, word_byte_test};
use super::{Ambiguity, Lexer, LiteralForm, TokenKind};
use crate::Dialect;

impl Lexer {
    /// Reads a number. Returns its end.
    pub(super) fn read_number(&mut self, text: &[u8], at: usize) -> usize {
        let end = self.number_end(text, at).min(text.len());
        let is_word_byte = word_byte_test(self.dialect);
        if text.get(end).is_some_and(|byte| is_word_byte(*byte)) {
            self.mark_ambiguous(Ambiguity::Number);
        }
        self.drop_sign();
        self.push_literal(LiteralForm::Number, at..end);
        end
    }

    fn number_end(&self, text: &[u8], at: usize) -> usize {
        let base = text.get(at + 1).filter(|_| text[at] == b'0').map(u8::to_ascii_lowercase);
        match base {
            Some(b'x') => run_end(text, at + 2, |byte| byte.is_ascii_hexdigit() || byte == b'_'),
            Some(b'o' | b'b') if self.dialect == Dialect::Postgres => run_end(text, at + 2, is_digit),
            _ => decimal_end(text, at),
        }
    }

    /// Drops a sign that belongs to the following number, so that `b = -1` has the shape of `b = 1`.
    fn drop_sign(&mut self) {
        let [.., before, sign] = self.tokens[..] else { return };
        let is_sign = sign.kind == TokenKind::Symbol && matches!(self.bytes(sign), b"-" | b"+");
        let is_binary_operator =
            before.kind != TokenKind::Symbol || matches!(self.bytes(before), b")" | b"]" | b"*");
        if is_sign && !is_binary_operator {
            self.pop_token();
        }
    }
}

fn is_digit(byte: u8) -> bool {
    byte.is_ascii_digit() || byte == b'_'
}

fn decimal_end(text: &[u8], at: usize) -> usize {
    let mut end = run_end(text, at, is_digit);
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
