//! Tests of the binary protocol: complete batches in, replies or errors out.

use crate::{read_frame, serve, session::Session};
use std::io::Cursor;

const START: u8 = 24;
const DEPLOYMENT: &str = "domain.guards=off\ndomain.class_read=write\ndomain.oldest_data_us=0\nclasses.count=1\n\
    classes.0.effect=once\nclasses.0.target_us=300000\nclasses.0.deadline_us=3000000\nclasses.0.value=6\n\
    siblings=1\ntick_us=5000\npermissions.max_attempts=6\npermissions.connect_timeout_us=250000\n\
    rules.drain_grace_us=1000000\nrules.cold_from=0.2\nrules.warm_within_us=10000000\nrules.fall_multiple=2\n\
    rules.fall_us=1000000\nunknown.key=1\n";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hex");
    digits.chunks(2).map(pair).collect()
}

fn record(hex: &str) -> Vec<u8> {
    let mut record = bytes(hex);
    record.resize(48, 0);
    record
}

/// Encodes a batch at the time of the protocol description's examples.
fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body = records.concat();
    let mut frame = (records.len() as u32).to_le_bytes().to_vec();
    frame.extend(((16 + body.len() + tail.len()) as u32).to_le_bytes());
    frame.extend(bytes("5a5c800000000000"));
    frame.extend(body);
    frame.extend(tail);
    frame
}

fn start(text: &str) -> (Vec<u8>, Vec<u8>) {
    let mut fields = vec![START, 3, 0, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    fields.extend((text.len() as u32).to_le_bytes());
    fields.resize(48, 0);
    (fields, text.as_bytes().to_vec())
}

/// Returns the records and the tail of a batch that starts instance 3 with the two hosts of one shard, as in
/// the protocol description's example.
fn started_with_endpoints() -> (Vec<Vec<u8>>, Vec<u8>) {
    let (start, mut tail) = start(DEPLOYMENT);
    let mut list =
        [bytes("19 00000000"), (tail.len() as u32).to_le_bytes().into(), bytes("02000000")].concat();
    list.resize(48, 0);
    tail.extend(bytes(
        "0a124a07 2b23 00 00 0b00 01 0000803f 0000803f 0000000000000000
         0a9011f2 5423 01 00 0b00 01 00000000 0000c03f 20145d0000000000",
    ));
    (vec![start, list, record("12 0300 02 2900000000000000 00000000")], tail)
}

const SUBMITTED: &str = "16 0300 c4913a5d 0000 0000 640ad2557c3bf091 80a90300 e02e0000 00003041 0040ce43 01";
const RESET: &str = "1a 0300 c4913a5d 0000 44480000 0a124a07 2b23 00 0500 00000000 00";

#[test]
fn empty_batch_gets_an_empty_reply() {
    let reply =
        Session::default().reply_to(&bytes("00000000 10000000 5a5c800000000000")).expect("a reply").to_vec();
    assert_eq!(reply, bytes("08000000 00000000"));
}

#[test]
fn attempt_is_encoded_exactly_and_its_end_finds_the_request() {
    let mut session = Session::default();
    let (mut records, tail) = started_with_endpoints();
    records.push(record(SUBMITTED));
    let reply = session.reply_to(&batch(&records, &tail)).expect("a reply").to_vec();
    // The wake-up time, then the attempt with the request's whole timeout of 240 ms.
    assert_eq!(reply[..8], bytes("38000000 02000000"));
    assert_eq!(reply[8..11], bytes("52 0300"));
    assert_eq!(reply[32..], bytes("50 0300 c4913a5d 0a124a07 2b23 80a90300 00000000000000"));
    let reply = session.reply_to(&batch(&[record(RESET)], &[])).expect("a reply").to_vec();
    assert_eq!(
        reply[8..],
        bytes("56 0300 c4913a5d 0000000000000000 0000000000000000 00"),
        "the request fails because it may have run"
    );
    let late = [record("11 0300 c4913a5d"), record(RESET)];
    let reply = session.reply_to(&batch(&late, &[])).expect("a finished request is ignored").to_vec();
    assert_eq!(reply, bytes("08000000 00000000"));
}

#[test]
fn endpoint_lists_are_resolved_in_event_order() {
    let mut session = Session::default();
    let (mut records, tail) = started_with_endpoints();
    // A later record of the same batch redefines the number.
    let mut redefinition = records[1].clone();
    redefinition[5..9].copy_from_slice(&((tail.len() - 27) as u32).to_le_bytes());
    redefinition[9] = 1;
    records.extend([redefinition, record(SUBMITTED)]);
    let reply = session.reply_to(&batch(&records, &tail)).expect("a reply");
    assert_eq!(reply[32 + 7..32 + 13], bytes("0a124a07 2b23"), "the first list names the primary");
}

#[test]
fn restart_within_a_batch_discards_all_state() {
    let mut session = Session::default();
    let (start, tail) = start(DEPLOYMENT);
    session.reply_to(&batch(&[start.clone(), record(SUBMITTED)], &tail)).expect("a reply");
    let records = [record("10 0300"), start, record("11 0300 c4913a5d"), record(RESET)];
    let reply = session.reply_to(&batch(&records, &tail)).expect("a reply");
    assert_eq!(reply[..8], bytes("20000000 01000000"), "only the wake-up");
}

#[test]
fn malformed_input_is_reported_in_one_line() {
    let (start, tail) = start(DEPLOYMENT);
    let without = |key: &str| {
        let lines = DEPLOYMENT.lines().filter(|line| !line.starts_with(key));
        lines.map(|line| format!("{line}\n")).collect::<String>()
    };
    let restart = |text: String| {
        let (start, tail) = self::start(&text);
        batch(&[start], &tail)
    };
    let mut out_of_range = start.clone();
    out_of_range[11] = 9;
    let mut unknown_class = record(SUBMITTED);
    unknown_class[7] = 4;
    let after_start = |last: Vec<u8>| batch(&[start.clone(), last], &tail);
    let cases = [
        (bytes("00000000 1000"), "short frame: the input ends after 6 bytes of a header of 16 bytes"),
        (
            bytes("01000000 40000000 5a5c800000000000 18"),
            "short frame: the input ends after 17 bytes of a frame of 64 bytes",
        ),
        (
            bytes("00000000 08000000 5a5c800000000000"),
            "short frame: its length field is 8, which is less than the size of a header",
        ),
        (bytes("02000000 10000000 5a5c800000000000"), "short frame: 2 records do not fit into 16 bytes"),
        (after_start(record("63 0300")), "record 1 (code 99, byte 64): unknown event code"),
        (batch(&[out_of_range], &tail), "lies outside the tail"),
        (after_start(record("12 0300 02 2900000000000000 05000000")), "endpoint list 5 is not defined"),
        (after_start(record("12 0300 07")), "unknown endpoint list scope 7"),
        (after_start(unknown_class), "unknown request class 4"),
        (after_start(record("1a 0300 c4913a5d 0000 44480000 0a124a07 2b23 00 0c00")), "unknown outcome 12"),
        (restart(without("rules.cold_from")), "rules.cold_from is missing"),
        (
            restart(DEPLOYMENT.replace("siblings=1", "siblings=many")),
            "siblings has an invalid value: \"many\"",
        ),
        (restart(DEPLOYMENT.replace("=once", "=twice")), "classes.0.effect has an invalid value: \"twice\""),
    ];
    for (input, expected) in cases {
        let message = serve(Cursor::new(input), Vec::new()).expect_err(expected).to_string();
        assert!(message.contains(expected) && !message.contains('\n'), "{message}");
    }
}

#[test]
fn end_of_input_is_not_an_error() {
    assert!(matches!(read_frame(&mut Cursor::new([0u8; 0]), &mut Vec::new()), Ok(false)));
    assert!(matches!(serve(Cursor::new(bytes("00000000 10000000 5a5c800000000000")), Vec::new()), Ok(())));
}
