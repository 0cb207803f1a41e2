//! Lines of the log that operators and `comethitch trail` search for.

mod support;

use serde_json::{Value, json};
use support::{
    ClientReply, Daemon, PostgresClient, ScriptedHost, answer, single_primary_configuration, statement_rules,
    unreachable_address, write_request,
};

#[test]
fn throttled_request_is_logged_with_its_id_and_reason() {
    // The primary's port accepts no connection, so the write never runs and the policy rejects it.
    let unreachable = unreachable_address();
    let config = single_primary_configuration(unreachable);
    let mut daemon = Daemon::start_with_options("rejected", &config, &["--log-form", "json"]);
    let mut client = PostgresClient::connect(daemon.address);
    assert_eq!(client.execute(&write_request(7301, 600)), ClientReply::error("53300"));
    daemon.signal("TERM");
    let mut lines = daemon.log.by_ref().map(|line| serde_json::from_str::<Value>(&line));
    let rejection =
        lines.find(|line| line.as_ref().is_ok_and(|l| l["message"] == "request rejected")).expect("a line");
    let kvs = rejection.expect("JSON")["kvs"].clone();
    assert_eq!((&kvs["id"], &kvs["answer"]), (&"7301".into(), &"throttled".into()), "{kvs}");
    let reason = kvs["reason"].as_str().expect("a reason").to_string();
    let counts = daemon.log.find(|line| line.contains("\"counts\"")).expect("the counts");
    let counts: Value = serde_json::from_str(&counts).expect("JSON");
    assert_eq!(counts["kvs"][format!("rejected_{reason}")], 1, "{counts}");
    daemon.wait_for_exit();
}

#[test]
fn statement_verdicts_are_logged_as_json_fields() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let config = single_primary_configuration(primary.address);
    let file = std::env::temp_dir().join(format!("comethitchd-{}-verdicts.json", std::process::id()));
    std::fs::write(&file, statement_rules("postgres", 1_500).to_string()).expect("written");
    let path = file.to_str().expect("a path");
    let mut daemon =
        Daemon::start_with_options("json", &config, &["--statements", path, "--log-form", "json"]);
    let mut client = PostgresClient::connect(daemon.address);
    for text in
        ["DELETE FROM facts", "DELETE  FROM facts", "/* id=1,c=read,d=900,cluster=0 */ DELETE FROM facts"]
    {
        client.execute(text);
    }
    daemon.signal("TERM");
    let line = daemon.log.find(|line| line.contains("\"statements\"")).expect("a line about statements");
    let line: Value = serde_json::from_str(&line).expect("JSON");
    let kvs = &line["kvs"];
    assert_eq!(
        (&kvs["write"], &kvs["parsed"], &kvs["cache_hits"], &kvs["rejected"]),
        (&json!(3), &json!(1), &json!(2), &json!(1))
    );
    let time = line["timestamp"].as_str().expect("a time");
    assert!(time.len() > 20 && time.as_bytes()[10] == b'T' && time.ends_with("+00:00"), "{time}");
    daemon.wait_for_exit();
    std::fs::remove_file(&file).expect("removed");
}
