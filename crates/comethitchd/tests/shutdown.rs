//! Graceful shutdown: every received request is answered, and no client or host delays the exit of the
//! router.

mod support;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use support::{
    BUSY_MACHINE_SLACK, ClientReply, Daemon, HostAction, HostEvent, PostgresClient, Router, ScriptedHost,
    TEST_TIMEOUT, answer, one_row_answer, query, read_request, single_primary_configuration, write_request,
};

/// Waits until the router has closed its sending direction, without reading anything.
fn wait_for_end_of_stream(stream: &TcpStream) {
    let mut descriptors = [PollFd::new(stream, PollFlags::RDHUP)];
    let timeout = Timespec { tv_sec: TEST_TIMEOUT.as_secs() as i64, tv_nsec: 0 };
    assert_eq!(poll(&mut descriptors, Some(&timeout)), Ok(1), "the router must close the connection");
}

/// Guards against a reset that destroys an answer which the client has not read yet. It would occur if the
/// router closed the socket while bytes of the client's next request are unread.
#[test]
fn request_crossing_an_idle_close_is_not_executed_and_causes_no_reset() {
    let primary = ScriptedHost::primary(|nth, _| answer(&format!("value {nth}")));
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    // The client has not read the last answer, and sends its next request while the router closes the
    // connection.
    client.send(&write_request(1, 5_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    router.begin_shutdown();
    wait_for_end_of_stream(&client.stream);
    client.send(&write_request(2, 5_000));
    assert_eq!(client.receive(), ClientReply::value("value 0"));
    let end = client.stream.read(&mut [0]);
    assert!(matches!(end, Ok(0)), "the connection must be closed without a reset: {end:?}");
    router.shut_down();
    assert_eq!(primary.pending_queries().len(), 0, "the second request must not be executed");
}

/// Guards against a shutdown that never ends because a client always has requests in flight, and against
/// requests that are executed but not answered.
#[test]
fn shutdown_during_continuous_pipelining_is_prompt_and_loses_no_answer() {
    let primary = ScriptedHost::primary(|nth, _| answer(&format!("value {nth}")));
    let config = single_primary_configuration(primary.address);
    let daemon = Daemon::start("continuous", &config);
    let mut client = PostgresClient::connect(daemon.address);
    // Keeps sixteen requests in flight until the connection ends.
    let mut sent = 0;
    let mut send = |stream: &mut TcpStream| {
        sent += 1;
        stream.write_all(&query(&write_request(sent, 5_000))).is_ok()
    };
    (0..16).for_each(|_| assert!(send(&mut client.stream)));
    let (mut answered, mut signalled_at) = (0, None);
    loop {
        match client.receive() {
            ClientReply::Value(value) => assert_eq!(value, format!("value {answered}").into_bytes()),
            ClientReply::Closed => break,
            other => panic!("every request must be answered with a value, but one got {other:?}"),
        }
        answered += 1;
        if answered == 50 {
            daemon.signal("TERM");
            signalled_at = Some(Instant::now());
        }
        send(&mut client.stream);
    }
    let took = signalled_at.expect("SIGTERM was sent").elapsed();
    daemon.wait_for_exit();
    assert!(
        took < Duration::from_secs(2),
        "the connection must end within two seconds of the signal: {took:?}"
    );
    assert_eq!(
        primary.pending_queries().len(),
        answered,
        "every request that reached the host must be answered"
    );
}

/// Guards against a shutdown that waits for a host which never answers: three requests with a timeout of
/// 300 ms must still get their errors in time.
#[test]
fn shutdown_with_a_hung_host_answers_within_the_client_timeout() {
    let primary = ScriptedHost::primary(|_, _| HostAction::Silence);
    let config = single_primary_configuration(primary.address);
    let daemon = Daemon::start("hangs", &config);
    let mut clients: Vec<PostgresClient> = (0..3).map(|_| PostgresClient::connect(daemon.address)).collect();
    let started = Instant::now();
    for (id, client) in clients.iter_mut().enumerate() {
        let text = if id == 0 { read_request(1, 300) } else { write_request(1 + id as u32, 300) };
        client.send(&text);
    }
    // One request has reached the host. The others may still be on their way.
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    daemon.signal("TERM");
    for client in &mut clients {
        let got = client.receive();
        assert!(matches!(got, ClientReply::Error(_)), "the request must end with an error: {got:?}");
        assert!(
            started.elapsed() < Duration::from_millis(300) + BUSY_MACHINE_SLACK,
            "the answer must arrive within the timeout of 300 ms: {:?}",
            started.elapsed()
        );
    }
    daemon.wait_for_exit();
}

/// Guards against a shutdown that waits for a client which does not read its answers, once the buffers of
/// both directions are full.
#[test]
fn client_that_never_reads_does_not_block_shutdown() {
    let primary = ScriptedHost::primary(|_, _| HostAction::Answer(one_row_answer(&[b'x'; 60_000])));
    let config = single_primary_configuration(primary.address);
    let daemon = Daemon::start("never-reads", &config);
    let mut client = PostgresClient::connect(daemon.address);
    let mut sending_half = client.stream.try_clone().expect("the socket can be duplicated");
    // Sends until the socket accepts no more bytes, which shows that the buffers of both directions are full.
    sending_half.set_write_timeout(Some(Duration::from_millis(300))).expect("the timeout is not zero");
    let mut sent = 0;
    while sending_half.write_all(&query(&write_request(sent, 5_000))).is_ok() && sent < 10_000 {
        sent += 1;
    }
    let mut other = PostgresClient::connect(daemon.address);
    assert!(
        matches!(other.execute(&write_request(50_000, 5_000)), ClientReply::Value(_)),
        "another client must be served"
    );
    daemon.shut_down();
    assert!(matches!(client.receive(), ClientReply::Value(_)));
}

/// Guards against a connection that is closed without an answer when the shutdown period ends: a write with a
/// timeout of 60 s must get an error.
#[test]
fn shutdown_answers_requests_that_outlast_the_shutdown_period() {
    let primary = ScriptedHost::primary(|_, _| HostAction::Silence);
    let config = single_primary_configuration(primary.address);
    let daemon = Daemon::start("waits-long", &config);
    let mut client = PostgresClient::connect(daemon.address);
    client.send(&write_request(1, 60_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    daemon.signal("TERM");
    assert_eq!(client.receive(), ClientReply::error("40003"), "the write may have been executed");
    daemon.wait_for_exit();
}

/// Earliest time of SIGKILL after SIGTERM if clients have long timeouts: SIGKILL follows 0.7 s after the
/// longest client timeout, which counts as 3 s at most.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);

/// Guards against a shutdown period as long as the timeouts of clients, here 10 s: SIGKILL would end the
/// daemon before it has answered.
#[test]
fn shutdown_with_long_timeouts_ends_before_the_earliest_sigkill() {
    let primary = ScriptedHost::primary(|_, _| HostAction::Silence);
    let mut config = single_primary_configuration(primary.address);
    config["settings"]["classes"][2]["deadline_us"] = 10_000_000.into();
    let daemon = Daemon::start("long-deadline", &config);
    let mut client = PostgresClient::connect(daemon.address);
    client.send(&write_request(1, 10_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    let signalled_at = Instant::now();
    daemon.signal("TERM");
    assert_eq!(client.receive(), ClientReply::error("40003"), "the write may have been executed");
    daemon.wait_for_exit();
    assert!(
        signalled_at.elapsed() < EARLIEST_KILL,
        "the daemon must exit within {EARLIEST_KILL:?}: {:?}",
        signalled_at.elapsed()
    );
}

/// Guards against a panic at shutdown when all request classes have very short timeouts: an objective of 10
/// ms and a deadline of 20 ms.
#[test]
fn shutdown_with_very_short_timeouts_does_not_panic() {
    let primary = ScriptedHost::primary(|_, _| HostAction::Silence);
    let mut config = single_primary_configuration(primary.address);
    for class in config["settings"]["classes"].as_array_mut().expect("settings.classes is an array") {
        (class["target_us"], class["deadline_us"]) = (10_000.into(), 20_000.into());
    }
    let daemon = Daemon::start("moment", &config);
    // A request in flight with a longer timeout keeps the router running until the shutdown period ends.
    let mut client = PostgresClient::connect(daemon.address);
    client.send(&write_request(1, 60_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    daemon.signal("TERM");
    assert_eq!(client.receive(), ClientReply::error("40003"));
    daemon.wait_for_exit();
}

/// Guards against requests that are lost around the beginning of a shutdown: one is in flight, one arrives on
/// an open connection afterwards, and one on a new connection.
#[test]
fn requests_received_around_shutdown_are_answered() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let primary = ScriptedHost::primary(move |nth, _| {
        // The first request is answered only once the second one has arrived, which is after the shutdown has
        // begun.
        match nth {
            0 => drop(
                released.lock().expect("no thread panics while it holds the lock").recv_timeout(TEST_TIMEOUT),
            ),
            _ => release.send(()).expect("the first request waits"),
        }
        answer("value")
    });
    let router = Router::with_single_primary(&primary);
    let (mut early, mut late) =
        (PostgresClient::connect(router.address), PostgresClient::connect(router.address));
    early.send(&write_request(1, 3_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    router.begin_shutdown();
    let mut newest = PostgresClient::connect(router.address);
    assert_eq!(newest.execute("DISCARD ALL"), ClientReply::Done("DISCARD".into()));
    assert_eq!(late.execute(&write_request(2, 3_000)), ClientReply::value("value"));
    assert_eq!(early.receive(), ClientReply::value("value"));
    router.shut_down();
    assert_eq!(late.receive(), ClientReply::Closed, "idle connections must be closed at the end");
}
