//! Clients that disconnect or cancel while a request is in flight: the router may send nothing more for them.
//! `docs/endings.md` lists the cases.

mod support;

use std::io::{Read, Write};
use std::net::Shutdown;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::{
    BUSY_MACHINE_SLACK, ClientReply, DISCONNECT_GRACE, Daemon, HostAction, HostEvent, LateHost,
    PostgresClient, Router, ScriptedHost, answer, gate, message, pipelined_writes, query, read_request,
    single_primary_configuration, startup_message, write_request,
};

/// Size of the value of each write behind a read.
const WRITE_BYTES: usize = 4 * 1024;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum ClientExit {
    Closes,
    /// Shuts down the sending direction only, so that the client could still read.
    HalfCloses,
    Resets,
}

impl ClientExit {
    const ALL: [ClientExit; 3] = [ClientExit::Closes, ClientExit::HalfCloses, ClientExit::Resets];

    /// Disconnects the client. Returns it if its connection is only half closed, so that the caller keeps the
    /// socket open.
    fn apply(self, client: PostgresClient) -> Option<PostgresClient> {
        match self {
            ClientExit::Closes => None,
            ClientExit::HalfCloses => {
                client.stream.shutdown(Shutdown::Write).expect("the sending direction can be shut down");
                Some(client)
            }
            ClientExit::Resets => {
                rustix::net::sockopt::set_socket_linger(&client.stream, Some(Duration::ZERO))
                    .expect("the socket option can be set");
                None
            }
        }
    }
}

/// Guards against a disconnect that the router does not notice because it has stopped reading: 400 pipelined
/// writes arrive between the request in flight and the end of the connection.
#[test]
fn client_exit_behind_pipelined_requests_cancels_the_attempt() {
    for exit in ClientExit::ALL {
        let primary = ScriptedHost::primary(|_, _| HostAction::Silence);
        let router = Router::with_single_primary(&primary);
        let mut client = PostgresClient::connect(router.address);
        client.send(&write_request(1, 5_000));
        assert!(matches!(primary.next_event(), HostEvent::Query(_)), "the first request must be sent");
        client.stream.write_all(&pipelined_writes(2)).expect("the bytes are sent");
        let (disconnected_at, _half_open) = (Instant::now(), exit.apply(client));
        assert_eq!(
            primary.next_event(),
            HostEvent::ConnectionClosed,
            "{exit:?}: the first attempt must be cancelled"
        );
        let took = disconnected_at.elapsed();
        assert!(
            took < DISCONNECT_GRACE + BUSY_MACHINE_SLACK,
            "{exit:?}: the attempt must be cancelled within the grace: {took:?}"
        );
        router.shut_down();
        assert_eq!(primary.pending_queries().len(), 0, "{exit:?}: no pipelined request may be started");
    }
}

/// Guards against starting a request whose client is gone by the time the router reads it. The router is
/// stopped while a new and an open connection send a request and disconnect.
#[test]
fn request_read_after_its_client_disconnected_is_not_started() {
    for exit in ClientExit::ALL {
        let primary = ScriptedHost::primary(|_, _| answer("value"));
        let config = single_primary_configuration(primary.address);
        let daemon = Daemon::start(&format!("read-late-{exit:?}"), &config);
        let mut first = PostgresClient::connect(daemon.address);
        assert_eq!(first.execute(&write_request(1, 5_000)), ClientReply::value("value"));
        let mut open = PostgresClient::connect(daemon.address);
        // The kernel buffers what arrives while the router is stopped.
        daemon.signal("STOP");
        let mut new = PostgresClient::connect_without_startup(daemon.address);
        new.stream
            .write_all(&[startup_message(), query(&write_request(2, 5_000))].concat())
            .expect("the bytes are sent");
        open.send(&write_request(3, 5_000));
        let _half_open = [exit.apply(new), exit.apply(open)];
        sleep(DISCONNECT_GRACE);
        daemon.signal("CONT");
        assert_eq!(first.execute(&write_request(4, 5_000)), ClientReply::value("value"));
        daemon.shut_down();
        let queries = primary.pending_queries();
        let started = |id: u32| queries.iter().any(|text| text.contains(&format!("id={id},")));
        assert!(
            started(1) && started(4) && !started(2) && !started(3),
            "{exit:?}: only requests 1 and 4 may be started: {queries:?}"
        );
    }
}

/// Guards against sending the request of a disconnected client once a slow login at the host completes. The
/// login is delayed until 200 ms after the disconnect, with and without the permission to cancel attempts.
#[test]
fn late_host_connection_carries_no_request_of_a_disconnected_client() {
    for (exit, cancel) in ClientExit::ALL.into_iter().flat_map(|exit| [(exit, true), (exit, false)]) {
        let host = LateHost::start();
        let mut config = single_primary_configuration(host.address);
        config["settings"]["permissions"]["cancel"] = cancel.into();
        config["settings"]["permissions"]["connect_timeout_us"] = 3_000_000.into();
        let router = Router::start(config);
        let mut client = PostgresClient::connect(router.address);
        client.send(&write_request(1, 5_000));
        // The router connects for the request and for a health check. Both startup messages are sent before
        // the client disconnects.
        sleep(DISCONNECT_GRACE);
        let _half_open = exit.apply(client);
        sleep(DISCONNECT_GRACE * 2);
        host.greet.send(()).expect("the host waits for the test");
        let sent: Vec<Vec<u8>> = host.received.iter().collect();
        assert!(!sent.is_empty(), "the router must connect to the host");
        let started = sent.iter().any(|bytes| String::from_utf8_lossy(bytes).contains("id=1,"));
        assert!(!started, "{exit:?}, cancel {cancel}: the request must not be sent");
        router.shut_down();
    }
}

/// Sends a read and then writes behind it. The host closes the connection with the read 300 ms later, and answers
/// whatever it gets after that. Returns the client unless it closes its connection after the last write.
fn read_before_writes(writes: usize, stays: bool) -> (Option<PostgresClient>, ScriptedHost, Router) {
    let (opener, gate) = gate();
    let primary = ScriptedHost::primary(move |nth, _| {
        if nth > 0 {
            return answer("value");
        }
        gate.wait();
        HostAction::Close
    });
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    client.send(&read_request(1, 5_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)), "the read must be sent");
    let filler = "x".repeat(WRITE_BYTES);
    for id in 0..writes {
        let text = write_request(2 + id as u32, 5_000).replace("'k'", &format!("'{filler}'"));
        client.send(&text);
    }
    let client = stays.then_some(client);
    sleep(DISCONNECT_GRACE * 3);
    opener.send(()).expect("the host waits for the test");
    (client, primary, router)
}

/// Guards against a retry for a client that has sent much and closed: the end of its connection is stuck behind
/// what was not read.
#[test]
fn request_is_not_retried_if_its_client_may_have_left_behind_unread_input() {
    let (_, primary, router) = read_before_writes(199, false);
    sleep(DISCONNECT_GRACE * 3);
    router.shut_down();
    assert_eq!(primary.pending_queries(), Vec::<String>::new(), "nothing may be sent for the client");
}

/// Guards against refusing retries for clients that are connected: the end of the connection would be seen, or
/// the request gets its final answer all the same.
#[test]
fn request_is_retried_if_the_end_of_its_connection_would_be_seen() {
    let (client, primary, router) = read_before_writes(3, true);
    let mut client = client.expect("the client stays");
    assert_eq!(client.receive(), ClientReply::value("value"), "the read must be retried");
    drop(client);
    router.shut_down();
    assert!(!primary.pending_queries().is_empty(), "the read must be sent again");
    let (client, _primary, router) = read_before_writes(199, true);
    let reply = client.expect("the client stays").receive();
    assert!(
        matches!(reply, ClientReply::Error(_)),
        "a final answer, since the client may have left: {reply:?}"
    );
    router.shut_down();
}

#[test]
fn client_disconnect_cancels_its_attempt() {
    let primary = ScriptedHost::primary(|_, _| HostAction::Silence);
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    client.send(&write_request(1, 60_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    drop(client);
    assert_eq!(primary.next_event(), HostEvent::ConnectionClosed);
    router.shut_down();
}

/// Logs in and returns the process id and the secret key that the router sends, as needed for a cancel
/// request.
fn cancel_key(client: &mut PostgresClient) -> [u8; 8] {
    client.stream.write_all(&startup_message()).expect("the bytes are sent");
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(&message(b'Z', b"I")) {
        client.stream.read_exact(&mut byte).expect("the router completes the login");
        received.push(byte[0]);
    }
    let at = received
        .windows(5)
        .rposition(|five| five == [b'K', 0, 0, 0, 12])
        .expect("the router sends BackendKeyData");
    received[at + 5..at + 13].try_into().expect("the key has eight bytes")
}

/// Guards against a cancel request that affects the next request on the connection or one of another client,
/// and against a retry of the cancelled write.
#[test]
fn cancel_request_with_the_correct_key_cancels_only_its_request() {
    let primary =
        ScriptedHost::primary(|nth, _| if nth == 0 { HostAction::Silence } else { answer("value") });
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect_without_startup(router.address);
    let key = cancel_key(&mut client);
    let cancel = |key: [u8; 8]| {
        let request = [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &key].concat();
        let mut other = PostgresClient::connect_without_startup(router.address);
        other.stream.write_all(&request).expect("the bytes are sent");
        assert_eq!(other.receive(), ClientReply::Closed, "a cancel request must get no reply");
    };
    // Without a request in flight there is nothing to cancel.
    cancel(key);
    client.send(&write_request(1, 5_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    let mut wrong = key;
    wrong[7] ^= 1;
    cancel(wrong);
    assert!(primary.events.recv_timeout(DISCONNECT_GRACE).is_err(), "a wrong key must cancel nothing");
    let cancelled_at = Instant::now();
    cancel(key);
    assert_eq!(client.receive(), ClientReply::error("57014"));
    assert_eq!(primary.next_event(), HostEvent::ConnectionClosed, "the attempt must be cancelled");
    assert!(
        cancelled_at.elapsed() < DISCONNECT_GRACE + BUSY_MACHINE_SLACK,
        "the attempt must be cancelled within the grace: {:?}",
        cancelled_at.elapsed()
    );
    assert_eq!(client.execute(&write_request(2, 5_000)), ClientReply::value("value"));
    router.shut_down();
    let sent = primary.pending_queries();
    let second = matches!(&sent[..], [text] if text.contains("id=2,"));
    assert!(second, "only the second request may follow, since the first must not be retried: {sent:?}");
}
