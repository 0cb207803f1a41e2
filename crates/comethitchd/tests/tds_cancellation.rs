//! Cancellation by TDS attention messages.

mod support;

use comethitch_testkit::tds::attention;
use comethitch_testkit::{Client, HostBehavior, Protocol, Reply};
use std::io::Write;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::{PrimaryAndReplica, statement_rules};

/// Guards against a missing or second acknowledgement, which the client would take for the answer to a later
/// request. In 40 rounds an attention follows its request closely, so that some attentions cross the answer
/// on the wire.
#[test]
fn attention_cancels_its_request_and_is_acknowledged_once() {
    let PrimaryAndReplica { primary, replica: _replica, ledger, router } =
        PrimaryAndReplica::start(Protocol::Tds, statement_rules("tsql", 1_200));
    primary.script(|nth, _| if nth == 0 { HostBehavior::HangAfterExecution } else { HostBehavior::Answer });
    let mut client = Client::connect(Protocol::Tds, router.address);
    client.send("INSERT INTO t VALUES ('a')");
    assert!(primary.next_request().contains("'a'"));
    client.stream.write_all(&attention()).expect("the bytes are sent");
    assert_eq!(client.receive(), Reply::Cancelled);
    assert!(client.has_no_unread_bytes(), "there must be only one acknowledgement");
    assert_eq!(
        client.execute("INSERT INTO t VALUES ('b')"),
        Reply::Answered("b".into()),
        "the connection must stay usable"
    );
    // An attention that crosses the answer on the wire is acknowledged once, whether or not the request is
    // answered.
    for nth in 0..40 {
        let text = format!("INSERT INTO t VALUES ('c{nth}')");
        client.send(&text);
        if nth % 2 == 0 {
            primary.next_request();
        }
        client.stream.write_all(&attention()).expect("the bytes are sent");
        let mut got = client.receive();
        if got == Reply::Answered(format!("c{nth}")) {
            got = client.receive();
        }
        assert_eq!(got, Reply::Cancelled, "after {text}");
        assert_eq!(client.execute("INSERT INTO t VALUES ('d')"), Reply::Answered("d".into()));
    }
    drop(client);
    router.shut_down();
    assert_eq!(ledger.executions("a"), 1, "the cancelled write must be executed once and not retried");
    assert!((0..40).all(|nth| ledger.executions(&format!("c{nth}")) <= 1));
}

/// Guards against a missing or second acknowledgement, or an execution, of requests that are cancelled while
/// they wait for a new primary. The primary is down, and each of 20 reads with a timeout of 700 ms is
/// cancelled after 10 ms.
#[test]
fn attention_during_failover_is_acknowledged_once() {
    let PrimaryAndReplica { primary, replica, ledger, router } =
        PrimaryAndReplica::start(Protocol::Tds, statement_rules("tsql", 1_200));
    let mut client = Client::connect(Protocol::Tds, router.address);
    assert_eq!(client.execute("INSERT INTO t VALUES ('a')"), Reply::Answered("a".into()));
    primary.set_down(true);
    // Strongly consistent reads wait for a new primary or are throttled. Some are cancelled while they wait.
    let mut cancelled = 0;
    for nth in 0..20 {
        client.send(&format!("/* id=f{nth},c=fresh,d=700,cluster=0 */ SELECT n FROM t WHERE a = 'f{nth}'"));
        sleep(Duration::from_millis(10));
        client.stream.write_all(&attention()).expect("the bytes are sent");
        let mut got = client.receive();
        if got != Reply::Cancelled {
            assert!(matches!(got, Reply::Throttled | Reply::Failed(_)), "{got:?}");
            got = client.receive();
        } else {
            cancelled += 1;
        }
        assert_eq!(got, Reply::Cancelled, "the attention must be acknowledged once");
    }
    assert!(cancelled > 0, "some requests must be cancelled while they wait");
    replica.set_primary(true);
    let failover_at = Instant::now();
    let mut nth = 0;
    while client.execute(&format!("INSERT INTO t VALUES ('b{nth}')")) != Reply::Answered(format!("b{nth}")) {
        assert!(
            failover_at.elapsed() < comethitch_testkit::TEST_TIMEOUT,
            "the new primary must serve writes after the failover"
        );
        nth += 1;
        sleep(Duration::from_millis(10));
    }
    drop(client);
    router.shut_down();
    assert!(
        (0..20).all(|nth| ledger.executions(&format!("f{nth}")) <= 1),
        "no cancelled request may be executed twice"
    );
}
