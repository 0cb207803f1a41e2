//! The values that the placeholders of a shape stand for in one statement.

use crate::lexer::{Lexer, Literal, LiteralForm};

/// Looks up the values of placeholders.
pub trait PlaceholderValues {
    /// Returns the values of a placeholder as text, or `None` if one of them is unknown.
    fn values(&self, placeholder: u32) -> Option<Vec<Vec<u8>>>;
}

/// The argument of a parameter, sent separately from the statement's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Argument {
    /// The parameter's name in lower case, without its sign.
    pub name: String,
    /// The value as text; `None` for values that have no comparable text form, such as nulls and dates.
    pub value: Option<Vec<u8>>,
}

/// The literals in a statement's text, and the arguments sent with it.
pub struct StatementValues<'a> {
    /// The lexer that has read the text.
    pub lexer: &'a Lexer,
    /// The statement's text.
    pub text: &'a [u8],
    /// The arguments of its parameters.
    pub arguments: &'a [Argument],
}

impl PlaceholderValues for StatementValues<'_> {
    fn values(&self, placeholder: u32) -> Option<Vec<Vec<u8>>> {
        let literals = self.lexer.literals().iter().filter(|literal| literal.placeholder == placeholder);
        let values: Option<Vec<Vec<u8>>> = literals.map(|literal| self.value(literal)).collect();
        values.filter(|values| !values.is_empty())
    }
}

impl StatementValues<'_> {
    fn value(&self, literal: &Literal) -> Option<Vec<u8>> {
        let start = literal.range.start as usize;
        let text = self.text.get(start..literal.range.end as usize)?;
        match literal.form {
            LiteralForm::Number => self.plain_number(text, start),
            LiteralForm::Text => unquote(text),
            LiteralForm::Parameter => self.argument(text),
            LiteralForm::Special => None,
        }
    }

    /// Returns the text of an unsigned decimal integer without leading zeros. Other notations are not
    /// accepted, since they write the same number as another text, which would have another hash.
    fn plain_number(&self, text: &[u8], start: usize) -> Option<Vec<u8>> {
        let before = self.text[..start].trim_ascii_end().last();
        let is_signed = matches!(before, Some(b'-' | b'+'));
        let is_plain = text.iter().all(u8::is_ascii_digit) && (text.len() == 1 || text[0] != b'0');
        (is_plain && !is_signed).then(|| text.to_vec())
    }

    fn argument(&self, parameter: &[u8]) -> Option<Vec<u8>> {
        let name = std::str::from_utf8(parameter).ok()?.trim_start_matches(['@', '$']).to_lowercase();
        self.arguments.iter().find(|argument| argument.name == name)?.value.clone()
    }
}

/// Returns the value of a single-quoted string, in which a doubled quote stands for one.
fn unquote(text: &[u8]) -> Option<Vec<u8>> {
    let opening = text.iter().position(|byte| *byte == b'\'')?;
    let inner = text[opening + 1..].strip_suffix(b"'")?;
    let mut value = Vec::with_capacity(inner.len());
    let mut bytes = inner.iter();
    while let Some(byte) = bytes.next() {
        value.push(*byte);
        if *byte == b'\'' {
            bytes.next();
        }
    }
    Some(value)
}
