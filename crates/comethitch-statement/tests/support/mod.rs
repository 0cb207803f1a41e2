//! Helpers shared by the tests: the corpus, and a statement's verdict without a catalogue.

use comethitch_statement::{Catalogue, Classifier, Dialect, Lexer, Verdict};

/// Returns the lines of a dialect's corpus, each a JSON object with the statement and its effect.
pub(crate) fn corpus_lines(dialect: Dialect) -> impl Iterator<Item = &'static str> {
    let text = match dialect {
        Dialect::Postgres => include_str!("../corpus/postgres.jsonl"),
        Dialect::Tsql => include_str!("../corpus/tsql.jsonl"),
    };
    text.lines()
}

/// Classifies a statement without a catalogue.
pub(crate) fn verdict(dialect: Dialect, text: &[u8]) -> Verdict {
    let mut lexer = Lexer::new(dialect);
    let catalogue = Catalogue::default();
    lexer.tokenize(text);
    Classifier::new(dialect, &catalogue).classify(&lexer)
}
