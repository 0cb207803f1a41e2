//! Tests of the wire: complete batches in, replies or errors out.

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

/// A batch at the clock of the interface page's examples.
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

/// Instance 3's start, and the interface page's list of a group's two hosts: the records, and their tail.
fn begun() -> (Vec<Vec<u8>>, Vec<u8>) {
    let (start, mut tail) = start(DEPLOYMENT);
    let mut directory =
        [bytes("19 00000000"), (tail.len() as u32).to_le_bytes().into(), bytes("02000000")].concat();
    directory.resize(48, 0);
    tail.extend(bytes(
        "0a124a07 2b23 00 00 0b00 01 0000803f 0000803f 0000000000000000
         0a9011f2 5423 01 00 0b00 01 00000000 0000c03f 20145d0000000000",
    ));
    (vec![start, directory, record("12 0300 02 2900000000000000 00000000")], tail)
}

const SUBMITTED: &str = "16 0300 c4913a5d 0000 0000 640ad2557c3bf091 80a90300 e02e0000 00003041 0040ce43 01";
const RESET: &str = "1a 0300 c4913a5d 0000 44480000 0a124a07 2b23 00 0500 00000000 00";

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let reply =
        Session::default().reply_to(&bytes("00000000 10000000 5a5c800000000000")).expect("a reply").to_vec();
    assert_eq!(reply, bytes("08000000 00000000"));
}

#[test]
fn an_attempt_is_sent_to_the_byte_and_its_end_finds_the_command() {
    let mut session = Session::default();
    let (mut records, tail) = begun();
    records.push(record(SUBMITTED));
    let reply = session.reply_to(&batch(&records, &tail)).expect("a reply").to_vec();
    // The wake, then the attempt with all of the 240 ms that the request has.
    assert_eq!(reply[..8], bytes("38000000 02000000"));
    assert_eq!(reply[8..11], bytes("52 0300"));
    assert_eq!(reply[32..], bytes("50 0300 c4913a5d 0a124a07 2b23 80a90300 00000000000000"));
    let reply = session.reply_to(&batch(&[record(RESET)], &[])).expect("a reply").to_vec();
    assert_eq!(
        reply[8..],
        bytes("56 0300 c4913a5d 0000000000000000 0000000000000000 00"),
        "it may have run: failed"
    );
    let gone = [record("11 0300 c4913a5d"), record(RESET)];
    let reply = session.reply_to(&batch(&gone, &[])).expect("what is finished is no error").to_vec();
    assert_eq!(reply, bytes("08000000 00000000"));
}

#[test]
fn lists_are_resolved_in_the_order_of_events() {
    let mut session = Session::default();
    let (mut records, tail) = begun();
    // The number is reused for another list, further on in the same batch.
    let mut other = records[1].clone();
    other[5..9].copy_from_slice(&((tail.len() - 27) as u32).to_le_bytes());
    other[9] = 1;
    records.extend([other, record(SUBMITTED)]);
    let reply = session.reply_to(&batch(&records, &tail)).expect("a reply");
    assert_eq!(reply[32 + 7..32 + 13], bytes("0a124a07 2b23"), "the first list named the primary");
}

#[test]
fn a_restart_in_one_batch_forgets_everything() {
    let mut session = Session::default();
    let (start, tail) = start(DEPLOYMENT);
    session.reply_to(&batch(&[start.clone(), record(SUBMITTED)], &tail)).expect("a reply");
    let records = [record("10 0300"), start, record("11 0300 c4913a5d"), record(RESET)];
    let reply = session.reply_to(&batch(&records, &tail)).expect("a reply");
    assert_eq!(reply[..8], bytes("20000000 01000000"), "nothing but the wake");
}

#[test]
fn malformed_input_gets_one_plain_message() {
    let (start, tail) = start(DEPLOYMENT);
    let short_of = |key: &str| {
        let lines = DEPLOYMENT.lines().filter(|line| !line.starts_with(key));
        lines.map(|line| format!("{line}\n")).collect::<String>()
    };
    let restart = |text: String| {
        let (start, tail) = self::start(&text);
        batch(&[start], &tail)
    };
    let mut outside = start.clone();
    outside[11] = 9;
    let mut group = record(SUBMITTED);
    group[7] = 4;
    let then = |last: Vec<u8>| batch(&[start.clone(), last], &tail);
    let cases = [
        (bytes("00000000 1000"), "short frame: 6 bytes of a header of 16"),
        (bytes("01000000 40000000 5a5c800000000000 18"), "short frame: 17 bytes of 64"),
        (bytes("00000000 08000000 5a5c800000000000"), "short frame: its length field says 8 bytes"),
        (bytes("02000000 10000000 5a5c800000000000"), "short frame: 2 records do not fit into 16 bytes"),
        (then(record("63 0300")), "record 1 (code 99, byte 64): unknown event code"),
        (batch(&[outside], &tail), "lies outside the tail"),
        (then(record("12 0300 02 2900000000000000 05000000")), "list 5 was never given"),
        (then(record("12 0300 07")), "unknown list scope 7"),
        (then(group), "unknown command group 4"),
        (then(record("1a 0300 c4913a5d 0000 44480000 0a124a07 2b23 00 0c00")), "unknown ending 12"),
        (restart(short_of("rules.cold_from")), "rules.cold_from is missing"),
        (restart(DEPLOYMENT.replace("siblings=1", "siblings=many")), "siblings is unreadable: \"many\""),
        (restart(DEPLOYMENT.replace("=once", "=twice")), "classes.0.effect is unreadable: \"twice\""),
    ];
    for (input, wanted) in cases {
        let message = serve(Cursor::new(input), Vec::new()).expect_err(wanted).to_string();
        assert!(message.contains(wanted) && !message.contains('\n'), "{message}");
    }
}

#[test]
fn the_end_of_the_input_is_no_error() {
    assert!(matches!(read_frame(&mut Cursor::new([0u8; 0]), &mut Vec::new()), Ok(false)));
    assert!(matches!(serve(Cursor::new(bytes("00000000 10000000 5a5c800000000000")), Vec::new()), Ok(())));
}
