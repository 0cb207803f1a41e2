//! Statements with the verdict that each must get. A row's effect is what the router may make of it: for one
//! that writes, `unknown` would be as safe, and is distinguished all the same.

mod support;

use comethitch_statement::lexer::MAX_STATEMENT_BYTES;
use comethitch_statement::{Dialect, Effect};
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
fn each_statement_gets_its_verdict() {
    let mut wrong = Vec::new();
    let mut rows = 0;
    let mut reads = 0;
    for dialect in [Dialect::Postgres, Dialect::Tsql] {
        for row in corpus(dialect) {
            let found = verdict(dialect, row.sql.as_bytes());
            rows += 1;
            reads += usize::from(row.effect == Effect::Read);
            if found.effect != row.effect {
                wrong.push(format!("{dialect:?}: {:?} is {:?}: {}", row.sql, found.effect, found.reason));
            }
            if (found.effect == Effect::Read) != found.reason.is_empty() {
                wrong.push(format!("{:?}: {:?} with the reason {:?}", row.sql, found.effect, found.reason));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {rows}:\n{}", wrong.len(), wrong.join("\n"));
    assert!(rows >= 250 && reads * 3 >= rows, "{reads} reads of {rows} rows");
}

#[test]
fn long_and_deep_statements_end_in_time_and_are_no_reads() {
    let many = |part: &str| part.repeat(MAX_STATEMENT_BYTES / part.len());
    let deep = |open: &str, close: &str, n: usize| format!("SELECT {}1{}", open.repeat(n), close.repeat(n));
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
            deep("(", ")", 250),
            deep("(SELECT ", ")", 100),
            format!("SELECT * FROM {}t{}", "(".repeat(19), ")".repeat(18)),
        ];
        for text in texts {
            let found = verdict(dialect, text.as_bytes());
            assert_ne!(found.effect, Effect::Read, "{}", &text[..text.len().min(60)]);
        }
        for bytes in [&b"SELECT '\xff'"[..], b"SELECT a\xc3 FROM t", b"SELECT 1\0DELETE"] {
            assert!(!verdict(dialect, bytes).effect.may_run_on_replica());
        }
    }
}

#[test]
fn a_chain_as_long_as_is_parsed_fits_the_stack() {
    let chain = |length: usize| format!("SELECT {}1", "1+".repeat(length));
    assert_eq!(verdict(Dialect::Postgres, chain(990).as_bytes()).effect, Effect::Read);
    assert_eq!(verdict(Dialect::Postgres, chain(1_010).as_bytes()).effect, Effect::Unknown);
}
