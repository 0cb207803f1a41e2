//! Which statements share a shape, which tables and column values a verdict lists, and properties of verdicts
//! on generated texts.

mod support;

use comethitch_statement::lexer::{LiteralForm, TokenKind};
use comethitch_statement::{Dialect, Effect, Lexer};
use proptest::prelude::*;
use serde_json::Value;
use support::{corpus_lines, verdict};

fn shape(dialect: Dialect, text: &str) -> Vec<u8> {
    let mut lexer = Lexer::new(dialect);
    lexer.tokenize(text.as_bytes());
    lexer.shape().to_vec()
}

#[test]
fn shape_ignores_literals_case_comments_and_white_space() {
    let same_shape = [
        (
            Dialect::Postgres,
            vec!["b = 1", "B=2 -- x", "b = $1", "/* y */ b\n=\t'z'", "b = -3", "b=$$q$$", "b = E'\\'';"],
        ),
        (Dialect::Postgres, vec!["a IN (1)", "a in (1, 2, 3)", "A IN ('x','y')", "a IN (-1, -2)"]),
        (Dialect::Postgres, vec!["VALUES (1, 'a')", "VALUES (1, 'a'), (2, 'b')", "values (1,2),(3,4),(5,6)"]),
        (Dialect::Postgres, vec!["VALUES (1, now())", "VALUES (1, now()), (2, NOW())"]),
        (Dialect::Postgres, vec!["ARRAY[1]", "array[1, 2]"]),
        (Dialect::Postgres, vec!["x = 'a'", "x = 'a'\n'b'", "x = 'a' -- c\n 'b'"]),
        (Dialect::Tsql, vec!["b = 1", "B=@p1 -- x", "b = ?", "b = N'it''s'", "b = $3.50", "b = 0xFF"]),
    ];
    for (dialect, texts) in same_shape {
        for text in &texts {
            assert_eq!(shape(dialect, text), shape(dialect, texts[0]), "{text:?} as {:?}", texts[0]);
        }
    }
    let different_shapes = [
        ("\"T\"", "t"),
        ("\"T\"", "\"t\""),
        ("a = b", "a = 'b'"),
        ("f(1)", "f(1, 2)"),
        ("a IN (1)", "a IN (b)"),
        ("a - 1", "a 1"),
        ("VALUES (1), (b)", "VALUES (1)"),
        ("VALUES (1, 2)", "VALUES (1), (2)"),
        ("a.b", "a,b"),
        ("a ? 'b'", "a = 'b'"),
        ("a || 'b'", "a | 'b'"),
    ];
    for (one, other) in different_shapes {
        assert_ne!(shape(Dialect::Postgres, one), shape(Dialect::Postgres, other), "{one:?} and {other:?}");
    }
    // A quoted name that contains the placeholder byte is not a placeholder.
    assert_ne!(shape(Dialect::Postgres, "a = \"\u{1}\""), shape(Dialect::Postgres, "a = 1"));
}

#[test]
fn literals_report_their_range_and_shared_placeholder() {
    let text = "INSERT INTO t (a, b) VALUES (1, 'x'), (2, 'y') ON CONFLICT (a) DO UPDATE SET b = 'z'";
    let mut lexer = Lexer::new(Dialect::Postgres);
    lexer.tokenize(text.as_bytes());
    let literals: Vec<(u32, LiteralForm, &str)> = lexer
        .literals()
        .iter()
        .map(|literal| {
            (
                literal.placeholder,
                literal.form,
                &text[literal.range.start as usize..literal.range.end as usize],
            )
        })
        .collect();
    let expected = [
        (0, LiteralForm::Number, "1"),
        (1, LiteralForm::Text, "'x'"),
        (0, LiteralForm::Number, "2"),
        (1, LiteralForm::Text, "'y'"),
        (2, LiteralForm::Text, "'z'"),
    ];
    assert_eq!(literals, expected);
    let placeholders = lexer.tokens().iter().filter(|token| token.kind == TokenKind::Placeholder).count();
    assert_eq!(placeholders, 3);
}

#[test]
fn table_uses_list_columns_compared_with_values() {
    let uses_of = |text: &str| -> Vec<String> {
        let verdict = verdict(Dialect::Postgres, text.as_bytes());
        assert!(verdict.parsed, "{text}: {}", verdict.reason);
        let mut uses: Vec<String> = verdict
            .table_uses
            .iter()
            .map(|table_use| {
                let keys = table_use.keys.iter().map(|key| format!("{}={:?}", key.column, key.placeholders));
                format!("{}({})", table_use.table, keys.collect::<Vec<_>>().join(" "))
            })
            .collect();
        uses.sort();
        uses
    };
    let cases: [(&str, &[&str]); 19] = [
        ("SELECT x FROM t WHERE a = 5 AND b > 6", &["t(a=[0])"]),
        ("SELECT x FROM t WHERE 5 = a OR b = 6", &["t()"]),
        ("SELECT x FROM t WHERE NOT a = 5", &["t()"]),
        ("SELECT x FROM t WHERE a IN (5, 6) AND (b = 7)", &["t(a=[0] b=[1])"]),
        ("SELECT x FROM t WHERE a = 5::bigint", &["t(a=[0])"]),
        ("SELECT x FROM t x JOIN u y ON x.a = y.a WHERE x.a = 5", &["t(a=[0])", "u(a=[0])"]),
        ("SELECT x FROM t, u WHERE t.a = u.b AND u.b = 5", &["t(a=[0])", "u(b=[0])"]),
        ("SELECT x FROM t LEFT JOIN u ON t.a = u.a WHERE t.a = 5", &["t(a=[0])", "u(a=[0])"]),
        // The condition of a left join does not restrict the rows of the left side.
        ("SELECT x FROM t LEFT JOIN u ON t.a = u.a AND u.a = 5", &["t()", "u(a=[0])"]),
        ("SELECT x FROM t FULL JOIN u ON t.a = u.a AND t.a = 5", &["t()", "u()"]),
        ("SELECT x FROM t, u WHERE a = 5", &["t()", "u()"]),
        ("WITH c AS (SELECT a FROM t WHERE a = 5) SELECT * FROM c", &["t(a=[0])"]),
        // Within the query of a CTE its name still refers to the table.
        ("WITH t AS (SELECT a FROM t) SELECT * FROM t", &["t()"]),
        ("WITH RECURSIVE t AS (SELECT a FROM u UNION SELECT a FROM t) SELECT * FROM t", &["u()"]),
        ("SELECT (SELECT max(b) FROM u WHERE u.a = 5) FROM t WHERE t.a = 6", &["t(a=[1])", "u(a=[0])"]),
        ("UPDATE t SET b = 1 WHERE a = 5", &["t(a=[1])"]),
        ("UPDATE t SET a = 1 WHERE a = 5", &["t()"]),
        ("DELETE FROM s.t WHERE a = 5", &["s.t(a=[0])"]),
        ("INSERT INTO t (b, a) VALUES (1, 2), (3, 4)", &["t(b=[0] a=[1])"]),
    ];
    for (text, expected) in cases {
        assert_eq!(uses_of(text), expected, "{text}");
    }
}

/// Returns the texts of the corpus that can be rewritten without changing their shape: adjacent literals
/// could merge, and a rewritten ambiguous text may be unambiguous.
fn rewritable_texts(dialect: Dialect) -> Vec<String> {
    let rows = corpus_lines(dialect).map(|line| serde_json::from_str::<Value>(line).expect(line));
    let texts = rows.map(|row| row["sql"].as_str().expect("the field sql is a string").to_string());
    let mut lexer = Lexer::new(dialect);
    texts
        .filter(|text| {
            lexer.tokenize(text.as_bytes());
            let mut pairs = lexer.tokens().windows(2);
            let has_adjacent_literals =
                pairs.any(|pair| pair.iter().all(|token| token.kind == TokenKind::Placeholder));
            lexer.ambiguity().is_none() && !has_adjacent_literals
        })
        .collect()
}

/// How one token is rewritten.
#[derive(Clone, Copy, Debug)]
struct TokenStyle {
    /// Selects the white space or comment before the token.
    space: u8,
    /// The letters of a word that become upper case, one per bit.
    uppercase: u64,
    /// Selects the literal in place of a placeholder.
    literal: u8,
}

fn token_styles() -> impl Strategy<Value = Vec<TokenStyle>> {
    let style = any::<(u8, u64, u8)>().prop_map(|(space, uppercase, literal)| TokenStyle {
        space,
        uppercase,
        literal,
    });
    prop::collection::vec(style, 1..40)
}

/// Rewrites a statement with other white space, case, comments and literals.
fn rewrite(dialect: Dialect, text: &str, styles: &[TokenStyle]) -> String {
    let mut lexer = Lexer::new(dialect);
    lexer.tokenize(text.as_bytes());
    let mut rewritten = String::new();
    for (token, style) in lexer.tokens().iter().zip(styles.iter().cycle()) {
        rewritten += separator(style.space);
        let bytes = std::str::from_utf8(lexer.bytes(*token)).expect("the token is UTF-8");
        match token.kind {
            TokenKind::Word => rewritten.extend(change_case(bytes, style.uppercase)),
            TokenKind::Placeholder => rewritten += literal(dialect, style.literal),
            TokenKind::Quoted | TokenKind::Symbol => rewritten += bytes,
        }
    }
    rewritten
}

fn separator(choice: u8) -> &'static str {
    match choice % 7 {
        0 => "\n",
        1 => "\t \r\n",
        2 => " /* DELETE FROM t; ' */ ",
        3 => " -- ; DROP TABLE t '\n",
        4 => "/* a /* nested */ \" */",
        _ => " ",
    }
}

fn change_case(word: &str, uppercase: u64) -> impl Iterator<Item = char> {
    let is_uppercase = move |index: usize| uppercase >> (index % 64) & 1 == 1;
    let letters = word.chars().enumerate();
    letters.map(move |(index, c)| if is_uppercase(index) { c.to_ascii_uppercase() } else { c })
}

fn literal(dialect: Dialect, choice: u8) -> &'static str {
    match (dialect, choice % 8) {
        (_, 0) => "42",
        (_, 1) => "'x'",
        (_, 2) => "'it''s -- no comment /*'",
        (_, 3) => "1.5e-3",
        (Dialect::Postgres, 4) => "$q$ ; DELETE FROM t $q$",
        (Dialect::Postgres, 5) => "E'\\' ; DROP'",
        (Dialect::Postgres, 6) => "$17",
        (Dialect::Tsql, 4) => "N'; DELETE FROM t'",
        (Dialect::Tsql, 5) => "@p1",
        (Dialect::Tsql, 6) => "0xAB",
        _ => "''",
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rewritten_statement_keeps_its_shape_and_verdict(
        pick in any::<prop::sample::Index>(), tsql in any::<bool>(),
        styles in token_styles(),
    ) {
        let dialect = if tsql { Dialect::Tsql } else { Dialect::Postgres };
        let texts = rewritable_texts(dialect);
        let text = &texts[pick.index(texts.len())];
        let rewritten = rewrite(dialect, text, &styles);
        prop_assert_eq!(shape(dialect, text), shape(dialect, &rewritten), "{} as {}", rewritten, text);
        prop_assert_eq!(verdict(dialect, text.as_bytes()), verdict(dialect, rewritten.as_bytes()));
    }

    #[test]
    fn arbitrary_bytes_get_a_verdict_and_are_reads_only_if_utf8(
        bytes in prop::collection::vec(any::<u8>(), 0..200), tsql in any::<bool>(),
    ) {
        let dialect = if tsql { Dialect::Tsql } else { Dialect::Postgres };
        let effect = verdict(dialect, &bytes).effect;
        prop_assert!(std::str::from_utf8(&bytes).is_ok() || effect != Effect::Read);
    }

    #[test]
    fn read_followed_by_a_write_is_not_a_read(
        parts in prop::collection::vec(prop::sample::select(vec![
            "SELECT", "1", "a", "FROM", "t", "WHERE", "(", ")", "'", "\"", "--", "/*", "*/", "$$", "$a$",
            "\\", ",", ";", "=", "IN", "AS", "E'", "[", "]", "\n", " ", "UNION", "CASE", "END", "b.c",
            "::int", "@x", "N'", "WITH", "*",
        ]), 0..24),
        tsql in any::<bool>(),
    ) {
        let dialect = if tsql { Dialect::Tsql } else { Dialect::Postgres };
        let text: String = parts.iter().flat_map(|part| [*part, " "]).collect();
        if verdict(dialect, text.as_bytes()).effect == Effect::Read {
            for write in [
                "\n; DELETE FROM t",
                "\n;WITH d AS (DELETE FROM t RETURNING 1) SELECT 1",
                "\n; SELECT cobrar(1)",
            ] {
                let followed = format!("{text}{write}");
                prop_assert_ne!(verdict(dialect, followed.as_bytes()).effect, Effect::Read, "{}", followed);
            }
        }
    }
}
