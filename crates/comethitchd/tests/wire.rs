//! Parsers of wire formats and of the configuration with complete, truncated and arbitrary input.

mod support;

use comethitch_policy::random::RandomGenerator;
use comethitch_policy::time::Timestamp;
use comethitch_policy::{AttemptOutcome, Lifecycle, Role};
use comethitchd::state::buffer::Buffer;
use comethitchd::state::config::Config;
use comethitchd::state::endpoints::EndpointDirectory;
use comethitchd::state::host_connection::{ConnectionError, HostErrorCode, attempt_outcome};
use comethitchd::state::memory_budget::MemoryBudget;
use comethitchd::wire::http::{self, BodyDecoder, ResponseHead};
use comethitchd::wire::postgres::{
    self, HostResponse, MAX_MESSAGE_BYTES, ResponseError, StartupMessage, StartupRequest, message,
};
use comethitchd::wire::{MalformedMessage, discovery, host_report, statement};
use futures_lite::future::block_on;
use serde_json::{Value, json};
use support::{
    SAMPLE_CONFIGURATION, endpoint, error, one_row_answer, parameter_status, ready, ready_replica,
    startup_message,
};

/// Parses a response that arrives in pieces of this size. Returns an error if it is malformed.
fn response_in_pieces(piece_size: usize, bytes: &[u8]) -> Result<HostResponse, ResponseError> {
    let (mut response, mut received) = (HostResponse::default(), Vec::new());
    for piece in bytes.chunks(piece_size) {
        received.extend(piece);
        while let Some(next) = response.next_message(&received)? {
            response.accept(&next)?;
            let length = next.raw.len();
            received.drain(..length);
        }
    }
    Ok(response)
}

#[test]
fn response_is_parsed_the_same_at_every_split() {
    let report = [parameter_status("rank", "source"), parameter_status("as_of", "1767225600123")].concat();
    let bytes = [one_row_answer(b"\x9f\x00\x03"), notice(), report, ready()].concat();
    for piece_size in [1, 2, 3, 5, 7, bytes.len()] {
        let answer = response_in_pieces(piece_size, &bytes).expect("the response is valid");
        assert!(answer.is_complete() && answer.is_ready() && answer.error_code.is_none());
        assert_eq!(answer.rows, one_row_answer(b"\x9f\x00\x03"), "only the value must be forwarded");
        let report = host_report::from_parameters(&answer.parameters);
        assert_eq!(
            (report.role, report.position),
            (Some(Role::Primary), Some(Timestamp::from_millis(1_767_225_600_123)))
        );
    }
}

fn notice() -> Vec<u8> {
    support::message(b'N', b"SNOTICE\0\0")
}

/// Guards against an answer of which only messages without rows arrive, without end: they are bounded like the
/// rows.
#[test]
fn response_with_endless_messages_around_its_rows_is_malformed() {
    for repeated in [parameter_status("TimeZone", "UTC"), notice()] {
        let below = repeated.repeat(MAX_MESSAGE_BYTES / repeated.len());
        let answer = [one_row_answer(b"value"), ready()].concat();
        assert!(response_in_pieces(4096, &[below.clone(), answer].concat()).is_ok(), "up to the bound");
        let above = [below, repeated].concat();
        assert!(response_in_pieces(4096, &above).is_err(), "past the bound");
    }
}

/// Guards against forwarding an incomplete or malformed response as an answer, and against waiting for bytes
/// that a response cannot validly contain.
#[test]
fn incomplete_or_malformed_responses_are_detected() {
    let cut = [&one_row_answer(b"x")[..one_row_answer(b"x").len() - 14], &ready()].concat();
    assert!(response_in_pieces(1, &cut).is_err(), "ReadyForQuery without CommandComplete must be malformed");
    let twice = [one_row_answer(b"x"), one_row_answer(b"x"), ready()].concat();
    assert!(response_in_pieces(1, &twice).is_err(), "two values for one query must be malformed");
    let no_row = [support::message(b'C', b"INSERT 0 1\0"), ready()].concat();
    assert!(
        !response_in_pieces(1, &no_row).expect("the response is valid").is_complete(),
        "a response without a row must be incomplete"
    );
    let late_error = [one_row_answer(b"x"), error("XX000"), ready()].concat();
    let late_error = response_in_pieces(1, &late_error).expect("the response is valid");
    assert!(
        !late_error.is_complete() && late_error.error_code.as_deref() == Some("XX000"),
        "an error after the value must discard the value"
    );
    assert!(
        response_in_pieces(9, &support::message(b'R', &[0, 0, 0, 3])).is_err(),
        "a request for a password must be malformed"
    );
    let large = [&b"D"[..], &(MAX_MESSAGE_BYTES as u32 + 1).to_be_bytes()].concat();
    assert_eq!(message(&large).err(), Some(MalformedMessage("a message has an impossible length")));
    assert!(message(b"Q\0\0\0\x03").is_err(), "a length shorter than the length field must be malformed");
    // Invalid lengths and types at each level are rejected at the first byte that reveals them. Each case
    // changes one byte: what it makes invalid, its offset, the new byte, and the number of bytes after which
    // the error must be detected.
    let valid = [one_row_answer(b"abc"), ready()].concat();
    let data = valid.iter().skip(20).position(|b| *b == b'D').expect("the response holds a row") + 20;
    let malformed = [
        ("an unknown type", 0, b'?', 1),
        ("columns of the description", 6, 2, data),
        ("a name without its end", 11, b'x', data),
        ("a row's length", data + 4, 14, data + 11),
        ("columns of the row", data + 6, 2, data + 7),
        ("a column shorter than its row", data + 10, 2, data + 11),
        ("a column longer than its row", data + 10, 4, data + 11),
        ("a column of 3 GB", data + 7, 0xb2, data + 11),
        ("no value", data + 7, 0xff, data + 11),
        ("a row larger than any value", data + 1, 1, data + 5),
        ("a tag without its end", data + 27, b'x', data + 28),
        ("longer than messages of its type", data + 32, 6, data + 33),
        ("an unknown transaction status", data + 33, b'?', data + 34),
    ];
    for (what, at, byte, detected_at) in malformed {
        let mut bytes = valid.clone();
        bytes[at] = byte;
        assert!(response_in_pieces(1, &bytes[..detected_at]).is_err(), "{what} must be rejected");
        assert!(response_in_pieces(1, &bytes[..at]).is_ok(), "{what}: the bytes before it must be accepted");
    }
    assert!(
        response_in_pieces(1, &support::message(b'S', b"rank\0copy\0more\0")).is_err(),
        "a parameter that is not a pair of name and value must be malformed"
    );
    assert!(
        response_in_pieces(1, &support::message(b'E', b"SERROR\0C53300\0")).is_err(),
        "an error without its final zero must be malformed"
    );
    assert!(
        response_in_pieces(1, &error("5330")).is_err(),
        "an SQLSTATE of four characters must be malformed"
    );
}

#[test]
fn startup_requests_are_distinguished() {
    let code = |code: u32| [8u32.to_be_bytes(), code.to_be_bytes()].concat();
    assert_eq!(
        postgres::startup_message(&code(80_877_103)),
        Ok(Some(StartupMessage { request: StartupRequest::Encryption, length: 8 }))
    );
    assert_eq!(
        postgres::startup_message(&code(80_877_104)),
        Ok(Some(StartupMessage { request: StartupRequest::Encryption, length: 8 }))
    );
    assert_eq!(
        postgres::startup_message(&code(80_877_102)),
        Ok(Some(StartupMessage { request: StartupRequest::Cancel, length: 8 }))
    );
    assert!(postgres::startup_message(&code(2 << 16)).is_err());
    let whole = startup_message();
    let opened = Some(StartupMessage { request: StartupRequest::Session { minor: 0 }, length: whole.len() });
    for end in 0..whole.len() {
        assert_eq!(postgres::startup_message(&whole[..end]), Ok(None));
    }
    assert_eq!(postgres::startup_message(&[&whole[..], b"Q"].concat()), Ok(opened));
}

#[test]
fn request_comments_are_parsed_or_the_error_names_the_fault() {
    let valid = b"  /* x=1, after=17,cluster=65535,c=order,d=480,id=9b */ INSERT INTO f (code, data) VALUES('k', '\\x9f')RETURNING data";
    let comment = statement::parse_request_comment(valid).expect("the comment is valid");
    assert_eq!((comment.class, comment.shard, comment.after_ms), ("order", 65_535, Some(17)));
    assert_eq!(&valid[comment.timeout.range], b"480");
    assert_eq!(statement::session_key(valid), statement::session_key(b"SELECT 'k'"));
    assert_eq!(statement::session_key(b"SELECT 'k"), 0, "an unterminated quote must give no key");
    let unsupported = [
        "select data from facts where code = 'k'",
        "SELECT 1",
        "SELECT data FROM facts WHERE code = 'k' OR 'k'",
        "SELECT data FROM facts WHERE code = 'k",
        "INSERT INTO f (code, data) VALUES ('k', 'x') RETURNING data",
        "",
    ];
    for sql in unsupported {
        let text = format!("/* id=1,c=a,d=5,cluster=2 */ {sql}");
        let message = statement::parse_request_comment(text.as_bytes()).map_err(|why| why.to_string());
        assert_eq!(message, Err("the statement is none that hosts take".into()), "{sql}");
    }
    let cases = [
        ("/* id=1 or so,c=a,d=5,cluster=2 */", "id is none"),
        ("SELECT 1", "does not begin with its comment"),
        ("/* id=1,c=a,d=5,cluster=2", "has no end"),
        ("/* c=a,d=5,cluster=2 */", "id is missing"),
        ("/* id=1,d=5,cluster=2 */", "c is missing"),
        ("/* id=1,c=a,cluster=2 */", "d is missing"),
        ("/* id=1,c=a,d=5 */", "cluster is missing"),
        ("/* id=1,c=a,d=-5,cluster=2 */", "d is no number"),
        ("/* id=1,c=a,d=5,cluster=70000 */", "cluster is too large"),
        ("/* id=1,c=a,d=5,cluster=2,after=soon */", "after is no number"),
    ];
    for (text, wanted) in cases {
        let message = statement::parse_request_comment(text.as_bytes()).expect_err(wanted).to_string();
        assert!(message.contains(wanted), "{message}");
    }
}

#[test]
fn chunked_body_is_decoded_the_same_at_every_split() {
    let bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3;x=y\r\n{\"a\r\n1\r\n\n\r\n4\r\nb\"}\n\r\n0\r\nT: 1\r\n\r\nrest";
    for piece_size in [1, 2, 3, 5, bytes.len()] {
        let (mut received, mut body, mut out) = (Vec::new(), None, Vec::new());
        for piece in bytes.chunks(piece_size) {
            received.extend(piece);
            if body.is_none()
                && let Some(ResponseHead { status, body: form, length }) =
                    http::parse_head(&received).expect("the response head is valid")
            {
                assert_eq!(status, 200);
                received.drain(..length);
                body = Some(form);
            }
            if let Some(body) = &mut body {
                let decoded = body.decode(&received, &mut out).expect("the body is valid");
                received.drain(..decoded);
            }
        }
        assert_eq!(out, b"{\"a\nb\"}\n");
        assert!(body.is_some_and(|body| body.is_complete()) && received == b"rest");
    }
    assert_eq!(
        http::parse_head(b"HTTP/1.1 503 Off\r\nContent-Length: 2\r\n\r\n"),
        Ok(Some(ResponseHead { status: 503, body: BodyDecoder::Length(2), length: 39 }))
    );
    assert!(http::parse_head(b"SMTP ready\r\n\r\n").is_err());
    assert!(http::parse_head(&[b'a'; 20_000]).is_err(), "a head of 20 kB without an end must be malformed");
    let chunked = || {
        http::parse_head(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .expect("the response head is valid")
    };
    for wrong in [&b"zz\r\n"[..], b"1\r\nab\r\n", &[b'1'; 2_000]] {
        assert!(chunked().expect("the head is complete").body.decode(wrong, &mut Vec::new()).is_err());
    }
}

/// Guards against panics in parsers of input from clients, hosts and discovery: 3,000 seeded inputs of fewer
/// than 60 bytes, every other one after the beginning of a `DataRow`.
#[test]
fn arbitrary_bytes_cause_no_panic() {
    let mut random = RandomGenerator::new(17);
    for round in 0..3_000 {
        let mut bytes: Vec<u8> =
            (0..random.below(60.0) as usize).map(|_| random.below(256.0) as u8).collect();
        if round % 2 == 0 {
            bytes = [b"D\0\0\0\x0c", &bytes[..]].concat();
        }
        let mut answer = HostResponse::default();
        if let Ok(Some(found)) = answer.next_message(&bytes) {
            let described = &one_row_answer(b"x")[..30];
            answer
                .accept(&message(described).expect("the message is valid").expect("the message is complete"))
                .expect("the row description is expected first");
            let _ = (
                answer.accept(&found).is_ok(),
                answer.single_value().is_some(),
                postgres::query_text(found.body),
            );
        }
        let _ = (
            postgres::startup_message(&bytes),
            statement::parse_request_comment(&bytes),
            statement::session_key(&bytes),
        );
        let _ = (http::parse_head(&bytes), discovery::parse_endpoint_list(&bytes, &[]).is_ok());
        let _ = host_report::parse_load_report(&String::from_utf8_lossy(&bytes));
    }
    for malformed in ["x0=.5", "x0=1.x", "x0=99999999999999999999", "x0=-1", "=", "x0", "x0=1e9,x1=?"] {
        assert_eq!(
            host_report::parse_load_report(malformed),
            comethitch_policy::LoadReport::default(),
            "{malformed}"
        );
    }
}

/// Guards against a retry of a write that may have been executed: only the results that exclude an execution
/// may map to an outcome whose `never_ran` is true.
#[test]
fn every_connection_result_maps_to_an_attempt_outcome() {
    let code = |code: &str| Err(ConnectionError::HostError(HostErrorCode::Postgres(code.into())));
    let table = [
        (Ok(()), AttemptOutcome::Answered, false),
        (code("25006"), AttemptOutcome::NotPrimary, true),
        (code("72000"), AttemptOutcome::NotPrimary, true),
        (code("XX000"), AttemptOutcome::Error, false),
        (code("08P01"), AttemptOutcome::Error, false),
        (code("53300"), AttemptOutcome::Overloaded, true),
        (Err(ConnectionError::NotSent), AttemptOutcome::NotSent, true),
        (Err(ConnectionError::ConnectFailed), AttemptOutcome::ConnectionFailed, true),
        (Err(ConnectionError::BrokenBeforeSend), AttemptOutcome::ConnectionFailed, true),
        (Err(ConnectionError::BrokenAfterSend), AttemptOutcome::ConnectionReset, false),
        (Err(ConnectionError::Malformed), AttemptOutcome::ConnectionReset, false),
        (Err(ConnectionError::TimedOut), AttemptOutcome::TimedOut, false),
        (Err(ConnectionError::Cancelled), AttemptOutcome::Cancelled, false),
    ];
    for (result, expected, never_ran) in table {
        let outcome = attempt_outcome(&result);
        assert_eq!((outcome, outcome.never_ran()), (expected, never_ran), "{result:?}");
    }
}

#[test]
fn buffer_grows_is_compacted_and_has_a_limit() {
    let budget = MemoryBudget::new(3_500);
    let (mut buffer, mut other) = (Buffer::new(3_000, &budget), Buffer::new(3_000, &budget));
    let bytes = [7u8; 5_000];
    let mut from = &bytes[..];
    while buffer.unread().len() < 3_000 {
        block_on(buffer.fill(&mut from)).expect("the memory budget has room");
    }
    assert!(block_on(buffer.fill(&mut from)).is_err(), "the buffer must not grow beyond its limit");
    let full =
        block_on(other.fill(&mut from)).expect_err("the memory budget has no room for a second buffer");
    assert_eq!(full.kind(), std::io::ErrorKind::OutOfMemory);
    buffer.consume(2_999);
    assert!(
        block_on(buffer.fill(&mut from)).expect("the memory budget has room again") > 1_000,
        "the buffer must be compacted in place"
    );
    assert!(buffer.unread().iter().all(|b| *b == 7));
    drop(buffer);
    assert_eq!(budget.available(), 3_500, "the memory of the dropped buffer must be available");
    assert!(block_on(other.fill(&mut from)).is_ok(), "the other buffer must be able to grow");
}

#[test]
fn endpoint_list_is_parsed_or_the_error_names_the_key() {
    let zones = ["north".to_string(), "south".to_string()];
    let address = "127.0.0.1:5433".parse().expect("the address is valid");
    let list = |host: Value| json!({"seq": 4, "whole": false, "hosts": [host]}).to_string();
    let mut host = endpoint("s-1", address, true, "draining");
    host["site"] = "south".into();
    host["born_ms"] = 1_767_225_600_123_u64.into();
    let read =
        discovery::parse_endpoint_list(list(host.clone()).as_bytes(), &zones).expect("the list is valid");
    let entry = &read.entries[0];
    assert_eq!(
        (read.version, read.complete, entry.endpoint.zone, entry.endpoint.is_primary),
        (4, false, 1, true)
    );
    assert_eq!((entry.endpoint.lifecycle, entry.address), (Lifecycle::Draining, address));
    assert_eq!(entry.endpoint.started, Some(Timestamp::from_millis(1_767_225_600_123)));
    assert_eq!(discovery::host_id("s-1"), entry.endpoint.host);
    assert_ne!(discovery::host_id("s-2"), entry.endpoint.host);
    for (key, wrong) in [
        ("dial", json!("db.example")),
        ("health", json!("well")),
        ("block", json!(-1)),
        ("host", json!(null)),
    ] {
        let mut wrong_host = host.clone();
        wrong_host[key] = wrong;
        let message =
            discovery::parse_endpoint_list(list(wrong_host).as_bytes(), &zones).expect_err(key).to_string();
        assert!(message.starts_with(&format!("hosts.0.{key} ")), "{message}");
    }
    assert!(discovery::parse_endpoint_list(b"{\"seq\":1,", &zones).is_err());
}

/// Guards against memory that grows with every host that has ever been listed: 3,000 hosts replace each
/// other.
#[test]
fn endpoint_directory_stays_small_while_hosts_are_replaced() {
    let address = "127.0.0.1:5433".parse().expect("the address is valid");
    let mut list = EndpointDirectory::default();
    for round in 0..3_000 {
        let (new, old) = (format!("s-{}", round + 1), format!("s-{round}"));
        let hosts = [ready_replica(&new, address), endpoint(&old, address, false, "gone")];
        // The old host is either listed as removed or missing from a complete list.
        let whole = round % 2 == 0;
        let update = json!({"seq": round, "whole": whole, "hosts": hosts[..if whole { 1 } else { 2 }]});
        list.apply(&discovery::endpoint_list_from_json(&update, &[]).expect("the list is valid"));
        list.record_role(discovery::host_id(&new), Role::Replica);
        assert!(
            list.is_listed_at(discovery::host_id(&new), address)
                && !list.is_listed_at(discovery::host_id(&old), address)
        );
    }
    assert!(list.len() < 64, "fewer than 64 hosts may remain: {}", list.len());
    assert!(
        !list.record_role(discovery::host_id("s-3"), Role::Primary),
        "no role may be recorded for a host that is no longer known"
    );
}

#[test]
fn configuration_errors_name_the_key() {
    let without = |path: &str| sample_with(path, Value::Null);
    let cases = [
        ("{".to_string(), "not valid JSON"),
        (without("settings"), "settings is missing"),
        (without("settings.tick_us"), "settings.tick_us"),
        (without("settings.domain.class_read"), "settings.domain.class_read is missing"),
        (without("seed"), "seed is missing"),
        (without("listen"), "listen is missing, and the environment variable RELAY_LISTEN is not set"),
        (sample_with("listen", json!("here")), "listen must be an IP address with a port, not \"here\""),
        (sample_with("discovery", json!(80)), "discovery must be a string"),
        (sample_with("seed", json!("xyz")), "seed must be up to 16 hexadecimal digits"),
        (
            sample_with("limits.sockets", json!(3)),
            "limits.sockets must be a whole number of 64 or more, not 3",
        ),
        (sample_with("limits.memory_mb", json!("much")), "limits.memory_mb must be a whole number"),
        (sample_with("settings.tick_us", json!(0)), "settings.tick_us must be 1 or more"),
        (sample_with("settings.classes", json!([])), "settings.classes"),
        (sample_with("known.hosts", json!([{"host": "a"}])), "known.hosts.0.dial is missing"),
        (
            sample_with("settings.rules.cold_from", json!("low")),
            "settings.rules.cold_from has an invalid value",
        ),
        (
            sample_with("settings.rules.cold_from", json!(1.5)),
            "settings.rules.cold_from must be a number from 0 to 1",
        ),
        (
            sample_with("settings.permissions.max_attempts", json!(0)),
            "settings.permissions.max_attempts must be",
        ),
    ];
    for (text, wanted) in cases {
        let message = Config::read(&text, |_| None).expect_err(wanted).to_string();
        assert!(message.contains(wanted) && !message.contains('\n'), "{message}");
    }
    let config = Config::read(&sample_with("listen", Value::Null), |name| {
        (name == "RELAY_LISTEN").then(|| "127.0.0.1:7000".into())
    });
    assert_eq!(
        config.expect("the configuration is valid").listen.port(),
        7000,
        "the environment variable must replace a missing key"
    );
    assert!(
        Config::read(&sample_with("settings.more", json!([1, 2])), |_| None).is_ok(),
        "unknown keys must be ignored"
    );
}

/// Returns the sample configuration with the value at a path replaced, or removed if the new value is null.
fn sample_with(path: &str, value: Value) -> String {
    let mut config: Value = serde_json::from_str(SAMPLE_CONFIGURATION).expect("the sample is valid");
    let (above, key) = path.rsplit_once('.').unwrap_or(("", path));
    let parent = above.split('.').filter(|k| !k.is_empty()).fold(&mut config, |value, key| &mut value[key]);
    let parent = parent.as_object_mut().expect("the parent is an object");
    if value.is_null() {
        parent.remove(key)
    } else {
        parent.insert(key.into(), value)
    };
    config.to_string()
}
