//! Conditions that must still hold at the moment when an attempt is sent: the remaining timeout, a connected
//! client and the staleness bound. Slow connects, stalls and slowly reading hosts delay that moment.

mod support;

use comethitch_testkit::postgres::answer_without_effect;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime};
use support::{
    ClientReply, DISCONNECT_GRACE, Daemon, LateHost, PostgresClient, Router, ScriptedHost, answer,
    configuration, message, one_row_answer, parameter_status, read_request, ready, ready_primary,
    ready_replica, single_primary_configuration, write_request,
};

/// Returns what the connection that received the request with this id has received, or `None` if there is
/// none.
fn request_in(received: &[Vec<u8>], id: u32) -> Option<String> {
    let texts = received.iter().map(|bytes| String::from_utf8_lossy(bytes).into_owned());
    texts.into_iter().find(|text| text.contains(&format!("id={id},")))
}

/// Guards against a host that executes a request after its client has given up. The login at the host takes
/// 200 ms of a timeout of 600 ms; the request that the host then receives must state only the time that is
/// left.
#[test]
fn host_is_sent_the_remaining_timeout_after_a_slow_connect() {
    const TIMEOUT_MS: u32 = 600;
    let host = LateHost::start();
    let router = Router::start(single_primary_configuration(host.address));
    let mut client = PostgresClient::connect(router.address);
    let sent_at = Instant::now();
    client.send(&write_request(1, TIMEOUT_MS));
    sleep(Duration::from_millis(200));
    let passed_ms = sent_at.elapsed().as_millis() as u32;
    host.greet.send(()).expect("the host waits for the test");
    let received: Vec<Vec<u8>> = host.received.iter().collect();
    let text = request_in(&received, 1).expect("the request is sent to the host");
    let sent_timeout =
        text.split(",d=").nth(1).and_then(|rest| rest.split(',').next()).expect("the comment holds d");
    let sent_ms: u32 = sent_timeout.parse().expect("the text is a number");
    assert!(
        sent_ms <= TIMEOUT_MS - passed_ms,
        "sent a timeout of {sent_ms} ms, not the rest of {TIMEOUT_MS} ms after {passed_ms} ms"
    );
    drop(client);
    router.shut_down();
}

/// Guards against sending a request for a client that disconnected while the router was stalled. The router
/// is stopped while it connects to the host, and finds both the completed login and the disconnect when it
/// continues.
#[test]
fn nothing_is_sent_for_a_client_that_disconnected_during_a_stall() {
    let host = LateHost::start();
    let mut config = single_primary_configuration(host.address);
    config["settings"]["permissions"]["connect_timeout_us"] = 3_000_000.into();
    let daemon = Daemon::start("stalled", &config);
    let mut client = PostgresClient::connect(daemon.address);
    client.send(&write_request(1, 5_000));
    // The router is stopped while it connects to the host. The login completes, and then the client
    // disconnects.
    sleep(DISCONNECT_GRACE);
    daemon.signal("STOP");
    host.greet.send(()).expect("the host waits for the test");
    sleep(DISCONNECT_GRACE / 2);
    drop(client);
    sleep(DISCONNECT_GRACE * 3 / 2);
    daemon.signal("CONT");
    let received: Vec<Vec<u8>> = host.received.iter().collect();
    assert!(!received.is_empty(), "a connection was attempted");
    assert_eq!(request_in(&received, 1), None, "nothing is sent for a client that has disconnected");
    daemon.shut_down();
}

/// Starts a replica that has stopped replicating at `position`, and that waits for `pause` before it reads a
/// statement of more than 10,000 bytes. Returns its address, and the time at which it has completely read
/// each such statement.
fn slowly_reading_replica(position: SystemTime, pause: Duration) -> (SocketAddr, Receiver<SystemTime>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    // Accepted connections inherit the buffer size, so that a long statement does not fit into the buffer.
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 2048).expect("the socket option can be set");
    let address = listener.local_addr().expect("a bound listener has an address");
    let (report, complete) = channel();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let report = report.clone();
            spawn(move || slowly_reading_connection(stream, position, pause, &report));
        }
    });
    (address, complete)
}

fn slowly_reading_connection(
    mut stream: TcpStream, position: SystemTime, pause: Duration, report: &Sender<SystemTime>,
) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4;
        let is_long = length > 10_000;
        if is_long {
            sleep(pause);
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if let Some(answer) = answer_without_effect(text.trim_end_matches('\0')) {
            stream.write_all(&[answer, ready()].concat()).ok()?;
            continue;
        }
        if is_long {
            report.send(SystemTime::now()).ok()?;
        }
        let unix_ms = position.duration_since(SystemTime::UNIX_EPOCH).ok()?.as_millis();
        let vitals = format!("x0={}.{:03},x1=0", unix_ms / 1000, unix_ms % 1000);
        let value = if is_long { "stale".into() } else { vitals };
        stream
            .write_all(
                &[one_row_answer(value.as_bytes()), parameter_status("rank", "copy"), ready()].concat(),
            )
            .ok()?;
    }
}

/// Guards against checking the staleness bound only when sending begins. The data of a replica reach the
/// bound of 3 s after 600 ms, and the replica pauses for 900 ms before it reads a long statement. The last
/// bytes of the statement must not arrive after the bound.
#[test]
fn bounded_read_received_too_slowly_never_arrives_complete() {
    const STALENESS_BOUND: Duration = Duration::from_secs(3);
    let primary = ScriptedHost::primary(|_, _| answer("new"));
    let position = SystemTime::now() - STALENESS_BOUND + Duration::from_millis(600);
    let (replica, complete) = slowly_reading_replica(position, Duration::from_millis(900));
    let hosts = [ready_primary("p", primary.address), ready_replica("r", replica)];
    let router = Router::start(configuration(&hosts));
    let mut client = PostgresClient::connect(router.address);
    let from_replica = |reply| matches!(reply, ClientReply::Value(value) if value.starts_with(b"x0="));
    assert!(
        (10..40).any(|id| from_replica(client.execute(&read_request(id, 600)))),
        "the router must send reads to the replica while its data are fresh"
    );
    let long = read_request(1, 2_500).replace("'k1'", &format!("'{}'", "k".repeat(100_000)));
    let got = client.execute(&long);
    let too_late = complete.try_iter().find(|at| *at > position + STALENESS_BOUND);
    assert_eq!(
        too_late, None,
        "the replica must not receive a complete read after its data exceed the bound; the client got {got:?}"
    );
    assert_eq!(got, ClientReply::value("new"), "the primary must serve the read");
    drop(client);
    router.shut_down();
}
