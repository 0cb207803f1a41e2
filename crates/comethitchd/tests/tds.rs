//! TDS through the router, with the clients and hosts of the testkit and with a third-party client library.

mod support;

use async_io::Async;
use comethitch_tds::packet::{
    Header, INITIAL_PACKET_BYTES, MessageAssembler, MessageKind, put_message, put_packets, status,
};
use comethitch_tds::request::{Batch, CallWriter, SystemProcedure};
use comethitch_tds::token::{ParsedToken, Token, TokenReader};
use comethitch_testkit::ledger::Entry;
use comethitch_testkit::tds::rpc_request;
use comethitch_testkit::{Client, Host, HostBehavior, Ledger, Protocol, Reply};
use comethitchd::protocols::tds::settings::TdsSettings;
use futures_lite::future::block_on;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::{
    Discovery, PrimaryAndReplica, Router, configuration, configuration_with_discovery, endpoint,
    ready_primary, ready_replica, send_chunk, statement_rules,
};
use tiberius::{AuthMethod, Config, EncryptionLevel};

fn rules() -> Value {
    statement_rules("tsql", 1_200)
}

/// Guards against trusting a comment that claims a weaker effect than its batch has. Every batch of the
/// corpus is sent without a comment and with comments that claim a read and a write.
#[test]
fn writing_batch_never_reaches_a_replica_despite_its_comment() {
    // A parsing budget of a whole core cannot run out, even on a slow machine. Past a smaller budget, reads
    // would not be parsed and would go to the primary.
    let mut rules = rules();
    rules["parsing"] = json!({"core_part": 1.0, "client_part": 1.0});
    let PrimaryAndReplica { primary: _primary, replica: _replica, ledger, router } =
        PrimaryAndReplica::start(Protocol::Tds, rules);
    let rows = include_str!("../../comethitch-statement/tests/corpus/tsql.jsonl").lines();
    let rows: Vec<Value> = rows.map(|line| serde_json::from_str(line).expect(line)).collect();
    let mut client = Client::connect(Protocol::Tds, router.address);
    for (nth, row) in rows.iter().enumerate() {
        let sql = row["sql"].as_str().expect("sql is a text");
        let claims =
            ["read", "write"].map(|class| format!("/* id={nth}-{class},c={class},d=900,cluster=0 */ {sql}"));
        for text in std::iter::once(sql.to_string()).chain(claims) {
            if client.execute(&text) == Reply::Closed {
                client = Client::connect(Protocol::Tds, router.address);
            }
        }
    }
    drop(client);
    router.shut_down();
    let arrived_at = |name: &str, effect: &str| {
        let has_effect = |row: &&Value| row["effect"] == effect;
        let arrived = |row: &&Value| {
            let sql = row["sql"].as_str().expect("sql is a text");
            let is_arrival = |entry: &Entry| matches!(entry, Entry::Arrived { host, text } if host == name && text.ends_with(sql));
            ledger.entries().iter().any(is_arrival)
        };
        rows.iter().filter(has_effect).filter(arrived).count()
    };
    for effect in ["write", "unknown", "locking_read", "session"] {
        assert_eq!(arrived_at("r", effect), 0, "no statement of the effect {effect} may reach the replica");
    }
    assert!(
        arrived_at("r", "read") > 40 && arrived_at("p", "write") > 40,
        "reads must reach the replica, and writes the primary"
    );
}

/// Guards against sending a statement that was not parsed to a replica, since it might be a write.
#[test]
fn read_past_the_parsing_budget_goes_to_the_primary() {
    let mut rules = rules();
    rules["parsing"] = json!({"core_part": 1e-9, "client_part": 1.0});
    let PrimaryAndReplica { primary: _primary, replica: _replica, ledger, router } =
        PrimaryAndReplica::start(Protocol::Tds, rules);
    let mut client = Client::connect(Protocol::Tds, router.address);
    // The first parse uses up the initial budget, which is not refilled during the test.
    for nth in 0..10 {
        let text = format!("SELECT a{nth} FROM t");
        assert_eq!(client.execute(&text), Reply::Answered(String::new()), "{text}");
    }
    drop(client);
    router.shut_down();
    let at_replica = |e: &&Entry| matches!(e, Entry::Arrived { host, .. } if host == "r");
    assert!(
        ledger.entries().iter().filter(at_replica).count() <= 1,
        "only the first read may be parsed and sent to the replica"
    );
    assert_eq!(ledger.attempt_count(), 10, "each request must be sent once");
}

/// Guards against responses and calls that only the testkit can decode: a third-party library must read a
/// column of each type.
#[test]
fn client_library_reads_every_type_and_sends_parameters() {
    let PrimaryAndReplica { primary, replica, router, .. } = PrimaryAndReplica::start(Protocol::Tds, rules());
    for host in [&primary, &replica] {
        host.script(
            |_, text| if text.contains("tipos") { HostBehavior::AllTypes } else { HostBehavior::Answer },
        );
    }
    block_on(async {
        let mut config = Config::new();
        config.authentication(AuthMethod::sql_server("lectora", "secreta"));
        config.encryption(EncryptionLevel::NotSupported);
        let stream =
            Async::<TcpStream>::connect(router.address).await.expect("the router accepts connections");
        let mut client = tiberius::Client::connect(config, stream).await.expect("the login succeeds");
        let rows = client
            .simple_query("SELECT * FROM tipos")
            .await
            .expect("the bytes are sent")
            .into_first_result()
            .await;
        let rows = rows.expect("the result is read");
        let row = &rows[0];
        assert_eq!(row.get::<u8, _>("tinyint"), Some(200));
        assert_eq!(row.get::<i16, _>("smallint"), Some(-2));
        assert_eq!(row.get::<i32, _>("int"), Some(7));
        assert_eq!(row.get::<i64, _>("bigint"), Some(1 << 40));
        assert_eq!(row.get::<bool, _>("bit"), Some(true));
        assert_eq!(row.get::<f32, _>("real"), Some(1.5));
        assert_eq!(row.get::<f64, _>("float"), Some(2.5));
        assert_eq!(row.get::<tiberius::numeric::Numeric, _>("decimal").map(|n| n.value()), Some(12_345));
        assert_eq!(row.get::<f64, _>("money"), Some(1.0));
        assert_eq!(row.get::<tiberius::Uuid, _>("guid").map(|guid| *guid.as_bytes()), Some([7; 16]));
        for (column, text) in [("nvarchar", "año"), ("nchar", "abc"), ("varchar", "abc"), ("char", "abc")] {
            assert_eq!(row.get::<&str, _>(column), Some(text), "{column}");
        }
        assert_eq!(row.get::<&[u8], _>("varbinary"), Some(&[1, 2, 3][..]));
        assert_eq!(row.get::<&str, _>("nvarchar_max").map(str::len), Some(8_000));
        assert_eq!(row.get::<&[u8], _>("varbinary_max").map(<[u8]>::len), Some(3_000));
        assert_eq!(row.get::<i32, _>("nothing"), None);
        for column in ["datetime", "date", "time", "datetime2", "datetimeoffset"] {
            assert!(row.columns().iter().any(|known| known.name() == column));
        }
        // The library sends a query with parameters as a call of sp_executesql.
        let response = client.query("SELECT data FROM facts WHERE code = 'k1' AND n = @P1", &[&7_i32]).await;
        let rows =
            response.expect("the bytes are sent").into_first_result().await.expect("the result is read");
        assert_eq!(rows[0].get::<&str, _>(0), Some("k1"));
        let done = client.execute("INSERT INTO facts (code, n) VALUES ('k2', @P1)", &[&"x"]).await;
        assert_eq!(done.expect("the statement is executed").total(), 1);
        let Err(error) = client.simple_query("BEGIN TRANSACTION").await else {
            panic!("BEGIN TRANSACTION must be rejected")
        };
        assert!(error.to_string().contains("transactions of several statements"), "{error}");
    });
    router.shut_down();
}

/// Reads a response and returns its tokens.
fn read_tokens(stream: &mut TcpStream) -> Vec<Token> {
    let mut message = MessageAssembler::new(1 << 20);
    while !message.is_complete() {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the response is valid");
        message.accept(&byte).expect("the packets are valid");
    }
    let (mut reader, mut offset, mut tokens) = (TokenReader::new(), 0, Vec::new());
    while !reader.is_complete() {
        let ParsedToken { token, length } =
            reader.next(&message.payload()[offset..]).expect("the token is valid");
        offset += length;
        tokens.push(token);
    }
    tokens
}

/// Encodes a call that executes a prepared statement with the parameter 9.
fn execute_prepared(handle: i32) -> Vec<u8> {
    let mut payload = Vec::new();
    CallWriter::system(&mut payload, SystemProcedure::Execute).integer("", Some(handle)).integer("", Some(9));
    payload
}

/// Guards against prepared statements that depend on a host connection: handles belong to the router, which
/// sends the statement text with each execution.
#[test]
fn router_keeps_prepared_statements_and_runs_them_at_any_host() {
    let PrimaryAndReplica { primary, replica: _replica, ledger, router } =
        PrimaryAndReplica::start(Protocol::Tds, rules());
    let mut client = Client::connect(Protocol::Tds, router.address);
    let send = |client: &mut Client, payload: &[u8]| {
        client.stream.write_all(&rpc_request(payload)).expect("the bytes are sent");
        read_tokens(&mut client.stream)
    };
    let statement = "INSERT INTO t (a, b) VALUES ('p', @a)";
    let mut payload = Vec::new();
    CallWriter::system(&mut payload, SystemProcedure::Prepare)
        .output_integer("@handle")
        .text("", "@a int")
        .text("", statement)
        .integer("", Some(1));
    let response = send(&mut client, &payload);
    assert!(response.contains(&Token::ReturnValue) && ledger.attempt_count() == 0, "{response:?}");
    let response = send(&mut client, &execute_prepared(1));
    assert!(response.contains(&Token::Row) && response.contains(&Token::ReturnStatus(0)), "{response:?}");
    assert_eq!(primary.next_request(), statement);
    // One call prepares and executes the statement. The handle must be returned after the rows.
    let mut payload = Vec::new();
    let both = CallWriter::system(&mut payload, SystemProcedure::PrepareExecute)
        .output_integer("@handle")
        .text("", "@a int");
    both.text("", statement).integer("@a", Some(3));
    let response = send(&mut client, &payload);
    let at = |wanted: &Token| response.iter().position(|token| token == wanted);
    assert!(at(&Token::Row) < at(&Token::ReturnValue) && at(&Token::ReturnValue).is_some(), "{response:?}");
    assert!(send(&mut client, &execute_prepared(2)).contains(&Token::Row));
    let failed = |response: &[Token]| {
        response.iter().any(|token| matches!(token, Token::Error(m) if m.number == 50_001))
    };
    assert!(
        failed(&send(&mut client, &execute_prepared(3))),
        "a handle that does not exist must be rejected"
    );
    let mut payload = Vec::new();
    CallWriter::system(&mut payload, SystemProcedure::Unprepare).integer("", Some(1));
    assert!(!failed(&send(&mut client, &payload)));
    assert!(failed(&send(&mut client, &execute_prepared(1))), "a closed handle must be rejected");
    // A session reset must close all handles.
    let mut wire = Vec::new();
    put_packets(&mut wire, MessageKind::Rpc, INITIAL_PACKET_BYTES, &execute_prepared(2), status::RESET, true);
    client.stream.write_all(&wire).expect("the bytes are sent");
    assert!(failed(&read_tokens(&mut client.stream)));
    drop(client);
    router.shut_down();
    assert_eq!(ledger.attempt_count(), 3);
}

/// Guards against a shard that is chosen without the value of the parameter in the key column. A NULL key
/// must be rejected.
#[test]
fn parameter_value_selects_the_shard() {
    let ledger = Ledger::default();
    let (first, second) =
        (Host::start("0", Protocol::Tds, true, &ledger), Host::start("1", Protocol::Tds, true, &ledger));
    let mut other = ready_primary("1", second.address);
    other["block"] = 1.into();
    let mut rules = rules();
    rules["keys"] = json!([{"tables": ["facts"], "column": "n",
        "spread": {"range": [{"below": 100, "hosts": 0}, {"hosts": 1}]}}]);
    let hosts = configuration(&[ready_primary("0", first.address), other]);
    let router = Router::start_with_protocol(Protocol::Tds, hosts, Some(rules));
    let mut client = Client::connect(Protocol::Tds, router.address);
    for (value, host) in [(Some(99), "0"), (Some(100), "1"), (None, "")] {
        let mut payload = Vec::new();
        let statement = "UPDATE facts SET a = 1 WHERE n = @Key";
        CallWriter::system(&mut payload, SystemProcedure::ExecuteSql)
            .text("", statement)
            .text("", "@key int")
            .integer("@key", value);
        client.stream.write_all(&rpc_request(&payload)).expect("the bytes are sent");
        let response = read_tokens(&mut client.stream);
        let arrivals = ledger
            .entries()
            .iter()
            .filter(|e| matches!(e, Entry::Arrived { host: at, .. } if at == host))
            .count();
        let rejected = response
            .iter()
            .any(|token| matches!(token, Token::Error(m) if m.text.contains("facts lies by n")));
        assert_eq!(
            (arrivals, rejected),
            (usize::from(value.is_some()), value.is_none()),
            "{value:?}: {response:?}"
        );
    }
    drop(client);
    router.shut_down();
}

/// Guards against logins that are malformed, in the wrong order or without an end and hold memory or affect
/// other clients.
#[test]
fn invalid_or_oversized_logins_are_closed_with_an_error() {
    let PrimaryAndReplica { router, .. } = PrimaryAndReplica::start(Protocol::Tds, rules());
    let error_text = |wire: &[u8]| {
        let mut stream = TcpStream::connect(router.address).expect("the router accepts connections");
        stream.set_read_timeout(Some(comethitch_testkit::TEST_TIMEOUT)).expect("the timeout is not zero");
        // The router may close the connection before everything is sent.
        let _ = stream.write_all(wire);
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        String::from_utf16_lossy(
            &response.as_chunks::<2>().0.iter().map(|two| u16::from_le_bytes(*two)).collect::<Vec<_>>(),
        ) + &String::from_utf16_lossy(
            &response
                .get(1..)
                .unwrap_or_default()
                .as_chunks::<2>()
                .0
                .iter()
                .map(|two| u16::from_le_bytes(*two))
                .collect::<Vec<_>>(),
        )
    };
    assert!(error_text(b"GET / HTTP/1.1\r\n\r\n").contains("a packet of unknown type"));
    let mut batch = Vec::new();
    let mut payload = Vec::new();
    Batch::put(&mut payload, "SELECT 1");
    put_message(&mut batch, MessageKind::Batch, INITIAL_PACKET_BYTES, &payload);
    assert!(error_text(&batch).contains("a connection begins with a PRELOGIN"));
    // A login without an end is rejected at its fifth packet of 32,000 bytes, which exceeds the limit of
    // 128 KiB.
    let mut long = Vec::new();
    for nth in 0..8_u8 {
        Header { kind: MessageKind::Prelogin, status: 0, length: 32_000, spid: 0, number: nth }
            .put(&mut long);
        long.extend([0; 31_992]);
    }
    let mut stream = TcpStream::connect(router.address).expect("the router accepts connections");
    stream.set_read_timeout(Some(comethitch_testkit::TEST_TIMEOUT)).expect("the timeout is not zero");
    let _ = stream.write_all(&long);
    // The router sends an error and closes or resets the connection without reading the rest.
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    assert_eq!(
        Client::connect(Protocol::Tds, router.address).execute("INSERT INTO t VALUES ('k')"),
        Reply::Answered("k".into())
    );
    router.shut_down();
}

#[test]
fn sample_settings_match_the_schema_and_errors_name_the_key() {
    let sample = include_str!("../../../deploy/tds.json");
    TdsSettings::read(sample).expect("the sample is valid");
    let schema: Value = serde_json::from_str(include_str!("../../../deploy/tds.schema.json"))
        .expect("the text is valid JSON");
    assert_eq!(
        serde_json::to_value(schemars::schema_for!(TdsSettings)).expect("the schema is serializable"),
        schema
    );
    let sample: Value = serde_json::from_str(sample).expect("the text is valid JSON");
    let error_with = |key: &str, value: Value| {
        let mut settings = sample.clone();
        *settings.pointer_mut(key).expect(key) = value;
        TdsSettings::read(&settings.to_string()).expect_err(key).to_string()
    };
    for (key, value, expected) in [
        ("/packet_size", json!(100), "packet_size must be 512 to 32767"),
        ("/also_listen", json!(["nowhere"]), "also_listen.0 must be an address"),
        ("/numbers/failed", json!(1205), "numbers.failed is 1205, an error number on which clients retry"),
        ("/numbers/refused", json!(49918), "numbers.refused is 49918"),
        ("/numbers/throttled", json!(0), "numbers.throttled must be above 0"),
        ("/probe/sql", json!(" "), "probe.sql must be a query, not an empty text"),
        ("/hosts/user", json!(3), "hosts.user"),
        ("/hosts/password_file", json!("/nowhere/at/all"), "hosts.password_file"),
    ] {
        let message = error_with(key, value);
        assert!(message.contains(expected), "{key}: {message}");
    }
}

/// Guards against a drain that cuts a running batch off, and against requests to a draining host after the
/// grace of 2 s. The batch takes 400 ms and is running at the time of the drain notice.
#[test]
fn draining_host_finishes_its_batch_and_gets_no_later_one() {
    let ledger = Ledger::default();
    let old = Host::start("old", Protocol::Tds, true, &ledger);
    let new = Host::start("new", Protocol::Tds, false, &ledger);
    let discovery = Discovery::start();
    let hosts = [ready_primary("old", old.address), ready_replica("new", new.address)];
    let router = Router::start_with_protocol(
        Protocol::Tds,
        configuration_with_discovery(&hosts, &discovery),
        Some(rules()),
    );
    let (_, mut watch) = discovery.next_request();
    let send_update = |watch: &mut TcpStream, version: u64, hosts: Value| {
        send_chunk(watch, &format!("{}\n", json!({"seq": version, "whole": false, "hosts": hosts})));
    };
    send_update(&mut watch, 8, json!([]));
    old.script(|nth, _| {
        if nth == 0 { HostBehavior::AnswerAfter(Duration::from_millis(400)) } else { HostBehavior::Answer }
    });
    let mut client = Client::connect(Protocol::Tds, router.address);
    let text = "INSERT INTO t VALUES ('first'); UPDATE u SET n = 1";
    client.send(text);
    // Waits until the host has received the batch, which it answers only after the drain notice.
    while ledger.attempt_count() == 0 {
        sleep(Duration::from_millis(1));
    }
    let drained_at = Instant::now();
    send_update(
        &mut watch,
        9,
        json!([endpoint("old", old.address, false, "draining"), ready_primary("new", new.address)]),
    );
    assert_eq!(client.receive(), Reply::Answered("first".into()), "a running batch must be completed");
    old.set_primary(false);
    new.set_primary(true);
    // Continues until 3.2 s after the drain notice, which is more than a second after the drain grace of 2 s.
    // Each batch must be answered once, by either host.
    let mut after_grace = Vec::new();
    for nth in 0.. {
        if drained_at.elapsed() > Duration::from_millis(3_200) {
            break;
        }
        let (key, sent) = (format!("k{nth}"), drained_at.elapsed());
        let got = client.execute(&format!("INSERT INTO t VALUES ('{key}')"));
        if sent > Duration::from_secs(2) {
            assert_eq!(got, Reply::Answered(key.clone()), "the other host must serve the batch");
            after_grace.push(key);
        }
        sleep(Duration::from_millis(20));
    }
    let at_old = |key: &String| {
        let value = format!("('{key}')");
        ledger
            .entries()
            .iter()
            .any(|e| matches!(e, Entry::Arrived { host, text } if host == "old" && text.contains(&value)))
    };
    assert!(
        after_grace.len() > 10 && !after_grace.iter().any(at_old),
        "more than 10 batches must be sent after the grace, and none of them to the draining host"
    );
    drop(client);
    router.shut_down();
}
