//! Statement rules: their reload, the sample in `deploy/`, and the command `classify`.

mod support;

use comethitchd::state::config::{Config, read_rules};
use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Stdio};
use std::thread::spawn;
use support::{
    ClientReply, Daemon, PostgresClient, SAMPLE_CONFIGURATION, ScriptedHost, answer,
    single_primary_configuration, statement_rules,
};

/// Guards against rules that are applied in part: each faulty file also contains a valid change, which must
/// have no effect. Keys that need a restart must be reported.
#[test]
fn reloaded_rules_are_applied_completely_or_not_at_all() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let config = single_primary_configuration(primary.address);
    let file = std::env::temp_dir().join(format!("comethitchd-{}-rules.json", std::process::id()));
    let write_rules = |rules: &Value| std::fs::write(&file, rules.to_string()).expect("the data is written");
    let mut rules = statement_rules("postgres", 1_500);
    rules["commentless"] = Value::Null;
    write_rules(&rules);
    let mut daemon = Daemon::start_with_options(
        "rules-reload",
        &config,
        &["--statements", file.to_str().expect("the path is valid UTF-8")],
    );
    let mut client = PostgresClient::connect(daemon.address);
    assert_eq!(client.execute("SELECT 1"), ClientReply::error("42601"));
    for (key, faulty) in [
        ("groups[0].group", json!({"group": 7})),
        ("groups.0.group", json!({"group": "nobody", "effects": ["read"]})),
        ("groups.0.effects", json!({"group": "read", "effects": ["write"]})),
    ] {
        let mut faulty_rules = rules.clone();
        faulty_rules["commentless"] = json!({"wait_ms": 900});
        faulty_rules["groups"][0] = faulty;
        write_rules(&faulty_rules);
        daemon.signal("HUP");
        daemon.wait_for_log(&format!(
            "configuration reload failed, retrying retry_timeout_ms=3000 error={}: {key}",
            file.display()
        ));
        assert_eq!(
            client.execute("SELECT 1"),
            ClientReply::error("42601"),
            "the previous rules must stay in effect"
        );
    }
    for (key, change) in [("dialect", json!("tsql")), ("cache", json!({"kib": 8192}))] {
        let mut changed = rules.clone();
        changed[key] = change;
        write_rules(&changed);
        daemon.signal("HUP");
        // Stops at either outcome, so that the wrong one fails the test without a timeout.
        let outcomes = ["configuration reload failed", "statement rules replaced"];
        let outcome = daemon.log.find(|line| outcomes.iter().any(|text| line.contains(text)));
        assert!(
            outcome.is_some_and(|line| line.contains(&format!("error={key}"))),
            "a reload must not change {key}"
        );
    }
    rules["commentless"] = json!({"wait_ms": 900});
    write_rules(&rules);
    daemon.signal("HUP");
    daemon.wait_for_log("statement rules replaced");
    assert_eq!(client.execute("SELECT 1"), ClientReply::value("value"));
    daemon.shut_down();
    std::fs::remove_file(&file).expect("the file is removed");
}

#[test]
fn sample_rules_match_the_sample_configuration_and_schema() {
    let config = Config::read(SAMPLE_CONFIGURATION, |_| None).expect("the sample is valid");
    config
        .with_statement_rules(include_str!("../../../deploy/statements.json"))
        .expect("the sample rules are valid");
    let schema: Value = serde_json::from_str(include_str!("../../../deploy/statements.schema.json"))
        .expect("the text is valid JSON");
    let generated = serde_json::to_value(schemars::schema_for!(comethitch_statement::Rules))
        .expect("the schema is serializable");
    assert_eq!(
        generated, schema,
        "the schema is outdated; run: comethitch schema statements > deploy/statements.schema.json"
    );
    assert!(
        read_rules("{}").expect_err("rules without keys are invalid").to_string().contains("missing field")
    );
}

/// Guards against `classify` skipping lines or stopping at lines without valid JSON or UTF-8, or at a line of
/// 17 MiB.
#[test]
fn classify_answers_every_line_in_order() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_comethitch"))
        .args(["classify", "--dialect", "tsql"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    let writer = spawn(move || {
        let long = format!("{{\"sql\": \"{}\"}}\n", "x".repeat(17 << 20));
        let lines: [&[u8]; 7] = [
            b"{\"sql\": \"SELECT 1 DELETE FROM t\"}\n",
            b"no JSON\n",
            b"\xff\xfe\n",
            long.as_bytes(),
            b"{\"sql\": 3}\n",
            b"{\"sql\": \"SELECT a FROM t WHERE b = 1\"}\n",
            b"{\"sql\": \"select A from T where B=@p -- x\"}",
        ];
        lines.iter().for_each(|line| stdin.write_all(line).expect("the data is written"));
    });
    let output = child.wait_with_output().expect("the command ends");
    writer.join().expect("the thread ends without a panic");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is valid UTF-8");
    let verdicts: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).expect(line)).collect();
    assert_eq!(verdicts.len(), 7);
    assert_eq!((&verdicts[0]["effect"], &verdicts[0]["replica"]), (&json!("write"), &json!(false)));
    assert!((1..5).all(|nth| verdicts[nth]["error"].is_string()), "{verdicts:?}");
    assert_eq!((&verdicts[5]["effect"], &verdicts[5]["replica"]), (&json!("read"), &json!(true)));
    assert_eq!(verdicts[5]["shape"], verdicts[6]["shape"]);
}
