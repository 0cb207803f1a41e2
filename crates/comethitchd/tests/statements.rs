//! Classification of statements by their text, tested through a router between a client and scripted hosts.

mod support;

use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use support::{
    ClientReply, HostAction, HostEvent, PostgresClient, Router, ScriptedHost, answer, configuration, error,
    message, one_row_answer, read_request, ready_primary, ready_replica, single_primary_configuration,
    statement_rules, write_request,
};

fn rules() -> Value {
    statement_rules("postgres", 1_500)
}

/// A statement of the corpus with the effect that classification must report.
struct CorpusStatement {
    effect: String,
    sql: String,
}

/// Returns the corpus of PostgreSQL statements without those that cannot be sent because they contain a zero
/// byte.
fn corpus() -> Vec<CorpusStatement> {
    let text = include_str!("../../comethitch-statement/tests/corpus/postgres.jsonl");
    let rows = text.lines().map(|line| {
        let row: Value = serde_json::from_str(line).expect(line);
        let part = |key: &str| row[key].as_str().expect(key).to_string();
        CorpusStatement { effect: part("effect"), sql: part("sql") }
    });
    rows.filter(|row| !row.sql.contains('\0')).collect()
}

/// Number of arrivals of each statement, keyed by its text without the comment of the router.
#[derive(Clone, Default)]
struct StatementCounts(Arc<Mutex<HashMap<String, usize>>>);

impl StatementCounts {
    fn record(&self, text: &str) {
        let bare =
            text.strip_prefix("/* id=").and_then(|rest| rest.split_once(" */ ")).map_or(text, |(_, sql)| sql);
        *self
            .0
            .lock()
            .expect("no thread panics while it holds the lock")
            .entry(bare.to_string())
            .or_default() += 1;
    }

    fn count(&self, sql: &str) -> usize {
        self.0.lock().expect("no thread panics while it holds the lock").get(sql).copied().unwrap_or(0)
    }
}

/// Starts a primary and a replica that count statements. A host closes the connection instead of answering if
/// `reset` returns true for the number of earlier statements at this host.
fn start_primary_and_replica(
    reset: fn(usize) -> bool,
) -> (ScriptedHost, ScriptedHost, StatementCounts, StatementCounts) {
    let (at_primary, at_replica) = (StatementCounts::default(), StatementCounts::default());
    let script = |counts: StatementCounts| {
        move |nth: usize, text: &str| {
            counts.record(text);
            if reset(nth) { HostAction::Close } else { answer("value") }
        }
    };
    let primary = ScriptedHost::primary(script(at_primary.clone()));
    let replica = ScriptedHost::replica(script(at_replica.clone()));
    (primary, replica, at_primary, at_replica)
}

fn primary_and_replica_configuration(primary: &ScriptedHost, replica: &ScriptedHost) -> Value {
    configuration(&[ready_primary("p", primary.address), ready_replica("r", replica.address)])
}

/// Sends every statement of the corpus four times: without a comment, and with comments that claim each
/// request class.
fn send_corpus(router: &Router, statements: &[CorpusStatement]) {
    let mut client = PostgresClient::connect(router.address);
    for (nth, row) in statements.iter().enumerate() {
        let bare = row.sql.clone();
        let claims = ["read", "fresh", "write"]
            .into_iter()
            .map(|class| format!("/* id={nth}-{class},c={class},d=1500,cluster=0 */ {}", row.sql));
        for text in std::iter::once(bare).chain(claims) {
            if client.execute(&text) == ClientReply::Closed {
                client = PostgresClient::connect(router.address);
            }
        }
    }
}

/// Guards against trusting a comment that claims a weaker effect than its statement has. Every statement of
/// the corpus is sent with each claim, both when such comments are rejected and when they are raised.
#[test]
fn writing_statement_never_reaches_a_replica_despite_its_comment() {
    let (primary, replica, at_primary, at_replica) = start_primary_and_replica(|_| false);
    for disagreement in ["refuse", "raise"] {
        let mut rules = rules();
        rules["disagreement"] = disagreement.into();
        // A parsing budget of a whole core cannot run out, even on a slow machine. Past a smaller budget,
        // reads would not be parsed and would go to the primary.
        rules["parsing"] = json!({"core_part": 1.0, "client_part": 1.0});
        let router =
            Router::with_statement_rules(primary_and_replica_configuration(&primary, &replica), rules);
        send_corpus(&router, &corpus());
        router.shut_down();
    }
    let misrouted: Vec<String> = corpus()
        .into_iter()
        .filter(|row| row.effect != "read" && at_replica.count(&row.sql) > 0)
        .map(|row| row.sql)
        .collect();
    assert!(misrouted.is_empty(), "only reads may reach the replica: {misrouted:#?}");
    // Statements must arrive at all: reads at the replica, and writes at the primary.
    let count = |counts: &StatementCounts, effect: &str| {
        corpus().iter().filter(|row| row.effect == effect && counts.count(&row.sql) > 0).count()
    };
    assert!(
        count(&at_replica, "read") > 40,
        "more than 40 reads must reach the replica: {}",
        count(&at_replica, "read")
    );
    assert!(
        count(&at_primary, "write") > 90,
        "more than 90 writes must reach the primary: {}",
        count(&at_primary, "write")
    );
}

/// Guards against a retry that executes a statement twice. Each host closes the connection at every third
/// statement, after which it is unknown whether the statement was executed.
#[test]
fn statements_that_may_write_are_not_retried_after_resets() {
    let (primary, replica, at_primary, at_replica) = start_primary_and_replica(|nth| nth % 3 == 1);
    let mut with_rules = rules();
    with_rules["disagreement"] = "raise".into();
    // A parsing budget of a whole core cannot run out. The budget is counted in real time, and on a busy
    // machine reads past a smaller one would be sent to the primary as possible writes.
    with_rules["parsing"] = json!({"core_part": 1.0, "client_part": 1.0});
    let router =
        Router::with_statement_rules(primary_and_replica_configuration(&primary, &replica), with_rules);
    send_corpus(&router, &corpus());
    router.shut_down();
    for row in corpus().iter().filter(|row| !matches!(&*row.effect, "read" | "locking_read")) {
        // Each statement is sent without a comment and with three comments: four requests, each with at most
        // one attempt.
        let arrivals = at_primary.count(&row.sql) + at_replica.count(&row.sql);
        let occurrences = corpus().iter().filter(|other| other.sql == row.sql).count();
        assert!(
            arrivals <= 4 * occurrences,
            "{} may arrive at most {} times, but arrived {arrivals} times",
            row.sql,
            4 * occurrences
        );
    }
    // A read arrives four times, and once more for each reset.
    let retried = |row: &&CorpusStatement| {
        row.effect == "read" && at_primary.count(&row.sql) + at_replica.count(&row.sql) > 4
    };
    assert!(corpus().iter().filter(retried).count() > 10, "more than 10 reads must be retried");
}

#[test]
fn comment_weaker_than_its_statement_is_rejected_or_raised() {
    let (primary, replica, at_primary, at_replica) = start_primary_and_replica(|_| false);
    let weak_claim = "/* id=1,c=read,d=900,cluster=0 */ DELETE FROM facts";
    let router = Router::with_statement_rules(primary_and_replica_configuration(&primary, &replica), rules());
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute(weak_claim), ClientReply::error("42809"));
    assert_eq!(
        client.execute(&write_request(2, 900)),
        ClientReply::value("value"),
        "a request in the platform's form must still be accepted"
    );
    router.shut_down();
    assert_eq!((at_primary.count("DELETE FROM facts"), at_replica.count("DELETE FROM facts")), (0, 0));
    let mut raising = rules();
    raising["disagreement"] = "raise".into();
    let router = Router::with_statement_rules(primary_and_replica_configuration(&primary, &replica), raising);
    assert_eq!(PostgresClient::connect(router.address).execute(weak_claim), ClientReply::value("value"));
    router.shut_down();
    assert_eq!((at_primary.count("DELETE FROM facts"), at_replica.count("DELETE FROM facts")), (1, 0));
}

#[test]
fn without_rules_only_the_platform_form_is_accepted() {
    let (primary, replica, ..) = start_primary_and_replica(|_| false);
    let router = Router::start(primary_and_replica_configuration(&primary, &replica));
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute("SELECT 1"), ClientReply::error("42601"));
    assert_eq!(client.execute(&read_request(1, 900)), ClientReply::value("value"));
    router.shut_down();
}

/// Guards against session and transaction statements that are executed on a host connection which the next
/// request of the client may not get.
#[test]
fn session_and_transaction_statements_are_never_half_executed() {
    let (primary, replica, at_primary, _) = start_primary_and_replica(|_| false);
    let router = Router::with_statement_rules(primary_and_replica_configuration(&primary, &replica), rules());
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute("SET a = 1;"), ClientReply::Done("SET".into()));
    for text in ["BEGIN", "COMMIT", "BEGIN; DELETE FROM facts", "SELECT 1; START TRANSACTION"] {
        assert_eq!(client.execute(text), ClientReply::error("0A000"), "{text}");
    }
    // A query with a write after SET is a write, which must be sent to the primary.
    assert_eq!(client.execute("SET a = 1; DELETE FROM facts"), ClientReply::value("value"));
    router.shut_down();
    assert_eq!(at_primary.count("SET a = 1; DELETE FROM facts"), 1);
}

#[test]
fn responses_of_any_form_and_host_errors_are_forwarded() {
    let two_rows = {
        let row_description = message(b'T', &[&[0, 2][..], b"a\0", &[0; 18], b"b\0", &[0; 18]].concat());
        let data = |a: &[u8]| message(b'D', &[&[0, 2, 0, 0, 0, 1][..], a, &[0xff; 4]].concat());
        [row_description, data(b"x"), data(b"y"), message(b'C', b"SELECT 2\0")].concat()
    };
    let answers = [two_rows, message(b'C', b"DELETE 3\0"), error("42P01"), message(b'I', b"")];
    let sent = answers.clone();
    let primary = ScriptedHost::primary(move |nth, _| HostAction::Answer(sent[nth % 4].clone()));
    let router = Router::with_statement_rules(single_primary_configuration(primary.address), rules());
    let mut client = PostgresClient::connect(router.address);
    let expected = [
        ClientReply::Value(b"\0\0\0\x01y\xff\xff\xff\xff"[4..].to_vec()),
        ClientReply::Done("DELETE 3".into()),
        ClientReply::error("42P01"),
    ];
    for reply in expected {
        assert_eq!(client.execute("DELETE FROM facts"), reply);
    }
    router.shut_down();
}

/// Guards against buffering whole responses: 4 MB must pass with a memory budget of 32 MB.
#[test]
fn four_megabyte_response_passes_with_a_small_memory_budget() {
    let value = vec![b'x'; 100 << 10];
    let primary = ScriptedHost::primary(move |nth, _| {
        let rows = message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), &value].concat());
        let row_description = message(b'T', &[&[0, 1][..], b"data\0", &[0; 18]].concat());
        let count = if nth == 0 { 40 } else { 1 };
        HostAction::Answer([row_description, rows.repeat(count), message(b'C', b"SELECT 1\0")].concat())
    });
    let mut small = single_primary_configuration(primary.address);
    small["limits"]["memory_mb"] = 32.into();
    let router = Router::with_statement_rules(small, rules());
    let mut client = PostgresClient::connect(router.address);
    for _ in 0..2 {
        let got = client.execute("DELETE FROM facts RETURNING data");
        assert!(matches!(got, ClientReply::Value(value) if value.len() == 100 << 10));
    }
    router.shut_down();
}

/// Guards against a request that runs within the open transaction of another request.
#[test]
fn connection_with_an_open_transaction_is_not_reused() {
    let primary = ScriptedHost::primary(|nth, _| match nth {
        0 => HostAction::Raw([one_row_answer(b"first"), message(b'Z', b"T")].concat()),
        _ => answer("second"),
    });
    let router = Router::with_statement_rules(single_primary_configuration(primary.address), rules());
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute("SELECT cobrar(1)"), ClientReply::value("first"));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    assert_eq!(
        primary.next_event(),
        HostEvent::ConnectionClosed,
        "the connection must be closed, which rolls the transaction back"
    );
    assert_eq!(client.execute("SELECT cobrar(2)"), ClientReply::value("second"));
    router.shut_down();
}

#[test]
fn keys_select_the_shard_and_cross_shard_statements_are_rejected() {
    let (first, second) =
        (ScriptedHost::primary(|_, _| answer("0")), ScriptedHost::primary(|_, _| answer("1")));
    let mut other = ready_primary("q", second.address);
    other["block"] = 1.into();
    let mut rules = rules();
    rules["keys"] = json!([{"tables": ["facts"], "column": "n",
        "spread": {"range": [{"below": 100, "hosts": 0}, {"hosts": 1}]}}]);
    let config = configuration(&[ready_primary("p", first.address), other]);
    let router = Router::with_statement_rules(config, rules);
    let mut client = PostgresClient::connect(router.address);
    for (text, reply) in [
        ("UPDATE facts SET a = 1 WHERE n = 99", ClientReply::value("0")),
        ("UPDATE facts SET a = 1 WHERE n = 100", ClientReply::value("1")),
        ("INSERT INTO facts (a, n) VALUES (100, 7), (100, 8)", ClientReply::value("0")),
        ("INSERT INTO facts (a, n) VALUES (1, 7), (1, 700)", ClientReply::error("0A000")),
        ("DELETE FROM facts WHERE n IN (7, 700)", ClientReply::error("0A000")),
        ("DELETE FROM facts WHERE n = 7 OR a = 1", ClientReply::error("0A000")),
        ("DELETE FROM facts", ClientReply::error("0A000")),
    ] {
        assert_eq!(client.execute(text), reply, "{text}");
    }
    let other_shard = "/* id=5,c=write,d=900,cluster=0 */ DELETE FROM facts WHERE n = 700";
    assert_eq!(
        client.execute(other_shard),
        ClientReply::error("22023"),
        "a comment that names the other shard must be rejected"
    );
    router.shut_down();
}
