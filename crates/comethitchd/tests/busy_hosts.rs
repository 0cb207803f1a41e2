//! Hosts and discovery services that send without end. They must not delay other requests, and the timeout of
//! the request or response that they spoil must expire.

mod support;

use comethitch_testkit::Protocol;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use support::endless_peer::{FLOOD_TIME, UsualClient, flood};
use support::{
    BUSY_MACHINE_SLACK, ClientReply, Discovery, HostAction, PostgresClient, Router, ScriptedHost, answer,
    configuration, configuration_with_discovery, message, one_row_answer, parameter_status,
    read_http_request, read_request, ready, ready_primary, ready_replica, single_primary_configuration,
    write_request,
};

/// Id of the request whose answer never ends.
const SPOILT_ID: u32 = 666;
/// Timeout of the request whose answer never ends.
const SPOILT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time within which a watch that changes nothing ends: before the complete list would be polled.
const MAX_WATCH_TIME: Duration = Duration::from_secs(3);
/// Delay between reads.
const READ_INTERVAL: Duration = Duration::from_millis(10);

/// Sends a request whose answer begins with `first` and goes on with copies of `repeated`. Asserts that it gets
/// its final answer in time, and that other clients are served meanwhile.
fn assert_endless_answer_delays_nobody(first: &[u8], repeated: &[u8]) {
    let beside = format!("an answer with endless messages of type {}", char::from(repeated[0]));
    let (first, repeated) = (first.to_vec(), repeated.to_vec());
    let primary = ScriptedHost::primary(move |_, text| match text.contains(&format!("id={SPOILT_ID},")) {
        true => HostAction::Endless { first: first.clone(), repeated: repeated.clone() },
        false => answer("value"),
    });
    let router = Router::with_single_primary(&primary);
    let usual = UsualClient::start(Protocol::Postgres, router.address);
    let mut client = PostgresClient::connect(router.address);
    // The connection to the host is reused, so that an answer on it is verified.
    for id in 1..5 {
        assert_eq!(client.execute(&write_request(id, 2_000)), ClientReply::value("value"));
    }
    let sent_at = Instant::now();
    let reply = client.execute(&write_request(SPOILT_ID, SPOILT_TIMEOUT.as_millis() as u32));
    let took = sent_at.elapsed();
    sleep(FLOOD_TIME.saturating_sub(took));
    assert!(took < SPOILT_TIMEOUT + BUSY_MACHINE_SLACK, "{beside}: {took:?}");
    assert!(matches!(reply, ClientReply::Error(_)), "{beside}: {reply:?}");
    usual.assert_served(&beside);
    drop(client);
    router.shut_down();
}

/// Guards against a host that keeps the thread by an answer that never ends (review case 7).
#[test]
fn answer_that_never_ends_delays_nobody() {
    assert_endless_answer_delays_nobody(b"", &parameter_status("TimeZone", "UTC"));
    assert_endless_answer_delays_nobody(b"", &notice());
}

/// Guards against an endless answer that occupies the router until its timeout: it ends by its size.
#[test]
fn answer_that_never_ends_fails_by_its_size() {
    let primary = ScriptedHost::primary(|_, _| HostAction::Endless { first: Vec::new(), repeated: notice() });
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    let sent_at = Instant::now();
    let reply = client.execute(&write_request(SPOILT_ID, 10_000));
    let took = sent_at.elapsed();
    assert_eq!(reply, ClientReply::error("40003"), "the write may have run");
    assert!(took < FLOOD_TIME, "the answer must fail before the host stops: {took:?}");
    drop(client);
    router.shut_down();
}

/// Guards against a host that keeps the thread after a whole answer, while the answer to the barrier behind it
/// is awaited.
#[test]
fn endless_messages_after_a_whole_answer_delay_nobody() {
    let whole = [one_row_answer(b"value"), ready()].concat();
    assert_endless_answer_delays_nobody(&whole, &parameter_status("TimeZone", "UTC"));
    assert_endless_answer_delays_nobody(&whole, &ready());
}

fn notice() -> Vec<u8> {
    message(b'N', b"SNOTICE\0C00000\0Mnothing\0\0")
}

/// Accepts connections, and floods each with copies of a message once its first message has arrived. Returns the
/// address, and the number of connections so far.
fn start_endless_host(repeated: Vec<u8>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = accepted.clone();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::SeqCst);
            let repeated = repeated.clone();
            spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                flood(&stream, &repeated);
            });
        }
    });
    (address, accepted)
}

/// Guards against a host that keeps the thread while a session with it is opened, by requests or by health
/// checks.
#[test]
fn session_start_that_never_ends_delays_nobody() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let (endless, accepted) = start_endless_host(parameter_status("TimeZone", "UTC"));
    let hosts = [ready_primary("p", primary.address), ready_replica("r", endless)];
    let router = Router::start(configuration(&hosts));
    let usual = UsualClient::start(Protocol::Postgres, router.address);
    let mut reader = PostgresClient::connect(router.address);
    let started = Instant::now();
    for id in 1.. {
        if started.elapsed() > FLOOD_TIME {
            break;
        }
        let sent_at = Instant::now();
        let reply = reader.execute(&read_request(id, SPOILT_TIMEOUT.as_millis() as u32));
        let took = sent_at.elapsed();
        assert!(took < SPOILT_TIMEOUT + BUSY_MACHINE_SLACK, "a read must get its answer in time: {took:?}");
        assert_ne!(reply, ClientReply::Closed, "no read may be lost");
        sleep(READ_INTERVAL);
    }
    usual.assert_served("a host whose session start never ends");
    assert!(accepted.load(Ordering::SeqCst) > 0, "the router must have connected to the host");
    router.shut_down();
}

/// Guards against a discovery service that keeps the thread by a response head, a list, or a watch that never
/// ends.
#[test]
fn discovery_response_that_never_ends_delays_nobody() {
    let responses: [(&str, &[u8], &[u8]); 4] = [
        ("a discovery response head that never ends", b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
        ("a list of endless space", b"HTTP/1.1 200 OK\r\n\r\n", b" "),
        ("a watch of endless empty lines", b"HTTP/1.1 200 OK\r\n\r\n", b"\n"),
        ("endless outdated lists", b"HTTP/1.1 200 OK\r\n\r\n", b"{\"seq\":1,\"whole\":false,\"hosts\":[]}\n"),
    ];
    for (beside, head, repeated) in responses {
        let primary = ScriptedHost::primary(|_, _| answer("value"));
        let mut config = single_primary_configuration(primary.address);
        config["discovery"] = start_endless_discovery(head, repeated).to_string().into();
        let router = Router::start(config);
        let usual = UsualClient::start(Protocol::Postgres, router.address);
        sleep(FLOOD_TIME);
        usual.assert_served(beside);
        router.shut_down();
    }
}

/// Guards against a watch that costs processor time for as long as it likes: reading from it slows down, and it is
/// restarted.
#[test]
fn watch_that_changes_nothing_is_slowed_down_and_restarted() {
    for line in ["\n", "{\"seq\":1,\"whole\":false,\"hosts\":[]}\n"] {
        let primary = ScriptedHost::primary(|_, _| answer("value"));
        let discovery = Discovery::start();
        let hosts = [ready_primary("p", primary.address)];
        let router = Router::start(configuration_with_discovery(&hosts, &discovery));
        let (request_line, mut watch) = discovery.next_request();
        assert!(request_line.contains("follow=1"), "the router must watch the list: {request_line}");
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        let started = Instant::now();
        let flooding = spawn(move || flood_until_closed(&mut watch, chunk.as_bytes()));
        let (request_line, _next) = discovery.next_request();
        assert!(request_line.contains("follow=1"), "the watch must be restarted: {request_line}");
        assert!(started.elapsed() < MAX_WATCH_TIME, "the watch must end: {:?}", started.elapsed());
        flooding.join().expect("the discovery service does not panic");
        router.shut_down();
    }
}

/// Sends copies of a message until the connection breaks.
fn flood_until_closed(stream: &mut TcpStream, message: &[u8]) {
    let block = message.repeat(100);
    while stream.write_all(&block).is_ok() {}
}

fn start_endless_discovery(head: &'static [u8], repeated: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                read_http_request(&stream);
                let _ = (&stream).write_all(head);
                flood(&stream, repeated);
            });
        }
    });
    address
}
