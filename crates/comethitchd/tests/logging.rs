//! Log lines that operators and `comethitch trail` search for.

mod support;

use serde_json::{Value, json};
use support::{
    ClientReply, Daemon, PostgresClient, ScriptedHost, answer, single_primary_configuration, statement_rules,
    unreachable_address, write_request,
};

/// Guards against rejections that operators cannot find: the log must hold the id, answer and reason of a
/// throttled request, and the counts at shutdown must include the reason.
#[test]
fn throttled_request_is_logged_with_its_id_and_reason() {
    // The primary refuses connections, so the write is never executed and the policy rejects it.
    let unreachable = unreachable_address();
    let config = single_primary_configuration(unreachable);
    let mut daemon = Daemon::start_with_options("rejected", &config, &["--log-form", "json"]);
    let mut client = PostgresClient::connect(daemon.address);
    assert_eq!(client.execute(&write_request(7301, 600)), ClientReply::error("53300"));
    daemon.signal("TERM");
    let mut lines = daemon.log.by_ref().map(|line| serde_json::from_str::<Value>(&line));
    let rejection = lines
        .find(|line| line.as_ref().is_ok_and(|line| line["message"] == "request rejected"))
        .expect("the rejection is logged");
    let fields = rejection.expect("the text is valid JSON")["kvs"].clone();
    assert_eq!((&fields["id"], &fields["answer"]), (&"7301".into(), &"throttled".into()), "{fields}");
    let reason = fields["reason"].as_str().expect("the reason is a text").to_string();
    let counts = daemon.log.find(|line| line.contains("\"counts\"")).expect("the counts are logged");
    let counts: Value = serde_json::from_str(&counts).expect("the text is valid JSON");
    assert_eq!(counts["kvs"][format!("rejected_{reason}")], 1, "{counts}");
    daemon.wait_for_exit();
}

/// Guards against wrong counts of classified statements. Two of the three texts have a verdict in the cache,
/// since they differ from the first only in spaces or in their comment.
#[test]
fn statement_verdicts_are_logged_as_json_fields() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let config = single_primary_configuration(primary.address);
    let file = std::env::temp_dir().join(format!("comethitchd-{}-verdicts.json", std::process::id()));
    std::fs::write(&file, statement_rules("postgres", 1_500).to_string()).expect("the data is written");
    let path = file.to_str().expect("the path is valid UTF-8");
    let mut daemon =
        Daemon::start_with_options("json", &config, &["--statements", path, "--log-form", "json"]);
    let mut client = PostgresClient::connect(daemon.address);
    for text in
        ["DELETE FROM facts", "DELETE  FROM facts", "/* id=1,c=read,d=900,cluster=0 */ DELETE FROM facts"]
    {
        client.execute(text);
    }
    daemon.signal("TERM");
    let line =
        daemon.log.find(|line| line.contains("\"statements\"")).expect("the counts of statements are logged");
    let line: Value = serde_json::from_str(&line).expect("the text is valid JSON");
    let fields = &line["kvs"];
    assert_eq!(
        (&fields["write"], &fields["parsed"], &fields["cache_hits"], &fields["rejected"]),
        (&json!(3), &json!(1), &json!(2), &json!(1))
    );
    let time = line["timestamp"].as_str().expect("the timestamp is a text");
    assert!(time.len() > 20 && time.as_bytes()[10] == b'T' && time.ends_with("+00:00"), "{time}");
    daemon.wait_for_exit();
    std::fs::remove_file(&file).expect("the file is removed");
}
