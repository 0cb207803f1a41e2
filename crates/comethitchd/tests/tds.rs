//! TDS through the router, between simulated clients and hosts on loopback, and with a third-party client library.

mod support;

use async_io::Async;
use comethitch_tds::packet::{Header, INITIAL_PACKET_BYTES, MessageKind, put_message, put_packets, status};
use comethitch_tds::request::{Batch, CallWriter, SystemProcedure};
use comethitch_tds::token::{ParsedToken, Token, TokenReader};
use comethitch_testkit::ledger::Entry;
use comethitch_testkit::tds::{attention, call};
use comethitch_testkit::{Client, Host, HostBehavior, Ledger, Protocol, Reply};
use comethitchd::protocols::tds::settings::TdsSettings;
use futures_lite::future::block_on;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{Router, configuration, discovery, entry, send_chunk, statement_rules};
use tiberius::{AuthMethod, Config, EncryptionLevel};

fn rules() -> Value {
    statement_rules("tsql", 1200)
}

struct TestBed {
    primary: Host,
    replica: Host,
    ledger: Ledger,
    router: Router,
}

fn start_test_bed(rules: Value) -> TestBed {
    let ledger = Ledger::default();
    let primary = Host::start("p", Protocol::Tds, true, &ledger);
    let replica = Host::start("r", Protocol::Tds, false, &ledger);
    let hosts = [entry("p", primary.address, true, "ready"), entry("r", replica.address, false, "ready")];
    let router = Router::start_with_protocol(Protocol::Tds, configuration(&hosts, None, 1024), Some(rules));
    TestBed { primary, replica, ledger, router }
}

#[test]
fn no_batch_that_writes_reaches_a_replica_whatever_its_comment_says() {
    // Every statement is parsed, however slow the machine: past the client's share of a core even reads would go to the
    // primary, by the cautious verdict.
    let mut rules = rules();
    rules["parsing"] = json!({"core_part": 1.0, "client_part": 1.0});
    let TestBed { primary: _primary, replica: _replica, ledger, router } = start_test_bed(rules);
    let rows = include_str!("../../comethitch-statement/tests/corpus/tsql.jsonl").lines();
    let rows: Vec<Value> = rows.map(|line| serde_json::from_str(line).expect(line)).collect();
    let mut client = Client::connect(Protocol::Tds, router.address);
    for (nth, row) in rows.iter().enumerate() {
        let sql = row["sql"].as_str().expect("sql");
        let claims =
            ["read", "write"].map(|group| format!("/* id={nth}-{group},c={group},d=900,cluster=0 */ {sql}"));
        for text in std::iter::once(sql.to_string()).chain(claims) {
            if client.execute(&text) == Reply::Closed {
                client = Client::connect(Protocol::Tds, router.address);
            }
        }
    }
    drop(client);
    router.wait();
    let ran_at = |wanted: &str, effect: &str| {
        let of = |row: &&Value| row["effect"] == effect;
        let came = |row: &&Value| {
            let sql = row["sql"].as_str().expect("sql");
            let at = |e: &Entry| matches!(e, Entry::Arrived { host, text } if host == wanted && text.ends_with(sql));
            ledger.entries().iter().any(at)
        };
        rows.iter().filter(of).filter(came).count()
    };
    for effect in ["write", "unknown", "locking_read", "session"] {
        assert_eq!(ran_at("r", effect), 0, "{effect} at the replica");
    }
    assert!(ran_at("r", "read") > 40 && ran_at("p", "write") > 40, "the others get through");
}

#[test]
fn a_read_that_is_not_parsed_for_want_of_budget_goes_to_the_primary() {
    let mut rules = rules();
    rules["parsing"] = json!({"core_part": 1e-9, "client_part": 1.0});
    let TestBed { primary: _primary, replica: _replica, ledger, router } = start_test_bed(rules);
    let mut client = Client::connect(Protocol::Tds, router.address);
    // The first parse takes what is saved; nothing worth a token is added in the test's time.
    for nth in 0..10 {
        let text = format!("SELECT a{nth} FROM t");
        assert_eq!(client.execute(&text), Reply::Answered(String::new()), "{text}");
    }
    drop(client);
    router.wait();
    let at_replica = |e: &&Entry| matches!(e, Entry::Arrived { host, .. } if host == "r");
    assert!(ledger.entries().iter().filter(at_replica).count() <= 1, "the first alone may be parsed");
    assert_eq!(ledger.attempt_count(), 10, "each was sent once");
}

#[test]
fn a_client_library_reads_every_type_and_asks_with_parameters() {
    let TestBed { primary, replica, router, .. } = start_test_bed(rules());
    for host in [&primary, &replica] {
        host.script(
            |_, text| if text.contains("tipos") { HostBehavior::AllTypes } else { HostBehavior::Answer },
        );
    }
    block_on(async {
        let mut config = Config::new();
        config.authentication(AuthMethod::sql_server("lectora", "secreta"));
        config.encryption(EncryptionLevel::NotSupported);
        let stream = Async::<TcpStream>::connect(router.address).await.expect("a connection");
        let mut client = tiberius::Client::connect(config, stream).await.expect("let in");
        let rows = client.simple_query("SELECT * FROM tipos").await.expect("asked").into_first_result().await;
        let rows = rows.expect("a result");
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
        for (column, wanted) in [("nvarchar", "año"), ("nchar", "abc"), ("varchar", "abc"), ("char", "abc")]
        {
            assert_eq!(row.get::<&str, _>(column), Some(wanted), "{column}");
        }
        assert_eq!(row.get::<&[u8], _>("varbinary"), Some(&[1, 2, 3][..]));
        assert_eq!(row.get::<&str, _>("nvarchar_max").map(str::len), Some(8_000));
        assert_eq!(row.get::<&[u8], _>("varbinary_max").map(<[u8]>::len), Some(3_000));
        assert_eq!(row.get::<i32, _>("nothing"), None);
        for column in ["datetime", "date", "time", "datetime2", "datetimeoffset"] {
            assert!(row.columns().iter().any(|known| known.name() == column));
        }
        // Parameterised: a call of sp_executesql.
        let asked = client.query("SELECT data FROM facts WHERE code = 'k1' AND n = @P1", &[&7_i32]).await;
        let rows = asked.expect("asked").into_first_result().await.expect("a result");
        assert_eq!(rows[0].get::<&str, _>(0), Some("k1"));
        let done = client.execute("INSERT INTO facts (code, n) VALUES ('k2', @P1)", &[&"x"]).await;
        assert_eq!(done.expect("done").total(), 1);
        let Err(refused) = client.simple_query("BEGIN TRANSACTION").await else { panic!("a transaction") };
        assert!(refused.to_string().contains("transactions of several statements"), "{refused}");
    });
    router.wait();
}

#[test]
fn an_attention_calls_the_command_off_and_is_acknowledged_once() {
    let TestBed { primary, replica: _replica, ledger, router } = start_test_bed(rules());
    primary.script(|nth, _| if nth == 0 { HostBehavior::HangAfterExecution } else { HostBehavior::Answer });
    let mut client = Client::connect(Protocol::Tds, router.address);
    client.send("INSERT INTO t VALUES ('a')");
    assert!(primary.next_request().contains("'a'"));
    client.stream.write_all(&attention()).expect("sent");
    assert_eq!(client.receive(), Reply::Cancelled);
    assert!(client.is_quiet(), "one acknowledgement");
    assert_eq!(
        client.execute("INSERT INTO t VALUES ('b')"),
        Reply::Answered("b".into()),
        "the connection goes on"
    );
    // An attention that crosses the answer: it is answered, or cancelled, and then acknowledged once.
    for nth in 0..40 {
        let text = format!("INSERT INTO t VALUES ('c{nth}')");
        client.send(&text);
        if nth % 2 == 0 {
            primary.next_request();
        }
        client.stream.write_all(&attention()).expect("sent");
        let mut got = client.receive();
        if got == Reply::Answered(format!("c{nth}")) {
            got = client.receive();
        }
        assert_eq!(got, Reply::Cancelled, "after {text}");
        assert_eq!(client.execute("INSERT INTO t VALUES ('d')"), Reply::Answered("d".into()));
    }
    drop(client);
    router.wait();
    assert_eq!(ledger.executions("a"), 1, "it ran, and was not sent again");
    assert!((0..40).all(|nth| ledger.executions(&format!("c{nth}")) <= 1));
}

#[test]
fn a_pipelined_batch_is_timed_by_its_own_last_byte_and_not_by_those_that_come_later() {
    let TestBed { primary, replica: _replica, ledger, router } = start_test_bed(rules());
    let (tell, go) = std::sync::mpsc::channel::<()>();
    let go = std::sync::Mutex::new(go);
    primary.script(move |nth, _| {
        if nth == 0 {
            go.lock().expect("a turn").recv().expect("told to go on");
        }
        HostBehavior::Answer
    });
    let mut client = Client::connect(Protocol::Tds, router.address);
    let insert = |id: u32, wait_ms: u32| {
        format!("/* id={id},c=write,d={wait_ms},cluster=0 */ INSERT INTO t VALUES ('{id}')")
    };
    client.send(&insert(1, 5_000));
    client.send(&insert(2, 300));
    std::thread::sleep(Duration::from_millis(500));
    client.send(&insert(3, 5_000));
    // The second's time is over; reckoned from the third's last byte most of it would be left.
    std::thread::sleep(Duration::from_millis(100));
    tell.send(()).expect("told");
    assert_eq!(client.receive(), Reply::Answered("1".into()));
    assert_eq!(client.receive(), Reply::Throttled, "nobody waits for it any more");
    assert_eq!(client.receive(), Reply::Answered("3".into()), "the third has its whole time");
    drop(client);
    router.wait();
    assert_eq!([1, 2, 3].map(|id| ledger.executions(&id.to_string())), [1, 0, 1]);
}

/// The answer's tokens.
fn tokens(stream: &mut TcpStream) -> Vec<Token> {
    let mut message = comethitch_tds::packet::MessageAssembler::new(1 << 20);
    while !message.is_complete() {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("an answer");
        message.accept(&byte).expect("packets");
    }
    let (mut tokens, mut at, mut all) = (TokenReader::new(), 0, Vec::new());
    while !tokens.is_complete() {
        let ParsedToken { token, length } = tokens.next(&message.payload()[at..]).expect("a token");
        at += length;
        all.push(token);
    }
    all
}

#[test]
fn prepared_statements_are_kept_by_the_router_and_run_at_any_host() {
    let TestBed { primary, replica: _replica, ledger, router } = start_test_bed(rules());
    let mut client = Client::connect(Protocol::Tds, router.address);
    let send = |client: &mut Client, payload: &[u8]| {
        client.stream.write_all(&call(payload)).expect("sent");
        tokens(&mut client.stream)
    };
    let statement = "INSERT INTO t (a, b) VALUES ('p', @a)";
    let mut payload = Vec::new();
    CallWriter::system(&mut payload, SystemProcedure::Prepare)
        .out("@handle")
        .text("", "@a int")
        .text("", statement)
        .integer("", Some(1));
    let told = send(&mut client, &payload);
    assert!(told.contains(&Token::ReturnValue) && ledger.attempt_count() == 0, "{told:?}");
    let execute = |handle: i32| {
        let mut payload = Vec::new();
        CallWriter::system(&mut payload, SystemProcedure::Execute)
            .integer("", Some(handle))
            .integer("", Some(9));
        payload
    };
    let told = send(&mut client, &execute(1));
    assert!(told.contains(&Token::Row) && told.contains(&Token::ReturnStatus(0)), "{told:?}");
    assert_eq!(primary.next_request(), statement);
    // Prepared and executed in one: the handle comes back with the answer.
    let mut payload = Vec::new();
    let both =
        CallWriter::system(&mut payload, SystemProcedure::PrepareExecute).out("@handle").text("", "@a int");
    both.text("", statement).integer("@a", Some(3));
    let told = send(&mut client, &payload);
    let at = |wanted: &Token| told.iter().position(|token| token == wanted);
    assert!(at(&Token::Row) < at(&Token::ReturnValue) && at(&Token::ReturnValue).is_some(), "{told:?}");
    assert!(send(&mut client, &execute(2)).contains(&Token::Row));
    let failed =
        |told: &[Token]| told.iter().any(|token| matches!(token, Token::Error(m) if m.number == 50_001));
    assert!(failed(&send(&mut client, &execute(3))), "no such handle");
    let mut payload = Vec::new();
    CallWriter::system(&mut payload, SystemProcedure::Unprepare).integer("", Some(1));
    assert!(!failed(&send(&mut client, &payload)));
    assert!(failed(&send(&mut client, &execute(1))), "it is forgotten");
    // A client that resets its session starts without any.
    let mut wire = Vec::new();
    put_packets(&mut wire, MessageKind::Rpc, INITIAL_PACKET_BYTES, &execute(2), status::RESET, true);
    client.stream.write_all(&wire).expect("sent");
    assert!(failed(&tokens(&mut client.stream)));
    drop(client);
    router.wait();
    assert_eq!(ledger.attempt_count(), 3);
}

#[test]
fn a_parameters_value_leads_to_its_group_of_hosts() {
    let ledger = Ledger::default();
    let (first, second) =
        (Host::start("0", Protocol::Tds, true, &ledger), Host::start("1", Protocol::Tds, true, &ledger));
    let mut other = entry("1", second.address, true, "ready");
    other["block"] = 1.into();
    let mut rules = rules();
    rules["keys"] = json!([{"tables": ["facts"], "column": "n",
        "spread": {"range": [{"below": 100, "hosts": 0}, {"hosts": 1}]}}]);
    let hosts = configuration(&[entry("0", first.address, true, "ready"), other], None, 1024);
    let router = Router::start_with_protocol(Protocol::Tds, hosts, Some(rules));
    let mut client = Client::connect(Protocol::Tds, router.address);
    for (value, host) in [(Some(99), "0"), (Some(100), "1"), (None, "")] {
        let mut payload = Vec::new();
        let statement = "UPDATE facts SET a = 1 WHERE n = @Key";
        CallWriter::system(&mut payload, SystemProcedure::ExecuteSql)
            .text("", statement)
            .text("", "@key int")
            .integer("@key", value);
        client.stream.write_all(&call(&payload)).expect("sent");
        let told = tokens(&mut client.stream);
        let came = ledger
            .entries()
            .iter()
            .filter(|e| matches!(e, Entry::Arrived { host: at, .. } if at == host))
            .count();
        let refused =
            told.iter().any(|token| matches!(token, Token::Error(m) if m.text.contains("facts lies by n")));
        assert_eq!((came, refused), (usize::from(value.is_some()), value.is_none()), "{value:?}: {told:?}");
    }
    drop(client);
    router.wait();
}

#[test]
fn what_is_no_login_or_too_large_is_told_and_closed() {
    let TestBed { router, .. } = start_test_bed(rules());
    let ended = |wire: &[u8]| {
        let mut stream = TcpStream::connect(router.address).expect("a connection");
        stream.set_read_timeout(Some(comethitch_testkit::TEST_TIMEOUT)).expect("a limit");
        // The router may close before all is sent.
        let _ = stream.write_all(wire);
        let mut told = Vec::new();
        let _ = stream.read_to_end(&mut told);
        String::from_utf16_lossy(
            &told.as_chunks::<2>().0.iter().map(|two| u16::from_le_bytes(*two)).collect::<Vec<_>>(),
        ) + &String::from_utf16_lossy(
            &told
                .get(1..)
                .unwrap_or_default()
                .as_chunks::<2>()
                .0
                .iter()
                .map(|two| u16::from_le_bytes(*two))
                .collect::<Vec<_>>(),
        )
    };
    assert!(ended(b"GET / HTTP/1.1\r\n\r\n").contains("a packet of unknown type"));
    let mut batch = Vec::new();
    let mut payload = Vec::new();
    Batch::put(&mut payload, "SELECT 1");
    put_message(&mut batch, MessageKind::Batch, INITIAL_PACKET_BYTES, &payload);
    assert!(ended(&batch).contains("a connection begins with a PRELOGIN"));
    // A login that would be 60 MB long is rejected at its fifth packet.
    let mut long = Vec::new();
    for nth in 0..8_u8 {
        Header { kind: MessageKind::Prelogin, status: 0, length: 32_000, spid: 0, number: nth }
            .put(&mut long);
        long.extend([0; 31_992]);
    }
    let mut stream = TcpStream::connect(router.address).expect("a connection");
    stream.set_read_timeout(Some(comethitch_testkit::TEST_TIMEOUT)).expect("a limit");
    let _ = stream.write_all(&long);
    // An error and the end, or a reset: no more of it is taken.
    let mut told = Vec::new();
    let _ = stream.read_to_end(&mut told);
    assert_eq!(
        Client::connect(Protocol::Tds, router.address).execute("INSERT INTO t VALUES ('k')"),
        Reply::Answered("k".into())
    );
    router.wait();
}

#[test]
fn the_sample_and_its_schema_fit_and_faults_are_named_by_key() {
    let sample = include_str!("../../../deploy/tds.json");
    TdsSettings::read(sample).expect("the sample");
    let schema: Value = serde_json::from_str(include_str!("../../../deploy/tds.schema.json")).expect("JSON");
    assert_eq!(serde_json::to_value(schemars::schema_for!(TdsSettings)).expect("a schema"), schema);
    let sample: Value = serde_json::from_str(sample).expect("JSON");
    let with = |key: &str, value: Value| {
        let mut ways = sample.clone();
        *ways.pointer_mut(key).expect(key) = value;
        TdsSettings::read(&ways.to_string()).expect_err(key).to_string()
    };
    for (key, value, told) in [
        ("/packet_size", json!(100), "packet_size must be 512 to 32767"),
        ("/also_listen", json!(["nowhere"]), "also_listen.0 must be an address"),
        ("/numbers/failed", json!(1205), "numbers.failed is 1205, on which clients try again"),
        ("/numbers/refused", json!(49918), "numbers.refused is 49918"),
        ("/numbers/throttled", json!(0), "numbers.throttled must be above 0"),
        ("/probe/sql", json!(" "), "probe.sql must be a query"),
        ("/hosts/user", json!(3), "hosts.user"),
        ("/hosts/password_file", json!("/nowhere/at/all"), "hosts.password_file"),
    ] {
        let why = with(key, value);
        assert!(why.contains(told), "{key}: {why}");
    }
}

#[test]
fn a_drain_notice_in_the_middle_of_a_batch_lets_it_end_and_keeps_the_next_away() {
    let ledger = Ledger::default();
    let old = Host::start("old", Protocol::Tds, true, &ledger);
    let new = Host::start("new", Protocol::Tds, false, &ledger);
    let discovery = discovery();
    let hosts = [entry("old", old.address, true, "ready"), entry("new", new.address, false, "ready")];
    let router = Router::start_with_protocol(
        Protocol::Tds,
        configuration(&hosts, Some(&discovery), 1024),
        Some(rules()),
    );
    let (_, mut watch) = discovery.watch();
    let tell = |watch: &mut TcpStream, seq: u64, hosts: Value| {
        send_chunk(watch, &format!("{}\n", json!({"seq": seq, "whole": false, "hosts": hosts})));
    };
    tell(&mut watch, 8, json!([]));
    old.script(|nth, _| {
        if nth == 0 { HostBehavior::AnswerAfter(Duration::from_millis(400)) } else { HostBehavior::Answer }
    });
    let mut client = Client::connect(Protocol::Tds, router.address);
    let text = "INSERT INTO t VALUES ('first'); UPDATE u SET n = 1";
    client.send(text);
    // The host runs it now, and signals when it has answered: the notice comes in between.
    while ledger.attempt_count() == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    let noticed = Instant::now();
    tell(
        &mut watch,
        9,
        json!([entry("old", old.address, false, "draining"), entry("new", new.address, true, "ready")]),
    );
    assert_eq!(client.receive(), Reply::Answered("first".into()), "what runs ends");
    old.set_primary(false);
    new.set_primary(true);
    // A second past the grace; each batch is answered once, wherever it goes.
    let mut late = Vec::new();
    for nth in 0.. {
        if noticed.elapsed() > Duration::from_millis(3_200) {
            break;
        }
        let (key, sent) = (format!("k{nth}"), noticed.elapsed());
        let got = client.execute(&format!("INSERT INTO t VALUES ('{key}')"));
        if sent > Duration::from_secs(2) {
            assert_eq!(got, Reply::Answered(key.clone()), "the other host serves");
            late.push(key);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let at_old = |key: &String| {
        let wanted = format!("('{key}')");
        ledger
            .entries()
            .iter()
            .any(|e| matches!(e, Entry::Arrived { host, text } if host == "old" && text.contains(&wanted)))
    };
    assert!(late.len() > 10 && !late.iter().any(at_old), "nothing new past the grace");
    drop(client);
    router.wait();
}

#[test]
fn an_attention_in_the_middle_of_a_takeover_is_acknowledged_and_harms_nothing() {
    let TestBed { primary, replica, ledger, router } = start_test_bed(rules());
    let mut client = Client::connect(Protocol::Tds, router.address);
    assert_eq!(client.execute("INSERT INTO t VALUES ('a')"), Reply::Answered("a".into()));
    primary.set_down(true);
    // Reads that must be fresh wait for the next primary, or are throttled: some are cancelled meanwhile.
    let mut called_off = 0;
    for nth in 0..20 {
        client.send(&format!("/* id=f{nth},c=fresh,d=700,cluster=0 */ SELECT n FROM t WHERE a = 'f{nth}'"));
        std::thread::sleep(Duration::from_millis(10));
        client.stream.write_all(&attention()).expect("sent");
        let mut got = client.receive();
        if got != Reply::Cancelled {
            assert!(matches!(got, Reply::Throttled | Reply::Failed(_)), "{got:?}");
            got = client.receive();
        } else {
            called_off += 1;
        }
        assert_eq!(got, Reply::Cancelled, "acknowledged once");
    }
    assert!(called_off > 0, "some were in hand");
    replica.set_primary(true);
    let took_over = Instant::now();
    let mut nth = 0;
    while client.execute(&format!("INSERT INTO t VALUES ('b{nth}')")) != Reply::Answered(format!("b{nth}")) {
        assert!(took_over.elapsed() < comethitch_testkit::TEST_TIMEOUT, "nobody serves after the takeover");
        nth += 1;
        std::thread::sleep(Duration::from_millis(10));
    }
    drop(client);
    router.wait();
    assert!((0..20).all(|nth| ledger.executions(&format!("f{nth}")) <= 1), "nothing called off was sent on");
}
