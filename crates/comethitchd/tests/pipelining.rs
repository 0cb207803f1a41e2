//! Timeouts of pipelined requests with both protocols.
//!
//! Guards against a timeout that is counted from bytes of a later request, or only from the end of the
//! request before. The second request has a timeout of 300 ms and waits behind the first for 600 ms, so it
//! must be throttled; the third arrives completely after 500 ms and must keep its whole timeout.

mod support;

use comethitch_testkit::{Client, HostBehavior, Protocol, Reply};
use std::io::Write;
use std::thread::sleep;
use std::time::Duration;
use support::{
    ClientReply, HostEvent, PostgresClient, PrimaryAndReplica, Router, ScriptedHost, answer, gate, query,
    statement_rules, write_request,
};

#[test]
fn pipelined_request_timeout_starts_at_its_own_last_byte() {
    let (opener, gate) = gate();
    let primary = ScriptedHost::primary(move |nth, _| {
        if nth == 0 {
            gate.wait();
        }
        answer("value")
    });
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    client.send(&write_request(1, 5_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    // The second request arrives while the first is in flight, together with the beginning of the third.
    let (second, third) = (query(&write_request(2, 300)), query(&write_request(3, 5_000)));
    client.stream.write_all(&[&second[..], &third[..20]].concat()).expect("the bytes are sent");
    sleep(Duration::from_millis(500));
    client.stream.write_all(&third[20..]).expect("the bytes are sent");
    // The second request's timeout has passed. Counted from the third request's last byte, most of it would
    // be left.
    sleep(Duration::from_millis(100));
    opener.send(()).expect("the host waits for the test");
    assert_eq!(client.receive(), ClientReply::value("value"));
    assert_eq!(
        client.receive(),
        ClientReply::error("53300"),
        "the second request's timeout passed while it waited"
    );
    assert_eq!(
        client.receive(),
        ClientReply::value("value"),
        "the third request must have its complete timeout"
    );
    router.shut_down();
    let sent = primary.pending_queries();
    let third = matches!(&sent[..], [text] if text.contains("id=3,"));
    assert!(third, "only the third request may follow the first: {sent:?}");
}

#[test]
fn pipelined_batch_timeout_starts_at_its_own_last_byte() {
    let PrimaryAndReplica { primary, replica: _replica, ledger, router } =
        PrimaryAndReplica::start(Protocol::Tds, statement_rules("tsql", 1_200));
    let (opener, gate) = gate();
    primary.script(move |nth, _| {
        if nth == 0 {
            gate.wait();
        }
        HostBehavior::Answer
    });
    let mut client = Client::connect(Protocol::Tds, router.address);
    let insert = |id: u32, timeout_ms: u32| {
        format!("/* id={id},c=write,d={timeout_ms},cluster=0 */ INSERT INTO t VALUES ('{id}')")
    };
    client.send(&insert(1, 5_000));
    client.send(&insert(2, 300));
    sleep(Duration::from_millis(500));
    client.send(&insert(3, 5_000));
    // The second request's timeout has passed. Counted from the third request's last byte, most of it would
    // be left.
    sleep(Duration::from_millis(100));
    opener.send(()).expect("the host waits for the test");
    assert_eq!(client.receive(), Reply::Answered("1".into()));
    assert_eq!(client.receive(), Reply::Throttled, "the second request's timeout passed while it waited");
    assert_eq!(
        client.receive(),
        Reply::Answered("3".into()),
        "the third request must have its complete timeout"
    );
    drop(client);
    router.shut_down();
    assert_eq!([1, 2, 3].map(|id| ledger.executions(&id.to_string())), [1, 0, 1]);
}
