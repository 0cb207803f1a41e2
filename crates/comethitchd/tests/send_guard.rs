//! Conditions that must still hold when an attempt is sent, after slow connects, stalls and hosts that read slowly.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime};
use support::{
    ClientReply, DISCONNECT_GRACE, Daemon, LateHost, PostgresClient, Router, ScriptedHost, answer,
    configuration, message, parameter_status, read_request, ready, ready_primary, ready_replica, row,
    single_primary_configuration, write_request,
};

/// Returns the received text that contains the request with this id.
fn request_in(received: &[Vec<u8>], id: u32) -> Option<String> {
    let texts = received.iter().map(|bytes| String::from_utf8_lossy(bytes).into_owned());
    texts.into_iter().find(|text| text.contains(&format!("id={id},")))
}

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
    host.greet.send(()).expect("the host waits");
    let received: Vec<Vec<u8>> = host.received.iter().collect();
    let text = request_in(&received, 1).expect("the request was sent");
    let sent_timeout = text.split(",d=").nth(1).and_then(|rest| rest.split(',').next()).expect("d");
    let sent_ms: u32 = sent_timeout.parse().expect("a number");
    assert!(sent_ms <= TIMEOUT_MS - passed_ms, "sent {sent_ms} ms, {passed_ms} of {TIMEOUT_MS} had passed");
    drop(client);
    router.shut_down();
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnected_during_a_stall() {
    let host = LateHost::start();
    let mut config = single_primary_configuration(host.address);
    config["settings"]["permissions"]["connect_timeout_us"] = 3_000_000.into();
    let daemon = Daemon::start("stalled", &config);
    let mut client = PostgresClient::connect(daemon.address);
    client.send(&write_request(1, 5_000));
    // The router is stopped while it connects to the host; the greeting arrives, and then the client disconnects.
    sleep(DISCONNECT_GRACE);
    daemon.signal("STOP");
    host.greet.send(()).expect("the host waits");
    sleep(DISCONNECT_GRACE / 2);
    drop(client);
    sleep(DISCONNECT_GRACE * 3 / 2);
    daemon.signal("CONT");
    let received: Vec<Vec<u8>> = host.received.iter().collect();
    assert!(!received.is_empty(), "a connection was attempted");
    assert_eq!(request_in(&received, 1), None, "nothing is sent for a client that has disconnected");
    daemon.shut_down();
}

/// Starts a replica whose position stays at `position`, and that waits for `pause` before it reads a long statement.
/// Returns its address, and the times at which it had read each long statement completely.
fn slowly_reading_replica(position: SystemTime, pause: Duration) -> (SocketAddr, Receiver<SystemTime>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    // Accepted connections inherit it.
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 2048).expect("an option");
    let address = listener.local_addr().expect("an address");
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
        if is_long {
            report.send(SystemTime::now()).ok()?;
        }
        let unix = position.duration_since(SystemTime::UNIX_EPOCH).ok()?.as_millis();
        let vitals = format!("x0={}.{:03},x1=0", unix / 1000, unix % 1000);
        let value = if is_long { "stale".into() } else { vitals };
        stream
            .write_all(&[row(value.as_bytes()), parameter_status("rank", "copy"), ready()].concat())
            .ok()?;
    }
}

#[test]
fn bounded_read_received_too_slowly_never_arrives_complete() {
    const BOUND: Duration = Duration::from_secs(3);
    let primary = ScriptedHost::primary(|_, _| answer("new"));
    let position = SystemTime::now() - BOUND + Duration::from_millis(600);
    let (replica, complete) = slowly_reading_replica(position, Duration::from_millis(900));
    let hosts = [ready_primary("p", primary.address), ready_replica("r", replica)];
    let router = Router::start(configuration(&hosts));
    let mut client = PostgresClient::connect(router.address);
    let from_replica = |reply| matches!(reply, ClientReply::Value(value) if value.starts_with(b"x0="));
    assert!((10..40).any(|id| from_replica(client.execute(&read_request(id, 600)))), "the replica is in use");
    let long = read_request(1, 2_500).replace("'k1'", &format!("'{}'", "k".repeat(100_000)));
    let got = client.execute(&long);
    let too_late = complete.try_iter().find(|at| *at > position + BOUND);
    assert_eq!(too_late, None, "the replica had the read complete from data too old, and it got {got:?}");
    assert_eq!(got, ClientReply::value("new"), "the primary serves it");
    drop(client);
    router.shut_down();
}
