//! The effects of the statements in the corpus. The exact effect is required, although `unknown` would be as
//! safe as `write`.

mod support;

use comethitch_statement::lexer::MAX_STATEMENT_BYTES;
use comethitch_statement::{Dialect, Effect, Verdict};
use serde::Deserialize;
use support::{corpus_lines, verdict};

#[derive(Deserialize)]
struct Row {
    effect: Effect,
    sql: String,
}

fn corpus(dialect: Dialect) -> Vec<Row> {
    corpus_lines(dialect).map(|line| serde_json::from_str(line).expect(line)).collect()
}

#[test]
fn corpus_statements_get_the_expected_effect() {
    let mut mismatches = Vec::new();
    let mut rows = 0;
    let mut reads = 0;
    for dialect in [Dialect::Postgres, Dialect::Tsql] {
        for row in corpus(dialect) {
            let Verdict { effect, reason, .. } = verdict(dialect, row.sql.as_bytes());
            rows += 1;
            reads += usize::from(row.effect == Effect::Read);
            if effect != row.effect {
                mismatches.push(format!("{dialect:?}: {:?} is {effect:?}: {reason}", row.sql));
            }
            if (effect == Effect::Read) != reason.is_empty() {
                mismatches.push(format!("{:?}: {effect:?} with the reason {reason:?}", row.sql));
            }
        }
    }
    assert!(mismatches.is_empty(), "{} of {rows}:\n{}", mismatches.len(), mismatches.join("\n"));
    assert!(rows >= 250 && reads * 3 >= rows, "{reads} reads of {rows} rows");
}

#[test]
fn long_or_deeply_nested_statements_are_never_reads() {
    let many = |part: &str| part.repeat(MAX_STATEMENT_BYTES / part.len());
    let nested = |open: &str, close: &str, depth: usize| {
        format!("SELECT {}1{}", open.repeat(depth), close.repeat(depth))
    };
    for dialect in [Dialect::Postgres, Dialect::Tsql] {
        let texts = [
            many("("),
            many(")"),
            many("SELECT "),
            format!("SELECT {}", many("1+")),
            format!("SELECT {}", many("-")),
            format!("SELECT {}1", many("NOT ")),
            many("/*"),
            many("$a$"),
            many("'\\'"),
            many("a."),
            many("(1),"),
            nested("(", ")", 250),
            nested("(SELECT ", ")", 100),
            format!("SELECT * FROM {}t{}", "(".repeat(19), ")".repeat(18)),
        ];
        for text in texts {
            let effect = verdict(dialect, text.as_bytes()).effect;
            assert_ne!(effect, Effect::Read, "{}", &text[..text.len().min(60)]);
        }
        for bytes in [&b"SELECT '\xff'"[..], b"SELECT a\xc3 FROM t", b"SELECT 1\0DELETE"] {
            assert!(!verdict(dialect, bytes).effect.may_run_on_replica());
        }
    }
}

#[test]
fn longest_parsed_operator_chain_does_not_overflow_the_stack() {
    let chain = |length: usize| format!("SELECT {}1", "1+".repeat(length));
    assert_eq!(verdict(Dialect::Postgres, chain(990).as_bytes()).effect, Effect::Read);
    assert_eq!(verdict(Dialect::Postgres, chain(1_010).as_bytes()).effect, Effect::Unknown);
}
