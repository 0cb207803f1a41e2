//! Requests of a client to one or two hosts: what the router forwards, answers, retries and cancels.

mod support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::{Duration, SystemTime};
use support::{
    ClientReply, HostAction, HostEvent, PostgresClient, Router, ScriptedHost, TEST_TIMEOUT, answer,
    configuration, error, message, one_row_answer, query, read_request, ready, ready_primary, ready_replica,
    single_primary_configuration, startup_message, unreachable_address, write_request,
};

/// Guards against parsing that depends on how bytes are split (each byte is written separately), and against
/// changes to the statement other than the remaining timeout in its comment.
#[test]
fn statements_are_forwarded_unchanged_and_answered_in_order() {
    let primary = ScriptedHost::primary(|nth, _| answer(&format!("value {nth}")));
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect_without_startup(router.address);
    // An encryption request is declined. The queries follow the startup message without waiting for its
    // reply.
    client
        .stream
        .write_all(&[8u32.to_be_bytes(), 80_877_103u32.to_be_bytes()].concat())
        .expect("the bytes are sent");
    let mut declined = [0];
    client.stream.read_exact(&mut declined).expect("the response is valid");
    assert_eq!(&declined, b"N");
    let (first, second) = (write_request(1, 2_000), write_request(2, 2_000));
    let bytes = [startup_message(), query(""), query(&first), query(&second), query("SET a = 1")].concat();
    for byte in bytes {
        client.stream.write_all(&[byte]).expect("the bytes are sent");
    }
    let replies: Vec<ClientReply> = (0..5).map(|_| client.receive()).collect();
    let value = |nth| ClientReply::value(&format!("value {nth}"));
    assert_eq!(
        replies,
        [
            ClientReply::Done("welcome".into()),
            ClientReply::Empty,
            value(0),
            value(1),
            ClientReply::Done("SET".into())
        ]
    );
    for sent in [first, second] {
        let HostEvent::Query(received) = primary.next_event() else { panic!("a query") };
        let timeout = received
            .split(",d=")
            .nth(1)
            .and_then(|rest| rest.split(',').next())
            .expect("the comment holds d");
        assert!((1..=2_000).contains(&timeout.parse::<u32>().expect("the text is a number")), "{received}");
        assert_eq!(received.replace(&format!(",d={timeout},"), ",d=2000,"), sent);
    }
    client.stream.write_all(&message(b'X', b"")).expect("the bytes are sent");
    assert_eq!(client.receive(), ClientReply::Closed);
    router.shut_down();
}

#[test]
fn large_value_is_returned_completely() {
    let large = vec![0x9f; 64 * 1024];
    let value = large.clone();
    let primary = ScriptedHost::primary(move |_, _| HostAction::Answer(one_row_answer(&value)));
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    let text = write_request(1, 3_000).replace("9f", &"9f".repeat(64 * 1024));
    assert!(client.execute(&text) == ClientReply::Value(large), "the value must be returned unchanged");
    assert!(matches!(primary.next_event(), HostEvent::Query(text) if text.len() > 128 * 1024));
    router.shut_down();
}

#[test]
fn write_that_may_have_run_fails_and_is_never_retried() {
    let primary = ScriptedHost::primary(|nth, _| if nth == 0 { HostAction::Close } else { answer("again") });
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute(&write_request(1, 1_000)), ClientReply::error("40003"));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)), "one attempt must arrive");
    drop(client);
    router.shut_down();
    assert!(primary.pending_queries().is_empty(), "there must be no second attempt");
}

#[test]
fn write_that_never_ran_is_throttled() {
    let router = Router::start(single_primary_configuration(unreachable_address()));
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute(&write_request(1, 600)), ClientReply::error("53300"));
    router.shut_down();
}

/// Guards against a write that is reported as possibly executed although the login at the host never
/// completed.
#[test]
fn write_to_a_host_that_never_greets_is_throttled() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    let router = Router::start(single_primary_configuration(address));
    assert_eq!(
        PostgresClient::connect(router.address).execute(&write_request(1, 900)),
        ClientReply::error("53300")
    );
    router.shut_down();
}

/// Guards against a connection that is reused after a malformed response, where later bytes would reach
/// another request.
#[test]
fn malformed_response_fails_the_write_and_closes_the_connection() {
    let malformed =
        [message(b'?', b""), message(b'D', b"\0\x01"), [one_row_answer(b"a"), one_row_answer(b"b")].concat()];
    for bytes in malformed {
        let primary = ScriptedHost::primary(move |nth, _| match nth {
            0 => HostAction::Answer(bytes.clone()),
            _ => answer("value"),
        });
        let router = Router::with_single_primary(&primary);
        let mut client = PostgresClient::connect(router.address);
        assert_eq!(client.execute(&write_request(1, 2_000)), ClientReply::error("40003"));
        assert!(matches!(primary.next_event(), HostEvent::Query(_)));
        assert_eq!(primary.next_event(), HostEvent::ConnectionClosed);
        assert_eq!(
            client.execute(&write_request(2, 2_000)),
            ClientReply::value("value"),
            "the next request must be served"
        );
        router.shut_down();
    }
}

/// Guards against extra bytes of a host that are taken for the answer to the next request on the connection.
#[test]
fn extra_bytes_after_response_close_the_connection() {
    for extra_bytes in [one_row_answer(b"theirs"), vec![0x7f; 40], one_row_answer(b"theirs")[..9].to_vec()] {
        let primary = ScriptedHost::primary(move |nth, _| match nth {
            0 => HostAction::Answer([one_row_answer(b"value"), ready(), extra_bytes.clone()].concat()),
            _ => answer("own"),
        });
        let router = Router::with_single_primary(&primary);
        let mut client = PostgresClient::connect(router.address);
        assert_eq!(
            client.execute(&write_request(1, 2_000)),
            ClientReply::value("value"),
            "the response itself is valid and must be forwarded"
        );
        assert!(matches!(primary.next_event(), HostEvent::Query(_)));
        assert_eq!(primary.next_event(), HostEvent::ConnectionClosed);
        assert_eq!(client.execute(&write_request(2, 2_000)), ClientReply::value("own"));
        router.shut_down();
    }
}

/// Guards against requests with a timeout of 0 that count as failures of the host: a later request must still
/// be served.
#[test]
fn expired_requests_are_throttled_without_blaming_the_host() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    for id in 0..5 {
        assert_eq!(client.execute(&write_request(id, 0)), ClientReply::error("53300"));
    }
    assert_eq!(client.execute(&write_request(9, 2_000)), ClientReply::value("value"));
    assert_eq!(primary.pending_queries().len(), 1);
    router.shut_down();
}

#[test]
fn writes_met_by_not_primary_or_overloaded_errors_are_throttled() {
    for code in ["25006", "53300"] {
        let primary = ScriptedHost::primary(move |_, _| HostAction::Answer(error(code)));
        let router = Router::with_single_primary(&primary);
        let got = PostgresClient::connect(router.address).execute(&write_request(1, 400));
        assert_eq!(got, ClientReply::error("53300"), "after {code}");
        router.shut_down();
    }
}

/// Guards against checking the staleness bound only when the attempt starts. The login at the replica
/// completes when its data reach the bound of 2 s, and a read that waits for this login must go to the
/// primary instead.
#[test]
fn read_delayed_by_a_slow_connect_gets_no_data_past_its_bound() {
    let bound = Duration::from_secs(2);
    let replica = ScriptedHost::stale_replica(SystemTime::now(), bound, |nth, _| {
        if nth == 0 { HostAction::Silence } else { answer("old") }
    });
    let primary = ScriptedHost::primary(|_, _| answer("new"));
    let hosts = [ready_primary("p", primary.address), ready_replica("r", replica.address)];
    let mut config = configuration(&hosts);
    config["settings"]["domain"]["oldest_data_us"][0] = 2_000_000.into();
    config["settings"]["permissions"]["connect_timeout_us"] = 10_000_000.into();
    let router = Router::start(config);
    // Once the router knows that the data of the replica are fresh, a read uses the only connection whose
    // login is complete. The next read at the replica would need another connection.
    let mut clients = Vec::new();
    while !matches!(replica.events.recv_timeout(Duration::from_millis(20)), Ok(HostEvent::Query(_))) {
        let mut client = PostgresClient::connect(router.address);
        client.send(&read_request(1, 10_000));
        clients.push(client);
        assert!(clients.len() < 90, "the replica must get a read while its data are fresh");
    }
    assert_eq!(
        PostgresClient::connect(router.address).execute(&read_request(2, 10_000)),
        ClientReply::value("new")
    );
    assert!(replica.pending_queries().is_empty(), "nothing may be sent to the replica later");
    router.shut_down();
}

#[test]
fn read_is_retried_after_the_host_closes_its_connection() {
    let primary = ScriptedHost::primary(|nth, _| if nth == 0 { HostAction::Close } else { answer("second") });
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute(&read_request(1, 2_000)), ClientReply::value("second"));
    router.shut_down();
}

#[test]
fn attempt_at_a_silent_host_times_out_and_closes_its_connection() {
    let primary = ScriptedHost::primary(|_, _| HostAction::Silence);
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute(&write_request(1, 300)), ClientReply::error("40003"));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    assert_eq!(
        primary.next_event(),
        HostEvent::ConnectionClosed,
        "the connection must be closed, so that late bytes reach no other request"
    );
    router.shut_down();
}

#[test]
fn idle_host_connection_is_reused() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    for id in 0..3 {
        assert_eq!(client.execute(&write_request(id, 2_000)), ClientReply::value("value"));
    }
    assert!(
        !primary.events.try_iter().any(|event| event == HostEvent::ConnectionClosed),
        "one connection must carry all requests"
    );
    router.shut_down();
}

/// Guards against a retry of a write that was sent on a reused connection just before the host closed it: the
/// host may have executed the write. A read is retried.
#[test]
fn reused_connection_closed_by_host_fails_write_and_retries_read() {
    let primary =
        ScriptedHost::primary(
            |nth, _| if nth % 2 == 1 { HostAction::Close } else { answer(&format!("value {nth}")) },
        );
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    assert_eq!(client.execute(&write_request(1, 5_000)), ClientReply::value("value 0"));
    assert_eq!(
        client.execute(&write_request(2, 5_000)),
        ClientReply::error("40003"),
        "the write was sent on the reused connection and must fail"
    );
    assert_eq!(client.execute(&write_request(3, 5_000)), ClientReply::value("value 2"));
    assert_eq!(
        client.execute(&read_request(4, 5_000)),
        ClientReply::value("value 4"),
        "the read was lost on the reused connection and must be retried"
    );
    router.shut_down();
    let sent = primary.pending_queries();
    assert_eq!(sent.len(), 5, "four requests and one retry must arrive: {sent:?}");
}

/// Guards against invalid statements and messages that get the wrong SQLSTATE, or that disturb other
/// connections.
#[test]
fn invalid_input_gets_an_error_and_affects_no_other_client() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    let cases = [
        ("SELECT 1".to_string(), "42601"),
        (read_request(1, 9).replace("d=9", "d=x"), "42601"),
        (read_request(1, 9).replace("c=read", "c=unknown"), "22023"),
        (read_request(1, 9).replace("d=9", "d=99999999999"), "22023"),
        (read_request(1, 9).replace("SELECT data", "SELECT 1, data"), "42601"),
    ];
    for (text, code) in cases {
        assert_eq!(client.execute(&text), ClientReply::Error(code.into()), "{text}");
    }
    // Messages of the extended query protocol get one error and are skipped up to Sync.
    let extended = [message(b'P', b"\0SELECT 1\0\0\0"), message(b'B', b""), message(b'S', b"")].concat();
    client.stream.write_all(&extended).expect("the bytes are sent");
    assert_eq!(client.receive(), ClientReply::error("0A000"));
    let invalid_messages = [message(b'y', b""), vec![b'Q', 0x7f, 0, 0, 0], message(b'Q', b"no end")];
    for bytes in invalid_messages {
        let mut other = PostgresClient::connect(router.address);
        other.stream.write_all(&bytes).expect("the bytes are sent");
        assert_eq!(other.receive(), ClientReply::error("08P01"));
        assert_eq!(
            other.stream.read(&mut [0]).unwrap_or(0),
            0,
            "the connection must be closed once message boundaries are lost"
        );
    }
    assert_eq!(client.execute(&write_request(1, 2_000)), ClientReply::value("value"));
    router.shut_down();
}

/// Guards against two requests in flight with the same id, whose attempts and cancellations could not be told
/// apart.
#[test]
fn id_of_a_request_in_flight_is_rejected_for_another_request() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let primary = ScriptedHost::primary(move |_, _| {
        let _ = released.lock().expect("no thread panics while it holds the lock").recv_timeout(TEST_TIMEOUT);
        answer("value")
    });
    let router = Router::with_single_primary(&primary);
    let (mut first, mut second) =
        (PostgresClient::connect(router.address), PostgresClient::connect(router.address));
    first.send(&write_request(1, 5_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    assert_eq!(second.execute(&write_request(1, 5_000)), ClientReply::error("42710"));
    release.send(()).expect("the host waits for the test");
    assert_eq!(first.receive(), ClientReply::value("value"));
    release.send(()).expect("the host is still running");
    assert_eq!(
        second.execute(&write_request(1, 5_000)),
        ClientReply::value("value"),
        "the id must be free once its request is answered"
    );
    router.shut_down();
}
